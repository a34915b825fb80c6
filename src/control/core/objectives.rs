//! Urgency of jobs by the objectives of their class (settings, `objectives`).

use sorrelhinge_pipelines::urgency::Urgency;

use super::Core;
use crate::scheduler::JobUrgency;
use crate::types::{JobSpec, Time};

/// Minimum and maximum of [`Core::headroom_weight`], the weight of a class's need for free
/// capacity.
const MIN_HEADROOM_WEIGHT: f64 = 0.2;
const MAX_HEADROOM_WEIGHT: f64 = 2.0;
/// Fraction of a job's slack that the job may wait before its objectives are in danger. The
/// result lies between the minimum and the maximum below, in seconds.
const PATIENCE_FRACTION: f64 = 0.3;
const MIN_PATIENCE_S: f64 = 1.0;
const MAX_PATIENCE_S: f64 = 30.0;
/// A job is late once its remaining slack is shorter than this many boots of a machine.
const LATE_SLACK_BOOTS: f64 = 1.5;

/// Times that a job's objectives count from, on this process's clock.
pub(super) struct JobTimes {
    /// Time of the job's submission.
    pub(super) accepted: Time,
    /// Time at which the job's last dependency was completed, or at which a job without
    /// dependencies was submitted.
    pub(super) ready: Time,
    /// Latest finish of the job if it is in a pipeline, either its own or inherited.
    pub(super) latest_finish: Option<Time>,
}

impl Core {
    /// Returns how much a class depends on free capacity that already exists. The weight is the
    /// boot time of a new machine divided by the slack that the class's objectives leave.
    pub(super) fn headroom_weight(&self, spec: &JobSpec) -> f64 {
        (self.boot_s() / self.slack(spec).max(1.0)).clamp(MIN_HEADROOM_WEIGHT, MAX_HEADROOM_WEIGHT)
    }

    /// Returns the shortest usual boot time of a machine, in seconds.
    pub(super) fn boot_s(&self) -> f64 {
        self.types.shortest_boot_s()
    }

    /// Returns the start objective of a class in seconds, if it is shorter than the boot of a
    /// rented machine. Users wait for the start of such jobs. Other jobs with a start objective
    /// have time, like jobs with a finish objective.
    pub(super) fn starts_within(&self, class: &str) -> Option<f64> {
        let within = self.cfg.start_objectives.get(class).copied();
        within.filter(|s| *s < self.boot_s())
    }

    /// Returns the times at which a job should be done, the earliest first. The finish
    /// objectives of its class count from the time it was ready, and its deadline counts from
    /// its submission. A job must also finish in time for the jobs that depend on it.
    fn objectives(&self, spec: &JobSpec, since: &JobTimes) -> Vec<Time> {
        let within = self.cfg.finish_objectives.get(&spec.class);
        let within = within.into_iter().flatten();
        let finish = within.map(|s| since.ready.after(*s));
        let times = self.cfg.deadline_objectives.get(&spec.class);
        let times = times.map_or(&[1.0][..], Vec::as_slice);
        let deadline = spec.deadline_s.into_iter();
        let deadlines = deadline.flat_map(|d| times.iter().map(move |t| d * t));
        let deadlines = deadlines.map(|s| since.accepted.after(s));
        let mut objectives: Vec<Time> =
            finish.chain(deadlines).chain(since.latest_finish).collect();
        objectives.sort_by(|a, b| a.0.total_cmp(&b.0));
        objectives.dedup();
        objectives
    }

    /// Returns the urgency of a job, by its own objectives and by those of the jobs that depend
    /// on it.
    pub(super) fn urgency(
        &self,
        spec: &JobSpec,
        since: &JobTimes,
        inherited: Option<Urgency>,
    ) -> JobUrgency {
        let objectives = self.objectives(spec, since);
        let slack = match (inherited, objectives.first()) {
            (Some(_), Some(objective)) => {
                let start = self.cfg.start_objectives.get(&spec.class).copied();
                let finish = objective.since(since.ready) - spec.estimate_s;
                start.unwrap_or(f64::INFINITY).min(finish)
            }
            _ => self.slack(spec),
        };
        JobUrgency {
            priority: inherited.map_or(spec.priority, |u| u.priority),
            objectives,
            patience_s: (PATIENCE_FRACTION * slack).clamp(MIN_PATIENCE_S, MAX_PATIENCE_S),
            late_s: (slack - LATE_SLACK_BOOTS * self.boot_s())
                .max(PATIENCE_FRACTION * slack)
                .max(MIN_PATIENCE_S),
        }
    }

    /// Returns how many seconds a job like this one may wait before it misses an objective.
    pub(super) fn slack(&self, spec: &JobSpec) -> f64 {
        let start = self.cfg.start_objectives.get(&spec.class).copied();
        let finish = self.cfg.finish_objectives.get(&spec.class);
        let finish = finish.and_then(|objectives| objectives.first().copied());
        let finish = finish
            .into_iter()
            .chain(spec.deadline_s)
            .fold(f64::INFINITY, f64::min);
        start.unwrap_or(f64::INFINITY).min(finish - spec.estimate_s)
    }
}
