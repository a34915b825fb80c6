//! Several shards with an owner each: real controllers on loopback, moves all the
//! time, owners and the leader killed. Every task ends once, limits hold at every
//! moment, and the other shards go on.

#[path = "loopback/cancellation.rs"]
mod cancellation;
mod loopback;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use sorrelhinge_emulators::{run, CommandOutput, HttpResponse, Plan, World, CANCEL_S};
use tokio::time::sleep;

use self::cancellation::cancel;

fn plan(name: &str, net: u8, machines: u8, properties: &'static str) -> Plan {
    Plan {
        properties,
        ..loopback::plan(&format!("blocks_{name}"), net, machines)
    }
}

/// Who owns each shard, as recorded.
fn owners(world: &World) -> BTreeMap<u32, String> {
    let store = world.store.borrow();
    (0..5)
        .filter_map(|b| {
            let held = store.get(&format!("h/block/{b}"))?;
            Some((b, held["owner"].as_str()?.to_owned()))
        })
        .collect()
}

fn each_owns_one(world: &World) -> bool {
    let owners = owners(world);
    let names: std::collections::BTreeSet<&String> = owners.values().collect();
    owners.len() == 3 && names.len() == 3
}

/// The recorded parts of the limit add up to it, exactly, at any moment.
fn parts_add_up(world: &World) {
    let store = world.store.borrow();
    let parts: Vec<i64> = (0..5)
        .filter_map(|b| store.get(&format!("h/slice/{b}"))?["t"][0][1].as_i64())
        .collect();
    if !parts.is_empty() {
        assert_eq!(parts.iter().sum::<i64>(), 400_000, "{parts:?}");
    }
}

/// Work comes for so long; every job must end, each task once.
async fn work(world: &World, from: u32, seconds: u64) -> Vec<String> {
    let until = Instant::now() + Duration::from_secs(seconds);
    let mut uids = Vec::new();
    let mut n = from;
    while Instant::now() < until {
        let uid = format!("run-{n:06}");
        let HttpResponse { status, .. } = world
            .submit(
                &uid,
                json!({"pieces": 5, "guess_s": 0.4,
                    "crew": if n % 5 == 0 { "guest" } else { "crew" }}),
            )
            .await;
        assert_eq!(status, 201);
        uids.push(uid);
        parts_add_up(world);
        sleep(Duration::from_millis(120)).await;
        n += 1;
    }
    uids
}

#[test]
fn shards_move_all_the_time_while_jobs_run() {
    run(async {
        let world = World::start(plan(
            "moves",
            86,
            6,
            "blocks.least=3\nblocks.move.every.s=2\n",
        ))
        .await;
        world.until("each owns a block", 30, each_owns_one).await;
        world
            .submit(
                "run-000001",
                json!({"shape": "standing", "pieces": 6, "spread": true}),
            )
            .await;
        world
            .until("replicas run", 20, |w| {
                w.nodes.borrow().copies("run-000001") == 6
            })
            .await;
        let starts = world.nodes.borrow().starts;
        let uids = work(&world, 10, 12).await;
        for uid in &uids {
            world.until("a job's tasks", 30, |w| w.done(uid, 5)).await;
        }
        world.rules_hold();
        assert_eq!(
            world.nodes.borrow().copies("run-000001"),
            6,
            "replicas ran on"
        );
        let started = world.nodes.borrow().starts - starts;
        assert_eq!(started, 5 * uids.len(), "each task started once");
        cancel(&world, "run-000001").await;
        world
            .until("a cancelled job's tasks are gone", CANCEL_S as u64, |w| {
                w.nodes.borrow().places("run-000001").is_empty()
            })
            .await;
        let logs = world.logs();
        let handed = logs.matches("shard handed over").count();
        println!("{} jobs, blocks handed on {handed} times", uids.len());
        assert!(handed >= 3, "moved {handed} times");
    });
}

