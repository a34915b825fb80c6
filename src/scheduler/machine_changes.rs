//! Changes of machines, with the capacity index and the sums that depend on them.

use super::{ClusterState, Machine};
use crate::types::MachineId;

impl ClusterState {
    /// Changes a machine and updates the total capacity and the capacity index. Claims
    /// change through `put_claim` and `release` instead.
    pub fn edit_machine<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.machines.get_mut(id)?;
        let before = machine.usable;
        let result = change(machine);
        match (before, machine.usable) {
            (false, true) => self.capacity += machine.kind.total,
            (true, false) => self.capacity -= machine.kind.total,
            _ => {}
        }
        self.capacity_index.file(id, machine);
        Some(result)
    }

    /// Adds a machine, with the claims on it that were found before the machine was known.
    pub fn add_machine(&mut self, id: MachineId, machine: Machine) {
        if machine.usable {
            self.capacity += machine.kind.total;
        }
        self.machines.insert(id.clone(), machine);
        for task in self
            .claims_on_unknown_machines
            .remove(&id)
            .unwrap_or_default()
        {
            self.add_claim_to_machine(&id, &task);
        }
        self.edit_machine(&id, |_| ());
    }

    /// Removes a machine. No task may claim it any more.
    pub fn remove_machine(&mut self, id: &MachineId) {
        self.edit_machine(id, |m| m.usable = false);
        self.machines.remove(id);
        self.reserved.remove(id);
        self.gang_free_capacity.remove(id);
        self.reservations.drop_machine(id);
        self.claims_on_unknown_machines.remove(id);
    }
}
