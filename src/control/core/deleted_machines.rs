//! Deleted machines, noted for the owners to come.
//!
//! While changes are short, results wait, and records claim tasks on machines
//! that were given back long ago. A new owner would count them against limits
//! until the machine list and the cloud have told it what this owner knew.

use sorrelhinge_sharding::shard::ShardScope;

use crate::state::record::{retired_machines_key, RetiredMachinesRecord, RETIRED_MACHINE_SLOTS};
use crate::state::view::View;
use crate::state::Change;
use crate::types::{MachineId, Time};

/// Names wait so long for company, in seconds.
const WAIT_S: f64 = 3.0;
/// But so many are written at once.
const DELETED_MACHINES_PER_RECORD: usize = 60;

/// The names to write, and where.
pub(super) struct DeletedMachines {
    step: u32,
    slot: u32,
    written: RetiredMachinesRecord,
    unwritten: Vec<MachineId>,
    since: Time,
}

impl DeletedMachines {
    /// Goes on where the last owner was: in the list that was written last.
    /// Each of several owners has slots of its own.
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

    /// A machine was deleted.
    pub(super) fn add(&mut self, machine: &MachineId, now: Time) {
        if self.unwritten.is_empty() {
            self.since = now;
        }
        self.unwritten.push(machine.clone());
    }

    /// The change to make, if it is time: a list with the new names, in the
    /// next slot if this one is full.
    pub(super) fn change(&mut self, value_bytes: usize, now: Time) -> Option<Change> {
        let due =
            self.unwritten.len() >= DELETED_MACHINES_PER_RECORD || now.since(self.since) >= WAIT_S;
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
