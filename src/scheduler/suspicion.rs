//! Suspicion that a job is faulty because its tasks fail wherever they run. A suspected job tests
//! itself with a few tasks at a time, so that it costs only an occasional start.
//!
//! The suspicion ends with a task that succeeds. It must not stop the work that ends it: tasks are
//! still placed and machines are still rented for the tests, and the number of tests grows while
//! none of them fails.

use super::ClusterState;
use crate::types::{JobId, Time};

/// Time in seconds without a placement of a suspected job and without a failure after which the job
/// may run twice as many tasks. A task that runs for so long is no sign of a fault.
const TEST_INTERVAL_S: f64 = 40.0;

/// Suspicion that a job is faulty.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Suspicion {
    /// Number of tasks that may be claimed at once.
    max_claims: u32,
    /// Time of the last failure, or of the takeover after which the job is suspected.
    since: Time,
}

impl Suspicion {
    /// Creates a suspicion that begins now. It allows one task at a time. When each test started
    /// all tasks, hundreds of them came back at a time.
    pub fn new(now: Time) -> Self {
        Self {
            max_claims: 1,
            since: now,
        }
    }

    /// Returns how many of `pending` tasks may be placed while `claims` tasks are claimed.
    pub fn open(self, pending: u32, claims: u32) -> u32 {
        pending.min(self.max_claims.saturating_sub(claims))
    }

    /// Returns whether more tasks may be tested. `last_placed` is the time of the job's last
    /// placement.
    fn may_extend(self, last_placed: Option<Time>, now: Time) -> bool {
        let placed_s = last_placed.map_or(f64::INFINITY, |at| now.since(at));
        now.since(self.since).min(placed_s) >= TEST_INTERVAL_S
    }

    /// Allows twice as many tasks as are claimed.
    fn extend(&mut self, claims: u32) {
        self.max_claims = claims.saturating_mul(2).max(1);
    }
}

impl ClusterState {
    /// Lets suspected jobs start more tasks whose tests have run for a while without a failure.
    pub fn extend_tests(&mut self, now: Time) {
        let due: Vec<JobId> = self
            .jobs_to_place()
            .filter(|(_, job)| {
                let suspicion = job.suspicion.filter(|_| job.open() == 0);
                suspicion.is_some_and(|s| s.may_extend(job.last_placed, now))
            })
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.edit_job(&id, |job| {
                let claims = job.tasks.claims().len() as u32;
                if let Some(suspicion) = &mut job.suspicion {
                    suspicion.extend(claims);
                }
            });
        }
    }
}