/// An operator's commands: what is wrong is refused with a reason, a shard goes
/// where it is pinned and stays, and comes back once it is free.
#[test]
fn an_operator_moves_a_shard() {
    run(async {
        let world = World::start(plan("pinned", 94, 3, "blocks.least=3\n")).await;
        world.until("each owns a block", 30, each_owns_one).await;
        let CommandOutput { success, text } =
            world.command(&["blocks", "move", "7", "--to", "c-1"]).await;
        assert!(!success && text.contains("there is no block 7"), "{text}");
        let CommandOutput { success, text } =
            world.command(&["blocks", "move", "0", "--to", "c-9"]).await;
        assert!(
            !success && text.contains("there is no controller c-9"),
            "{text}"
        );
        let to = match owners(&world)[&0].as_str() {
            "c-1" => "c-2",
            _ => "c-1",
        };
        let CommandOutput { success, text } =
            world.command(&["blocks", "move", "0", "--to", to]).await;
        assert!(success, "{text}");
        world
            .until("it is there", 20, |w| owners(w)[&0] == to)
            .await;
        let uid = "run-000001";
        world
            .submit(uid, json!({"pieces": 12, "guess_s": 0.3}))
            .await;
        world.until("a job's tasks", 20, |w| w.done(uid, 12)).await;
        sleep(Duration::from_secs(2)).await;
        assert_eq!(owners(&world)[&0], to, "it was not moved away for balance");
        let CommandOutput { success, text } = world.command(&["blocks", "show"]).await;
        assert!(
            success && text.contains("an operator pinned it there"),
            "{text}"
        );
        let CommandOutput { success, text } = world.command(&["blocks", "free", "0"]).await;
        assert!(success, "{text}");
        world.until("all are balanced", 20, each_owns_one).await;
        let CommandOutput { success, text } = world.command(&["blocks", "show", "--json"]).await;
        let shown: Value = serde_json::from_str(&text).expect("JSON");
        assert!(success && shown["blocks"].as_array().is_some_and(|b| b.len() == 3));
        world.rules_hold();
    });
}

/// Every owner ends and is back at once, alone and all together, before its former
/// process's lease has ended: none takes the former one's shards for its own, and
/// every task ends once.
#[test]
fn owners_that_are_back_at_once_own_what_they_were_granted() {
    run(async {
        let mut world = World::start(plan("at_once", 114, 6, "blocks.least=3\n")).await;
        world.until("each owns a block", 30, each_owns_one).await;
        let mut all = Vec::new();
        for round in 0..5 {
            let which: Vec<usize> = match round {
                3 => vec![0, 1, 2],
                n => vec![n % 3],
            };
            let before: Vec<Value> = which.iter().map(|i| member(&world, *i)).collect();
            which.iter().for_each(|i| world.kill_controller(*i));
            which.iter().for_each(|i| world.start_controller(*i));
            all.extend(work(&world, 100 + 1000 * round as u32, 2).await);
            // Under a number of its own, and only as that it owns.
            let anew = |w: &World| {
                let mut known = which.iter().zip(&before);
                known.all(|(i, b)| member(w, *i) != *b && owns_as_itself(w))
            };
            world.until("all own as what they are", 30, anew).await;
            world.until("each owns a block", 30, each_owns_one).await;
        }
        for uid in &all {
            world.until("a job's tasks", 40, |w| w.done(uid, 5)).await;
        }
        world.rules_hold();
    });
}

/// The process that a controller is listed as, if it is.
fn member(world: &World, i: usize) -> Value {
    let held = world.store.borrow().get(&format!("h/node/c-{i}"));
    held.map_or(Value::Null, |h| h["run"].clone())
}

/// Each shard's owner is listed, as the process that the shard was granted.
fn owns_as_itself(world: &World) -> bool {
    let store = world.store.borrow();
    (0..3).all(|b| {
        let held = store.get(&format!("h/block/{b}")).unwrap_or(Value::Null);
        let owner = held["owner"].as_str().unwrap_or_default();
        let listed = store.get(&format!("h/node/{owner}"));
        listed.is_some_and(|l| l["run"] == held["run"])
    })
}

