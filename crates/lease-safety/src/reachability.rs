//! Whether commands reach a machine: that it heartbeats does not show it.
//!
//! A machine whose heartbeats arrived and which no command reached was usable again
//! at each heartbeat: one task was claimed there 279 times in 280 s, a change each
//! time, and the machine was kept. So only an effect counts: a command carried
//! out or refused, a fencing token taken up, a task that we started in a heartbeat.

use sorrelhinge_protocol::types::Time;

/// So many heartbeats that show no effect make a machine one that may be unreachable: the
/// first may have been on its way already, the second been made before the answer.
pub const DOUBT_AFTER_HEARTBEATS: u32 = 3;
/// After an effect was seen, one command that fails proves nothing for so many
/// heartbeat intervals.
const CONFIRMED_HEARTBEAT_INTERVALS: f64 = 3.0;
/// A machine that could not be reached for a while gets nothing new after its first effect, longer each
/// time, in seconds. One that was reached now and then cost claims at each time.
const FIRST_QUARANTINE_S: f64 = 4.0;
const MAX_QUARANTINE_S: f64 = 128.0;
/// What it did before that, in seconds, is forgotten.
const UNREACHABLE_MEMORY_S: f64 = 600.0;
/// So many incarnations in a row that ended though heartbeats were answered: some may be
/// bad luck, where connections break.
const MAX_LOST_INCARNATIONS: u32 = 3;
/// An incarnation that lasted for more leases had an answer.
const ANSWERED_INCARNATION_LEASES: f64 = 1.5;
/// Whose lease ends while it is silent for this part of it hung, or was cut off.
const SILENT_GAP_LEASES: f64 = 0.9;

/// The evidence whether one machine can be reached.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// When an effect was last seen.
    proved: Option<Time>,
    /// Since when it is asked for one.
    asked: Option<Time>,
    /// Heartbeats since then.
    heartbeats: u32,
    /// How often it could not be reached, and until when it is quarantined.
    unreachable_count: u32,
    last_unreachable: Option<Time>,
    quarantined_until: Option<Time>,
    /// Its heartbeats have been answered all the time since, and last.
    answered_since: Option<Time>,
    answered: Option<Time>,
    /// The last heartbeat was not answered.
    unanswered: bool,
    lost_incarnations: u32,
    last_lost: Option<Time>,
}

impl Reachability {
    /// Something was sent whose effect its heartbeats have to show.
    pub fn asked(&mut self, now: Time) {
        if self.asked.is_none() {
            self.asked = Some(now);
            self.heartbeats = 0;
        }
    }

    /// A heartbeat came that is no copy.
    ///
    /// If the one before was not answered, though others were, nothing was sent to it,
    /// as in an outage of the state service: its time begins anew.
    pub fn reported(&mut self, now: Time) {
        if self.asked.is_some() {
            self.heartbeats = self.heartbeats.saturating_add(1);
            if self.unanswered && self.answered.is_some() {
                (self.asked, self.heartbeats) = (Some(now), 0);
            }
        }
        self.unanswered = true;
    }

    /// Whether an effect is waited for.
    pub fn awaits_effect(&self) -> bool {
        self.asked.is_some()
    }

    /// An effect was seen: one bit of it ends all doubt.
    pub fn proved(&mut self, now: Time) {
        if self.asked.is_some() && self.heartbeats > DOUBT_AFTER_HEARTBEATS {
            let old = self
                .last_unreachable
                .is_none_or(|t| now.since(t) > UNREACHABLE_MEMORY_S);
            self.unreachable_count = if old { 1 } else { self.unreachable_count + 1 };
            self.last_unreachable = Some(now);
            let rest = FIRST_QUARANTINE_S * f64::from(self.unreachable_count.min(16) - 1).exp2();
            self.quarantined_until = Some(now.after(rest.min(MAX_QUARANTINE_S)));
        }
        self.proved = Some(now);
        self.asked = None;
        self.heartbeats = 0;
    }

    /// Whether an effect was seen a moment ago.
    pub fn is_confirmed(&self, heartbeat_s: f64, now: Time) -> bool {
        self.proved
            .is_some_and(|t| now.since(t) < CONFIRMED_HEARTBEAT_INTERVALS * heartbeat_s)
    }

    /// Whether it may be unreachable: nothing new is to count on it.
    pub fn in_doubt(&self) -> bool {
        self.asked.is_some() && self.heartbeats > DOUBT_AFTER_HEARTBEATS
    }

    /// Whether it is quarantined after it could not be reached.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|t| now < t)
    }

    /// Whether it could not be reached for `patience_s` while its heartbeats came and were answered.
    pub fn is_unreachable(&self, patience_s: f64, now: Time) -> bool {
        self.in_doubt() && self.asked.is_some_and(|t| now.since(t) >= patience_s)
    }

    /// A heartbeat was answered, with what renews a lease of `lease_s`.
    pub fn answered(&mut self, lease_s: f64, now: Time) {
        self.unanswered = false;
        // One that hangs until its lease ends is silent for as long.
        let gap = |t: Time| now.since(t) > SILENT_GAP_LEASES * lease_s;
        if self.answered.is_none_or(gap) || self.answered_since.is_none() {
            self.answered_since = Some(now);
        }
        self.answered = Some(now);
    }

    /// Its incarnation ended. Returns whether answers don't reach it though commands may:
    /// its heartbeats were answered all the time, and its leases ended all the same,
    /// one after the other. What is started there ends with the next lease.
    pub fn incarnation_ended(&mut self, lease_s: f64, now: Time) -> bool {
        let max = SILENT_GAP_LEASES * lease_s;
        let lately = self.answered.is_some_and(|t| now.since(t) <= max);
        let long = self.answered_since.is_some_and(|t| now.since(t) >= max);
        self.answered_since = None;
        if !lately || !long {
            return false;
        }
        let row = self.last_lost;
        let row = row.is_some_and(|t| now.since(t) <= ANSWERED_INCARNATION_LEASES * lease_s);
        self.lost_incarnations = if row { self.lost_incarnations + 1 } else { 1 };
        self.last_lost = Some(now);
        self.lost_incarnations >= MAX_LOST_INCARNATIONS
    }
}
