//! Whether a controller is isolated with its workers: neither the state service nor
//! any other controller answers it.
//!
//! Isolated it took no hints, so it did not know that others were served, stayed
//! healthy, and went on with its workers until what it knew was too old; only then
//! did they look for the next owner, which took them for silent meanwhile.

use std::collections::HashMap;

use sorrelhinge_protocol::types::{MachineId, Time};

/// Other controllers, which send hints twice a second, were silent for so long, in
/// seconds: the state service is asked whether it serves this one.
pub const PROBE_AFTER_S: f64 = 1.0;
/// Both were silent for so long, in seconds: healthy no more within 3 s.
pub const ISOLATED_AFTER_S: f64 = 2.0;
/// Workers remembered as dismissed.
const MAX_DISMISSED_WORKERS: usize = 8192;

/// For how long others have been silent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerContact {
    /// Whether there are other controllers at all.
    pub others: bool,
    /// Seconds since the last message of any of them.
    pub peers_silent_s: f64,
    /// Seconds since the last request that the state service answered was sent.
    pub unserved_s: f64,
}

impl PeerContact {
    /// Whether to ask the state service now: in quiet times it is asked seldom.
    pub fn should_probe_state(&self) -> bool {
        self.others && self.peers_silent_s >= PROBE_AFTER_S
    }

    /// Whether this controller is isolated.
    pub fn is_isolated(&self) -> bool {
        self.others
            && self.peers_silent_s >= ISOLATED_AFTER_S
            && self.unserved_s >= ISOLATED_AFTER_S
    }
}

/// The workers that were dismissed.
///
/// A worker is refused once, so that it looks for the next owner long before its
/// lease ends. One that comes back found nobody: in an outage in which no two
/// controllers reach each other all are isolated, and all refusing it would have ended
/// its tasks. It is answered then, as long as what is known allows.
#[derive(Default)]
pub struct DismissedWorkers {
    dismissed_at: HashMap<MachineId, Time>,
}

impl DismissedWorkers {
    /// Whether a worker that heartbeats is refused now; `lease_s` after that again.
    pub fn refuses(&mut self, machine: &MachineId, lease_s: f64, now: Time) -> bool {
        let back = |at: &Time| now.since(*at) < lease_s;
        if self.dismissed_at.get(machine).is_some_and(back) {
            return false;
        }
        if self.dismissed_at.len() >= MAX_DISMISSED_WORKERS {
            self.dismissed_at.retain(|_, at| back(at));
        }
        // Not remembered as dismissed, it might be refused each time.
        if self.dismissed_at.len() >= MAX_DISMISSED_WORKERS {
            return false;
        }
        self.dismissed_at.insert(machine.clone(), now);
        true
    }

    /// No longer isolated.
    pub fn clear(&mut self) {
        self.dismissed_at.clear();
    }
}
