//! Decides how many workers send their heartbeats to other controllers, which forward the
//! heartbeats to the owner in batches.
//!
//! Most of the cost of a heartbeat is its connection and its packets, and the number of sockets is
//! limited. If the owner of the machines runs short of processor time or sockets, a share of the
//! workers sends heartbeats to controllers with spare capacity. The owner still makes all
//! decisions.

use std::hash::{DefaultHasher, Hash, Hasher};

use sorrelhinge_protocol::types::{MachineId, NodeId, Time};

/// Share of the workers' connection limit above which some workers are offloaded.
const OFFLOAD_ABOVE_SHARE: f64 = 0.8;
/// Share of the workers' connection limit below which offloaded workers return to the owner.
const RETURN_BELOW_SHARE: f64 = 0.5;
/// Wait of requests above which more workers are offloaded, in seconds.
const LONG_WAIT_S: f64 = 0.15;
/// Share of the workers that one step offloads.
const STEP_SHARE: f64 = 0.2;
/// Minimum time between two steps that offload workers, in seconds, so that a step can take effect.
const STEP_INTERVAL_S: f64 = 2.0;
/// Minimum time before a step that lets offloaded workers return to the owner, in seconds.
const RETURN_INTERVAL_S: f64 = 15.0;

/// Share of the workers that send their heartbeats to other controllers.
#[derive(Clone, Debug, Default)]
pub struct HeartbeatOffload {
    share: f64,
    last_change: Option<Time>,
}

/// Measurements that determine the share of offloaded workers.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatLoad {
    /// Number of machines of the owner.
    pub machines: usize,
    /// Maximum number of open connections of workers at this controller.
    pub free_capacity: usize,
    /// Time for which requests wait to be read, in seconds.
    pub wait_s: f64,
    /// Number of other controllers that accept heartbeats for this one.
    pub helpers: usize,
}

impl HeartbeatOffload {
    /// Starts with the share of offloaded workers that an earlier owner had.
    pub fn from_share(share: f64) -> Self {
        Self {
            share: share.clamp(0.0, 1.0),
            last_change: None,
        }
    }

    /// Updates the share of offloaded workers with a measurement.
    pub fn take(&mut self, heartbeat_load: HeartbeatLoad, now: Time) {
        let free_capacity = heartbeat_load.free_capacity.max(1) as f64;
        let machines = heartbeat_load.machines as f64;
        let quiet_s = self.last_change.map_or(f64::INFINITY, |t| now.since(t));
        if heartbeat_load.helpers == 0 {
            self.share = 0.0;
            return;
        }
        // The number of sockets is known in advance, so the share rises without waiting for an
        // earlier step to take effect.
        let needed = (1.0 - OFFLOAD_ABOVE_SHARE * free_capacity / machines.max(1.0)).max(0.0);
        if needed > self.share {
            self.share = needed;
            self.last_change = Some(now);
        } else if heartbeat_load.wait_s > LONG_WAIT_S {
            if quiet_s >= STEP_INTERVAL_S {
                self.share = (self.share + STEP_SHARE).min(1.0);
                self.last_change = Some(now);
            }
        } else if quiet_s >= RETURN_INTERVAL_S {
            let min_share = (1.0 - RETURN_BELOW_SHARE * free_capacity / machines.max(1.0)).max(0.0);
            self.share = (self.share - STEP_SHARE / 2.0)
                .max(min_share)
                .min(self.share);
            self.last_change = Some(now);
        }
    }

    /// Returns the share of offloaded workers, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the controller of `helpers` to which the worker of a machine should send heartbeats,
    /// or `None` for this controller. The choice is deterministic: the same workers are offloaded
    /// first, each to the same helper while that helper is in `helpers`.
    pub fn home<'a>(
        &self,
        machine: &MachineId,
        helpers: impl Iterator<Item = &'a NodeId>,
    ) -> Option<&'a NodeId> {
        let position = (rendezvous_hash(machine.as_str(), "") >> 11) as f64 / (1_u64 << 53) as f64;
        if position >= self.share {
            return None;
        }
        helpers.max_by_key(|node| {
            (
                rendezvous_hash(machine.as_str(), node.as_str()),
                node.as_str(),
            )
        })
    }
}

/// Returns the rendezvous hash of a machine and a node. An offloaded machine sends heartbeats to
/// the node with the highest hash. The hash with an empty node name determines the order in which
/// machines are offloaded.
fn rendezvous_hash(machine: &str, node: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    (machine, node).hash(&mut hasher);
    hasher.finish()
}
