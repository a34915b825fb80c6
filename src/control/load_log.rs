//! Periodic log line that shows the load.

use std::cell::Cell;
use std::time::Duration;

use sorrelhinge_overload::pressure::Sample;
use tokio::time::Instant;

use super::Node;

/// Interval between two log lines about the load, unless the shedding level changes earlier.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Lower bound of the time between two measurements of the load, in seconds. Rates are never
/// divided by a shorter time.
pub(super) const MIN_ELAPSED_S: f64 = 1e-3;

/// Time of the last log line about the load, and counters at that time.
pub(super) struct LoadLog {
    written_at: Instant,
    /// Total number of late answers at the time of the last log line about the load.
    late_before: u64,
}

impl LoadLog {
    /// Creates a log whose next line is due after a full interval.
    pub(super) fn new() -> Self {
        Self {
            written_at: Instant::now(),
            late_before: 0,
        }
    }

    /// Returns whether the next log line about the load is due.
    pub(super) fn is_due(&self) -> bool {
        self.written_at.elapsed() >= LOG_INTERVAL
    }

    /// Logs the counts since the last log line about the load, and resets the counters.
    pub(super) fn write(&mut self, node: &Node, sample: Sample) {
        let elapsed_s = self.written_at.elapsed().as_secs_f64();
        let elapsed_s = elapsed_s.max(MIN_ELAPSED_S);
        self.written_at = Instant::now();
        let rate = |cell: &Cell<u64>| (cell.replace(0) as f64 / elapsed_s * 10.0).round() / 10.0;
        let counts = &node.load.counts;
        let late = node.connections.late();
        let open = node.connections.open();
        tracing::info!(
            wait_s = (sample.wait_s * 100.0).round() / 100.0,
            change_wait_s = (sample.change_wait_s * 10.0).round() / 10.0,
            connections = open.all,
            workers = open.workers,
            heartbeats = rate(&counts.heartbeats),
            homed = rate(&counts.offloaded_heartbeats),
            submissions = rate(&counts.submissions),
            polls = rate(&counts.polls),
            cancellations = rate(&counts.cancellations),
            renewed = rate(&counts.renewed),
            shed = rate(&counts.shed),
            duties = (counts.duty_s.replace(0.0) / elapsed_s * 100.0).round() / 100.0,
            longest_s = (counts.longest_duty_s.replace(0.0) * 100.0).round() / 100.0,
            late = late - self.late_before,
            spread = node.load.offload_share(),
            relief = node.load.asks_for_relief(),
            max_machines = node.load.max_machines(),
            binding = node.load.binding_resources(),
            shedding = node.load.level().name(),
            "load"
        );
        self.late_before = late;
    }
}
