//! Log lines about the largest jobs of each class. [`sorrelhinge_sharding::largest_jobs`]
//! decides which jobs these are.

use std::fmt;

use sorrelhinge_sharding::largest_jobs::BEGIN_WITHIN_S;

use super::log_format::tenths;
use super::Core;
use crate::types::{JobId, Time};

/// Event of a job, as the log prints it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum JobEvent {
    /// The job arrived, or this owner found it in the records.
    Arrived,
    /// The job's first task was placed.
    Begun,
    /// The job has waited longer than [`BEGIN_WITHIN_S`] for its first task.
    Late,
    /// The job is done.
    Done,
    /// The job was cancelled.
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
    /// Logs a job that arrived or that this owner found in the records, if it is among the
    /// largest.
    pub(super) fn log_largest_arrived(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cpu = job.spec.each.times(i64::from(job.spec.tasks)).cpu;
        let (class, _) = job.sort();
        let begun = job.started;
        if self.largest_jobs.came(id, &class, cpu) {
            // The log states here only that the job has begun. The owner that placed the job's
            // first task has logged when the job began.
            let event = if begun {
                JobEvent::Begun
            } else {
                JobEvent::Arrived
            };
            self.log_largest_job(id, event, None, now);
        }
    }

    /// Logs that the first task of a largest job was placed here after `wait_s` seconds.
    pub(super) fn log_largest_began(&self, id: &JobId, wait_s: f64, now: Time) {
        if self.largest_jobs.is(id) {
            self.log_largest_job(id, JobEvent::Begun, Some(wait_s), now);
        }
    }

    /// Logs that a largest job is over.
    pub(super) fn log_largest_over(&mut self, id: &JobId, event: JobEvent, now: Time) {
        if self.largest_jobs.over(id) {
            self.log_largest_job(id, event, None, now);
        }
    }

    /// Logs each largest job that has waited too long, once per job. If the log ends before such
    /// a job begins, no other line reports it.
    pub(super) fn log_largest_late(&mut self, now: Time) {
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

    /// Logs an event of a job. `began_s` is the number of seconds that the job waited for its
    /// first task.
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
