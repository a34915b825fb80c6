//! The release calendar with real controllers on loopback: capacity is there when
//! a window begins, whoever ends before.

mod loopback;

use std::path::Path;
use std::time::Duration;

use serde_json::{json, Value};
use sorrelhinge::control::unix_ms;
use sorrelhinge::types::MachineId;
use sorrelhinge_emulators::{run, CommandOutput, Plan, World};
use sorrelhinge_reservations::shown::{CalendarShown, WindowShown};
use sorrelhinge_sharding::shard::of_machine;
use tokio::time::sleep;

use self::loopback::AT;

fn plan(name: &str, net: u8) -> Plan {
    loopback::plan(name, net, 1)
}

/// A window of tasks that take a whole machine each, from a moment on.
fn window(name: &str, start_s: i64, tasks: u32) -> String {
    let moment = jiff::Timestamp::from_second(start_s).expect("a moment");
    format!(
        "[[window]]\nname = \"{name}\"\nteam = \"crew\"\nclasses = [\"bake\"]\n\
         when = {{ once = \"{moment}\" }}\nlasts_s = 600\ntasks = {tasks}\ncpus = 4.0\n\
         ram_gb = 4.0\nearly_s = 1\n"
    )
}

fn file(number: u64, windows: &str) -> String {
    format!("version = 1\nnumber = {number}\n{windows}")
}

fn now_s() -> i64 {
    unix_ms() / 1000
}

fn step(world: &World, name: &str, start_s: i64) -> Value {
    let record = world.store.borrow().get(&format!("h/win/{name}@{start_s}"));
    record.map_or(Value::Null, |r| r["s"].clone())
}

/// The zones of the machines that are there.
fn zones(world: &World) -> Vec<u8> {
    let nodes = world.nodes.borrow();
    let there = nodes.all.values().filter(|n| !n.gone);
    there.map(|n| n.zone).collect()
}

fn alive(world: &World) -> usize {
    zones(world).len()
}

/// Machines that are there and run nothing of the flood.
fn free(world: &World) -> usize {
    alive(world) - world.nodes.borrow().places("run-flood").len()
}

/// Runs a command that succeeds.
async fn done(world: &World, words: &[&str]) {
    let CommandOutput { success, text } = world.command(words).await;
    assert!(success, "{text}");
}

/// Runs a command that fails and says why.
async fn refused(world: &World, words: &[&str], why: &str) {
    let CommandOutput { success, text } = world.command(words).await;
    assert!(!success && text.contains(why), "{text}");
}

async fn shown(world: &World, name: &str) -> Option<WindowShown> {
    let CommandOutput { success, text } = world.command(&["calendar", "show", "--json"]).await;
    if !success {
        return None;
    }
    let shown: CalendarShown = serde_json::from_str(&text).expect("JSON");
    shown.windows.into_iter().find(|w| w.name == name)
}

/// Waits until so many tasks' room of a window is ready.
async fn ready(world: &World, name: &str, tasks: u32) {
    let mut last = None;
    for _ in 0..120 {
        last = shown(world, name).await;
        if last.as_ref().is_some_and(|w| w.ready >= tasks) {
            return;
        }
        sleep(Duration::from_millis(250)).await;
    }
    panic!("not ready: {last:?}");
}

/// Ends the owner and begins it again, as fast as may be.
fn end_owner(world: &mut World) {
    if let Some(leader) = world.leader() {
        restart(world, leader);
    }
}

fn restart(world: &mut World, controller: usize) {
    world.kill_controller(controller);
    world.start_controller(controller);
}

/// Work of another team that fills all that it gets, for longer than the test.
async fn flood(world: &World) {
    let job = json!({"jobclass": "bulk", "crew": "guest", "pieces": 30, "cpus": 4.0,
        "guess_s": 900.0});
    assert_eq!(world.submit("run-flood", job).await.status, 201);
}

async fn begin(world: &World, tasks: usize) {
    let job = json!({"pieces": tasks, "cpus": 4.0, "guess_s": 4.0});
    assert_eq!(world.submit("run-drop", job).await.status, 201);
    let runs = |w: &World| w.nodes.borrow().copies("run-drop") == tasks;
    world.until("its work runs at once", 20, runs).await;
}

