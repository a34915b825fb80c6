//! Jobs that failed on one machine, and what that says of the machine.

use std::collections::BTreeSet;

use crate::types::{JobId, Time};

/// A machine is not used for so long for each job that failed there, in seconds.
const SHUNNED_S: f64 = 20.0;

/// Failures that are held against a machine.
#[derive(Debug)]
pub(super) struct FailedJobs {
    jobs: BTreeSet<JobId>,
    /// The machine is not used until then.
    quarantined_until: Time,
}

impl FailedJobs {
    /// Nothing failed there yet.
    pub(super) fn none() -> Self {
        Self {
            jobs: BTreeSet::new(),
            quarantined_until: Time(0.0),
        }
    }

    /// A job failed there: the machine is not used for a while, the longer the more jobs
    /// did.
    pub(super) fn add(&mut self, job: &JobId, now: Time) {
        self.jobs.insert(job.clone());
        self.quarantined_until = now.after(SHUNNED_S * self.jobs.len() as f64);
    }

    /// Whether the machine is not to be used now.
    pub(super) fn is_shunned(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// The jobs that failed there, by name.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter()
    }

    /// A task had its result there: no failure is held against the machine; a pause that
    /// has begun goes on.
    pub(super) fn succeeded(&mut self) {
        self.jobs.clear();
    }

    /// A job's failures are not held against the machine any more.
    pub(super) fn forgive(&mut self, job: &JobId) {
        if self.jobs.remove(job) && self.jobs.is_empty() {
            self.quarantined_until = Time(0.0);
        }
    }
}
