//! Drains of machines and domains: which task to move off a draining machine next, and when
//! to stop tasks without waiting.

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::Kind;

use crate::tree::{Domain, Tree};

/// Machine or failure domain that an operator drains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// A failure domain, named by its path in the tree.
    Domain(String),
    /// A single machine, named by its id.
    Machine(String),
}

impl std::fmt::Display for Target {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Domain(path) => f.write_str(path),
            Self::Machine(name) => f.write_str(name),
        }
    }
}

impl Target {
    /// Returns whether this drain target includes a machine.
    ///
    /// A machine whose place is known only above the target's level is not included, because it
    /// may be outside the target.
    pub fn covers(&self, tree: &Tree, place: Domain, machine: &str) -> bool {
        match self {
            Self::Machine(name) => name == machine,
            Self::Domain(path) => tree.find(path).is_some_and(|d| tree.covers(d, place)),
        }
    }
}

fn one() -> u32 {
    1
}

/// A drain as the state service keeps it, in format version 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Version of the record's format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Machine or failure domain that is drained.
    #[serde(rename = "what")]
    pub target: Target,
    /// Wall-clock time at which the drain started, in milliseconds.
    #[serde(rename = "t")]
    pub started_ms: u64,
    /// Wall-clock time in milliseconds after which the drain stops all remaining tasks.
    #[serde(rename = "end")]
    pub deadline_ms: u64,
    /// Maximum number of replicas of one job that the drain may have down at the same time.
    #[serde(default = "one")]
    pub away: u32,
    /// Whether machines stay rented after the drain has emptied them.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keep: bool,
}

impl Drain {
    /// Version of the drain record's format that this program writes.
    pub const VERSION: u32 = 1;

    /// Returns the seconds until the drain stops all remaining tasks.
    pub fn left_s(&self, wall_ms: u64) -> f64 {
        self.deadline_ms.saturating_sub(wall_ms) as f64 / 1000.0
    }
}

/// A task on a draining machine, with what decides whether it is stopped or moved.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// Kind of the task's job: array, service or gang.
    pub kind: Kind,
    /// Whether the task runs. Otherwise, it waits for its image or for its start.
    pub running: bool,
    /// Whether a stop command was already sent to the task.
    pub stopping: bool,
    /// Estimated seconds until the task ends, or `None` if it does not end by itself.
    pub left_s: Option<f64>,
    /// Number of tasks of the same job that do not run, on any machine.
    pub away: u32,
}

/// Action that a drain takes on one task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The drain takes no action on the task for now.
    Wait,
    /// The drain prepares a place on another machine, then stops the task.
    Move,
    /// The drain stops the task at once, without a place on another machine.
    Stop,
}

/// Ratio of a task's estimated remaining time to the drain's remaining time above which the
/// drain stops the task at once.
///
/// Such a task would not finish before the deadline, and its work until then would be lost.
/// The factor allows for estimates, which are often wrong by half.
const STOP_ESTIMATE_FACTOR: f64 = 2.0;

/// Returns the action for one task, `left_s` seconds before the drain's deadline.
pub fn step(drain: &Drain, tenant: &Tenant, left_s: f64) -> Step {
    if tenant.stopping {
        return Step::Wait;
    }
    if left_s <= 0.0 {
        return Step::Stop;
    }
    match tenant.kind {
        Kind::Service if !tenant.running => Step::Stop,
        Kind::Service if tenant.away < drain.away => Step::Move,
        Kind::Service => Step::Wait,
        // The task has not started, so it loses no work by starting on another machine.
        Kind::Array if !tenant.running => Step::Stop,
        Kind::Array | Kind::Gang => match tenant.left_s {
            Some(needs) if needs > STOP_ESTIMATE_FACTOR * left_s => Step::Stop,
            _ => Step::Wait,
        },
    }
}

/// Progress of a drain, as counts of machines and tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Number of machines that the drain covers.
    pub machines: u32,
    /// Number of machines covered by the drain that have no tasks.
    pub empty: u32,
    /// Number of tasks that are still on machines covered by the drain.
    pub tasks: u32,
    /// Number of tasks on machines covered by the drain that are being stopped.
    pub stopping: u32,
}

impl Progress {
    /// Returns whether no task is left on the machines that the drain covers.
    pub fn done(&self) -> bool {
        self.tasks == 0
    }
}
