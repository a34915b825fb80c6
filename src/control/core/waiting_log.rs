//! Why jobs wait, for the log.

use std::collections::BTreeMap;

use super::Core;
use crate::scheduler::Job;
use crate::types::{JobId, Kind, Time};

/// How often the log says why the same job waits, in seconds.
const LOG_INTERVAL_S: f64 = 60.0;
/// A job is logged only after it has waited for this long, in seconds.
const LOG_AFTER_S: f64 = 15.0;

/// When each waiting job was last logged.
#[derive(Default)]
pub(super) struct WaitingLog {
    logged_at: BTreeMap<JobId, Time>,
}

impl WaitingLog {
    /// Forgets the jobs that may be logged again.
    fn expire(&mut self, now: Time) {
        self.logged_at
            .retain(|_, at| now.since(*at) < LOG_INTERVAL_S);
    }

    /// Whether a job was logged of late, as of the last expiry.
    fn is_recent(&self, job: &JobId) -> bool {
        self.logged_at.contains_key(job)
    }

    /// A job is logged now.
    fn logged(&mut self, job: JobId, now: Time) {
        self.logged_at.insert(job, now);
    }
}

impl Core {
    /// Says in the log why a job waits: one job a call, each job once a minute.
    pub(super) fn log_waiting_jobs(&mut self, now: Time) {
        // Only clusters with a topology have these lines.
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

    /// The first job that has waited for long and was not logged of late.
    fn next_waiting_to_log(&self, now: Time) -> Option<JobId> {
        let mut waiting = self.cluster_state.jobs_to_place();
        let to_log = waiting.find(|(id, job)| {
            waits_for_long(job, now) && is_constrained(job) && !self.waiting_log.is_recent(id)
        });
        to_log.map(|(id, _)| id.clone())
    }
}

/// Whether a job has waited for so long that the log says why.
fn waits_for_long(job: &Job, now: Time) -> bool {
    job.blocked_since
        .is_some_and(|t| now.since(t) > LOG_AFTER_S)
}

/// Whether a job waits for more than free capacity: for certain places, or for all of its
/// tasks' places at once.
fn is_constrained(job: &Job) -> bool {
    !job.policy.is_empty() || job.spec.kind == Kind::Gang
}