/// The owner ends in each step, then all controllers do: nothing is let go, lent
/// or rented twice, and the window's work starts though the cloud has nothing.
#[test]
fn capacity_is_there_whoever_ends() {
    run(async {
        let start = now_s() + 32;
        let text = file(1, &window("drop", start, 12));
        let mut world = World::start_with(plan("calendar", 120), Some(&text)).await;
        let is = |w: &World, s: &str| step(w, "drop", start) == s;
        world.until("it is planned", 20, |w| is(w, "planned")).await;
        assert_eq!(alive(&world), 3, "nothing is held for what is only near");
        end_owner(&mut world);
        world.until("it warms", 30, |w| is(w, "warming")).await;
        end_owner(&mut world);
        world.until("a part is there", 30, |w| alive(w) >= 5).await;
        end_owner(&mut world);
        let all = |w: &World| alive(w) >= 12;
        world.until("all of it is there", 40, all).await;
        world.nodes.borrow_mut().full = true;
        ready(&world, "drop", 12).await;
        flood(&world).await;
        let kept = |w: &World| {
            assert!(free(w) >= 12, "{} left to the window", free(w));
            true
        };
        let begins = |w: &World| kept(w) && now_s() >= start;
        world.until("it begins", 60, begins).await;
        // In the middle of an election, or as it is held.
        end_owner(&mut world);
        let held = |w: &World| kept(w) && is(w, "held");
        world.until("it is held", 60, held).await;
        for all in [false, true] {
            if all {
                (0..3).for_each(|i| world.kill_controller(i));
                (0..3).for_each(|i| world.start_controller(i));
            } else {
                end_owner(&mut world);
            }
            for _ in 0..150 {
                sleep(Duration::from_millis(20)).await;
                kept(&world);
            }
        }
        begin(&world, 12).await;
        assert!(is(&world, "held"), "steps only go forward");
        let rented = world.nodes.borrow().all.len();
        assert!(rented <= 14, "{rented} machines for room of 12");
        let worked = |w: &World| w.done("run-drop", 12);
        world.until("the window's work is done", 30, worked).await;
        done(&world, &["calendar", "unpin", "drop"]).await;
        world.until("it is over", 20, |w| is(w, "over")).await;
        let taken = |w: &World| w.nodes.borrow().copies("run-flood") >= 12;
        world.until("others have its room", 30, taken).await;
        assert!(world.logs().contains("calendar window=drop"));
        world.rules_hold();
    });
}

/// The state service is away while the window begins: what was warmed stays.
#[test]
fn the_state_service_is_away_over_the_beginning() {
    run(async {
        let start = now_s() + 16;
        let text = file(1, &window("drop", start, 6));
        let world = World::start_with(plan("calendar-outage", 124), Some(&text)).await;
        world.until("it is there", 30, |w| alive(w) >= 6).await;
        world.nodes.borrow_mut().full = true;
        ready(&world, "drop", 6).await;
        flood(&world).await;
        let before = now_s();
        assert!(before < start, "begun {} s ago", before - start);
        world.store.borrow_mut().set_down(true);
        let kept = |w: &World| {
            assert!(free(w) >= 6, "its room is let go");
            now_s() >= start + 3
        };
        world.until("it has begun", 40, kept).await;
        assert_eq!(step(&world, "drop", start), "warming");
        world.store.borrow_mut().set_down(false);
        let held = |w: &World| step(w, "drop", start) == "held" && kept(w);
        world.until("it is held", 30, held).await;
        begin(&world, 6).await;
        world.rules_hold();
    });
}

/// Windows are pinned, changed and taken out while they are held; controllers with
/// an older file and without the feature change nothing.
#[test]
fn pins_and_versions_in_one_fleet() {
    run(async {
        let mut world = World::start_with(plan("calendar-pins", 128), Some(&file(5, ""))).await;
        let folder = Path::new(AT.1).join("calendar-pins");
        let path = folder.join("pin.toml").to_string_lossy().into_owned();
        let pin = ["calendar", "pin", &path];
        let write = |window: &str| std::fs::write(&path, file(1, window)).expect("written");
        let taken = |w: &World| w.store.borrow().get("h/calendar").is_some();
        world.until("the file is taken", 20, taken).await;
        let start = now_s() + 3;
        write(&window("drop", start, 4).replace("\"crew\"", "\"nobody\""));
        refused(&world, &pin, "there is no team \"nobody\"").await;
        write(&window("drop", start, 4));
        done(&world, &pin).await;
        let is = |w: &World, s: &str| step(w, "drop", start) == s;
        world.until("it is held", 40, |w| is(w, "held")).await;
        ready(&world, "drop", 4).await;
        write(&window("drop", start, 7));
        done(&world, &pin).await;
        ready(&world, "drop", 7).await;
        // One comes back with an older file, another without any.
        let record = |w: &World| {
            let store = w.store.borrow();
            let window = format!("h/win/drop@{start}");
            (store.get("h/calendar"), store.get(&window))
        };
        let before = record(&world);
        assert_eq!(before.0.as_ref().expect("a record")["n"], 5);
        world.set_calendar(1, Some(&file(4, &window("old", start, 2))));
        world.set_calendar(2, None);
        restart(&mut world, 1);
        restart(&mut world, 2);
        world.kill_controller(0);
        sleep(Duration::from_secs(2)).await;
        world.kill_controller(1);
        let leads = |w: &World| w.leader() == Some(2);
        world.until("it leads without a calendar", 30, leads).await;
        sleep(Duration::from_secs(3)).await;
        assert_eq!(record(&world), before, "nothing is changed");
        (0..2).for_each(|i| world.start_controller(i));
        sleep(Duration::from_millis(500)).await;
        world.kill_controller(2);
        let leads = |w: &World| matches!(w.leader(), Some(0 | 1));
        world.until("another leads", 30, leads).await;
        ready(&world, "drop", 7).await;
        assert_eq!(record(&world), before, "it goes on where it was");
        let unpin = ["calendar", "unpin", "drop"];
        done(&world, &unpin).await;
        world.until("it is over", 30, |w| is(w, "over")).await;
        refused(&world, &unpin, "no such window").await;
        world.rules_hold();
    });
}

