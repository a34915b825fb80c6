//! Tells whether commands reach a machine. Heartbeats from the machine don't prove that.
//!
//! One machine sent heartbeats but received no command, and each heartbeat made it usable again.
//! One task was claimed on it 279 times in 280 s, with one store write each time, and the machine
//! was not deleted. So only an effect of a command proves that a machine is reachable. The effect
//! is a command that the agent executed or refused, a fencing token that it adopted, or a task in a
//! heartbeat that this controller started.

use sorrelhinge_protocol::types::Time;

/// Number of heartbeats without an effect of a command beyond which a machine may be unreachable.
/// The first heartbeat may already have been in flight, and the agent may have made the second
/// before the answer arrived.
pub const MAX_HEARTBEATS_WITHOUT_EFFECT: u32 = 3;
/// Number of heartbeat intervals after an effect of a command during which a failed command proves
/// nothing.
const CONFIRMED_HEARTBEAT_INTERVALS: f64 = 3.0;
/// First quarantine of a machine that was unreachable for a while, in seconds. A quarantined
/// machine gets no new tasks. The quarantine begins with the first effect of a command, and doubles
/// each time. Without it, a machine that was reachable only now and then cost claims each time.
const FIRST_QUARANTINE_S: f64 = 4.0;
/// Maximum quarantine of a machine that was unreachable, in seconds.
const MAX_QUARANTINE_S: f64 = 128.0;
/// Time after which an unreachable phase of a machine no longer lengthens its quarantine, in
/// seconds.
const UNREACHABLE_RETENTION_S: f64 = 600.0;
/// Number of agent incarnations in a row that end although their heartbeats were answered, at which
/// the answers count as lost. Fewer may happen by chance where connections break.
const MAX_LOST_INCARNATIONS: u32 = 3;
/// Duration in leases beyond which an agent incarnation must have received an answer.
const ANSWERED_INCARNATION_LEASES: f64 = 1.5;
/// Share of a lease without an answered heartbeat. A machine with such a gap whose lease expires
/// hung or was disconnected.
const SILENT_GAP_LEASES: f64 = 0.9;

/// Evidence on whether commands reach one machine.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Time of the last effect of a command on the machine.
    last_effect: Option<Time>,
    /// Time since which the controller waits for an effect of a command on the machine.
    awaiting_since: Option<Time>,
    /// Number of heartbeats from the machine since `awaiting_since`.
    heartbeats: u32,
    /// Number of recent phases in which commands did not reach the machine.
    unreachable_count: u32,
    /// End of the last phase in which commands did not reach the machine.
    last_unreachable: Option<Time>,
    /// End of the quarantine, in which the machine gets no new tasks.
    quarantined_until: Option<Time>,
    /// Time since which heartbeats of the machine have been answered without a long gap.
    answered_since: Option<Time>,
    /// Time at which a heartbeat of the machine was last answered.
    last_answered: Option<Time>,
    /// Whether the last heartbeat of the machine was not answered.
    unanswered: bool,
    /// Number of agent incarnations in a row that ended although their heartbeats were answered.
    lost_incarnations: u32,
    /// Time of the last end of an agent incarnation whose heartbeats were answered.
    last_lost: Option<Time>,
}

impl Reachability {
    /// Records that a command was sent to the machine. Later heartbeats have to show its effect.
    pub fn asked(&mut self, now: Time) {
        if self.awaiting_since.is_none() {
            self.awaiting_since = Some(now);
            self.heartbeats = 0;
        }
    }

    /// Records a heartbeat of the machine that is not a duplicate.
    ///
    /// If the heartbeat before was not answered although earlier ones were, the controller sent
    /// nothing to the machine, for example in an outage of the state service. The wait for an
    /// effect then starts again.
    pub fn reported(&mut self, now: Time) {
        if self.awaiting_since.is_some() {
            self.heartbeats = self.heartbeats.saturating_add(1);
            if self.unanswered && self.last_answered.is_some() {
                (self.awaiting_since, self.heartbeats) = (Some(now), 0);
            }
        }
        self.unanswered = true;
    }

