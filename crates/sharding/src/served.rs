//! Counts of accepted, started and finished jobs of each class and team, and detection of
//! starvation.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A job class and a team, in this order.
pub type Sort = (Arc<str>, Arc<str>);

/// Counts of the jobs of one class and team since this owner began to own the shard.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Count {
    accepted: u64,
    started: u64,
    done: u64,
    /// Number of waits that the mean in `usual_s` includes.
    waits: u64,
    /// Usual wait until a job's first task starts, in seconds. This is a running mean.
    usual_s: f64,
}

/// Pending jobs of one class and team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waits {
    /// Number of jobs of which no task has started.
    pub jobs: u32,
    /// Time that the oldest pending job has waited, in seconds.
    pub oldest_s: f64,
}

/// A log line about one class and team.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Class and team that the line describes.
    pub sort: Sort,
    /// Number of jobs that were accepted.
    pub accepted: u64,
    /// Number of jobs of which at least one task was placed.
    pub started: u64,
    /// Number of jobs that ended.
    pub done: u64,
    /// Pending jobs of the class and team.
    pub waits: Waits,
    /// Whether the class and team starve, as defined by [`Served::lines`].
    pub starves: bool,
}

/// Minimum wait of the oldest job before its class and team count as starving, in seconds.
const MIN_WAIT_S: f64 = 30.0;
/// Multiple of the usual wait that a job may wait before its class and team count as
/// starving.
const USUAL_WAIT_FACTOR: f64 = 2.0;
/// Weight of each new wait in the running mean of the usual wait.
const SMOOTHING_FACTOR: f64 = 0.1;

/// Counts of jobs of all classes and teams.
#[derive(Debug, Default)]
pub struct Served {
    counts: BTreeMap<Sort, Count>,
}

impl Served {
    /// Counts a job that was accepted.
    pub fn accepted(&mut self, sort: &Sort) {
        self.count_mut(sort).accepted += 1;
    }

    /// Counts a job whose first task was placed, `wait_s` seconds after the job was
    /// accepted. `wait_s` is `None` if an earlier owner placed the task.
    pub fn started(&mut self, sort: &Sort, wait_s: Option<f64>) {
        let count = self.count_mut(sort);
        count.started += 1;
        if let Some(wait_s) = wait_s {
            let part = if count.waits == 0 {
                1.0
            } else {
                SMOOTHING_FACTOR
            };
            count.waits += 1;
            count.usual_s += (wait_s - count.usual_s) * part;
        }
    }

    /// Counts a job that ended.
    pub fn done(&mut self, sort: &Sort) {
        self.count_mut(sort).done += 1;
    }

    fn count_mut(&mut self, sort: &Sort) -> &mut Count {
        self.counts.entry(sort.clone()).or_default()
    }

    /// Returns how long a job of this class and team may wait before the class and team
    /// starve, in seconds. This is twice the usual wait, and at least thirty seconds.
    pub fn patience_s(&self, sort: &Sort) -> f64 {
        let usual = self.counts.get(sort).map_or(0.0, |c| c.usual_s);
        (USUAL_WAIT_FACTOR * usual).max(MIN_WAIT_S)
    }

    /// Returns a line for each class and team. A class and team starve if their oldest
    /// pending job has waited for longer than [`Served::patience_s`].
    pub fn lines(&self, waits: &BTreeMap<Sort, Waits>) -> Vec<Line> {
        let lines = self.counts.iter().map(|(sort, count)| {
            let waits = waits.get(sort).copied().unwrap_or_default();
            Line {
                sort: sort.clone(),
                accepted: count.accepted,
                started: count.started,
                done: count.done,
                waits,
                starves: waits.jobs > 0 && waits.oldest_s > self.patience_s(sort),
            }
        });
        lines.collect()
    }
}
