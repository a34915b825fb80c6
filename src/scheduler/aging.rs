//! Jobs that waited too long to begin, and jobs whose objectives have passed.

use super::queue::Place;
use super::{ClusterState, Job};
use crate::types::{Amount, JobId, Time};

/// A job that has not begun, with all tasks that its team's limit allows at once, for
/// so long, in seconds, goes before all others of its team but production: the users'
/// rule is that the largest jobs begin within four minutes, too.
const AGED_S: f64 = 150.0;
/// It has this part of its team's limit at most in this way.
const AGED_PART: f64 = 0.5;
impl ClusterState {
    /// Jobs whose objectives have passed give way to jobs that can still meet theirs
    /// (the paper's section 3 leaves the order within a team open), until they
    /// have waited for so long that nothing may pass them over.
    pub fn refresh_due_times(&mut self, now: Time) {
        let moved: Vec<(Place, Time, bool)> = self
            .queues
            .iter()
            .flatten()
            .filter_map(|place| {
                let job = self.jobs.get(&place.id)?;
                let (due, aged) = (job.due_now(now), self.is_aged(job, now));
                ((due, aged) != (job.due, job.aged)).then(|| (place.clone(), due, aged))
            })
            .collect();
        for (place, due, aged) in moved {
            if let Some(job) = self.jobs.get_mut(&place.id) {
                self.queues[job.team].remove(&place);
                (job.due, job.aged) = (due, aged);
                self.queues[job.team].insert(job.place(&place.id));
            }
        }
    }

    /// How many tasks of a job can be placed at once at most, with the team's
    /// whole limit to itself.
    fn at_once(&self, job: &Job) -> u32 {
        let limit = self.teams[job.team].limit;
        // Limits say nothing of memory.
        let each = Amount {
            ram: 0,
            ..job.spec.each
        };
        let max = each.how_many(limit).max(1);
        job.spec.tasks.min(max)
    }

    /// Whether a job has begun: as many of its tasks as its team's limit allows at
    /// once are placed or done. Tasks that were stopped for others are to begin
    /// anew: left to their usual turn, they did so after 540 s.
    fn has_begun(&self, job: &Job) -> bool {
        job.tasks.claims().len() as u32 + job.tasks.done() >= self.at_once(job)
    }

    /// Whether a job has waited for too long to begin, and nothing may pass it over
    /// any more. A deadline that can't be met is put off again and again by the jobs
    /// that come after it, and a lower rank by all of a higher one: on a day of
    /// bursts such jobs began after 344 to 517 s. It does not take more than
    /// [`AGED_PART`] of its team's limit so: an array of hours never has all its
    /// tasks placed, and would keep all other work of the team waiting.
    fn is_aged(&self, job: &Job, now: Time) -> bool {
        let used = job.spec.each.times(job.tasks.claims().len() as i64);
        now.since(job.submitted) >= AGED_S
            && !self.has_begun(job)
            && used.cpu as f64 <= AGED_PART * self.teams[job.team].limit.cpu as f64
    }

    /// A task of a job was placed: an aged one has its usual turn again once it has
    /// begun, or has its part.
    pub(super) fn check_whether_begun(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.jobs.get(id).filter(|j| j.aged) else {
            return;
        };
        if !self.is_aged(job, now) {
            self.refile(id, |job| job.aged = false);
        }
    }
}
