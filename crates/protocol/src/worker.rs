//! Heartbeats of workers and commands to them (PROTOCOL, "Workers -> controller nodes" and
//! "Controller nodes -> workers").

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::types::{
    Attempt, FencingToken, Incarnation, MachineId, SequenceNumber, TaskId, TypeName, Zone,
};

/// Phase of a task on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TaskPhase {
    /// The task waits until its image is fetched.
    Fetching,
    /// The task runs on the machine.
    Running,
    /// The task has its image and waits for the other tasks of its gang.
    Waiting,
    /// The task was commanded to stop and saves its state.
    Saving,
    /// The task has ended for an [`ExitReason`].
    Ended,
    /// The task is in a phase that this version does not know.
    #[serde(other)]
    Other,
}

/// Reason why a task ended on its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExitReason {
    /// The task completed its work.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// The task failed with an error.
    Error,
    /// The worker refused the task, because the machine has too little free capacity.
    Full,
    /// The worker refused the task, because another attempt of it is on the machine.
    InUse,
    /// The worker refused the task, because it found no task of that name.
    NoSuch,
    /// The task was stopped, because another task of its gang ended.
    Peers,
    /// The task was stopped, because the other tasks of its gang did not arrive in time.
    Incomplete,
    /// The task ended for a reason that this version does not know.
    #[serde(other)]
    Other,
}

/// State of one task in a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReportedTask {
    /// Name of the task, as job id and index: `run-000412/3`.
    #[serde(rename = "piece")]
    pub task_name: String,
    /// Number of the attempt to run the task.
    #[serde(rename = "try")]
    pub attempt: Attempt,
    /// Phase of the task on the machine.
    pub phase: TaskPhase,
    /// Reason why the task ended, if it has ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[serde(rename = "cause")]
    pub exit_reason: Option<ExitReason>,
}

impl ReportedTask {
    /// Returns the task's id, or `None` if its name is malformed.
    pub fn id(&self) -> Option<TaskId> {
        TaskId::parse(&self.task_name)
    }
}

/// Image that a machine serves to other machines, in a worker's heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedImage {
    /// Name of the image that the machine serves.
    pub image: String,
    /// Number of the image's chunks that are on the machine and verified.
    pub parts: u64,
    /// Total number of the image's chunks.
    pub of: u64,
}

/// Heartbeat that a worker sends to a controller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the worker's machine.
    #[serde(rename = "box")]
    pub machine: MachineId,
    /// Address at which the worker receives commands.
    pub addr: SocketAddr,
    /// Type of the worker's machine.
    #[serde(rename = "build")]
    pub machine_type: TypeName,
    /// Zone of the worker's machine.
    #[serde(rename = "rack")]
    pub zone: Zone,
    /// Whether the machine is a spot machine.
    #[serde(default)]
    #[serde(rename = "loaners")]
    pub spot: bool,
    /// Current incarnation of the worker that sends the heartbeat.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Sequence number of the heartbeat within the incarnation.
    #[serde(rename = "tick")]
    pub sequence: SequenceNumber,
    /// Highest fencing token that the worker has seen.
    #[serde(default)]
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Time in seconds until the cloud reclaims the machine, if the cloud has announced it.
    #[serde(rename = "warning_s")]
    pub preemption_notice_s: Option<f64>,
    /// All tasks that are on the machine.
    #[serde(default)]
    #[serde(rename = "pieces")]
    pub tasks: Vec<ReportedTask>,
    /// Images that the machine serves to other machines, whole or in part.
    ///
    /// PROTOCOL does not have this field. The field is a hint, and controllers that don't know
    /// it ignore it. The field is absent if a worker serves no images.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub images: Vec<ReportedImage>,
}

/// Command of a controller to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "verb", rename_all = "lowercase")]
pub enum Command {
    /// The worker starts a task.
    Start {
        /// Name of the task that the worker starts.
        #[serde(rename = "piece")]
        task_name: String,
        /// Number of the attempt to start.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Device units that are assigned to the task while it runs, as pairs of kind and name.
        ///
        /// PROTOCOL does not have this field. The field is sent only if the job needs devices, and
        /// workers that don't know it ignore it.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        units: Vec<(String, String)>,
        /// Addresses of agents that have the task's image or fetch it, best source first. These are
        /// the addresses at which the agents receive commands.
        ///
        /// PROTOCOL does not have this field, and workers that don't know it ignore it. If the
        /// field is absent, the image comes from its origin.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        from: Vec<SocketAddr>,
    },
    /// The worker stops a task.
    Kill {
        /// Name of the task that the worker stops.
        #[serde(rename = "piece")]
        task_name: String,
        /// Number of the attempt to stop.
        #[serde(rename = "try")]
        attempt: Attempt,
        /// Time in seconds that the task gets to save its state.
        #[serde(rename = "mercy_s")]
        grace_s: f64,
    },
    /// Removes an ended task from the worker's heartbeats.
    Forget {
        /// Name of the ended task that the worker no longer reports.
        #[serde(rename = "piece")]
        task_name: String,
        /// Number of the attempt that ended.
        #[serde(rename = "try")]
        attempt: Attempt,
    },
}

impl Command {
    /// Returns the name of the task that the command is for.
    pub fn task_name(&self) -> &str {
        match self {
            Self::Start { task_name, .. }
            | Self::Kill { task_name, .. }
            | Self::Forget { task_name, .. } => task_name,
        }
    }
}

/// Answer of a controller to a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// Fencing token under which the controller sends the commands.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Commands that the worker carries out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}

/// Commands that a controller sends to a worker without waiting for a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DirectCommands {
    /// Fencing token under which the controller sends the commands.
    #[serde(rename = "baton")]
    pub fencing_token: FencingToken,
    /// Incarnation of the worker that the commands are for.
    #[serde(rename = "shift")]
    pub incarnation: Incarnation,
    /// Commands that the worker carries out.
    #[serde(rename = "orders")]
    pub commands: Vec<Command>,
}