    /// Returns whether the controller waits for an effect of a command on the machine.
    pub fn awaits_effect(&self) -> bool {
        self.awaiting_since.is_some()
    }

    /// Records an effect of a command. A single effect proves that the machine is reachable.
    pub fn proved(&mut self, now: Time) {
        if self.awaiting_since.is_some() && self.heartbeats > MAX_HEARTBEATS_WITHOUT_EFFECT {
            let old = self
                .last_unreachable
                .is_none_or(|t| now.since(t) > UNREACHABLE_RETENTION_S);
            self.unreachable_count = if old { 1 } else { self.unreachable_count + 1 };
            self.last_unreachable = Some(now);
            let quarantine_s =
                FIRST_QUARANTINE_S * f64::from(self.unreachable_count.min(16) - 1).exp2();
            self.quarantined_until = Some(now.after(quarantine_s.min(MAX_QUARANTINE_S)));
        }
        self.last_effect = Some(now);
        self.awaiting_since = None;
        self.heartbeats = 0;
    }

    /// Returns whether an effect of a command on the machine was seen recently.
    pub fn is_confirmed(&self, heartbeat_s: f64, now: Time) -> bool {
        self.last_effect
            .is_some_and(|t| now.since(t) < CONFIRMED_HEARTBEAT_INTERVALS * heartbeat_s)
    }

    /// Returns whether the machine may be unreachable. It should get no new tasks then.
    pub fn in_doubt(&self) -> bool {
        self.awaiting_since.is_some() && self.heartbeats > MAX_HEARTBEATS_WITHOUT_EFFECT
    }

    /// Returns whether the machine is in quarantine because it was unreachable.
    pub fn is_quarantined(&self, now: Time) -> bool {
        self.quarantined_until.is_some_and(|t| now < t)
    }

    /// Returns whether the machine was unreachable for `patience_s` seconds while its heartbeats
    /// arrived and were answered.
    pub fn is_unreachable(&self, patience_s: f64, now: Time) -> bool {
        self.in_doubt()
            && self
                .awaiting_since
                .is_some_and(|t| now.since(t) >= patience_s)
    }

    /// Records an answer to a heartbeat of the machine, which renews a lease of `lease_s` seconds.
    pub fn answered(&mut self, lease_s: f64, now: Time) {
        self.unanswered = false;
        // A machine that hangs until its lease expires sends no heartbeat for this long.
        let gap = |t: Time| now.since(t) > SILENT_GAP_LEASES * lease_s;
        if self.last_answered.is_none_or(gap) || self.answered_since.is_none() {
            self.answered_since = Some(now);
        }
        self.last_answered = Some(now);
    }

    /// Records that the agent incarnation on the machine ended. Returns whether answers don't reach
    /// the machine, although commands may. This is so if several leases in a row expired although
    /// the heartbeats were answered all the time. A task that is started there ends when the next
    /// lease expires.
    pub fn incarnation_ended(&mut self, lease_s: f64, now: Time) -> bool {
        let max = SILENT_GAP_LEASES * lease_s;
        let recent = self.last_answered.is_some_and(|t| now.since(t) <= max);
        let answered_long = self.answered_since.is_some_and(|t| now.since(t) >= max);
        self.answered_since = None;
        if !recent || !answered_long {
            return false;
        }
        let consecutive = self.last_lost;
        let consecutive =
            consecutive.is_some_and(|t| now.since(t) <= ANSWERED_INCARNATION_LEASES * lease_s);
        self.lost_incarnations = if consecutive {
            self.lost_incarnations + 1
        } else {
            1
        };
        self.last_lost = Some(now);
        self.lost_incarnations >= MAX_LOST_INCARNATIONS
    }
}
