//! Who is served: for each class and team what was accepted, started and
//! finished, and who starves.

use std::collections::BTreeMap;
use std::sync::Arc;

/// A class of jobs of one team.
pub type Sort = (Arc<str>, Arc<str>);

/// Counts of jobs since this owner began.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Count {
    accepted: u64,
    started: u64,
    done: u64,
    /// How many waits were seen.
    waits: u64,
    /// The usual wait until the first start, in seconds: a running mean.
    usual_s: f64,
}

/// What waits of one class and team.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Waits {
    /// Jobs of which no task has started.
    pub jobs: u32,
    /// How long the oldest of them has waited, in seconds.
    pub oldest_s: f64,
}

/// A line of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    /// Class and team.
    pub sort: Sort,
    /// Jobs that came.
    pub accepted: u64,
    /// Jobs of which a task was placed.
    pub started: u64,
    /// Jobs that ended.
    pub done: u64,
    /// What waits.
    pub waits: Waits,
    /// Whether it is passed over: see [`Served::lines`].
    pub starves: bool,
}

/// Nothing that waits for less is said to starve, in seconds.
const MIN_WAIT_S: f64 = 30.0;
/// A wait of so many usual ones is one too many.
const USUAL_WAIT_FACTOR: f64 = 2.0;
/// How fast the usual wait follows: by this part at each start.
const SMOOTHING_FACTOR: f64 = 0.1;

/// The counts of all classes and teams.
#[derive(Debug, Default)]
pub struct Served {
    counts: BTreeMap<Sort, Count>,
}

impl Served {
    /// A job came.
    pub fn accepted(&mut self, sort: &Sort) {
        self.of(sort).accepted += 1;
    }

    /// A task of a job was placed for the first time, so long after it came;
    /// none: an earlier owner placed it.
    pub fn started(&mut self, sort: &Sort, wait_s: Option<f64>) {
        let count = self.of(sort);
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

    /// A job ended.
    pub fn done(&mut self, sort: &Sort) {
        self.of(sort).done += 1;
    }

    fn of(&mut self, sort: &Sort) -> &mut Count {
        self.counts.entry(sort.clone()).or_default()
    }

    /// How long a job of this class and team may wait, in seconds, before it is
    /// passed over: twice the usual wait, and thirty seconds.
    pub fn patience_s(&self, sort: &Sort) -> f64 {
        let usual = self.counts.get(sort).map_or(0.0, |c| c.usual_s);
        (USUAL_WAIT_FACTOR * usual).max(MIN_WAIT_S)
    }

    /// A line for each class and team. One starves if its oldest job has waited
    /// for longer than [`Served::patience_s`].
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
