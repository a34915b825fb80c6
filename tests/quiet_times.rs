//! Nothing happens but reports: no user asks, and no record changes. Real controllers
//! on loopback.

use std::time::Duration;

use serde_json::json;
use sorrelhinge_standins::{run, Plan, World};
use tokio::time::sleep;

/// The program, and a folder for files and logs.
const AT: (&str, &str) = (
    env!("CARGO_BIN_EXE_sorrelhinge"),
    env!("CARGO_TARGET_TMPDIR"),
);

const SERVICE: &str = "run-000001";
const REPLICAS: usize = 6;
/// Several of the watches of the state service that the first version made, of 4 s.
const QUIET: Duration = Duration::from_secs(14);

/// Workers are answered all the time. A view counts as fresh from the moment its read
/// was sent, and a watch of 4 s that nothing changes shows what was so 4 s ago: with
/// `cancel_s` of 9 s more than a lease, as here, every report was turned away for 2 s
/// of every 4, and where a worker also met a controller that was cut off, leases ended.
#[test]
fn workers_are_answered_while_nothing_happens() {
    run(async {
        let world = World::start(Plan::plain("quiet", 54, 4, AT)).await;
        let service = json!({"shape": "standing", "pieces": REPLICAS, "rank": "critical"});
        assert_eq!(world.submit(SERVICE, service).await.0, 201);
        let up = |w: &World| w.nodes.borrow().copies(SERVICE) == REPLICAS;
        world.until("replicas run", 40, up).await;
        sleep(Duration::from_secs(1)).await;
        let (refused, starts) = {
            let nodes = world.nodes.borrow();
            (nodes.refused_reports, nodes.starts)
        };
        sleep(QUIET).await;
        let nodes = world.nodes.borrow();
        let refused = nodes.refused_reports - refused;
        println!("{refused} reports were turned away");
        // It was one in two; a process that waits for its turn may cost a few.
        assert!(refused < nodes.all.len(), "{refused} were turned away");
        assert_eq!(nodes.starts, starts, "leases ended");
    });
}
