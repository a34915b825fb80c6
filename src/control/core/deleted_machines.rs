//! Records of deleted machines for later owners.
//!
//! While the write budget of the state service is short, results wait to be recorded. Meanwhile the
//! records still claim tasks on machines that were returned long before. A new owner would count
//! these claims against limits until the machine list and the cloud had shown that the machines are
//! gone.

use sorrelhinge_sharding::shard::ShardScope;

use crate::state::record::{retired_machines_key, RetiredMachinesRecord, RETIRED_MACHINE_SLOTS};
use crate::state::view::View;
use crate::state::Change;
use crate::types::{MachineId, Time};

/// Maximum delay before the names of deleted machines are recorded, in seconds. The delay lets
/// several names share one record.
const MAX_RECORD_DELAY_S: f64 = 3.0;
/// Number of unrecorded names of deleted machines from which they are recorded at once, without
/// waiting for `MAX_RECORD_DELAY_S`.
const DELETED_MACHINES_PER_RECORD: usize = 60;

/// Names of deleted machines to record, and the slot (one of several records) to record them in.
pub(super) struct DeletedMachines {
    step: u32,
    slot: u32,
    written: RetiredMachinesRecord,
    unwritten: Vec<MachineId>,
    since: Time,
}

impl DeletedMachines {
    /// Loads the record of deleted machines that the previous owner of this shard wrote last, to
    /// continue it. Each shard has its own slots for these records.
    pub(super) fn load(view: &View, scope: ShardScope) -> Self {
        let own = |slot: &u32| slot % scope.of == scope.shard.0;
        let last = view.retired_machines.iter().filter(|(slot, _)| own(slot));
        let last = last.max_by_key(|(_, stored)| stored.mod_revision);
        Self {
            step: scope.of,
            slot: last.map_or(scope.shard.0, |(slot, _)| *slot),
            written: last.map_or(
                RetiredMachinesRecord {
                    version: RetiredMachinesRecord::VERSION,
                    machines: Vec::new(),
                },
                |(_, stored)| stored.value.clone(),
            ),
            unwritten: Vec::new(),
            since: Time(0.0),
        }
    }

    /// Adds a deleted machine to the names to record.
    pub(super) fn add(&mut self, machine: &MachineId, now: Time) {
        if self.unwritten.is_empty() {
            self.since = now;
        }
        self.unwritten.push(machine.clone());
    }

    /// Returns the change that records the new names, or `None` if it is not due. The names go to
    /// the next slot (one of several records) if the record in the current slot is full.
    pub(super) fn change(&mut self, value_bytes: usize, now: Time) -> Option<Change> {
        let due = self.unwritten.len() >= DELETED_MACHINES_PER_RECORD
            || now.since(self.since) >= MAX_RECORD_DELAY_S;
        if self.unwritten.is_empty() || !due {
            return None;
        }
        let weight = |names: &[MachineId]| {
            names
                .iter()
                .map(RetiredMachinesRecord::weight)
                .sum::<usize>()
        };
        let max_bytes = value_bytes * 3 / 4;
        if weight(&self.written.machines) + weight(&self.unwritten) > max_bytes {
            self.slot += self.step;
            if self.slot >= RETIRED_MACHINE_SLOTS {
                self.slot %= self.step;
            }
            self.written.machines.clear();
        }
        let mut left = max_bytes;
        let fits = |name: &&MachineId| {
            left = left.saturating_sub(RetiredMachinesRecord::weight(name));
            left > 0
        };
        let take = self.unwritten.iter().take_while(fits).count();
        self.written.machines.extend(self.unwritten.drain(..take));
        Some(Change::write(
            retired_machines_key(self.slot),
            &self.written,
            None,
        ))
    }
}
