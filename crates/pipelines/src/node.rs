//! A job in the dependency graph.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::{JobId, Priority};

use crate::urgency::Urgency;

/// Urgency of a job whose record was not read. This value raises no other job's urgency.
const UNKNOWN: Urgency = Urgency {
    priority: Priority::Idle,
    finish_ms: None,
};

/// A job that depends on other jobs or that other jobs depend on.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Whether the job's record was read. If not, only a dependent's record, which was read
    /// first, names the job.
    pub record_seen: bool,
    /// Whether the job is cancelled, by its own record or with one of its dependencies. A
    /// cancelled job stays cancelled.
    pub cancelled: bool,
    /// Dependencies of the job that are not done.
    pub unmet: BTreeSet<JobId>,
    /// Unix time in milliseconds at which the latest of the job's finished dependencies
    /// was done; 0 if none is done.
    pub ready_ms: u64,
    /// Open jobs that depend on this job.
    pub dependents: BTreeSet<JobId>,
    /// Urgency that the job's own record gives, without that of its dependents.
    pub own: Urgency,
    /// Urgency of the job, joined with the urgency that it inherits from its dependents.
    pub urgency: Urgency,
    /// Run time of the job in milliseconds, as its user estimates it.
    pub run_ms: i64,
}

impl Node {
    /// Creates a node for a job that another record names and whose own record was not read.
    pub(crate) fn unknown() -> Self {
        Self {
            record_seen: false,
            cancelled: false,
            unmet: BTreeSet::new(),
            ready_ms: 0,
            dependents: BTreeSet::new(),
            own: UNKNOWN,
            urgency: UNKNOWN,
            run_ms: 0,
        }
    }

    /// Returns the urgency that the job's dependencies inherit from it, or `None` if the job
    /// is cancelled or its record was not read.
    pub(crate) fn urgency_for_dependencies(&self) -> Option<Urgency> {
        let open = self.record_seen && !self.cancelled;
        open.then(|| self.urgency.for_dependencies(self.run_ms))
    }
}
