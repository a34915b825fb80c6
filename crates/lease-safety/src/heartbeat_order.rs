//! Detects late duplicates of heartbeats.
//!
//! Duplicates arrive seconds to well over a lease after the original heartbeat. One duplicate, at a
//! controller that accepts heartbeats for others, made a lost machine count as up. Another
//! redirected a working machine to a different controller. The incarnation and the tick (sequence
//! number) order the messages of a worker (PROTOCOL). A heartbeat that is not newer than an earlier
//! one is therefore a duplicate, and no worker waits for its answer.

use std::collections::HashMap;

use sorrelhinge_protocol::types::{Incarnation, MachineId, SequenceNumber, Time};

/// Time without heartbeats after which the entry of a machine is removed, in seconds. It is well
/// over a lease, and longer than the network delays packets.
pub const MACHINE_RETENTION_S: f64 = 600.0;
/// Maximum number of machines whose newest heartbeat is remembered. Beyond it, the machines without
/// a heartbeat for the longest time are removed first.
pub const MAX_MACHINES: usize = 20_000;

/// Newest heartbeat of a machine, and the time at which it arrived.
struct Newest {
    incarnation: Incarnation,
    sequence: SequenceNumber,
    at: Time,
}

/// Newest heartbeat of each machine that sends heartbeats to this controller.
#[derive(Default)]
pub struct HeartbeatOrder {
    newest: HashMap<MachineId, Newest>,
    last_cleanup: Option<Time>,
}

impl HeartbeatOrder {
    /// Records a heartbeat. Returns `false` if it is a duplicate of an earlier one.
    pub fn is_new(
        &mut self,
        machine: &MachineId,
        incarnation: Incarnation,
        sequence: SequenceNumber,
        now: Time,
    ) -> bool {
        self.remove_expired(now);
        let heartbeat = Newest {
            incarnation,
            sequence,
            at: now,
        };
        if let Some(known) = self.newest.get_mut(machine) {
            if (incarnation, sequence) <= (known.incarnation, known.sequence) {
                return false;
            }
            *known = heartbeat;
        } else {
            self.newest.insert(machine.clone(), heartbeat);
        }
        true
    }

    /// Returns the number of machines whose newest heartbeat is remembered.
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Returns whether no heartbeat of any machine is remembered.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Removes machines without a recent heartbeat. If too many are left, removes those without a
    /// heartbeat for the longest time.
    fn remove_expired(&mut self, now: Time) {
        let full = self.newest.len() >= MAX_MACHINES;
        let due = self
            .last_cleanup
            .is_none_or(|t| now.since(t) > MACHINE_RETENTION_S / 4.0);
        if !full && !due {
            return;
        }
        self.last_cleanup = Some(now);
        let mut keep_s = MACHINE_RETENTION_S;
        self.newest
            .retain(|_, heartbeat| now.since(heartbeat.at) <= keep_s);
        while self.newest.len() >= MAX_MACHINES {
            keep_s /= 2.0;
            if keep_s < 1.0 {
                self.newest.clear();
            }
            self.newest
                .retain(|_, heartbeat| now.since(heartbeat.at) <= keep_s);
        }
    }
}
