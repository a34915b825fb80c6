//! A tournament night, joined: a pinned window whose work has weights that come in
//! stages, urgent jobs in a flood of a lane, and the owner ended in the middle of all
//! three, then all controllers, back after 0.3 s.

mod loopback;

use std::time::Duration;

use serde_json::json;
use sorrelhinge::control::unix_ms;
use sorrelhinge_emulators::{run, HttpResponse, Plan, World};
use tokio::time::sleep;

const PROPERTIES: &str = "lane.urgent.classes=fix\nlane.urgent.part=0.4\nstaging.least.gb=0.5\n";
const TABLES: usize = 8;
const FIXES: usize = 30;

/// Ends controllers, and begins them again after 0.3 s.
async fn end(world: &mut World, which: &[usize]) {
    for i in which {
        world.kill_controller(*i);
    }
    sleep(Duration::from_millis(300)).await;
    for i in which {
        world.start_controller(*i);
    }
}

#[test]
fn a_tournament_night_whoever_ends() {
    run(async {
        let start = unix_ms() / 1000 + 20;
        let moment = jiff::Timestamp::from_second(start).expect("a moment");
        let window = format!(
            "version = 1\nnumber = 1\n[[window]]\nname = \"night\"\nteam = \"crew\"\n\
             classes = [\"table\"]\nwhen = {{ once = \"{moment}\" }}\nlasts_s = 600\n\
             tasks = {TABLES}\ncpus = 4.0\nram_gb = 4.0\nearly_s = 1\n"
        );
        let plan = Plan {
            properties: PROPERTIES,
            ..loopback::plan("joined", 140, 4)
        };
        let mut world = World::start_with(plan, Some(&window)).await;
        world.ask_for_all();
        let record = |w: &World| w.store.borrow().get(&format!("h/win/night@{start}"));
        let warms = |w: &World| record(w).is_some_and(|r| r["s"] == "warming");
        world.until("the window warms", 60, warms).await;
        // The flood, on all that the window leaves.
        let fix = json!({"jobclass": "fix", "crew": "guest", "cpus": 4.0, "guess_s": 1.0,
            "rank": "high", "due_s": 60.0});
        for n in 0..FIXES {
            let HttpResponse { status, .. } =
                world.submit(&format!("run-{n:06}"), fix.clone()).await;
            assert_eq!(status, 201);
        }
        let owner = world.leader().unwrap_or(0);
        end(&mut world, &[owner]).await;
        world
            .until("it begins", 60, |_| unix_ms() / 1000 >= start)
            .await;
        let table = json!({"jobclass": "table", "shape": "standing", "pieces": TABLES,
            "cpus": 4.0, "bundle": "weights-1", "pull_gb": 2.0});
        assert_eq!(world.submit("run-tables", table).await.status, 201);
        let owner = world.leader().unwrap_or(0);
        end(&mut world, &[owner]).await;
        end(&mut world, &[0, 1, 2]).await;
        let up = |w: &World| w.nodes.borrow().copies("run-tables") == TABLES;
        world.until("the tables, in stages", 60, up).await;
        let all = |w: &World| (0..FIXES).all(|n| w.done(&format!("run-{n:06}"), 1));
        world.until("all urgent jobs have ended", 90, all).await;
        assert!(up(&world), "the tables stay");
        let held = |w: &World| record(w).is_some_and(|r| r["s"] == "held");
        world.until("the window is held", 60, held).await;
        let unanswered = world.unanswered();
        assert!(unanswered < Duration::from_secs(75), "{unanswered:?}");
        world.rules_hold();
    });
}
