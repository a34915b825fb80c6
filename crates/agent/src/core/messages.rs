//! What comes into the core and goes out of it: the machine's description, what
//! was found at a start, answers, and the actions that are to be carried out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::{
    Amount, Attempt, FencingToken, Incarnation, MachineId, Time, TypeName, Zone,
};
use sorrelhinge_protocol::worker::{ExitReason, Heartbeat, Reply, TaskPhase};

use super::ForgottenAttempts;

/// A task's attempt: `run-000412/3` and its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The task.
    #[serde(rename = "piece")]
    pub task_name: String,
    /// The attempt.
    pub attempt: Attempt,
}

impl Key {
    pub(super) fn of(task_name: &str, attempt: Attempt) -> Self {
        Self {
            task_name: task_name.to_owned(),
            attempt,
        }
    }
}

/// What the machine is, and the times that hold for it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: MachineId,
    /// Where it takes direct commands.
    pub addr: SocketAddr,
    /// Its type.
    pub kind: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// A spot machine.
    pub spot: bool,
    /// What it offers.
    pub total: Amount,
    /// Seconds between heartbeats.
    pub report_s: f64,
    /// Seconds that a lease lasts.
    pub lease_s: f64,
    /// Controllers, by name, in the order that they are tried.
    pub controllers: Vec<String>,
}

/// What a task needs of the machine, from its job's description.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// What it takes while it is there.
    pub each: Amount,
    /// Seconds to save when stopped; none: it can't.
    pub save_s: Option<f64>,
    /// It needs an image before it can run.
    pub image: bool,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// By itself, with code 0: the result was reached.
    Done,
    /// By itself, otherwise; or it could not be run.
    Failed,
    /// It was told to save, and did.
    Saved,
    /// It was killed.
    Killed,
    /// It was never begun.
    Never,
}

/// Something that must be on disk before what follows it is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The highest fencing token seen.
    #[serde(rename = "token")]
    FencingToken(FencingToken),
    /// The incarnation.
    #[serde(rename = "session")]
    Incarnation(Incarnation),
    /// Ticks below this may have been used.
    Tick(u64),
    /// An attempt was taken on: it may run from now on.
    Took(Key, Vec<(String, String)>),
    /// How an attempt ended.
    Ended(Key, ExitReason, bool),
    /// An attempt is not known any more.
    Forgot(Key),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this down.
    Note(Note),
    /// The lease runs from this time: those who run tasks go by it.
    Lease(Time),
    /// Find the description of a task's job.
    Describe(Key),
    /// Have a task's image ready; other agents that may have it, the best first.
    Image(Key, Vec<SocketAddr>),
    /// A task needs its image no more.
    Release(Key),
    /// Run a task, with these devices.
    Run(Key, Vec<(String, String)>),
    /// Tell a task to save and end.
    Save(Key),
    /// End a task with all its processes.
    Kill(Key),
    /// Nothing of an attempt is needed any more.
    Clean(Key),
    /// Send a heartbeat to this controller.
    Heartbeat(usize, Box<Heartbeat>),
}

/// What is on disk of an attempt.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Known {
    /// Its devices, by kind and name.
    pub units: Vec<(String, String)>,
    /// How it ended; none: it may still run.
    pub ended: Option<Ending>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ending {
    /// Why.
    pub why: ExitReason,
    /// Whether its progress was kept.
    pub kept: bool,
}

/// What was found after a start of the agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The highest fencing token seen.
    pub fencing_token: FencingToken,
    /// The last incarnation.
    pub incarnation: Incarnation,
    /// Ticks below this may have been used.
    pub sequence: u64,
    /// Attempts that were taken on and not forgotten.
    pub tasks: BTreeMap<Key, Known>,
    /// Attempts of an ended incarnation that are not known to be gone.
    pub dying: BTreeSet<Key>,
    /// Attempts that the last incarnation was told to forget.
    pub forgotten: ForgottenAttempts,
    /// Needs of those that still run.
    pub needs: BTreeMap<Key, Needs>,
    /// Tasks whose result was reached on this machine.
    pub results: BTreeSet<String>,
    /// When the last answered heartbeat was sent; none: not since the machine
    /// started.
    pub answered: Option<Time>,
}

/// The outcome of a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// 200.
    Reply(Reply),
    /// 421 with a controller's name, if it named one.
    Elsewhere(Option<String>),
    /// Any other status, or none.
    None,
}

/// What an answer to a direct command or to `GET /status` is, and what has to be done
/// for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reaction {
    /// The answer.
    pub outcome: CommandOutcome,
    /// What has to be carried out first, in this order.
    pub actions: Vec<Action>,
}

/// One attempt, as those see it who look at the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptState<'a> {
    /// Which attempt.
    pub key: &'a Key,
    /// Its phase.
    pub phase: TaskPhase,
    /// Why it ended, once it has.
    pub exit_reason: Option<ExitReason>,
}

/// What a direct command is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// The heartbeat.
    Heartbeat {
        /// The commands were carried out; else they are refused with 409.
        taken: bool,
        /// What the machine is now.
        heartbeat: Box<Heartbeat>,
    },
    /// Tasks of an ended incarnation are still being killed: nothing may be said
    /// of what is here.
    NotNow,
}
