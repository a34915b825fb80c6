//! Counters behind the periodic log line that shows the load.

use std::cell::Cell;

/// Counts of requests and of periodic scans of the fleet since the last log line about the load.
#[derive(Default)]
pub struct Counts {
    /// Heartbeats that workers sent to this controller.
    pub heartbeats: Cell<u64>,
    /// Heartbeats that other controllers received for machines of this controller.
    pub offloaded_heartbeats: Cell<u64>,
    /// Submissions that users sent.
    pub submissions: Cell<u64>,
    /// Polls of job states that users sent.
    pub polls: Cell<u64>,
    /// Cancellations that users sent.
    pub cancellations: Cell<u64>,
    /// Total time spent on periodic scans of the whole fleet, in seconds.
    pub duty_s: Cell<f64>,
    /// Leases renewed on behalf of owners that were overloaded or absent.
    pub renewed: Cell<u64>,
    /// Longest time that one periodic scan of the whole fleet took, in seconds.
    pub longest_duty_s: Cell<f64>,
    /// Requests answered with 503 because of the load.
    pub shed: Cell<u64>,
}

impl Counts {
    /// Records a periodic scan of the whole fleet that took `cost_s` seconds.
    pub(super) fn duty_took(&self, cost_s: f64) {
        self.duty_s.set(self.duty_s.get() + cost_s);
        self.longest_duty_s
            .set(self.longest_duty_s.get().max(cost_s));
    }
}

/// Increments a counter.
pub fn increment(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}
