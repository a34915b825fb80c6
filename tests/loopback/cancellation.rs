//! Users cancel.

use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge_emulators::{HttpResponse, World};

/// Cancels a job, which is answered with its new phase.
pub(crate) async fn cancel(world: &World, uid: &str) {
    let path = format!("/v1/jobs/{uid}/withdraw");
    let HttpResponse { status, body: told } = world.ask(Method::POST, &path, &Value::Null).await;
    assert_eq!((status, &told["phase"]), (200, &json!("cancelled")));
}
