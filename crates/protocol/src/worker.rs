//! The workers' interface (PROTOCOL, "Workers -> controller nodes" and
//! "Controller nodes -> workers"): heartbeats and commands.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::types::{
    Attempt, FencingToken, Incarnation, MachineId, SequenceNumber, TaskId, TypeName, Zone,
};

/// A task's state on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// Waiting for its image.
    Fetching,
    /// Running.
    Running,
    /// Has its image and waits for the other tasks of its gang.
    Waiting,
    /// Told to stop, saving.
    Saving,
    /// Ended, see [`ExitReason`].
    Ended,
    /// On the machine in a way this version does not know.
    #[serde(other)]
    Other,
}

/// Why a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// Completed.
    Done,
    /// Stopped by command.
    Stopped,
    /// Failed.
    Error,
    /// Refused: not enough free capacity.
    Full,
    /// Refused: the task is there with another attempt.
    InUse,
    /// Refused: no such task.
    NoSuch,
    /// Of a gang: another of its tasks ended, so this one did.
    Peers,
    /// Of a gang: the others did not come in time.
    Incomplete,
    /// Something this version does not know.
    #[serde(other)]
    Other,
}

/// A task in a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// `run-000412/3`.
    #[serde(rename = "piece")]
    pub task_name: String,
    /// Attempt.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// State.
    pub phase: TaskPhase,
    /// Why it ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_reason: Option<ExitReason>,
}

impl ReportedTask {
    /// The task, if its name can be read.
    pub fn id(&self) -> Option<TaskId> {
        TaskId::parse(&self.task_name)
    }
}

/// An image that a machine hands on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedImage {
    /// Its name.
    pub image: String,
    /// Chunks that are there and checked.
    pub parts: u64,
    /// Chunks in all.
    pub of: u64,
}

/// A worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// The worker's own address.
    pub addr: SocketAddr,
    /// Type.
    #[serde(rename = "build")]
    pub machine_type: TypeName,
    /// Zone.
    #[serde(rename = "rack")]
    pub zone: Zone,
    /// Spot machine.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Incarnation.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Order within the incarnation.
    #[serde(rename = "tick")]
    pub sequence: SequenceNumber,
    /// Highest fencing token seen.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Seconds until the cloud takes the machine.
    #[serde(rename = "warning_s")]
    pub preemption_notice_s: Option<f64>,
    /// All tasks there.
    #[serde(default)]
    #[serde(rename = "pieces")]
    pub tasks: Vec<ReportedTask>,
    /// Images that the machine hands on, whole or in part. Not part of
    /// PROTOCOL, and a hint: ignored by controllers that don't know the field,
    /// and absent where a worker hands nothing on.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<ReportedImage>,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// Starts a task.
    Start {
        /// Task.
        #[serde(rename = "piece")]
        task_name: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Devices that are the task's while it runs, by kind and name. Not
        /// part of PROTOCOL: sent only where the job needs some, and ignored
        /// by workers that don't know the field.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        units: Vec<(String, String)>,
        /// Agents that have the task's image or fetch it, the best first: where
        /// they take commands. Not part of PROTOCOL: ignored by workers that
        /// don't know the field; absent, the image comes from its origin.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        from: Vec<SocketAddr>,
    },
    /// Stops a task.
    Kill {
        /// Task.
        #[serde(rename = "piece")]
        task_name: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time to save.
        #[serde(rename = "mercy_s")]
        grace_s: f64,
    },
    /// Drops an ended task from the heartbeats.
    Forget {
        /// Task.
        #[serde(rename = "piece")]
        task_name: String,
        /// Attempt.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

/// The answer to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Token.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands sent directly.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Token.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Incarnation they are meant for.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Commands.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
