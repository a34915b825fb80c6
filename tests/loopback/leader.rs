//! Worlds that have a leader.

use sorrelhinge_emulators::{Plan, World};

/// The first election takes about a second.
const ELECTED_WITHIN_S: u64 = 20;

/// Starts a world, and waits for its leader.
pub(crate) async fn start_led(plan: Plan) -> World {
    let world = World::start(plan).await;
    let led = |w: &World| w.leader().is_some();
    world.until("a leader", ELECTED_WITHIN_S, led).await;
    world
}
