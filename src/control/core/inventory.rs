//! Record of what the cloud's machine lists show: machines that have not reported yet, and known
//! machines that the lists no longer show.

use std::collections::BTreeMap;

use super::scaling_state::MachineOffer;
use crate::types::{MachineId, Time, TypeName, Zone};

/// Number of the cloud's machine lists in a row that don't show a machine, after which the machine
/// is probably deleted.
const MISSING_LISTS: u32 = 2;
/// Value in `missing` for a machine that the owner wants deleted. The value takes the place of the
/// number of lists that don't show the machine, and exceeds `MISSING_LISTS`.
const MARKED_FOR_DELETION: u32 = u32::MAX / 2;

/// Machine that the cloud granted and that has not reported yet.
#[derive(Clone, Debug)]
pub(super) struct PendingMachine {
    pub(super) kind: TypeName,
    pub(super) zone: Zone,
    pub(super) spot: bool,
    pub(super) since: Time,
}

impl PendingMachine {
    /// Returns a machine that the cloud granted now.
    pub(super) fn requested(offer: &MachineOffer, now: Time) -> Self {
        Self {
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            since: now,
        }
    }
}

/// Machines in the cloud's lists that have not reported, and machines that are missing from the
/// lists.
#[derive(Debug, Default)]
pub(super) struct CloudInventory {
    pending_machines: BTreeMap<MachineId, PendingMachine>,
    /// Number of the cloud's machine lists in a row that did not show a machine, or
    /// `MARKED_FOR_DELETION`.
    missing: BTreeMap<MachineId, u32>,
    /// This owner has read the cloud's machine list since it took the grant.
    listed: bool,
}

impl CloudInventory {
    /// Returns the pending machines, by name.
    pub(super) fn pending_machines(&self) -> &BTreeMap<MachineId, PendingMachine> {
        &self.pending_machines
    }

    /// Returns whether a machine is pending.
    pub(super) fn is_pending(&self, machine: &MachineId) -> bool {
        self.pending_machines.contains_key(machine)
    }

    /// Records a machine as pending (granted by the cloud, but without a heartbeat yet). Replaces
    /// an earlier entry.
    pub(super) fn requested(&mut self, machine: MachineId, pending: PendingMachine) {
        self.pending_machines.insert(machine, pending);
    }

    /// Records a machine as pending unless it already is.
    pub(super) fn expect(&mut self, machine: &MachineId, pending: impl FnOnce() -> PendingMachine) {
        self.pending_machines
            .entry(machine.clone())
            .or_insert_with(pending);
    }

    /// Removes a machine that came up from the pending ones.
    pub(super) fn remove_pending(&mut self, machine: &MachineId) {
        self.pending_machines.remove(machine);
    }

    /// Returns whether this owner has read the cloud's machine list since it took the grant.
    pub(super) fn was_listed(&self) -> bool {
        self.listed
    }

    /// Records that this owner read the cloud's machine list.
    pub(super) fn record_list_read(&mut self) {
        self.listed = true;
    }

    /// Records that the cloud's machine list shows a machine.
    pub(super) fn record_listed(&mut self, machine: &MachineId) {
        self.missing.remove(machine);
    }

    /// Records that the cloud's machine list does not show a machine. Returns `true` once the
    /// machine is probably deleted.
    pub(super) fn record_missing(&mut self, machine: &MachineId) -> bool {
        let count = self.missing.entry(machine.clone()).or_insert(0);
        *count += 1;
        *count >= MISSING_LISTS
    }

    /// Returns whether a machine is probably deleted or is to be deleted.
    pub(super) fn is_missing(&self, machine: &MachineId) -> bool {
        let count = self.missing.get(machine);
        count.is_some_and(|n| *n >= MISSING_LISTS)
    }

    /// Marks a machine that never reported for deletion. Perhaps only its name is known.
    pub(super) fn mark_for_deletion(&mut self, machine: &MachineId) {
        self.expect(machine, || PendingMachine {
            kind: TypeName::from(""),
            zone: Zone::from(""),
            spot: false,
            since: Time(f64::NEG_INFINITY),
        });
        self.missing.insert(machine.clone(), MARKED_FOR_DELETION);
    }

    /// Removes a deleted machine from the pending and the missing machines.
    pub(super) fn forget(&mut self, machine: &MachineId) {
        self.pending_machines.remove(machine);
        self.missing.remove(machine);
    }
}
