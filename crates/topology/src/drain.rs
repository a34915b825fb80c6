//! Drains: which task to move off a draining machine next, and when there is
//! no more waiting.

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::Kind;

use crate::tree::{Domain, Tree};

/// What drains.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Target {
    /// A domain, by its path.
    Domain(String),
    /// One machine.
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
    /// Whether a machine is to be drained. A machine whose place is not known
    /// below the target's level is not: nobody can say that it is there.
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

/// A drain, as recorded. Format version 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Version of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// What drains.
    #[serde(rename = "what")]
    pub target: Target,
    /// When it began, in milliseconds of the time of day.
    #[serde(rename = "t")]
    pub started_ms: u64,
    /// From then on nothing is waited for.
    #[serde(rename = "end")]
    pub deadline_ms: u64,
    /// The most replicas of a job that may be away at a time.
    #[serde(default = "one")]
    pub away: u32,
    /// Empty machines stay rented.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub keep: bool,
}

impl Drain {
    /// The version of the format that this program writes.
    pub const VERSION: u32 = 1;

    /// Seconds until nothing is waited for any more.
    pub fn left_s(&self, wall_ms: u64) -> f64 {
        self.deadline_ms.saturating_sub(wall_ms) as f64 / 1000.0
    }
}

/// A task on a draining machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Tenant {
    /// What its job is.
    pub kind: Kind,
    /// It runs; otherwise it waits for its image, or its start.
    pub running: bool,
    /// It has been sent a stop.
    pub stopping: bool,
    /// Estimated seconds until it ends, if it ever does.
    pub left_s: Option<f64>,
    /// Tasks of its job that don't run, wherever they should.
    pub away: u32,
}

/// What to do about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing now.
    Wait,
    /// Have a place ready elsewhere, then stop it.
    Move,
    /// Stop it now.
    Stop,
}

/// A task that will not nearly end in time is stopped at once, rather than
/// having worked in vain: its estimate must be this many times what is left,
/// as estimates are often wrong by half.
const STOP_ESTIMATE_FACTOR: f64 = 2.0;

/// What to do about one task, `left_s` seconds before the drain's deadline.
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
        // Not begun: nothing is lost by beginning elsewhere.
        Kind::Array if !tenant.running => Step::Stop,
        Kind::Array | Kind::Gang => match tenant.left_s {
            Some(needs) if needs > STOP_ESTIMATE_FACTOR * left_s => Step::Stop,
            _ => Step::Wait,
        },
    }
}

/// How far a drain is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Machines that it covers.
    pub machines: u32,
    /// Of these, how many are empty.
    pub empty: u32,
    /// Tasks still there.
    pub tasks: u32,
    /// Of these, how many are being stopped.
    pub stopping: u32,
}

impl Progress {
    /// Whether nothing is left there.
    pub fn done(&self) -> bool {
        self.tasks == 0
    }
}
