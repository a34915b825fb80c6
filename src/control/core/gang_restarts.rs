//! Restarts of gangs that lost a task: all their tasks are stopped, and then placed together
//! again.

use std::collections::BTreeSet;

use super::Core;
use crate::types::{JobId, Kind, Time};

/// Jobs that lost a claim or were found in the records. If such a job is a gang, it may be broken:
/// some of its tasks are claimed and others are pending.
#[derive(Default)]
pub(super) struct JobsToCheck {
    jobs: BTreeSet<JobId>,
}

impl JobsToCheck {
    /// Adds a job to the next check for broken gangs.
    pub(super) fn add(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    /// Removes and returns the jobs to check for broken gangs, ordered by name.
    fn take(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.jobs)
    }
}

impl Core {
    /// Stops the remaining tasks of each gang that lost a task before that task was done. The
    /// gang is placed again once all its tasks have ended.
    pub(super) fn restart_broken_gangs(&mut self, now: Time) {
        for id in self.gangs_to_check.take() {
            if self.is_broken_gang(&id) && !self.cluster_state.stop_gang(&id).is_empty() {
                tracing::info!(job = %id, "gang lost a task; restarting it");
                self.settle_stopped(&id, now);
            }
        }
    }

    /// Returns whether a job is a gang that has both claimed and pending tasks.
    fn is_broken_gang(&self, id: &JobId) -> bool {
        self.cluster_state.job(id).is_some_and(|j| {
            j.spec.kind == Kind::Gang
                && !j.cancelled
                && j.tasks.pending() > 0
                && !j.tasks.claims().is_empty()
        })
    }
}
