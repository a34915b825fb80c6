//! Which heartbeat is a late copy of an earlier one.
//!
//! Copies of heartbeats come late, from seconds to well over a lease. One that came
//! to a controller that takes heartbeats for others kept a dead machine alive, and
//! sent a live one to another controller. Incarnation and tick order a worker's
//! messages (PROTOCOL), so what is not newer than what came before is a copy, and
//! no worker waits for its answer.

use std::collections::HashMap;

use sorrelhinge_protocol::types::{Incarnation, MachineId, SequenceNumber, Time};

/// A machine that did not heartbeat for so long is forgotten, in seconds: well over
/// a lease, and longer than packets are delayed.
pub const MACHINE_MEMORY_S: f64 = 600.0;
/// So many machines are known at the most. Beyond, those that were quiet for
/// longest are forgotten first.
pub const MAX_MACHINES: usize = 20_000;

/// The newest heartbeat of a machine, and when it came.
struct Newest {
    incarnation: Incarnation,
    sequence: SequenceNumber,
    at: Time,
}

/// The newest heartbeat of each machine that came here.
#[derive(Default)]
pub struct HeartbeatOrder {
    newest: HashMap<MachineId, Newest>,
    tidied: Option<Time>,
}

impl HeartbeatOrder {
    /// Takes note of a heartbeat. False if it is a copy.
    pub fn is_new(
        &mut self,
        machine: &MachineId,
        incarnation: Incarnation,
        sequence: SequenceNumber,
        now: Time,
    ) -> bool {
        self.tidy(now);
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

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }

    /// Forgets machines that were quiet for long, and the quietest of too many.
    fn tidy(&mut self, now: Time) {
        let full = self.newest.len() >= MAX_MACHINES;
        let due = self
            .tidied
            .is_none_or(|t| now.since(t) > MACHINE_MEMORY_S / 4.0);
        if !full && !due {
            return;
        }
        self.tidied = Some(now);
        let mut keep_s = MACHINE_MEMORY_S;
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
