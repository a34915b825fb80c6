//! The capacity limit for work of idle priority: the capacity that other work leaves unused.
//!
//! Idle tasks run for minutes and arrive by the thousand. Without this limit they filled
//! all capacity that was free for a moment. The next job then waited until it was late enough
//! to preempt some of them. This happened thousands of times a day, and the preempted tasks
//! started over.

use super::{ClusterState, Job, Team};
use crate::types::{Amount, Priority, Time};

/// Time constant of the decay of the demand peak, in seconds. The peak falls to about a
/// third in this time.
const PEAK_DECAY_S: f64 = 60.0;
/// Share of the capacity of all machines that idle work may always use, so that idle work
/// completes too.
const MIN_SHARE: f64 = 0.3;
/// Tasks with a shorter estimate, in seconds, are not limited, as they end and free their
/// capacity soon enough.
const MIN_LIMITED_ESTIMATE_S: f64 = 10.0;

/// Usage and limit of idle work, and the recent peak demand of all other work.
#[derive(Clone, Debug, Default)]
pub(super) struct Idle {
    /// Sum of the claims of all jobs that the limit applies to.
    pub used: Amount,
    /// Limit of idle work in thousandths of a CPU, or `None` before the first refresh.
    max_cpu: Option<i64>,
    /// Decaying peak of what all other work used and waited for, in thousandths of a CPU.
    peak: f64,
    /// Time of the last refresh.
    refreshed_at: Time,
}

/// Returns whether the limit for idle work applies to a job. It applies only to tasks that
/// are long enough to hold on to the capacity that they get.
pub(super) fn is_bounded(job: &Job) -> bool {
    job.priority == Priority::Idle && job.spec.estimate_s >= MIN_LIMITED_ESTIMATE_S
}

impl ClusterState {
    /// Recomputes the limit for idle work from the demand of all other work.
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
        let demand = |(i, team): (usize, &Team)| (used[i] + pending[i].cpu).min(team.limit.cpu);
        let demand: i64 = self.teams.iter().enumerate().map(demand).sum();
        let decay = (-now.since(self.idle.refreshed_at) / PEAK_DECAY_S).exp();
        self.idle.refreshed_at = now;
        // The peak is that of the sum over all teams, as the teams don't reach their peaks at
        // the same time.
        self.idle.peak = (demand as f64).max(self.idle.peak * decay);
        let all = self.capacity.cpu as f64;
        self.idle.max_cpu = Some((all - self.idle.peak).max(MIN_SHARE * all) as i64);
    }

    /// Returns the thousandths of a CPU that idle work uses beyond its guaranteed share,
    /// without the tasks that are being stopped. The result is negative below that share.
    pub(super) fn idle_cpu_beyond_share(&self) -> i64 {
        let stopped: i64 = self
            .jobs
            .values()
            .filter(|j| is_bounded(j))
            .map(|j| {
                let claims = j.tasks.claims().values();
                j.spec.each.cpu * claims.filter(|c| c.stop.is_some()).count() as i64
            })
            .sum();
        self.idle.used.cpu - stopped - (MIN_SHARE * self.capacity.cpu as f64) as i64
    }

    /// Returns whether one more task of a job must wait because idle work has reached its
    /// limit. Tasks within their team's guarantee need not wait, nor do jobs that have waited for
    /// long: the peak decays, but may leave room for no task on a small fleet for an hour.
    pub(super) fn idle_limit_reached(&self, job: &Job) -> bool {
        if !is_bounded(job) || job.may_use_reserved_capacity(self.idle.refreshed_at) {
            return false;
        }
        let team = &self.teams[job.team];
        let more = self.idle.used.cpu + job.spec.each.cpu;
        !(team.used + job.spec.each).fits_team(team.guarantee)
            && self.idle.max_cpu.is_some_and(|max| more > max)
    }
}
