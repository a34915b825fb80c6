//! This module computes the free capacity to keep for future work. It derives the expected work
//! from the jobs that arrived recently and from the boot time of a machine.

use std::collections::HashMap;
use std::sync::Arc;

use super::arrivals::Arrivals;
use super::Core;
use crate::autoscaler;
use crate::types::{Amount, Kind, Priority, Time};

/// Time for which the arrival of a job counts toward the expected work, in seconds.
const ARRIVAL_WINDOW_S: f64 = 180.0;
/// Minimum time span over which the arrivals of jobs are averaged, in seconds.
const MIN_ARRIVAL_SPAN_S: f64 = 30.0;
/// Maximum number of tasks of one job that count toward the expected work and toward the reserves
/// of the teams.
const MAX_COUNTED_TASKS: u32 = 1000;
/// The free capacity covers the work that is expected to arrive during this multiple of the usual
/// boot time of a machine.
const BOOTS_COVERED: f64 = 1.5;
/// Factor on the free capacity that is kept for replicas of services. With more free capacity, it
/// is more likely that a free machine has the image already. Fetching an image takes longer than
/// the users of replicas wait.
const SERVICE_CAPACITY_FACTOR: f64 = 1.7;
/// Share of a burst of array or gang tasks for which capacity is kept. Such tasks end and free
/// their capacity for the next ones.
const BURST_SHARE: f64 = 0.6;
/// A team's reserve for a job whose users wait for its start is at most the team's limit divided by
/// this number.
const RESERVE_DIVISOR: i64 = 10;

impl Core {
    /// Returns the free capacity to keep for each class that arrived recently, as a typical job
    /// of that class.
    pub(super) fn expected_arrivals(&mut self, now: Time) -> Vec<autoscaler::Expected> {
        self.scaling.arrivals.expire(ARRIVAL_WINDOW_S, now);
        let arrivals = self.scaling.arrivals.iter();
        self.cluster_state.shapes = arrivals.map(|a| a.spec().each).collect();
        self.reserve_for_urgent_classes();
        let headroom = self.cfg.tuning.headroom;
        let first = self.scaling.arrivals.first_at(now);
        let span_s = now.since(first).clamp(MIN_ARRIVAL_SPAN_S, ARRIVAL_WINDOW_S);
        let arrivals = self.scaling.arrivals.iter();
        arrivals
            // Work of idle priority uses only left-over capacity.
            .filter(|a| a.spec().priority > Priority::Idle)
            .map(|a| autoscaler::Expected {
                spec: a.spec().clone(),
                tasks: (headroom * self.tasks_while_booting(a, span_s)).ceil() as u32,
            })
            .collect()
    }

    /// Returns the number of tasks of a class that are expected while a machine boots, with a
    /// margin for the variance of arrivals in whole jobs. The arrivals of all classes came
    /// within `span_s` seconds.
    fn tasks_while_booting(&self, arrivals: &Arrivals, span_s: f64) -> f64 {
        let sizes = arrivals.task_counts();
        let count = sizes.len();
        let sum: u32 = sizes.map(|tasks| tasks.min(MAX_COUNTED_TASKS)).sum();
        let mean = f64::from(sum) / count as f64;
        let boot_s = BOOTS_COVERED * self.boot_s();
        let come = f64::from(sum) / span_s * boot_s;
        let burst = (come * mean).sqrt();
        match arrivals.spec().kind {
            // Replicas run on, so no replica frees capacity for the next one.
            Kind::Service => SERVICE_CAPACITY_FACTOR * (come + burst),
            Kind::Array | Kind::Gang => BURST_SHARE * burst * self.headroom_weight(arrivals.spec()),
        }
    }

    /// Sets a reserve within each team's limit for one job of the classes whose users wait for
    /// its start. Other work of the team must not use up the limit.
    pub(super) fn reserve_for_urgent_classes(&mut self) {
        let largest = self.largest_urgent_jobs();
        for (i, team) in self.cfg.teams.iter().enumerate() {
            let job = largest.get(&team.name).copied().unwrap_or_default();
            let limit = self.cluster_state.teams()[i].limit;
            // The reserve may take only a small part of the limit.
            let small = job.cpu * RESERVE_DIVISOR <= limit.cpu;
            let reserve = if small { job } else { Amount::default() };
            self.cluster_state.hold_back(i, reserve);
        }
    }

    /// Returns, by team, the resources of the largest job by CPUs among the recent jobs whose
    /// users wait for the start.
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
