//! One job of the graph.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::{JobId, Priority};

use crate::urgency::Urgency;

/// What nobody knows of yet passes on nothing.
const UNKNOWN: Urgency = Urgency {
    priority: Priority::Idle,
    finish_ms: None,
};

/// One job that waits for others, or that others wait for.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    /// Its record was seen. Else it was only named, by a record that was read first.
    pub known: bool,
    /// By its own record, or with a job that it needs. Final.
    pub cancelled: bool,
    /// The jobs that it needs and that are not done.
    pub unmet: BTreeSet<JobId>,
    /// When the last of the others became done, in milliseconds of the time of day.
    pub ready_ms: u64,
    /// Open jobs that need it.
    pub dependents: BTreeSet<JobId>,
    /// Its own urgency.
    pub own: Urgency,
    /// With what it inherits.
    pub urgency: Urgency,
    /// What its run takes, by its owner's estimate.
    pub run_ms: i64,
}

impl Node {
    /// A job that was named and not seen.
    pub(crate) fn unknown() -> Self {
        Self {
            known: false,
            cancelled: false,
            unmet: BTreeSet::new(),
            ready_ms: 0,
            dependents: BTreeSet::new(),
            own: UNKNOWN,
            urgency: UNKNOWN,
            run_ms: 0,
        }
    }

    /// What it passes on to the jobs that it needs: nothing once it is cancelled.
    pub(crate) fn passes_on(&self) -> Option<Urgency> {
        let open = self.known && !self.cancelled;
        open.then(|| self.urgency.passed_on(self.run_ms))
    }
}
