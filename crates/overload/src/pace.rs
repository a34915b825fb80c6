//! Schedules duties that process the whole fleet, no more often than their cost allows.

use sorrelhinge_protocol::types::Time;

/// Schedule of a recurring duty. The duty is due after its usual pause, or later if it would
/// otherwise take more than its share of the time. With a fleet ten times as large the duty runs
/// less often, and takes no time from heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Usual pause between two runs of the duty, in seconds.
    min_pause_s: f64,
    /// Longest pause between two runs of the duty, in seconds.
    max_pause_s: f64,
    /// Maximum share of the time that the duty may take.
    share: f64,
    next_due: Time,
}

/// Relative increase of the pause of a duty for each second that requests wait.
const SLOWDOWN_PER_WAIT_S: f64 = 4.0;

impl Pace {
    /// Creates the schedule of a duty that runs every `min_pause_s` seconds and takes at most
    /// `share` of the time. The pause never exceeds `max_pause_s` seconds, so one run during which
    /// the process was suspended does not stop the duty.
    pub fn new(min_pause_s: f64, max_pause_s: f64, share: f64) -> Self {
        Self {
            min_pause_s,
            max_pause_s: max_pause_s.max(min_pause_s),
            share: share.max(1e-3),
            next_due: Time(f64::NEG_INFINITY),
        }
    }

    /// Returns whether the duty is due.
    pub fn due(&self, now: Time) -> bool {
        now >= self.next_due
    }

    /// Records that the duty has just run for `cost_s` seconds, while requests wait for `wait_s`
    /// seconds. A longer wait gives the duty a smaller share of the time, because a late answer
    /// costs a connection and a lease.
    pub fn done(&mut self, cost_s: f64, wait_s: f64, now: Time) {
        let pause = (cost_s / self.share * (1.0 + SLOWDOWN_PER_WAIT_S * wait_s.clamp(0.0, 2.0)))
            .clamp(self.min_pause_s, self.max_pause_s);
        self.next_due = now.after(pause);
    }
}
