//! What work of idle priority may take: what is left beside the rest.
//!
//! Idle tasks run for minutes and come by the thousand. Left to fill all capacity
//! that was free for a moment, they had it when the next job came: that waited
//! until it was late enough to stop some of them, thousands of times a day, and
//! what was stopped began anew.

use super::{ClusterState, Job, Team};
use crate::types::{Amount, Priority, Time};

/// What the other work used and waited for of late counts for so
/// long, in seconds: it falls to a third meanwhile.
const LATE_S: f64 = 60.0;
/// Idle work has this part of all machines in any case: it is to end, too.
const FLOOR: f64 = 0.3;
/// Tasks that are shorter, in seconds, free their capacity soon enough by themselves.
const SHORT_S: f64 = 10.0;

/// Idle work, and the peak of all other.
#[derive(Clone, Debug, Default)]
pub(super) struct Idle {
    /// What the claims of all that is bounded take.
    pub used: Amount,
    /// Thousandths of a CPU that it may take; none: not known yet.
    max: Option<i64>,
    /// What all other work used and waited for, in thousandths of a CPU.
    peak: f64,
    at: Time,
}

/// Whether a job is bounded: its tasks keep the capacity that they get.
pub(super) fn is_bounded(job: &Job) -> bool {
    job.priority == Priority::Idle && job.spec.estimate_s >= SHORT_S
}

impl ClusterState {
    /// Looks at what idle work may take now.
    pub fn refresh_idle_capacity(&mut self, now: Time) {
        let mut pending = vec![Amount::default(); self.teams.len()];
        for job in self.jobs_to_place().map(|(_, j)| j) {
            if job.priority > Priority::Idle {
                pending[job.team] += job.demand();
            }
        }
        let mut used: Vec<i64> = self.teams.iter().map(|t| t.used.cpu).collect();
        let idle_jobs = self.jobs.values().filter(|j| j.priority == Priority::Idle);
        for job in idle_jobs {
            used[job.team] -= job.spec.each.cpu * job.tasks.claims().len() as i64;
        }
        let asks = |(i, team): (usize, &Team)| (used[i] + pending[i].cpu).min(team.limit.cpu);
        let asks: i64 = self.teams.iter().enumerate().map(asks).sum();
        let fade = (-now.since(self.idle.at) / LATE_S).exp();
        self.idle.at = now;
        // Of all teams together: they do not ask for most at the same time.
        self.idle.peak = (asks as f64).max(self.idle.peak * fade);
        let all = self.capacity.cpu as f64;
        self.idle.max = Some((all - self.idle.peak).max(FLOOR * all) as i64);
    }

    /// Thousandths of a CPU that idle work uses beyond its part, and that are not
    /// being stopped.
    pub(super) fn idle_beyond(&self) -> i64 {
        let stopped: i64 = self
            .jobs
            .values()
            .filter(|j| is_bounded(j))
            .map(|j| {
                let claims = j.tasks.claims().values();
                j.spec.each.cpu * claims.filter(|c| c.stop.is_some()).count() as i64
            })
            .sum();
        self.idle.used.cpu - stopped - (FLOOR * self.capacity.cpu as f64) as i64
    }

    /// Whether one more task of a job is to be left waiting, as idle work has what
    /// it may take.
    pub(super) fn idle_is_full(&self, job: &Job) -> bool {
        if !is_bounded(job) {
            return false;
        }
        let team = &self.teams[job.team];
        let more = self.idle.used.cpu + job.spec.each.cpu;
        !(team.used + job.spec.each).fits_team(team.guarantee)
            && self.idle.max.is_some_and(|max| more > max)
    }
}
