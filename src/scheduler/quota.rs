//! Quotas: what a team may use, and what is left to some of its jobs.

use super::{ClusterState, Job, TeamLimits};
use crate::types::{Amount, Time};

impl ClusterState {
    /// What a job's team may use once a task of the job starts: its limit, less
    /// what is reserved for windows, and less the part that is left to jobs whose
    /// users wait for the start unless it is one of them.
    pub(super) fn limit_to_start(&self, job: &Job) -> Amount {
        let limit = self.limit_for(job);
        match job.start_within {
            Some(_) => limit,
            None => limit - self.teams[job.team].held_back,
        }
    }

    /// Whether one more task of a job stays within its team's limit. A job that has
    /// waited for long leaves no part of it to others: under constant load such jobs
    /// waited beside that part for as long as the load lasted (`tests/reservations.rs`).
    pub fn limit_allows(&self, job: &Job, now: Time) -> bool {
        let limit = if job.may_use_reserved_capacity(now) {
            self.limit_for(job)
        } else {
            self.limit_to_start(job)
        };
        job.spec.each.fits_team(limit - self.teams[job.team].used)
    }

    /// Leaves part of a team's limit to jobs whose users wait for the start.
    pub fn hold_back(&mut self, team: usize, amount: Amount) {
        self.teams[team].held_back = amount;
    }

    /// Sets this shard's part of the limits and guarantees, in the order of the teams.
    pub fn set_limits(&mut self, parts: impl Iterator<Item = TeamLimits>) {
        for (team, part) in self.teams.iter_mut().zip(parts) {
            team.limit = part.limit;
            team.guarantee = part.guarantee;
        }
    }

    /// What waits, by team.
    pub fn demands(&self) -> &[Amount] {
        &self.demand
    }

    /// What a job's team may use, less what is reserved for other work of the team:
    /// that is inside the limit, whether or not its machines are there.
    pub(super) fn limit_for(&self, job: &Job) -> Amount {
        let mut limit = self.teams[job.team].limit;
        for reserved in self.reservations.by_window.values() {
            if reserved.reservation.team == job.team && !reserved.is_for(job.team, &job.spec) {
                limit -= reserved.open_amount();
            }
        }
        limit
    }

    /// What is reserved of each team's limit beside what is used.
    pub fn reserved_of_quotas(&self) -> Vec<Amount> {
        let mut totals = vec![Amount::default(); self.teams.len()];
        for reserved in self.reservations.by_window.values() {
            totals[reserved.reservation.team] += reserved.open_amount();
        }
        totals
    }
}
