//! The limit on jobs with claims that wait to be recorded. Claims made faster than the state
//! service can record them only block capacity.

use std::collections::BTreeSet;

use sorrelhinge_sharding::fair;

use super::{ClusterState, Job};
use crate::types::{JobId, Priority, TaskId};

impl ClusterState {
    /// Returns whether a task of a job may be claimed now. Refuses the claim if the
    /// job's priority is blocked and its team is at its guarantee, if another task is testing
    /// whether the job is faulty, or if idle work is at its limit. Also refuses the claim if
    /// too many jobs have claims that wait to be recorded. This limit is twice as high for
    /// jobs whose users wait for the start.
    pub(super) fn may_claim(&self, id: &JobId, job: &Job) -> bool {
        if job.open() == 0 || self.idle_limit_reached(job) {
            return false;
        }
        if self.blocked_rank == Some(job.priority) {
            let team = &self.teams[job.team];
            if !(team.used + job.spec.each).fits_team(team.guarantee) {
                return false;
            }
        }
        let claims = self.claiming.len();
        let idle = job.priority == Priority::Idle;
        self.max_claiming.is_none_or(|all| {
            // A large number of idle jobs leaves half of the limit to other jobs.
            let max = if idle { all / 2 } else { all };
            let of_sort = self.claiming_of.get(&job.sort()).copied().unwrap_or(0);
            claims < max
                || job.start_within.is_some() && claims < 2 * max
                || job.lane.is_some() && 2 * claims < 3 * max
                || of_sort < fair::floor(all)
                || self.claiming.contains(id)
        })
    }

    /// Returns whether the number of jobs with unrecorded claims has reached the limit.
    pub fn claims_bind(&self) -> bool {
        self.max_claiming
            .is_some_and(|max| self.claiming.len() >= max)
    }

    /// Returns the lowest priority among jobs with tasks to place, or `None` unless jobs of at
    /// least two priorities wait.
    pub fn lowest_of_ranks(&self) -> Option<Priority> {
        let ranks: BTreeSet<Priority> = self.jobs_to_place().map(|(_, j)| j.priority).collect();
        ranks.first().copied().filter(|_| ranks.len() > 1)
    }

    /// Counts a job as having claims that wait to be recorded.
    pub(super) fn claims_wait(&mut self, id: &JobId) {
        let Some(sort) = self.jobs.get(id).map(Job::sort) else {
            return;
        };
        if self.claiming.insert(id.clone()) {
            *self.claiming_of.entry(sort).or_insert(0) += 1;
        }
    }

    /// Counts a job as having no more claims that wait to be recorded.
    pub fn claimed_all(&mut self, id: &JobId) {
        if !self.claiming.remove(id) {
            return;
        }
        let Some(sort) = self.jobs.get(id).map(Job::sort) else {
            return;
        };
        if let Some(n) = self.claiming_of.get_mut(&sort) {
            *n -= 1;
            if *n == 0 {
                self.claiming_of.remove(&sort);
            }
        }
    }

    /// Gives a claim that is not recorded yet a new attempt number, as another task has taken
    /// the old number in the meantime.
    pub fn renumber(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let attempt = job.tasks.take_attempt(task.index);
            if let Some(claim) = job.tasks.claim_mut(task.index) {
                claim.attempt = attempt;
            }
        }
    }
}
