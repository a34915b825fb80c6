//! Queue order of jobs that have waited too long to begin, and of jobs whose objectives
//! have passed.

use super::queue::QueuePosition;
use super::{ClusterState, Job};
use crate::types::{Amount, JobId, Time};

/// Wait in seconds after which a job ages if it has not begun, which means that not all the
/// tasks that its team's limit allows at once are placed. An aged job goes before all other
/// jobs of its team except production jobs. The users' rule is that even the largest jobs
/// begin within four minutes.
const AGING_WAIT_S: f64 = 150.0;
/// Largest part of its team's limit that an aged job may use before it loses its
/// precedence.
const AGED_LIMIT_SHARE: f64 = 0.5;
impl ClusterState {
    /// Updates the due time and the aging of every queued job, and reorders the queues to
    /// match. Jobs whose objectives have passed give way to jobs that can still meet
    /// theirs, until they have waited so long that no job may overtake them. The paper's
    /// section 3 leaves the order within a team open.
    pub fn refresh_due_times(&mut self, now: Time) {
        let moved: Vec<(QueuePosition, Time, bool)> = self
            .queues
            .iter()
            .flatten()
            .filter_map(|position| {
                let job = self.jobs.get(&position.id)?;
                let (due, aged) = (job.due_now(now), self.is_aged(job, now));
                ((due, aged) != (job.due, job.aged)).then(|| (position.clone(), due, aged))
            })
            .collect();
        for (position, due, aged) in moved {
            if let Some(job) = self.jobs.get_mut(&position.id) {
                self.queues[job.team].remove(&position);
                (job.due, job.aged) = (due, aged);
                self.queues[job.team].insert(job.queue_position(&position.id));
            }
        }
    }

    /// Returns how many tasks of a job fit into its team's whole limit at once.
    fn max_concurrent_tasks(&self, job: &Job) -> u32 {
        let limit = self.teams[job.team].limit;
        // Team limits don't cover memory.
        let each = Amount {
            ram: 0,
            ..job.spec.each
        };
        let max = each.how_many(limit).max(1);
        job.spec.tasks.min(max)
    }

    /// Returns whether a job has begun. A job has begun once as many of its tasks as its
    /// team's limit allows at once are placed or done. Tasks that were preempted have to
    /// begin again: in their usual turn they did so only after 540 s.
    fn has_begun(&self, job: &Job) -> bool {
        job.tasks.claims().len() as u32 + job.tasks.done() >= self.max_concurrent_tasks(job)
    }

    /// Returns whether a job has waited too long to begin, so that no other job may
    /// overtake it. Without aging, jobs that arrive later delay a job whose deadline can't
    /// be met again and again, and all jobs of a higher priority delay one of a lower
    /// priority. On a day of bursts such jobs began after 344 to 517 s. Aging stops at
    /// [`AGED_LIMIT_SHARE`] of the team's limit, because an array of hours never has all
    /// its tasks placed and would block all other work of the team.
    fn is_aged(&self, job: &Job, now: Time) -> bool {
        let used = job.spec.each.times(job.tasks.claims().len() as i64);
        now.since(job.submitted) >= AGING_WAIT_S
            && !self.has_begun(job)
            && used.cpu as f64 <= AGED_LIMIT_SHARE * self.teams[job.team].limit.cpu as f64
    }

    /// Updates the aging of a job after one of its tasks was placed. An aged job returns to
    /// its usual turn once it has begun or uses more than its share of the team's limit.
    pub(super) fn refresh_aging(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id).filter(|j| j.aged) else {
            return;
        };
        if !self.is_aged(job, now) {
            self.refile(id, |job| job.aged = false);
        }
    }
}
