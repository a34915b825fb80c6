//! Bad nights: controllers that end and are back at once, that stand still while
//! their clocks run on, or are cut off from the workers alone; guests, and an
//! array of thousands of tasks. Real controllers on loopback.

#[path = "loopback/cancellation.rs"]
mod cancellation;
#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge_emulators::{run, HttpResponse, Plan, World, CANCEL_S};
use tokio::time::sleep;

use self::cancellation::cancel;
use self::leader::start_led;

fn plan(name: &str, net: u8, machines: u8) -> Plan {
    loopback::plan(&format!("restarts_{name}"), net, machines)
}

async fn begin(plan: Plan) -> World {
    let world = start_led(plan).await;
    world
        .submit(
            "run-000001",
            json!({"shape": "standing", "pieces": 6, "rank": "critical"}),
        )
        .await;
    world.until("replicas run", 20, |w| copies(w) == 6).await;
    world
}

fn copies(world: &World) -> usize {
    world.nodes.borrow().copies("run-000001")
}

/// Ends controllers, and starts them at once.
fn again(world: &mut World, which: &[usize]) {
    for i in which {
        world.kill_controller(*i);
    }
    for i in which {
        world.start_controller(*i);
    }
}

/// The owner, then several in a row, then all, end and are back before anybody
/// noticed, again and again, while jobs come: every task ends once and starts
/// once, replicas run on, what was accepted is never unknown, and nothing stays
/// rented that nobody uses.
#[test]
fn controllers_that_are_back_at_once_upset_nothing() {
    run(async {
        let mut world = begin(plan("at_once", 90, 4)).await;
        let starts = world.nodes.borrow().starts;
        let mut uids = Vec::new();
        for round in 0..16 {
            for _ in 0..2 {
                let uid = format!("run-{:06}", 10 + uids.len());
                let job = json!({"pieces": 5, "guess_s": 0.4});
                assert_eq!(world.submit(&uid, job).await.status, 201);
                uids.push(uid);
            }
            let owner = world.leader().unwrap_or(round % 3);
            match round % 4 {
                0 => again(&mut world, &[owner]),
                1 => again(&mut world, &[0, 1, 2]),
                2 => {
                    for _ in 0..3 {
                        again(&mut world, &[owner]);
                        sleep(Duration::from_millis(60)).await;
                    }
                }
                _ => again(&mut world, &[owner, (owner + 1) % 3]),
            }
            // From its first answer on, who is back knows every job, or says so.
            let asked = Instant::now();
            while asked.elapsed() < Duration::from_millis(700) {
                for i in 0..3 {
                    let path = format!("/v1/jobs/{}", uids[round % uids.len()]);
                    let told = world.ask_one(i, &path).await;
                    assert!(
                        told.as_ref()
                            .is_none_or(|response| [200, 503].contains(&response.status)),
                        "{told:?}"
                    );
                }
                sleep(Duration::from_millis(20)).await;
            }
        }
        for uid in &uids {
            world.until("a job's tasks", 40, |w| w.done(uid, 5)).await;
        }
        world.rules_hold();
        assert_eq!(copies(&world), 6, "replicas ran on");
        let tasks = 5 * uids.len();
        let started = world.nodes.borrow().starts - starts;
        assert!(
            (tasks..=tasks + tasks / 20).contains(&started),
            "{started} starts of {tasks} tasks"
        );
        cancel(&world, "run-000001").await;
        let none_left = |w: &World| w.nodes.borrow().all.values().all(|n| n.gone);
        world
            .until("nothing stays rented and unused", 60, none_left)
            .await;
    });
}

/// The owner stands still under its lease, near it and far beyond, under load. A
/// job is cancelled meanwhile: whoever wakes never says anything older.
#[test]
fn whoever_stood_still_says_nothing_that_is_older() {
    run(async {
        // The leader's lease is 1 s here.
        let world = begin(plan("stood_still", 94, 4)).await;
        let starts = world.nodes.borrow().starts;
        let mut uids = Vec::new();
        for (round, frozen_ms) in [400, 800, 950, 1050, 1300, 3500].into_iter().enumerate() {
            for _ in 0..4 {
                let uid = format!("run-{:06}", 10 + uids.len());
                world
                    .submit(&uid, json!({"pieces": 6, "guess_s": 0.5}))
                    .await;
                uids.push(uid);
            }
            let cancelled = format!("run-9{round:05}");
            world
                .submit(&cancelled, json!({"pieces": 3, "guess_s": 60.0}))
                .await;
            let owner = world.leader().expect("a leader");
            world.freeze_controller(owner, true);
            let path = format!("/v1/jobs/{cancelled}/withdraw");
            let other = (owner + 1) % 3;
            let asked = Instant::now();
            let told = world
                .ask_once(other, Method::POST, &path, &Value::Null)
                .await;
            let known = told.is_some_and(|response| response.status == 200);
            let left = Duration::from_millis(frozen_ms).saturating_sub(asked.elapsed());
            sleep(left).await;
            world.freeze_controller(owner, false);
            for _ in 0..20 {
                let told = world.ask_one(owner, &format!("/v1/jobs/{cancelled}")).await;
                if let Some(HttpResponse {
                    status: 200,
                    body: told,
                }) = told.filter(|_| known)
                {
                    assert_eq!(told["phase"], "cancelled", "after {frozen_ms} ms");
                }
                sleep(Duration::from_millis(25)).await;
            }
            assert!(known, "the others go on: {frozen_ms} ms");
            let gone = |w: &World| w.nodes.borrow().places(&cancelled).is_empty();
            world
                .until("the cancelled job's tasks", CANCEL_S as u64, gone)
                .await;
        }
        for uid in &uids {
            world.until("a job's tasks", 40, |w| w.done(uid, 6)).await;
        }
        world.rules_hold();
        assert_eq!(copies(&world), 6, "replicas ran on");
        let done = world.nodes.borrow().starts - starts;
        assert!(done >= 6 * uids.len());
    });
}

