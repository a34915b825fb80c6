//! What jobs need by the objectives of their class (settings, `objectives`).

use sorrelhinge_pipelines::urgency::Urgency;

use super::Core;
use crate::scheduler::JobUrgency;
use crate::types::{JobSpec, Time};

/// Bounds of [`Core::headroom_weight`].
const MIN_HEADROOM_WEIGHT: f64 = 0.2;
const MAX_HEADROOM_WEIGHT: f64 = 2.0;
/// A job is patient for this part of the time that its objectives leave, and for so many seconds
/// at the least and at the most.
const PATIENT_PART: f64 = 0.3;
const MIN_PATIENCE_S: f64 = 1.0;
const MAX_PATIENCE_S: f64 = 30.0;
/// A job is late once less than so many boots are left to it.
const LATE_BOOTS: f64 = 1.5;

/// From when a job's times count, on this process's clock.
pub(super) struct JobTimes {
    /// Its submission.
    pub(super) accepted: Time,
    /// When the last job that it needs was done, or its submission.
    pub(super) ready: Time,
    /// The latest finish that it has by itself or inherits, if it is in a pipeline.
    pub(super) latest_finish: Option<Time>,
}

impl Core {
    /// How much a class depends on free capacity that is there already: what a new
    /// machine takes to boot, against the time that its objectives leave.
    pub(super) fn headroom_weight(&self, spec: &JobSpec) -> f64 {
        (self.boot_s() / self.slack(spec).max(1.0)).clamp(MIN_HEADROOM_WEIGHT, MAX_HEADROOM_WEIGHT)
    }

    /// The shortest usual boot.
    pub(super) fn boot_s(&self) -> f64 {
        self.types.shortest_boot_s()
    }

    /// How soon a class's jobs are to start, if that is sooner than a machine
    /// that is rented for them could be up: their users wait for the start.
    /// Others with a start objective have time, as those with a finish objective have.
    pub(super) fn starts_within(&self, class: &str) -> Option<f64> {
        let within = self.cfg.start_objectives.get(class).copied();
        within.filter(|s| *s < self.boot_s())
    }

    /// When a job should be done: by its class's objectives, from when it was ready; by its
    /// deadline, from its submission; and in time for the jobs that need it.
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

    /// How urgent a job is, by itself and for the jobs that need it.
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
            patience_s: (PATIENT_PART * slack).clamp(MIN_PATIENCE_S, MAX_PATIENCE_S),
            late_s: (slack - LATE_BOOTS * self.boot_s())
                .max(PATIENT_PART * slack)
                .max(MIN_PATIENCE_S),
        }
    }

    /// How long a job of this sort may wait before it misses an objective.
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
