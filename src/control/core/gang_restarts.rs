//! Gangs that lost a task: all their tasks are stopped, and then placed anew together.

use std::collections::BTreeSet;

use super::Core;
use crate::types::{JobId, Kind, Time};

/// Jobs that lost a claim, or were found in the records: a gang among them may be broken.
#[derive(Default)]
pub(super) struct JobsToCheck {
    jobs: BTreeSet<JobId>,
}

impl JobsToCheck {
    /// A job is looked at with the next check.
    pub(super) fn add(&mut self, job: JobId) {
        self.jobs.insert(job);
    }

    /// The jobs to look at now, by name.
    fn take(&mut self) -> BTreeSet<JobId> {
        std::mem::take(&mut self.jobs)
    }
}

impl Core {
    /// A gang runs as one: if a task of it is lost before it was done, the
    /// others are stopped, and it is placed anew once they have ended too.
    pub(super) fn restart_broken_gangs(&mut self, now: Time) {
        for id in self.gangs_to_check.take() {
            if self.is_broken_gang(&id) && !self.cluster_state.stop_gang(&id).is_empty() {
                tracing::info!(job = %id, "gang lost a task; restarting it");
                self.settle_stopped(&id, now);
            }
        }
    }

    /// Whether a job is a gang of which some tasks are claimed and others are not.
    fn is_broken_gang(&self, id: &JobId) -> bool {
        self.cluster_state.job(id).is_some_and(|j| {
            j.spec.kind == Kind::Gang
                && !j.cancelled
                && j.tasks.pending() > 0
                && !j.tasks.claims().is_empty()
        })
    }
}
