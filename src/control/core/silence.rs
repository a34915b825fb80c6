//! Whether a machine's silence means anything, or may be this controller's own fault.

use super::Core;
use crate::types::Time;

/// A machine reported of late if that is less than so many heartbeat intervals ago.
const RECENT_HEARTBEATS: f64 = 2.5;

/// Until when silence means nothing, as requests waited too long to be read.
pub(super) struct IgnoredSilence {
    until: Time,
}

impl IgnoredSilence {
    /// Silence counts from now on.
    pub(super) fn none(now: Time) -> Self {
        Self { until: now }
    }

    /// It means nothing until then.
    fn extend(&mut self, until: Time) {
        self.until = until;
    }

    /// Whether it means nothing now.
    pub(super) fn is_on(&self, now: Time) -> bool {
        now < self.until
    }
}

impl Core {
    /// Requests wait too long to be read: heartbeats may be missing.
    pub fn ignore_silence(&mut self, now: Time) {
        self.ignored_silence.extend(now.after(self.cfg.silent_s()));
    }

    /// Whether a machine's silence means anything. If most are silent it is this
    /// controller that nothing reaches. Nor does silence mean anything where requests
    /// wait too long to be read: giving machines back then, and renting others, is
    /// how a fleet that is too large for its controllers would be kept so.
    pub(super) fn trusts_silence(&self, now: Time) -> bool {
        let limit_s = RECENT_HEARTBEATS * self.cfg.heartbeat_s;
        self.agents.most_reported_within(limit_s, now)
            && self.failover.age_s(now) > self.cfg.silent_s()
            && !self.ignored_silence.is_on(now)
    }
}