/// The owner is cut off from the workers and from nothing else: it gives up, the
/// next one goes on, no lease ends, and it is not taken back.
#[test]
fn an_owner_that_reaches_no_worker_hands_over() {
    run(async {
        let world = begin(plan("apart", 98, 5)).await;
        // Work that needs commands, all the time.
        let starts = world.nodes.borrow().starts;
        let owner = world.leader().expect("a leader");
        let grant = world.store.borrow().get("h/grant").expect("a grant");
        let number = grant["number"].as_u64().expect("its number");
        world.nodes.borrow_mut().apart = Some((owner, number));
        let cut = Instant::now();
        let mut uids = Vec::new();
        let mut over = None;
        while cut.elapsed() < Duration::from_secs(14) {
            let uid = format!("run-{:06}", 10 + uids.len());
            world
                .submit(&uid, json!({"pieces": 3, "guess_s": 0.3}))
                .await;
            uids.push(uid);
            let leader = world.leader();
            if leader.is_some_and(|l| l != owner) {
                over.get_or_insert(cut.elapsed());
            }
            assert!(over.is_none() || leader != Some(owner), "taken back");
            sleep(Duration::from_millis(150)).await;
        }
        let over = over.expect("handed over");
        assert!(over < Duration::from_secs(12), "after {over:?}");
        for uid in &uids {
            world.until("a job's tasks", 20, |w| w.done(uid, 3)).await;
        }
        let started = world.nodes.borrow().starts - starts;
        assert!(started <= 3 * uids.len() + 6, "{started} starts");
        assert_eq!(copies(&world), 6, "no lease ended");
        world.rules_hold();
        println!("handed over {over:?} after the cut");
    });
}

/// Who is asked to end hands over what it owns: the next one leads and starts tasks
/// long before the lease would have ended, and nothing is started twice.
#[test]
fn who_is_asked_to_end_hands_over() {
    run(async {
        let mut world = begin(Plan {
            properties: "leader.lease.s=30\n",
            ..plan("asked", 110, 4)
        })
        .await;
        for round in 0..3 {
            let owner = world.leader().expect("a leader");
            let uid = format!("run-{:06}", 10 + round);
            world
                .submit(&uid, json!({"pieces": 6, "guess_s": 2.0}))
                .await;
            world.ask_to_end(owner).await;
            let next = |w: &World| w.leader().is_some_and(|l| l != owner);
            world.until("the next leads", 10, next).await;
            world.start_controller(owner);
            let after = format!("run-{:06}", 20 + round);
            world
                .submit(&after, json!({"pieces": 6, "guess_s": 0.3}))
                .await;
            for uid in [uid, after] {
                world.until("a job's tasks", 15, |w| w.done(&uid, 6)).await;
            }
        }
        world.rules_hold();
        assert_eq!(copies(&world), 6, "replicas ran on");
    });
}

/// A guest team, listed with 0 and so with neither guarantee nor limit, is served;
/// one that is not listed is told that its job can never run. Its array of
/// thousands of tasks costs changes by ranges, also when the owner ends half way.
#[test]
fn a_guests_huge_array_costs_few_changes() {
    run(async {
        let mut world = begin(plan("guest", 102, 6)).await;
        let job = world.job("run-000002", json!({"crew": "nobody"}));
        let HttpResponse { status, body: told } = world.ask(Method::POST, "/v1/jobs", &job).await;
        assert_eq!(status, 422, "{told}");
        let before = world.store.borrow().changes;
        let tasks = 3000;
        let huge = json!({"crew": "guest", "rank": "idle", "pieces": tasks, "cpus": 0.25,
            "ram_gb": 0.1, "guess_s": 0.2, "jobclass": "sweep"});
        assert_eq!(world.submit("run-000003", huge).await.status, 201);
        let part = |w: &World, n: usize| {
            let nodes = w.nodes.borrow();
            let of = |t: &&String| t.starts_with("run-000003/");
            nodes.done.iter().filter(of).count() >= n
        };
        world.until("half of it", 60, |w| part(w, tasks / 2)).await;
        let owner = world.leader().expect("a leader");
        again(&mut world, &[owner]);
        // What others wait for is not kept from them meanwhile.
        let asked = Instant::now();
        let urgent = json!({"rank": "high", "pieces": 6, "guess_s": 0.3});
        world.submit("run-000004", urgent).await;
        world
            .until("urgent work", 15, |w| w.done("run-000004", 6))
            .await;
        println!("urgent work done after {:?}", asked.elapsed());
        world.until("all of it", 90, |w| part(w, tasks)).await;
        let told = |w: &World| {
            let record = w.store.borrow().get("h/job/run-000003");
            record.is_some_and(|r| r["p"] == "d")
        };
        world.until("it is done", 20, told).await;
        let changes = world.store.borrow().changes - before;
        println!("{changes} changes for {tasks} tasks");
        assert!(changes < tasks as u64 / 4, "{changes} changes");
        assert_eq!(copies(&world), 6);
        world.rules_hold();
    });
}
