//! The direct line to the workers (PROTOCOL, "Controller nodes -> workers").

use std::net::SocketAddr;
use std::time::Duration;

use crate::http::{call_once, CallError, Limits};
use bytes::Bytes;
use hyper::Method;
pub use sorrelhinge_protocol::worker::{
    Command, DirectCommands, ExitReason, Heartbeat, Reply, ReportedImage, ReportedTask, TaskPhase,
};

/// For commands that are sent directly.
const LIMITS: Limits = Limits {
    connect: Duration::from_millis(700),
    answer: Duration::from_millis(1500),
};

/// What became of commands sent directly.
#[derive(Debug)]
pub enum Sending {
    /// Carried out; the heartbeat after them.
    Executed(Box<Heartbeat>),
    /// Not carried out: fencing token or incarnation don't match; the heartbeat says which.
    Refused(Box<Heartbeat>),
    /// Never reached the worker.
    NotSent,
    /// May be carried out, even minutes later.
    Unknown,
}

/// Sends commands directly, over a connection of their own: while none can be
/// made nothing is sent, so a cut leaves fewer commands that may arrive late.
pub async fn send_commands(address: SocketAddr, commands: &DirectCommands) -> Sending {
    let Ok(body) = serde_json::to_vec(commands) else {
        return Sending::NotSent;
    };
    match call_once(address, Method::POST, "/orders", Bytes::from(body), LIMITS).await {
        Ok(answer) => {
            let heartbeat = serde_json::from_slice::<Heartbeat>(&answer.body).map(Box::new);
            match (answer.status.as_u16(), heartbeat) {
                (200, Ok(heartbeat)) => Sending::Executed(heartbeat),
                (409, Ok(heartbeat)) => Sending::Refused(heartbeat),
                (400..=499, _) => Sending::NotSent,
                (status, heartbeat) => {
                    tracing::error!(%address, status, malformed = heartbeat.is_err(), "malformed command response");
                    Sending::Unknown
                }
            }
        }
        Err(CallError::NotSent(_)) => Sending::NotSent,
        Err(CallError::Unknown(_)) => Sending::Unknown,
    }
}
