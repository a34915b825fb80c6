//! What is counted between two lines of the log that show the load.

use std::cell::Cell;

/// Counts since the last line in the log.
#[derive(Default)]
pub struct Counts {
    /// Workers' heartbeats.
    pub heartbeats: Cell<u64>,
    /// Heartbeats that other controllers took for this one.
    pub homed: Cell<u64>,
    /// Submissions.
    pub submissions: Cell<u64>,
    /// Polls.
    pub polls: Cell<u64>,
    /// Cancellations.
    pub cancellations: Cell<u64>,
    /// Seconds that duties over the whole fleet took.
    pub spent: Cell<f64>,
    /// Leases renewed for owners that were short of time, or not there.
    pub renewed: Cell<u64>,
    /// The longest that a duty over the whole fleet took, in seconds.
    pub longest: Cell<f64>,
    /// Answered with 503 because of the load.
    pub shed: Cell<u64>,
}

impl Counts {
    /// A duty over the whole fleet took so many seconds.
    pub(super) fn duty_took(&self, cost_s: f64) {
        self.spent.set(self.spent.get() + cost_s);
        self.longest.set(self.longest.get().max(cost_s));
    }
}

/// One more.
pub fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