/// A zone of a hold is cut and another is drained: its capacity is rented elsewhere.
#[test]
fn free_capacity_that_is_lost_is_rented_elsewhere() {
    run(async {
        let start = now_s() + 3;
        let text = file(1, &window("drop", start, 6));
        let plan = Plan {
            topology: Some(sorrelhinge_emulators::file(136, 1, "")),
            ..plan("calendar-zones", 136)
        };
        let world = World::start_with(plan, Some(&text)).await;
        ready(&world, "drop", 6).await;
        world.nodes.borrow_mut().cut.insert((0, 0));
        let there = |w: &World, least| zones(w).iter().filter(|z| **z >= least).count();
        let others = |w: &World| there(w, 1) >= 6;
        world.until("it is in the others", 60, others).await;
        done(&world, &["drain", "zb", "--deadline", "60s", "--keep"]).await;
        let last = |w: &World| there(w, 2) >= 6;
        world.until("it is in the last", 60, last).await;
        ready(&world, "drop", 6).await;
        world.nodes.borrow_mut().full = true;
        begin(&world, 6).await;
        world.rules_hold();
    });
}

/// Each of several shards holds its part, also one that moves while it warms: the
/// parts are the whole, and the window's work finds all of them.
#[test]
fn parts_of_shards_are_the_whole() {
    run(async {
        let start = now_s() + 22;
        let text = file(1, &window("drop", start, 6));
        let plan = Plan {
            properties: "blocks.least=3\n",
            ..plan("calendar-blocks", 132)
        };
        let mut world = World::start_with(plan, Some(&text)).await;
        let owner = |w: &World, shard: u32| {
            let record = w.store.borrow().get(&format!("h/block/{shard}"));
            record.map_or(Value::Null, |r| r["owner"].clone())
        };
        let all = |w: &World| (0..3).all(|b| owner(w, b) != Value::Null);
        world.until("blocks have owners", 30, all).await;
        world.until("it is there", 40, |w| alive(w) >= 6).await;
        let to = ["c-2", "c-0"][usize::from(owner(&world, 1) == "c-2")];
        done(&world, &["blocks", "move", "1", "--to", to]).await;
        world.until("it has moved", 30, |w| owner(w, 1) == to).await;
        ready(&world, "drop", 6).await;
        let first = owner(&world, 0);
        let first = first.as_str().and_then(|o| o.strip_prefix("c-"));
        let first: usize = first.and_then(|n| n.parse().ok()).expect("an owner");
        restart(&mut world, first);
        let held = |w: &World| step(w, "drop", start) == "held";
        world.until("it is held", 60, held).await;
        // A machine's name says whose it is, so more than the whole may be rented.
        let parts = |w: &World| {
            let nodes = w.nodes.borrow();
            let mut parts = [0; 3];
            for n in nodes.all.values().filter(|n| !n.gone) {
                parts[of_machine(&MachineId::from(n.id.as_str()), 3).0 as usize] += 1;
            }
            parts.iter().all(|n| *n >= 2)
        };
        world.until("each block has its part", 60, parts).await;
        world.nodes.borrow_mut().full = true;
        flood(&world).await;
        sleep(Duration::from_secs(2)).await;
        begin(&world, 6).await;
        world.rules_hold();
    });
}
