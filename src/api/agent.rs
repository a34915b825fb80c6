//! Workers' heartbeats (PROTOCOL, "Workers -> controller nodes").

use std::rc::Rc;

use serde_json::json;
use sorrelhinge_overload::admission::Class;

use super::reply::{passed, refuse, reply, Reply};
use crate::agent_client::{Heartbeat, TaskPhase};
use crate::connections::Conn;
use crate::control::load_counts::increment;
use crate::control::{HeartbeatReply, Node};

/// How a heartbeat is answered over HTTP.
pub(super) fn heartbeat_response(heartbeat: HeartbeatReply) -> Reply {
    match heartbeat {
        HeartbeatReply::Reply(answer) => reply(200, json!(answer)),
        HeartbeatReply::Forwarded(answered) => passed(answered),
        HeartbeatReply::OtherOwner(owner) => reply(421, json!({ "foreman": owner })),
        HeartbeatReply::Unavailable => refuse(503, "nobody is known to own the block"),
    }
}

/// Takes a worker's heartbeat. Whether it has tasks decides how soon its connection is read
/// again.
pub(super) async fn heartbeat(node: &Rc<Node>, conn: &Conn, body: &[u8]) -> Reply {
    let heartbeat: Heartbeat = match serde_json::from_slice(body) {
        Ok(heartbeat) => heartbeat,
        Err(error) => {
            tracing::error!(%error, "malformed heartbeat");
            return refuse(400, "malformed heartbeat");
        }
    };
    let busy = heartbeat.tasks.iter().any(|p| p.phase != TaskPhase::Ended);
    conn.asked(if busy { Class::Busy } else { Class::Idle });
    increment(&node.load().counts.heartbeats);
    heartbeat_response(node.handle_heartbeat(&heartbeat, body).await)
}
