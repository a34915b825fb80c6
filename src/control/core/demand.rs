//! Free capacity that is kept for work to come: what arrived of late, and what that lets
//! expect while a new machine boots.

use std::collections::HashMap;
use std::sync::Arc;

use super::arrivals::Arrivals;
use super::Core;
use crate::autoscaler;
use crate::types::{Amount, Kind, Priority, Time};

/// For how long an arrival counts, in seconds.
const ARRIVAL_WINDOW_S: f64 = 180.0;
/// Arrivals are taken to have come within no less than this, in seconds.
const MIN_ARRIVAL_SPAN_S: f64 = 30.0;
/// Of a larger job only so many tasks count.
const MAX_COUNTED_TASKS: u32 = 1000;
/// Free capacity is kept for what comes in so many usual boots.
const BOOTS_COVERED: f64 = 1.5;
/// More of it for replicas: the more there is, the more likely some of it has
/// the image, and a fetch takes longer than their users wait.
const SERVICE_CAPACITY: f64 = 1.7;
/// Tasks of arrays and gangs end and make room: only this share of a burst is kept for.
const BURST_SHARE: f64 = 0.6;
/// At most one such part of a team's limit is reserved.
const RESERVE_DIVISOR: i64 = 10;

impl Core {
    /// Free capacity to keep for each class that came of late: a typical job of it.
    pub(super) fn expected(&mut self, now: Time) -> Vec<autoscaler::Expected> {
        self.scaling.arrivals.expire(ARRIVAL_WINDOW_S, now);
        let arrivals = self.scaling.arrivals.iter();
        self.cluster_state.shapes = arrivals.map(|a| a.spec().each).collect();
        self.reserve_for_urgent_classes();
        let headroom = self.cfg.tuning.headroom;
        let first = self.scaling.arrivals.first_at(now);
        let span_s = now.since(first).clamp(MIN_ARRIVAL_SPAN_S, ARRIVAL_WINDOW_S);
        let arrivals = self.scaling.arrivals.iter();
        arrivals
            // Work of idle priority takes what is left.
            .filter(|a| a.spec().priority > Priority::Idle)
            .map(|a| autoscaler::Expected {
                spec: a.spec().clone(),
                tasks: (headroom * self.tasks_while_booting(a, span_s)).ceil() as u32,
            })
            .collect()
    }

    /// Tasks of a class that come while a machine boots, and how much that varies
    /// when they come in jobs. All classes' arrivals came within `span_s` seconds.
    fn tasks_while_booting(&self, arrivals: &Arrivals, span_s: f64) -> f64 {
        let sizes = arrivals.task_counts();
        let count = sizes.len();
        let sum: u32 = sizes.map(|tasks| tasks.min(MAX_COUNTED_TASKS)).sum();
        let mean = f64::from(sum) / count as f64;
        let boot_s = BOOTS_COVERED * self.boot_s();
        let come = f64::from(sum) / span_s * boot_s;
        let burst = (come * mean).sqrt();
        match arrivals.spec().kind {
            // Replicas stay: none makes room for the next.
            Kind::Service => SERVICE_CAPACITY * (come + burst),
            Kind::Array | Kind::Gang => BURST_SHARE * burst * self.headroom_weight(arrivals.spec()),
        }
    }

    /// Within each team's limit, a reserve for a job of the classes whose users
    /// wait for its start: other work of the team must not take the last.
    pub(super) fn reserve_for_urgent_classes(&mut self) {
        let largest = self.largest_urgent_jobs();
        for (i, team) in self.cfg.teams.iter().enumerate() {
            let job = largest.get(&team.name).copied().unwrap_or_default();
            let limit = self.cluster_state.teams()[i].limit;
            // A small part of the limit only.
            let small = job.cpu * RESERVE_DIVISOR <= limit.cpu;
            let reserve = if small { job } else { Amount::default() };
            self.cluster_state.hold_back(i, reserve);
        }
    }

    /// By team: what the largest job takes, by its CPUs, of those that came of late and
    /// whose users wait for the start.
    fn largest_urgent_jobs(&self) -> HashMap<Arc<str>, Amount> {
        let mut by_team: HashMap<Arc<str>, Amount> = HashMap::new();
        let arrivals = self.scaling.arrivals.iter();
        for a in arrivals.filter(|a| self.starts_within(&a.spec().class).is_some()) {
            let tasks = a.largest_task_count().min(MAX_COUNTED_TASKS);
            let job = a.spec().each.times(i64::from(tasks));
            let largest = by_team.entry(a.spec().team.clone()).or_default();
            if largest.cpu < job.cpu {
                *largest = job;
            }
        }
        by_team
    }
}
