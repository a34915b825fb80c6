//! Jobs that failed on one machine, and the quarantine that follows for the machine.

use std::collections::BTreeSet;

use crate::types::{JobId, Time};

/// Seconds that a machine is quarantined for each job that failed there.
const QUARANTINE_S: f64 = 20.0;

/// Jobs whose failures count against one machine.
#[derive(Debug)]
pub(super) struct FailedJobs {
    jobs: BTreeSet<JobId>,
    /// End of the machine's quarantine.
    quarantined_until: Time,
}

impl FailedJobs {
    /// Returns the state of a machine on which no job has failed.
    pub(super) fn new() -> Self {
        Self {
            jobs: BTreeSet::new(),
            quarantined_until: Time(0.0),
        }
    }

    /// Records that a job failed on the machine, and quarantines the machine. The quarantine
    /// grows with the number of failed jobs.
    pub(super) fn add(&mut self, job: &JobId, now: Time) {
        self.jobs.insert(job.clone());
        self.quarantined_until = now.after(QUARANTINE_S * self.jobs.len() as f64);
    }

    /// Returns whether the machine is quarantined now.
    pub(super) fn is_quarantined(&self, now: Time) -> bool {
        now < self.quarantined_until
    }

    /// Returns the jobs that failed on the machine, ordered by name.
    pub(super) fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.iter()
    }

    /// Removes all failures, because a task had its result on the machine. A quarantine that has
    /// begun continues.
    pub(super) fn succeeded(&mut self) {
        self.jobs.clear();
    }

    /// Removes a job's failure. The machine's quarantine ends if no other job's failure remains.
    pub(super) fn remove(&mut self, job: &JobId) {
        if self.jobs.remove(job) && self.jobs.is_empty() {
            self.quarantined_until = Time(0.0);
        }
    }
}
