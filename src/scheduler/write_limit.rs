//! How many claims may wait to be recorded, and whose: what is claimed faster than the
//! state service takes it only blocks capacity.

use std::collections::BTreeSet;

use sorrelhinge_sharding::fair;

use super::{ClusterState, Job};
use crate::types::{JobId, Priority, TaskId};

impl ClusterState {
    /// Whether a task of a job may be claimed now: not while its rank is blocked
    /// back, another task shows whether the job is mistaken, nor before others' claims
    /// are recorded. Those whose users wait for the start may be twice as many.
    pub(super) fn may_claim(&self, id: &JobId, job: &Job) -> bool {
        if job.open() == 0 || self.idle_is_full(job) {
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
            // A swarm of idle jobs leaves half of it to others.
            let max = if idle { all / 2 } else { all };
            let of_sort = self.claiming_of.get(&job.sort()).copied().unwrap_or(0);
            claims < max
                || job.start_within.is_some() && claims < 2 * max
                || job.lane.is_some() && 2 * claims < 3 * max
                || of_sort < fair::floor(all)
                || self.claiming.contains(id)
        })
    }

    /// Whether as many claims wait to be recorded as may.
    pub fn claims_bind(&self) -> bool {
        self.max_claiming
            .is_some_and(|max| self.claiming.len() >= max)
    }

    /// The lowest rank that waits, if others wait too.
    pub fn lowest_of_ranks(&self) -> Option<Priority> {
        let ranks: BTreeSet<Priority> = self.jobs_to_place().map(|(_, j)| j.priority).collect();
        ranks.first().copied().filter(|_| ranks.len() > 1)
    }

    /// Claims of a job wait to be recorded.
    pub(super) fn claims_wait(&mut self, id: &JobId) {
        let Some(sort) = self.jobs.get(id).map(Job::sort) else {
            return;
        };
        if self.claiming.insert(id.clone()) {
            *self.claiming_of.entry(sort).or_insert(0) += 1;
        }
    }

    /// None of a job's claims waits to be recorded any more.
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

    /// A claim that is not recorded yet takes another attempt number: the one it
    /// has was given to another task meanwhile.
    pub fn renumber(&mut self, task: &TaskId) {
        if let Some(job) = self.jobs.get_mut(&task.job) {
            let attempt = job.tasks.take_attempt(task.index);
            if let Some(claim) = job.tasks.claim_mut(task.index) {
                claim.attempt = attempt;
            }
        }
    }
}
