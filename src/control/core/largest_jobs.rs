//! What the log tells of the largest jobs of each class; which they are is
//! decided in [`sorrelhinge_blocks::largest`].

use sorrelhinge_blocks::largest_jobs::BEGIN_WITHIN_S;

use super::log_format::tenths;
use super::Core;
use crate::types::{JobId, Time};

impl Core {
    /// A job came, or was found by this owner.
    pub(super) fn largest_came(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cpu = job.spec.each.times(i64::from(job.spec.tasks)).cpu;
        let (class, _) = job.sort();
        let begun = job.started;
        if self.largest_jobs.came(id, &class, cpu) {
            // When it began was told by the owner that placed it.
            let state = if begun { "begun" } else { "came" };
            self.tell_largest(id, state, None, now);
        }
    }

    /// A job's first task was placed here, after so many seconds.
    pub(super) fn largest_began(&self, id: &JobId, wait_s: f64, now: Time) {
        if self.largest_jobs.is(id) {
            self.tell_largest(id, "begun", Some(wait_s), now);
        }
    }

    /// A job is over.
    pub(super) fn largest_over(&mut self, id: &JobId, state: &str, now: Time) {
        if self.largest_jobs.over(id) {
            self.tell_largest(id, state, None, now);
        }
    }

    /// Those that have waited for too long, once each: if the log ends before
    /// they begin, nothing else would tell.
    pub(super) fn largest_late(&mut self, now: Time) {
        let waits = self.cluster_state.wanting().filter(|(_, j)| !j.started);
        let late = waits
            .filter(|(id, j)| self.largest_jobs.is(id) && now.since(j.submitted) > BEGIN_WITHIN_S);
        let late: Vec<JobId> = late.map(|(id, _)| id.clone()).collect();
        for id in late {
            if self.largest_jobs.late(&id) {
                self.tell_largest(&id, "late", None, now);
            }
        }
    }

    fn tell_largest(&self, id: &JobId, state: &str, began_s: Option<f64>, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cpu = job.spec.each.times(i64::from(job.spec.tasks)).cpu;
        let (class, team) = job.sort();
        tracing::info!(
            block = %self.shard.block,
            %class,
            %team,
            job = %id,
            cpus = cpu as f64 / 1000.0,
            %state,
            began_s = began_s.map(tenths),
            age_s = tenths(now.since(job.submitted)),
            "largest"
        );
    }
}
