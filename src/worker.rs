//! Workers: their reports, the commands to them, and the direct line.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::{Deserialize, Serialize};

use crate::http::{call_once, CallError, Limits};
use crate::types::{Attempt, MachineId, Seq, Session, TaskId, Token, TypeName, Zone};

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Told to stop, saving.
    Saving,
    /// Ended, see [`Why`].
    Ended,
    /// On the machine in a way this version does not know.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Why {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Refused: not enough room.
    Full,
    /// Refused: the task is there with another attempt.
    InUse,
    /// Refused: no such task.
    NoSuch,
    /// Something this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a report.
#[derive(Clone, Debug, Deserialize)]
pub struct ReportedTask {
    /// `run-000412/3`.
    pub piece: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State.
    pub phase: TaskPhase,
    /// Why it ended.
    pub cause: Option<Why>,
}

impl ReportedTask {
    /// The task, if its name can be read.
    pub fn id(&self) -> Option<TaskId> {
        TaskId::parse(&self.piece)
    }
}

/// A worker's report.
#[derive(Clone, Debug, Deserialize)]
pub struct Report {
    /// The machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// The worker's own address.
    pub addr: SocketAddr,
    /// Type.
    pub build: TypeName,
    /// Zone.
    pub rack: Zone,
    /// Spot machine.
    #[serde(default)]
    pub loaners: bool,
    /// Session.
    pub shift: Session,
    /// Order within the session.
    pub tick: Seq,
    /// Highest token seen.
    #[serde(default)]
    pub baton: Token,
    /// Seconds until the cloud takes the machine.
    pub warning_s: Option<f64>,
    /// All tasks there.
    #[serde(default)]
    pub pieces: Vec<ReportedTask>,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Starts a task.
    Start {
        /// Task.
        piece: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
    /// Stops a task.
    Kill {
        /// Task.
        piece: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time to save.
        mercy_s: f64,
    },
    /// Drops an ended task from the reports.
    Forget {
        /// Task.
        piece: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a report.
#[derive(Debug, Serialize)]
pub struct Reply {
    /// Token.
    pub baton: Token,
    /// Commands.
    pub orders: Vec<Command>,
}

/// Commands sent directly.
#[derive(Debug, Clone, Serialize)]
pub struct Orders {
    /// Token.
    pub baton: Token,
    /// Session they are meant for.
    pub shift: Session,
    /// Commands.
    pub orders: Vec<Command>,
}

/// What became of commands sent directly.
#[derive(Debug)]
pub enum Sending {
    /// Carried out; the report after them.
    Executed(Box<Report>),
    /// Not carried out: token or session don't match; the report says which.
    Refused(Box<Report>),
    /// Never reached the worker.
    NotSent,
    /// May be carried out, even minutes later.
    Unknown,
}

/// Sends commands directly, over a connection of their own: while none can be
/// made nothing is sent, so a cut leaves fewer commands that may arrive late.
pub async fn send_orders(address: SocketAddr, orders: &Orders) -> Sending {
    let Ok(body) = serde_json::to_vec(orders) else {
        return Sending::NotSent;
    };
    let limits = Limits {
        connect: Duration::from_millis(700),
        answer: Duration::from_millis(1500),
    };
    match call_once(address, Method::POST, "/orders", Bytes::from(body), limits).await {
        Ok(answer) => {
            let report = serde_json::from_slice::<Report>(&answer.body).map(Box::new);
            match (answer.status.as_u16(), report) {
                (200, Ok(report)) => Sending::Executed(report),
                (409, Ok(report)) => Sending::Refused(report),
                (400..=499, _) => Sending::NotSent,
                (status, report) => {
                    tracing::error!(%address, status, malformed = report.is_err(), "orders");
                    Sending::Unknown
                }
            }
        }
        Err(CallError::NotSent(_)) => Sending::NotSent,
        Err(CallError::Unknown(_)) => Sending::Unknown,
    }
}
