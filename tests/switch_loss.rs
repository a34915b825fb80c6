//! Real controllers on loopback against stand-ins: 12 switches in three zones,
//! each cut in turn, every second one while a takeover is under way. With the
//! operator's file at least one copy of every service runs at every moment, and
//! no task ever starts on a device that is missing, broken or taken; without it
//! the same run fails that check. What was measured is printed.

mod loopback;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::json;
use sorrelhinge_emulators::{file, run, HttpResponse, Plan, World};
use tokio::task::spawn_local;
use tokio::time::sleep;

const SWITCHES: u8 = 4;
const REPLICAS: usize = 3;

/// How services ask to be apart.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mode {
    /// By the operator's file: one on a switch.
    Switch,
    /// By PROTOCOL's `spread`, without the file.
    Zone,
    /// Not at all.
    Off,
}

#[derive(Default)]
struct Watch {
    /// The fewest copies of any service at any moment.
    fewest: usize,
    /// Replica-seconds lost since the cut began.
    lost: f64,
    /// What was lost at each cut.
    by_cut: Vec<f64>,
}

/// A world whose services ask to be apart in this way, and their ids.
async fn begin(mode: Mode, net: u8) -> (World, Vec<String>) {
    let more = "[[device]]\nkind = \"encoder\"\nnetworks = [\"127.NET.1.0/24\"]\n\
        units = [\"enc0\", \"enc1\", \"enc2\"]\nbroken = [\"enc1\"]\n\
        [[policy]]\nclass = \"live\"\n[[policy.wishes.spread]]\nlevel = \"switch\"\nmost = 1\n\
        [repair]\nevery_s = 2.0\nsettle_s = 5.0\n";
    let more = more.replace("NET", &net.to_string());
    let topology = (mode == Mode::Switch).then(|| file(net, SWITCHES, &more));
    let plan = Plan {
        switches: SWITCHES,
        topology,
        ..loopback::plan(&format!("switch_loss_{mode:?}_{net}"), net, 2)
    };
    let world = World::start(plan).await;
    let encoders = vec![
        ("enc0".to_owned(), true),
        ("enc1".to_owned(), false),
        ("enc2".to_owned(), true),
    ];
    world.nodes.borrow_mut().encoders.insert((0, 1), encoders);
    let services: Vec<String> = (0..4).map(|n| format!("run-live-{n}")).collect();
    for uid in &services {
        let job = json!({"jobclass": "live", "shape": "standing", "rank": "critical",
            "pieces": REPLICAS, "cpus": 1.0, "spread": mode == Mode::Zone});
        assert_eq!(world.submit(uid, job).await.status, 201);
    }
    (world, services)
}

fn all_run(world: &World, services: &[String]) -> bool {
    let nodes = world.nodes.borrow();
    services.iter().all(|s| nodes.copies(s) == REPLICAS)
}

/// Jobs that need an encoder, and one that needs more than any machine has.
async fn bake(world: &World) {
    for n in 0..12 {
        let job = json!({"pieces": 4, "guess_s": 0.6,
            "topology": {"devices": [{"kind": "encoder", "count": 1}]}});
        let HttpResponse { status, body: told } = world.submit(&format!("run-bake-{n}"), job).await;
        assert_eq!(status, 201, "{told}");
    }
    let missing = json!({"topology": {"devices": [{"kind": "encoder", "count": 4}]}});
    let HttpResponse { status, body: told } = world.submit("run-never", missing).await;
    assert_eq!(status, 422, "{told}");
}

/// Counts the services' copies all the time from now on.
fn watch_copies(world: &World, services: &[String]) -> Rc<RefCell<Watch>> {
    let watch = Rc::new(RefCell::new(Watch {
        fewest: REPLICAS,
        ..Watch::default()
    }));
    let (seen, nodes, watched) = (watch.clone(), world.nodes.clone(), services.to_vec());
    spawn_local(async move {
        let mut last = Instant::now();
        loop {
            sleep(Duration::from_millis(10)).await;
            let passed = last.elapsed().as_secs_f64();
            last = Instant::now();
            let nodes = nodes.borrow();
            let mut watch = seen.borrow_mut();
            for uid in &watched {
                let copies = nodes.copies(uid);
                watch.fewest = watch.fewest.min(copies);
                watch.lost += passed * REPLICAS.saturating_sub(copies) as f64;
            }
        }
    });
    watch
}

