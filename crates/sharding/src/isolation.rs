//! Detection of an isolated controller. A controller is isolated if it reaches its workers,
//! but neither the state service nor any other controller answers it.
//!
//! An isolated controller received no hints, so it did not notice that others were served.
//! It stayed healthy and went on with its workers until its view of the records was too
//! old. Only then did the workers look for the next owner, which meanwhile took them for
//! silent.

use std::collections::HashMap;

use sorrelhinge_protocol::types::{MachineId, Time};

/// Silence of all other controllers after which this controller asks the state service
/// whether it still answers, in seconds. Other controllers send hints twice a second.
pub const PROBE_AFTER_S: f64 = 1.0;
/// Silence of both the other controllers and the state service after which a controller
/// counts as isolated, in seconds. With this value, an isolated controller is no longer
/// healthy within 3 s.
pub const ISOLATED_AFTER_S: f64 = 2.0;
/// Maximum number of dismissed workers that a controller remembers.
const MAX_DISMISSED_WORKERS: usize = 8192;

/// How long the other controllers and the state service have been silent to this
/// controller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PeerContact {
    /// Whether the cluster has other controllers at all.
    pub others: bool,
    /// Seconds since any other controller last sent a message to this controller.
    pub peers_silent_s: f64,
    /// Seconds since this controller sent the last request that the state service answered.
    pub unserved_s: f64,
}

impl PeerContact {
    /// Returns whether to ask the state service now whether it still answers. With little
    /// work a controller asks it rarely, so its last answer may be old.
    pub fn should_probe_state(&self) -> bool {
        self.others && self.peers_silent_s >= PROBE_AFTER_S
    }

    /// Returns whether neither the other controllers nor the state service have answered
    /// for [`ISOLATED_AFTER_S`].
    pub fn is_isolated(&self) -> bool {
        self.others
            && self.peers_silent_s >= ISOLATED_AFTER_S
            && self.unserved_s >= ISOLATED_AFTER_S
    }
}

/// Workers that an isolated controller has refused.
///
/// The controller refuses each worker once, so that the worker looks for the next owner
/// long before its lease ends. A worker that comes back found no other owner. In an outage
/// in which no two controllers reach each other, all controllers are isolated, and if all
/// of them refused a worker, its tasks would end. The controller therefore answers a worker
/// that comes back, as long as its own view of the records allows.
#[derive(Default)]
pub struct DismissedWorkers {
    dismissed_at: HashMap<MachineId, Time>,
}

impl DismissedWorkers {
    /// Returns whether to refuse this worker's heartbeat. After a refusal, the controller
    /// answers the same worker's heartbeats for `lease_s` seconds, then refuses one again.
    pub fn refuses(&mut self, machine: &MachineId, lease_s: f64, now: Time) -> bool {
        let back = |at: &Time| now.since(*at) < lease_s;
        if self.dismissed_at.get(machine).is_some_and(back) {
            return false;
        }
        if self.dismissed_at.len() >= MAX_DISMISSED_WORKERS {
            self.dismissed_at.retain(|_, at| back(at));
        }
        // A worker that can't be remembered as dismissed is never refused, because it might
        // be refused at every heartbeat.
        if self.dismissed_at.len() >= MAX_DISMISSED_WORKERS {
            return false;
        }
        self.dismissed_at.insert(machine.clone(), now);
        true
    }

    /// Forgets all dismissed workers, because this controller is no longer isolated.
    pub fn clear(&mut self) {
        self.dismissed_at.clear();
    }
}
