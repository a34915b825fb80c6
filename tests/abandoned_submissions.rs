//! Users who give up on a submission leave nothing behind at the controller.

mod loopback;

use std::time::Duration;

use hyper::Method;
use serde_json::json;
use sorrelhinge_emulators::lines::LinkFault;
use sorrelhinge_emulators::{ask, run, Plan, World};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Submissions that are given up: more than a controller records at a time (64).
const ABANDONED: usize = 80;

/// Guards against a controller that refuses all submissions for good after users gave up on some
/// (`review/2`): each kept its place among those that are being recorded.
#[test]
fn submissions_that_users_give_up_keep_no_place() {
    run(async {
        let plan = Plan {
            lines: true,
            ..loopback::plan("abandoned_submissions", 44, 1)
        };
        let world = World::start(plan).await;
        assert_eq!(world.submit("run-first", json!({})).await.status, 201);
        let controller = 0;
        world.cut_state(controller, LinkFault::Stalled);
        for n in 0..ABANDONED {
            let job = world.job(&format!("run-abandoned-{n}"), json!({}));
            let users = world.address(controller);
            spawn_local(async move {
                let asked = ask(users, Method::POST, "/v1/jobs", &job);
                let answer = timeout(Duration::from_millis(500), asked).await;
                answer.ok().flatten()
            });
        }
        sleep(Duration::from_millis(800)).await;
        world.cut_state(controller, LinkFault::None);
        let mut status = 0;
        for n in 0..50 {
            sleep(Duration::from_millis(200)).await;
            let job = world.job(&format!("run-next-{n}"), json!({}));
            let answer = world.ask_once(controller, Method::POST, "/v1/jobs", &job);
            status = answer.await.map_or(0, |answer| answer.status);
            if status == 201 {
                break;
            }
        }
        assert_eq!(status, 201, "the controller records submissions again");
    });
}