/// Cuts a switch until all replicas run elsewhere, every other one during a takeover.
async fn cut_switch(world: &mut World, cut: u8, services: &[String], watch: &RefCell<Watch>) {
    let switch = (cut / SWITCHES, cut % SWITCHES);
    let during_takeover = cut % 2 == 1;
    if during_takeover {
        let leader = world.leader();
        if let Some(leader) = leader {
            world.kill_controller(leader);
            world.start_controller(leader);
        }
    }
    watch.borrow_mut().lost = 0.0;
    world.nodes.borrow_mut().cut.insert(switch);
    sleep(Duration::from_millis(500)).await;
    let elsewhere = |w: &World| all_run(w, services);
    world
        .until("all replicas run elsewhere", 60, elsewhere)
        .await;
    let lost = watch.borrow().lost;
    watch.borrow_mut().by_cut.push(lost);
    world.nodes.borrow_mut().cut.remove(&switch);
    sleep(Duration::from_millis(300)).await;
}

/// Cuts each switch in turn. What happened, and what the starts' check found.
async fn each_switch_in_turn(mode: Mode, net: u8) -> (Watch, Vec<String>) {
    let (mut world, services) = begin(mode, net).await;
    let run = |w: &World| all_run(w, &services);
    world.until("all replicas run", 40, run).await;
    if mode == Mode::Switch {
        bake(&world).await;
    }
    let watch = watch_copies(&world, &services);
    for cut in 0..3 * SWITCHES {
        if mode != Mode::Switch && watch.borrow().fewest == 0 {
            // The check has failed; nothing more is to be seen.
            break;
        }
        cut_switch(&mut world, cut, &services, &watch).await;
    }
    if mode == Mode::Switch {
        let baked = |w: &World| w.nodes.borrow().done.len() >= 48;
        world.until("all bakes are done", 60, baked).await;
    }
    let wrong = world.nodes.borrow().wrong.clone();
    let watch = watch.take();
    let mean = watch.by_cut.iter().sum::<f64>() / watch.by_cut.len().max(1) as f64;
    let max = watch.by_cut.iter().copied().fold(0.0, f64::max);
    println!(
        "{mode:?}: {} switches cut, replica time lost a cut: mean {mean:.1} s, most {max:.1} s; fewest copies {}; {} starts",
        watch.by_cut.len(),
        watch.fewest,
        world.nodes.borrow().starts
    );
    (watch, wrong)
}

/// The check itself: none of the services was ever without a copy.
fn at_least_one_copy(watch: &Watch) -> bool {
    watch.fewest >= 1
}

#[test]
fn one_copy_runs_whatever_switch_is_lost() {
    run(async {
        let (watch, wrong) = each_switch_in_turn(Mode::Switch, 10).await;
        assert_eq!(wrong, Vec::<String>::new());
        assert!(at_least_one_copy(&watch));
        assert_eq!(watch.by_cut.len(), 12);
        // Never two behind one switch: a cut takes one of three at most.
        assert!(watch.fewest >= REPLICAS - 1, "{} copies left", watch.fewest);
    });
}

#[test]
fn without_the_file_the_same_run_fails_the_check() {
    run(async {
        let (watch, wrong) = each_switch_in_turn(Mode::Off, 20).await;
        assert_eq!(wrong, Vec::<String>::new());
        assert!(!at_least_one_copy(&watch));
    });
}

/// For the table in `docs/topology.md`: a zone's spread keeps one copy, and
/// loses more of the others.
#[test]
fn spread_over_zones_keeps_one_of_three() {
    run(async {
        let (watch, wrong) = each_switch_in_turn(Mode::Zone, 30).await;
        assert_eq!(wrong, Vec::<String>::new());
        assert!(at_least_one_copy(&watch));
    });
}

/// Guards against a device that nobody rents for again once all machines behind its switch are
/// gone, while many machines without it came up in the zone of late.
#[test]
fn encoders_are_rented_for_again_after_all_machines_with_them_are_gone() {
    run(async {
        let (world, services) = begin(Mode::Switch, 40).await;
        let run = |w: &World| all_run(w, &services);
        world.until("all replicas run", 40, run).await;
        let encoders = (0, 1);
        world.nodes.borrow_mut().cut.insert(encoders);
        let wave = json!({"pieces": 20, "cpus": 4.0, "rack": "za", "guess_s": 1.0});
        assert_eq!(world.submit("run-wave", wave).await.status, 201);
        let done = |w: &World| w.nodes.borrow().done.len() >= 20;
        world.until("the wave is done", 60, done).await;
        let gone = |w: &World| {
            let nodes = w.nodes.borrow();
            let mut there = nodes.all.values().filter(|n| !n.gone);
            there.all(|n| (n.zone, n.switch) != encoders)
        };
        world.until("no machine has an encoder", 60, gone).await;
        world.nodes.borrow_mut().cut.remove(&encoders);
        bake(&world).await;
        let baked = |w: &World| w.nodes.borrow().done.len() >= 68;
        world.until("all bakes are done", 90, baked).await;
        assert_eq!(world.nodes.borrow().wrong, Vec::<String>::new());
    });
}
