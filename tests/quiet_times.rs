//! Nothing happens but heartbeats: no user asks, and no record changes. Real controllers
//! on loopback.

mod loopback;
#[path = "loopback/service.rs"]
mod service;

use std::time::Duration;

use sorrelhinge_emulators::{run, World};
use tokio::time::sleep;

use self::service::run_service;

const REPLICAS: usize = 6;
/// Several of the watches of the state service that the first version made, of 4 s.
const QUIET: Duration = Duration::from_secs(14);

/// Workers are answered all the time. A view counts as fresh from the moment its read
/// was sent, and a watch of 4 s that nothing changes shows what was so 4 s ago: with
/// `cancel_s` of 9 s more than a lease, as here, every heartbeat was turned away for 2 s
/// of every 4, and where a worker also met a controller that was cut off, leases ended.
#[test]
fn workers_are_answered_while_nothing_happens() {
    run(async {
        let world = World::start(loopback::plan("quiet", 54, 4)).await;
        run_service(&world, REPLICAS, 40).await;
        sleep(Duration::from_secs(1)).await;
        let (refused, starts) = {
            let nodes = world.nodes.borrow();
            (nodes.refused_heartbeats, nodes.starts)
        };
        sleep(QUIET).await;
        let nodes = world.nodes.borrow();
        let refused = nodes.refused_heartbeats - refused;
        println!("{refused} reports were turned away");
        // It was one in two; a process that waits for its turn may cost a few.
        assert!(refused < nodes.all.len(), "{refused} were turned away");
        assert_eq!(nodes.starts, starts, "leases ended");
    });
}
