//! What jobs need by the aims of their class (settings, `objectives`), and which
//! jobs came of late.

use std::collections::VecDeque;
use std::rc::Rc;

use sorrelhinge_pipelines::urgency::Urgency;

use super::Core;
use crate::sched::JobUrgency;
use crate::types::{JobSpec, Time};

const MOST_ARRIVALS: usize = 2000;

/// Jobs of one class that came of late.
pub(super) struct Arrivals {
    pub(super) spec: Rc<JobSpec>,
    pub(super) recent: VecDeque<(Time, u32)>,
}

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
    pub(super) fn arrived(&mut self, spec: &Rc<JobSpec>, at: Time) {
        let smallest = self
            .types
            .values()
            .filter(|t| spec.each.fits(t.total))
            .min_by_key(|t| t.total.cpu)
            .map(|t| t.name.clone());
        let class = (Rc::from(&*spec.class), smallest);
        let arrivals = self
            .scaling
            .arrivals
            .entry(class)
            .or_insert_with(|| Arrivals {
                spec: spec.clone(),
                recent: VecDeque::new(),
            });
        arrivals.spec = spec.clone();
        arrivals.recent.push_back((at, spec.tasks));
        if arrivals.recent.len() > MOST_ARRIVALS {
            arrivals.recent.pop_front();
        }
    }

    /// How much a class depends on room that is there already: what a new
    /// machine takes to boot, against the time that its aims leave.
    pub(super) fn haste(&self, spec: &JobSpec) -> f64 {
        (self.boot_s() / self.slack(spec).max(1.0)).clamp(0.2, 2.0)
    }

    /// The shortest usual boot.
    pub(super) fn boot_s(&self) -> f64 {
        self.types
            .values()
            .map(|t| t.boot_s)
            .fold(f64::INFINITY, f64::min)
    }

    /// How soon a class's jobs are to start, if that is sooner than a machine
    /// that is rented for them could be up: their users wait for the start.
    /// Others with a start aim have time, as those with a finish aim have.
    pub(super) fn starts_within(&self, class: &str) -> Option<f64> {
        let within = self.cfg.start_aims.get(class).copied();
        within.filter(|s| *s < self.boot_s())
    }

    /// When a job should be done: by its class's aims, from when it was ready; by its
    /// deadline, from its submission; and in time for the jobs that need it.
    fn aims(&self, spec: &JobSpec, since: &JobTimes) -> Vec<Time> {
        let within = self.cfg.finish_aims.get(&spec.class);
        let within = within.into_iter().flatten();
        let finish = within.map(|s| since.ready.after(*s));
        let times = self.cfg.deadline_aims.get(&spec.class);
        let times = times.map_or(&[1.0][..], Vec::as_slice);
        let deadline = spec.deadline_s.into_iter();
        let deadlines = deadline.flat_map(|d| times.iter().map(move |t| d * t));
        let deadlines = deadlines.map(|s| since.accepted.after(s));
        let mut aims: Vec<Time> = finish.chain(deadlines).chain(since.latest_finish).collect();
        aims.sort_by(|a, b| a.0.total_cmp(&b.0));
        aims.dedup();
        aims
    }

    /// How urgent a job is, by itself and for the jobs that need it.
    pub(super) fn urgency(
        &self,
        spec: &JobSpec,
        since: &JobTimes,
        inherited: Option<Urgency>,
    ) -> JobUrgency {
        let aims = self.aims(spec, since);
        let slack = match (inherited, aims.first()) {
            (Some(_), Some(aim)) => {
                let start = self.cfg.start_aims.get(&spec.class).copied();
                let finish = aim.since(since.ready) - spec.estimate_s;
                start.unwrap_or(f64::INFINITY).min(finish)
            }
            _ => self.slack(spec),
        };
        JobUrgency {
            priority: inherited.map_or(spec.priority, |u| u.priority),
            aims,
            patience_s: (0.3 * slack).clamp(1.0, 30.0),
            late_s: (slack - 1.5 * self.boot_s()).max(0.3 * slack).max(1.0),
        }
    }

    /// How long a job of this sort may wait before it misses an aim.
    pub(super) fn slack(&self, spec: &JobSpec) -> f64 {
        let start = self.cfg.start_aims.get(&spec.class).copied();
        let finish = self.cfg.finish_aims.get(&spec.class);
        let finish = finish.and_then(|aims| aims.first().copied());
        let finish = finish
            .into_iter()
            .chain(spec.deadline_s)
            .fold(f64::INFINITY, f64::min);
        start.unwrap_or(f64::INFINITY).min(finish - spec.estimate_s)
    }
}
