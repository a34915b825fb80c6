//! Quotas: the limits of the teams, and the parts of a limit that are reserved for some of a
//! team's jobs.

use super::{ClusterState, Job, TeamLimits};
use crate::types::{Amount, Time};

impl ClusterState {
    /// Returns the most that a job's team may use once a task of the job starts. This is the
    /// team's limit less the capacity reserved for windows. For a job without a start
    /// objective, it is also less the part held back for jobs whose users wait for the start.
    pub(super) fn limit_to_start(&self, job: &Job) -> Amount {
        let limit = self.limit_for(job);
        match job.start_within {
            Some(_) => limit,
            None => limit - self.teams[job.team].held_back,
        }
    }

    /// Returns whether one more task of a job stays within its team's limit. The part held
    /// back for other jobs does not apply to a job that has waited for long. When it did, such
    /// jobs waited beside the unused part for as long as a constant load lasted
    /// (`tests/reservations.rs`).
    pub fn limit_allows(&self, job: &Job, now: Time) -> bool {
        let limit = if job.may_use_reserved_capacity(now) {
            self.limit_for(job)
        } else {
            self.limit_to_start(job)
        };
        job.spec.each.fits_team(limit - self.teams[job.team].used)
    }

    /// Holds back part of a team's limit for jobs whose users wait for the start.
    pub fn hold_back(&mut self, team: usize, amount: Amount) {
        self.teams[team].held_back = amount;
    }

    /// Sets this shard's slices of the limits and guarantees, in the order of the teams.
    pub fn set_limits(&mut self, parts: impl Iterator<Item = TeamLimits>) {
        for (team, part) in self.teams.iter_mut().zip(parts) {
            team.limit = part.limit;
            team.guarantee = part.guarantee;
        }
    }

    /// Returns the amounts that the pending tasks need, by team.
    pub fn demands(&self) -> &[Amount] {
        &self.demand
    }

    /// Returns the limit of a job's team, less the amount reserved for windows of other work
    /// of the team. Reserved amounts count in the limit, whether or not machines are available
    /// for them.
    pub(super) fn limit_for(&self, job: &Job) -> Amount {
        let mut limit = self.teams[job.team].limit;
        for reserved in self.reservations.by_window.values() {
            if reserved.reservation.team == job.team && !reserved.is_for(job.team, &job.spec) {
                limit -= reserved.open_amount();
            }
        }
        limit
    }

    /// Returns the amount reserved for windows in each team's limit, without the amount in use.
    pub fn reserved_of_quotas(&self) -> Vec<Amount> {
        let mut totals = vec![Amount::default(); self.teams.len()];
        for reserved in self.reservations.by_window.values() {
            totals[reserved.reservation.team] += reserved.open_amount();
        }
        totals
    }
}
