//! A service that runs while troubles come.

use serde_json::json;
use sorrelhinge_emulators::World;

/// The service's id.
pub(crate) const SERVICE: &str = "run-000001";

/// Submits the service, and waits until all its replicas run.
pub(crate) async fn run_service(world: &World, replicas: usize, within_s: u64) {
    let service = json!({"shape": "standing", "pieces": replicas, "rank": "critical"});
    assert_eq!(world.submit(SERVICE, service).await.status, 201);
    let up = |w: &World| w.nodes.borrow().copies(SERVICE) == replicas;
    world.until("replicas run", within_s, up).await;
}
