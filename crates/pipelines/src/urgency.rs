//! Urgency of a job: its own, and that which it inherits from the jobs that depend on it.

use sorrelhinge_protocol::types::Priority;

/// Priority of a job and the latest time at which the job must be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Urgency {
    /// Priority of the job; a dependency inherits the highest of its dependents.
    pub priority: Priority,
    /// Latest finish of the job as Unix time in milliseconds, or `None` if the job has no
    /// deadline.
    pub finish_ms: Option<i64>,
}

impl Urgency {
    /// Returns the urgency that a job with a run time of `run_ms` passes to its dependencies.
    /// Their latest finish is `run_ms` earlier, so that the job still meets its own.
    pub fn for_dependencies(self, run_ms: i64) -> Self {
        Self {
            finish_ms: self.finish_ms.map(|finish| finish.saturating_sub(run_ms)),
            ..self
        }
    }

    /// Returns the higher priority and the earlier finish of the two urgencies.
    pub fn most_urgent(self, other: Self) -> Self {
        Self {
            priority: self.priority.max(other.priority),
            finish_ms: match (self.finish_ms, other.finish_ms) {
                (Some(one), Some(other)) => Some(one.min(other)),
                (one, other) => one.or(other),
            },
        }
    }
}