#[test]
fn every_owner_and_the_leader_are_killed_in_turn() {
    run(async {
        let mut world = World::start(plan("killed", 90, 6, "blocks.least=3\n")).await;
        world.until("each owns a block", 30, each_owns_one).await;
        world
            .submit("run-000001", json!({"shape": "standing", "pieces": 6}))
            .await;
        world
            .until("replicas run", 20, |w| {
                w.nodes.borrow().copies("run-000001") == 6
            })
            .await;
        let mut all = Vec::new();
        for victim in 0..3 {
            world.kill_controller(victim);
            all.extend(work(&world, 100 + 1000 * victim as u32, 4).await);
            world.start_controller(victim);
            world
                .until("each owns a block again", 30, each_owns_one)
                .await;
        }
        for uid in &all {
            world.until("a job's tasks", 40, |w| w.done(uid, 5)).await;
        }
        sleep(Duration::from_secs(3)).await;
        for uid in all.iter().step_by(7) {
            assert_eq!(world.phase(uid).await, json!("done"));
        }
        world.rules_hold();
        assert_eq!(world.nodes.borrow().copies("run-000001"), 6);
    });
}

/// All controllers are restarted one after the other with one shard, and then
/// with three again: what runs goes on, and work is taken all the time.
#[test]
fn from_three_shards_to_one_and_back_by_rolling_restarts() {
    run(async {
        let mut world = World::start(plan("rolled", 98, 4, "blocks.least=3\n")).await;
        world.until("each owns a block", 30, each_owns_one).await;
        world
            .submit("run-000001", json!({"shape": "standing", "pieces": 6}))
            .await;
        let up = |w: &World| w.nodes.borrow().copies("run-000001") == 6;
        world.until("replicas run", 20, up).await;
        let starts = world.nodes.borrow().starts;
        let mut tasks = 0;
        for (round, least) in ["blocks.least=1\n", "blocks.least=3\n"].iter().enumerate() {
            world.set_properties(least);
            for i in 0..3 {
                world.kill_controller(i);
                let from = 100 + 1000 * round as u32 + 100 * i as u32;
                let uids = work(&world, from, 2).await;
                world.start_controller(i);
                for uid in &uids {
                    world.until("a job's tasks", 40, |w| w.done(uid, 5)).await;
                }
                tasks += 5 * uids.len();
            }
            let so = |w: &World| match round {
                0 => {
                    let shards = w.store.borrow().get("h/map").map(|m| m["blocks"].clone());
                    shards == Some(json!(1)) && owners(w).is_empty()
                }
                _ => each_owns_one(w),
            };
            world.until("as many blocks as are wanted", 40, so).await;
        }
        let uids = work(&world, 5000, 2).await;
        for uid in &uids {
            world.until("a job's tasks", 40, |w| w.done(uid, 5)).await;
        }
        tasks += 5 * uids.len();
        world.rules_hold();
        assert_eq!(world.nodes.borrow().copies("run-000001"), 6);
        assert_eq!(
            world.nodes.borrow().starts - starts,
            tasks,
            "each task started once"
        );
    });
}

/// Owners stand still for longer than their lease, one after the other, while
/// shards move, and the state service is away in the midst of it: whoever wakes
/// up later acts no more, and nothing is lost.
#[test]
fn owners_stand_still_and_the_state_service_is_away_while_shards_move() {
    run(async {
        let moves = "blocks.least=3\nblocks.move.every.s=2\n";
        let world = World::start(plan("frozen", 102, 5, moves)).await;
        world.until("each owns a block", 30, each_owns_one).await;
        let mut all = Vec::new();
        for i in 0..3 {
            world.freeze_controller(i, true);
            all.extend(work(&world, 100 + 100 * i as u32, 3).await);
            world.freeze_controller(i, false);
            if i == 1 {
                world.store.borrow_mut().set_down(true);
                sleep(Duration::from_secs(3)).await;
                world.store.borrow_mut().set_down(false);
            }
        }
        for uid in &all {
            world.until("a job's tasks", 40, |w| w.done(uid, 5)).await;
        }
        parts_add_up(&world);
        world.rules_hold();
    });
}
