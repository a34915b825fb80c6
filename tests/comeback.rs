//! Too much load, or nobody in charge, costs what is new, never what runs: real
//! controllers on loopback, whose workers' leases would end meanwhile.

#[path = "loopback/cancellation.rs"]
mod cancellation;
#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::time::{Duration, Instant};

use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge_emulators::{run, HttpResponse, Plan, World, CANCEL_S, LEASE_S};
use tokio::time::sleep;

use self::cancellation::cancel;
use self::leader::start_led;

fn plan(name: &str, net: u8, machines: u8) -> Plan {
    loopback::plan(&format!("comeback_{name}"), net, machines)
}

/// The owner dies as an outage of the state service begins, which outlasts the
/// workers' leases, so nobody can take over before they end. What runs goes on;
/// what was cancelled just before ends in time all the same.
#[test]
fn an_owner_that_dies_in_an_outage_takes_no_task_with_it() {
    run(async {
        let mut world = start_led(plan("outage", 82, 4)).await;
        world
            .submit("run-000001", json!({"shape": "standing", "pieces": 6}))
            .await;
        world
            .submit("run-000002", json!({"pieces": 6, "guess_s": 9.0}))
            .await;
        world
            .submit("run-000003", json!({"shape": "standing", "pieces": 3}))
            .await;
        let all_run = |w: &World| {
            let nodes = w.nodes.borrow();
            let copies = ["run-000001", "run-000002", "run-000003"].map(|j| nodes.copies(j));
            copies == [6, 6, 3]
        };
        world.until("all tasks run", 20, all_run).await;
        // The owner hears of all starts, and records nothing more.
        sleep(Duration::from_secs(1)).await;
        let starts = world.nodes.borrow().starts;
        cancel(&world, "run-000003").await;
        let owner = world.leader().expect("a leader");
        world.kill_controller(owner);
        world.store.borrow_mut().set_down(true);
        sleep(Duration::from_secs_f64(LEASE_S + 1.5)).await;
        let copies = ["run-000001", "run-000002"].map(|j| world.nodes.borrow().copies(j));
        assert_eq!(copies, [6, 6], "their leases were renewed");
        world.store.borrow_mut().set_down(false);
        world
            .until("the cancelled job's tasks are gone", CANCEL_S as u64, |w| {
                w.nodes.borrow().places("run-000003").is_empty()
            })
            .await;
        world
            .until("the array ends", 30, |w| w.done("run-000002", 6))
            .await;
        let nodes = world.nodes.borrow();
        assert_eq!(nodes.starts, starts, "nothing was started again");
        assert_eq!(nodes.copies("run-000001"), 6);
        assert_eq!(nodes.wrong, [] as [String; 0]);
    });
}

/// The job of this number: its id and its fields, of one class after the other.
fn job_of_class(n: u32) -> (String, Value) {
    let classes = [("bake", "normal"), ("check", "high")];
    let (class, rank) = classes[n as usize % 2];
    let job = json!({"jobclass": class, "rank": rank, "pieces": 6, "guess_s": 0.5});
    (format!("run-{n:06}"), job)
}

/// For two leases all controllers get a twentieth of their time, while jobs come. Returns
/// the jobs.
async fn starve_controllers(world: &World) -> Vec<String> {
    let begun = Instant::now();
    let mut came = Vec::new();
    while begun.elapsed() < Duration::from_secs(2 * LEASE_S as u64) {
        for i in 0..3 {
            world.freeze_controller(i, true);
        }
        sleep(Duration::from_millis(190)).await;
        for i in 0..3 {
            world.freeze_controller(i, false);
        }
        let (uid, more) = job_of_class(10 + came.len() as u32);
        // It may be told to come back: then it comes again below.
        let body = world.job(&uid, more);
        let asked = world.ask_once(came.len() % 3, Method::POST, "/v1/jobs", &body);
        let _ = tokio::time::timeout(Duration::from_millis(10), asked).await;
        came.push(uid);
    }
    came
}

/// All controllers get a twentieth of their time for so long that leases end and
/// tasks with them, while work of every class comes. Once they have it back, all
/// classes are served again, with what came meanwhile, within a minute.
#[test]
fn an_overload_that_ends_leases_is_over_soon_after_its_cause() {
    run(async {
        let world = start_led(plan("starved", 106, 16)).await;
        let services = ["run-000001", "run-000002"];
        for uid in services {
            world
                .submit(
                    uid,
                    json!({"shape": "standing", "pieces": 8, "rank": "critical"}),
                )
                .await;
        }
        let up = |w: &World| services.iter().all(|s| w.nodes.borrow().copies(s) == 8);
        world.until("replicas run", 20, up).await;
        let came = starve_controllers(&world).await;
        let over = Instant::now();
        for (n, uid) in came.iter().enumerate() {
            let (same, more) = job_of_class(10 + n as u32);
            assert_eq!(*uid, same);
            let HttpResponse { status, body: told } = world.submit(uid, more).await;
            assert!(matches!(status, 200 | 201), "{told}");
        }
        world.until("replicas are back", 60, up).await;
        for uid in &came {
            let left = 60_u64.saturating_sub(over.elapsed().as_secs()).max(1);
            world
                .until("what came is done", left, |w| w.done(uid, 6))
                .await;
        }
        println!(
            "{} jobs, all served {:.1} s after the overload",
            came.len(),
            over.elapsed().as_secs_f64()
        );
        assert!(over.elapsed() < Duration::from_secs(60));
        assert_eq!(world.nodes.borrow().wrong, [] as [String; 0]);
    });
}
