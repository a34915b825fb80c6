//! What the cloud's machine lists show: machines that are on their way, and those that
//! the lists no longer show.

use std::collections::BTreeMap;

use super::scaling_state::MachineOffer;
use crate::types::{MachineId, Time, TypeName, Zone};

/// A machine that so many lists in a row did not show is probably gone.
const MISSING_LISTS: u32 = 2;
/// Counts for a machine that is to be deleted whatever lists show.
const GIVEN_BACK: u32 = u32::MAX / 2;

/// A machine that is on its way.
#[derive(Clone, Debug)]
pub(super) struct PendingMachine {
    pub(super) kind: TypeName,
    pub(super) zone: Zone,
    pub(super) spot: bool,
    pub(super) since: Time,
}

impl PendingMachine {
    /// The cloud granted it now.
    pub(super) fn requested(offer: &MachineOffer, now: Time) -> Self {
        Self {
            kind: offer.kind.clone(),
            zone: offer.zone.clone(),
            spot: offer.spot,
            since: now,
        }
    }
}

/// Machines by the cloud's lists, apart from those that reported.
#[derive(Debug, Default)]
pub(super) struct CloudInventory {
    pending_machines: BTreeMap<MachineId, PendingMachine>,
    /// In how many lists in a row a machine was missing.
    missing: BTreeMap<MachineId, u32>,
    /// A list was read under this grant.
    listed: bool,
}

impl CloudInventory {
    /// Machines that are on their way, by name.
    pub(super) fn pending_machines(&self) -> &BTreeMap<MachineId, PendingMachine> {
        &self.pending_machines
    }

    /// Whether a machine is on its way.
    pub(super) fn is_coming(&self, machine: &MachineId) -> bool {
        self.pending_machines.contains_key(machine)
    }

    /// A machine is on its way, whatever was known of it.
    pub(super) fn requested(&mut self, machine: MachineId, pending: PendingMachine) {
        self.pending_machines.insert(machine, pending);
    }

    /// A machine is on its way, unless that is known already.
    pub(super) fn expect(&mut self, machine: &MachineId, pending: impl FnOnce() -> PendingMachine) {
        self.pending_machines
            .entry(machine.clone())
            .or_insert_with(pending);
    }

    /// A machine is up.
    pub(super) fn came_up(&mut self, machine: &MachineId) {
        self.pending_machines.remove(machine);
    }

    /// Whether a list was read under this grant.
    pub(super) fn was_listed(&self) -> bool {
        self.listed
    }

    /// A list was read.
    pub(super) fn list_read(&mut self) {
        self.listed = true;
    }

    /// A list shows a machine.
    pub(super) fn seen(&mut self, machine: &MachineId) {
        self.missing.remove(machine);
    }

    /// A list does not show a machine. True once it is probably gone.
    pub(super) fn not_seen(&mut self, machine: &MachineId) -> bool {
        let count = self.missing.entry(machine.clone()).or_insert(0);
        *count += 1;
        *count >= MISSING_LISTS
    }

    /// Whether a machine is probably gone, or is to be deleted.
    pub(super) fn is_missing(&self, machine: &MachineId) -> bool {
        let count = self.missing.get(machine);
        count.is_some_and(|n| *n >= MISSING_LISTS)
    }

    /// A machine that never reported is to be deleted; nothing may be known of it but
    /// its name.
    pub(super) fn mark_for_scale_in(&mut self, machine: &MachineId) {
        self.expect(machine, || PendingMachine {
            kind: TypeName::from(""),
            zone: Zone::from(""),
            spot: false,
            since: Time(f64::NEG_INFINITY),
        });
        self.missing.insert(machine.clone(), GIVEN_BACK);
    }

    /// A machine was deleted.
    pub(super) fn forget(&mut self, machine: &MachineId) {
        self.pending_machines.remove(machine);
        self.missing.remove(machine);
    }
}
