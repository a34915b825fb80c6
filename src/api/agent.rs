//! Workers' reports (PROTOCOL, "Workers -> controller nodes").

use std::rc::Rc;

use serde_json::json;
use sorrelhinge_overload::admission::Class;

use super::reply::{passed, refuse, reply, Reply};
use crate::connections::Conn;
use crate::control::load::count;
use crate::control::{Beat, Node};
use crate::worker::{Report, TaskPhase};

/// How a report is answered over HTTP.
pub(super) fn beat_reply(beat: Beat) -> Reply {
    match beat {
        Beat::Reply(answer) => reply(200, json!(answer)),
        Beat::Passed(answered) => passed(answered),
        Beat::Elsewhere(owner) => reply(421, json!({ "foreman": owner })),
        Beat::Unavailable => refuse(503, "nobody is known to own the block"),
    }
}

/// Takes a worker's report. Whether it has tasks decides how soon its connection is read
/// again.
pub(super) async fn beat(node: &Rc<Node>, conn: &Conn, body: &[u8]) -> Reply {
    let report: Report = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(error) => {
            tracing::error!(%error, "malformed report");
            return refuse(400, "malformed report");
        }
    };
    let busy = report.tasks.iter().any(|p| p.phase != TaskPhase::Ended);
    conn.asked(if busy { Class::Busy } else { Class::Idle });
    count(&node.load().counts.reports);
    beat_reply(node.beat(&report, body).await)
}
