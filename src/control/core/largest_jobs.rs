//! What the log says of the largest jobs of each class; which they are is
//! decided in [`sorrelhinge_sharding::largest_jobs`].

use std::fmt;

use sorrelhinge_sharding::largest_jobs::BEGIN_WITHIN_S;

use super::log_format::tenths;
use super::Core;
use crate::types::{JobId, Time};

/// What the log says of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobEvent {
    /// It came, or was found by this owner.
    Arrived,
    /// Its first task was placed.
    Begun,
    /// It has waited for too long.
    Late,
    /// It is done.
    Done,
    /// It was cancelled.
    Cancelled,
}

impl fmt::Display for JobEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Arrived => "came",
            Self::Begun => "begun",
            Self::Late => "late",
            Self::Done => "done",
            Self::Cancelled => "cancelled",
        })
    }
}

impl Core {
    /// A job came, or was found by this owner.
    pub(super) fn largest_arrived(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cpu = job.spec.each.times(i64::from(job.spec.tasks)).cpu;
        let (class, _) = job.sort();
        let begun = job.started;
        if self.largest_jobs.came(id, &class, cpu) {
            // When it began was logged by the owner that placed it.
            let event = if begun {
                JobEvent::Begun
            } else {
                JobEvent::Arrived
            };
            self.log_largest_job(id, event, None, now);
        }
    }

    /// A job's first task was placed here, after so many seconds.
    pub(super) fn largest_began(&self, id: &JobId, wait_s: f64, now: Time) {
        if self.largest_jobs.is(id) {
            self.log_largest_job(id, JobEvent::Begun, Some(wait_s), now);
        }
    }

    /// A job is over.
    pub(super) fn largest_over(&mut self, id: &JobId, event: JobEvent, now: Time) {
        if self.largest_jobs.over(id) {
            self.log_largest_job(id, event, None, now);
        }
    }

    /// Those that have waited for too long, once each: if the log ends before
    /// they begin, nothing else would say so.
    pub(super) fn largest_late(&mut self, now: Time) {
        let waits = self
            .cluster_state
            .jobs_to_place()
            .filter(|(_, j)| !j.started);
        let late = waits
            .filter(|(id, j)| self.largest_jobs.is(id) && now.since(j.submitted) > BEGIN_WITHIN_S);
        let late: Vec<JobId> = late.map(|(id, _)| id.clone()).collect();
        for id in late {
            if self.largest_jobs.late(&id) {
                self.log_largest_job(&id, JobEvent::Late, None, now);
            }
        }
    }

    /// Says in the log what became of a job. `began_s`: how long it waited for that.
    fn log_largest_job(&self, id: &JobId, event: JobEvent, began_s: Option<f64>, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cpu = job.spec.each.times(i64::from(job.spec.tasks)).cpu;
        let (class, team) = job.sort();
        tracing::info!(
            shard = %self.scope.shard,
            %class,
            %team,
            job = %id,
            cpus = cpu as f64 / 1000.0,
            state = %event,
            began_s = began_s.map(tenths),
            age_s = tenths(now.since(job.submitted)),
            "largest"
        );
    }
}
