//! Decides whether a silent machine is evidence of a failure, or whether this controller may be
//! the cause.

use super::Core;
use crate::types::Time;

/// Age of the last heartbeat, in heartbeat intervals, below which a machine counts as
/// reporting.
const RECENT_HEARTBEATS: f64 = 2.5;

/// Time until which the owner ignores silent machines because requests waited too long to be
/// read.
pub(super) struct IgnoredSilence {
    until: Time,
}

impl IgnoredSilence {
    /// Returns a state that ignores no silence. From `now` on, a machine's silence may be evidence
    /// of a failure.
    pub(super) fn none(now: Time) -> Self {
        Self { until: now }
    }

    /// Ignores silent machines until the given time.
    fn extend(&mut self, until: Time) {
        self.until = until;
    }

    /// Returns whether the owner ignores silent machines now.
    pub(super) fn is_on(&self, now: Time) -> bool {
        now < self.until
    }
}

impl Core {
    /// Ignores silent machines for a while. Requests wait too long to be read, so heartbeats
    /// may be missing.
    pub fn ignore_silence(&mut self, now: Time) {
        self.ignored_silence.extend(now.after(self.cfg.silent_s()));
    }

    /// Returns whether a machine's silence counts as evidence. If most machines are silent, the
    /// cause is that nothing reaches this controller. Silence is also no evidence while requests
    /// wait too long to be read. The number of machines may then be too large for the controllers.
    /// If the owner replaced silent machines by new ones, that number would not fall.
    pub(super) fn silence_is_evidence(&self, now: Time) -> bool {
        let limit_s = RECENT_HEARTBEATS * self.cfg.heartbeat_s;
        self.agents.most_reported_within(limit_s, now)
            && self.failover.age_s(now) > self.cfg.silent_s()
            && !self.ignored_silence.is_on(now)
    }
}
