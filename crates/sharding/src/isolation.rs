//! Whether a controller is alone with its workers: neither the state service nor
//! any other controller answers it.
//!
//! Alone it took no hints, so it did not know that others were served, stayed
//! healthy, and went on with its workers until what it knew was too old; only then
//! did they look for the next owner, which took them for silent meanwhile.

use std::collections::HashMap;

use sorrelhinge_protocol::types::{MachineId, Time};

/// Nothing was heard of other controllers, which speak twice a second, for so
/// long, in seconds: the state service is asked whether it serves us.
pub const PROBE_AFTER_S: f64 = 1.0;
/// Neither spoke for so long: healthy no more within 3 s.
pub const ISOLATED_AFTER_S: f64 = 2.0;
/// Workers remembered as let go.
const MAX_DISMISSED_WORKERS: usize = 8192;

/// When others last spoke.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerContact {
    /// Whether there are other controllers at all.
    pub others: bool,
    /// Seconds since any of them was heard.
    pub unheard_s: f64,
    /// Seconds since the state service was asked for what it then told.
    pub unserved_s: f64,
}

impl PeerContact {
    /// Whether to ask the state service now: in quiet times it is asked seldom.
    pub fn should_probe_state(&self) -> bool {
        self.others && self.unheard_s >= PROBE_AFTER_S
    }

    /// Whether this controller is alone.
    pub fn is_isolated(&self) -> bool {
        self.others && self.unheard_s >= ISOLATED_AFTER_S && self.unserved_s >= ISOLATED_AFTER_S
    }
}

/// The workers that were let go.
///
/// A worker is refused once, so that it looks for the next owner long before its
/// lease ends. One that comes back found nobody: in an outage in which no two
/// controllers reach each other all are alone, and all refusing it would have ended
/// its tasks. It is answered then, as long as what is known allows.
#[derive(Default)]
pub struct DismissedWorkers {
    told: HashMap<MachineId, Time>,
}

impl DismissedWorkers {
    /// Whether a worker that heartbeats is refused now; `lease_s` after that again.
    pub fn refuses(&mut self, machine: &MachineId, lease_s: f64, now: Time) -> bool {
        let back = |at: &Time| now.since(*at) < lease_s;
        if self.told.get(machine).is_some_and(back) {
            return false;
        }
        if self.told.len() >= MAX_DISMISSED_WORKERS {
            self.told.retain(|_, at| back(at));
        }
        // Not known as told, it might be refused each time.
        if self.told.len() >= MAX_DISMISSED_WORKERS {
            return false;
        }
        self.told.insert(machine.clone(), now);
        true
    }

    /// No longer alone.
    pub fn clear(&mut self) {
        self.told.clear();
    }
}
