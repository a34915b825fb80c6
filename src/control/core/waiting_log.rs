//! Logs why jobs wait.

use std::collections::BTreeMap;

use super::Core;
use crate::scheduler::Job;
use crate::types::{JobId, Kind, Time};

/// Minimum interval between two log lines about the wait of the same job, in seconds.
const LOG_INTERVAL_S: f64 = 60.0;
/// Time that a job has to wait before the log gives the reason, in seconds.
const MIN_WAIT_BEFORE_LOG_S: f64 = 15.0;

/// Time at which the log last gave the reason for each job's wait.
#[derive(Default)]
pub(super) struct WaitingLog {
    logged_at: BTreeMap<JobId, Time>,
}

impl WaitingLog {
    /// Removes the jobs whose last log line is so old that the log may repeat why they wait.
    fn expire(&mut self, now: Time) {
        self.logged_at
            .retain(|_, at| now.since(*at) < LOG_INTERVAL_S);
    }

    /// Returns whether the log gave the reason for a job's wait within `LOG_INTERVAL_S` before the
    /// last call of [`Self::expire`].
    fn is_recent(&self, job: &JobId) -> bool {
        self.logged_at.contains_key(job)
    }

    /// Records that the log now shows why a job waits.
    fn logged(&mut self, job: JobId, now: Time) {
        self.logged_at.insert(job, now);
    }
}

impl Core {
    /// Logs why a job waits. Each call writes a line for at most one job. A job gets at most one
    /// line a minute.
    pub(super) fn log_waiting_jobs(&mut self, now: Time) {
        // Only clusters with a topology log these lines.
        if self.cluster_state.topology().is_none() {
            return;
        }
        self.waiting_log.expire(now);
        let Some(id) = self.next_waiting_to_log(now) else {
            return;
        };
        if let Some(why) = self.cluster_state.why_waits(&id, now) {
            let why = why.to_string();
            tracing::info!(job = %id, why, "job unschedulable");
        }
        self.waiting_log.logged(id, now);
    }

    /// Returns the first job that has waited for long and whose reason was not logged recently.
    fn next_waiting_to_log(&self, now: Time) -> Option<JobId> {
        let mut waiting = self.cluster_state.jobs_to_place();
        let to_log = waiting.find(|(id, job)| {
            waits_for_long(job, now) && is_constrained(job) && !self.waiting_log.is_recent(id)
        });
        to_log.map(|(id, _)| id.clone())
    }
}

/// Returns whether a job has waited so long that the log gives the reason.
fn waits_for_long(job: &Job, now: Time) -> bool {
    job.blocked_since
        .is_some_and(|t| now.since(t) > MIN_WAIT_BEFORE_LOG_S)
}

/// Returns whether a job needs more than free capacity: certain domains, or capacity for all of
/// its tasks at once.
fn is_constrained(job: &Job) -> bool {
    !job.policy.is_empty() || job.spec.kind == Kind::Gang
}
