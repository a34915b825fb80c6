//! How many of the workers heartbeat to other controllers, which forward the heartbeats
//! in batches.
//!
//! Most of what a heartbeat costs is its own connection and packets, and there
//! are only so many sockets. So when the owner of the machines runs short of
//! either, a part of the workers heartbeats to the controllers that idle; who
//! decides does not change.

use std::hash::{DefaultHasher, Hash, Hasher};

use sorrelhinge_protocol::types::{MachineId, NodeId, Time};

/// Above this part of the connections that workers may have open, some are offloaded.
const OFFLOAD_ABOVE_SHARE: f64 = 0.8;
/// Below this part of them offloaded workers come back.
const RETURN_BELOW_SHARE: f64 = 0.5;
/// With this much waiting, in seconds, more are sent elsewhere.
const LONG_WAIT_S: f64 = 0.15;
/// One step of the part, and how long it is given to show, in seconds.
const STEP_SHARE: f64 = 0.2;
const STEP_INTERVAL_S: f64 = 2.0;
const RETURN_INTERVAL_S: f64 = 15.0;

/// The part of the workers that heartbeats elsewhere.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatOffload {
    share: f64,
    since: Option<Time>,
}

/// What the share is decided from.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatLoad {
    /// Machines there are.
    pub machines: usize,
    /// Connections that workers may have open here.
    pub free_capacity: usize,
    /// How long requests wait to be read, in seconds.
    pub wait_s: f64,
    /// Controllers that can take heartbeats for this one.
    pub helpers: usize,
}

impl HeartbeatOffload {
    /// Starts with the part that an earlier owner had.
    pub fn from_share(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            since: None,
        }
    }

    /// Takes in a measurement.
    pub fn take(&mut self, heartbeat_load: HeartbeatLoad, now: Time) {
        let free_capacity = heartbeat_load.free_capacity.max(1) as f64;
        let machines = heartbeat_load.machines as f64;
        let quiet_s = self.since.map_or(f64::INFINITY, |t| now.since(t));
        if heartbeat_load.helpers == 0 {
            self.share = 0.0;
            return;
        }
        // Sockets can be counted ahead: no step has to show first.
        let needed = (1.0 - OFFLOAD_ABOVE_SHARE * free_capacity / machines.max(1.0)).max(0.0);
        if needed > self.share {
            self.share = needed;
            self.since = Some(now);
        } else if heartbeat_load.wait_s > LONG_WAIT_S {
            if quiet_s >= STEP_INTERVAL_S {
                self.share = (self.share + STEP_SHARE).min(1.0);
                self.since = Some(now);
            }
        } else if quiet_s >= RETURN_INTERVAL_S {
            let fits = (1.0 - RETURN_BELOW_SHARE * free_capacity / machines.max(1.0)).max(0.0);
            self.share = (self.share - STEP_SHARE / 2.0).max(fits).min(self.share);
            self.since = Some(now);
        }
    }

    /// The part, 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// To which of `helpers` a machine's worker should heartbeat, if not here.
    /// Always the same ones are sent first, and each to the same helper while
    /// that is there.
    pub fn home<'a>(
        &self,
        machine: &MachineId,
        helpers: impl Iterator<Item = &'a NodeId>,
    ) -> Option<&'a NodeId> {
        let place = (mix(machine.as_str(), "") >> 11) as f64 / (1_u64 << 53) as f64;
        if place >= self.share {
            return None;
        }
        helpers.max_by_key(|node| (mix(machine.as_str(), node.as_str()), node.as_str()))
    }
}

/// A number for a machine and a node: the node with the highest is its home.
fn mix(machine: &str, node: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (machine, node).hash(&mut hasher);
    hasher.finish()
}
