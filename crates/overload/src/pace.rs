//! Tasks that go through the whole fleet, no more often than their cost allows.

use sorrelhinge_protocol::types::Time;

/// When a duty is due again: after its usual pause, or later if that would
/// take more than its part of the time. A fleet ten times as large is then
/// looked at less often, not at the expense of its heartbeats.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    least_s: f64,
    max_s: f64,
    share: f64,
    next: Time,
}

/// How many times longer the pauses are for each second that requests wait.
const SLOWDOWN_PER_WAIT_S: f64 = 4.0;

impl Pace {
    /// Every `least_s` seconds, and for at most this `share` of the time; but
    /// never put off for more than `max_s`, as one turn in which the process
    /// stood still must not stop a duty.
    pub fn new(least_s: f64, max_s: f64, share: f64) -> Self {
        Self {
            least_s,
            max_s: max_s.max(least_s),
            share: share.max(1e-3),
            next: Time(f64::NEG_INFINITY),
        }
    }

    /// Whether it is due.
    pub fn due(&self, now: Time) -> bool {
        now >= self.next
    }

    /// It was done just now and took `cost_s` seconds, while requests wait for
    /// `wait_s` seconds: the longer they do, the smaller its part, as an answer
    /// that comes too late costs a connection and a lease.
    pub fn done(&mut self, cost_s: f64, wait_s: f64, now: Time) {
        let pause = (cost_s / self.share * (1.0 + SLOWDOWN_PER_WAIT_S * wait_s.clamp(0.0, 2.0)))
            .clamp(self.least_s, self.max_s);
        self.next = now.after(pause);
    }
}
