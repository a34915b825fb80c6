//! Operators' drains: the recorded drains, and the machines that they cover now.

use std::collections::BTreeMap;

use sorrelhinge_topology::drain::{Drain, Target};

use super::Core;
use crate::state::view::View;
use crate::types::{MachineId, Time, Zone};

/// Recorded drains, in the order of their numbers.
#[derive(Default)]
pub(super) struct RecordedDrains {
    drains: Vec<Drain>,
}

impl RecordedDrains {
    /// Updates the drains from the records. Returns true if they changed.
    fn update(&mut self, view: &View) -> bool {
        // Every change of the view calls this, so it copies the drains only if they changed.
        let recorded = || view.drains.values().map(|d| &d.value);
        let changed = !recorded().eq(&self.drains);
        if changed {
            self.drains = recorded().cloned().collect();
        }
        changed
    }

    /// Returns whether no drain is recorded.
    fn is_empty(&self) -> bool {
        self.drains.is_empty()
    }

    /// Returns whether a drain covers a whole zone. No machine is rented in such a zone. Without
    /// this check a machine that came up there was drained at once, and machines were rented
    /// again and again.
    pub(super) fn covers_zone(&self, zone: &Zone) -> bool {
        let covers_zone =
            |d: &Drain| matches!(&d.target, Target::Domain(path) if path == zone.as_str());
        self.drains.iter().any(covers_zone)
    }

    /// Returns all drains, in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Drain> {
        self.drains.iter()
    }
}

/// Whether the machines that a drain covers are deleted once they are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WhenEmpty {
    /// Empty machines are deleted.
    Delete,
    /// Empty machines stay, because at least one drain asks to keep them.
    Keep,
}

impl Core {
    /// Updates the drains from the records.
    pub fn set_drains(&mut self, view: &View, now: Time) {
        if self.drains.update(view) {
            self.refresh_drains(now);
        }
    }

    /// Updates which machines are draining, after a change of the drains or of a machine's place
    /// in the topology. Empty draining machines are deleted unless a drain keeps them.
    pub(super) fn refresh_drains(&mut self, now: Time) {
        if self.drains.is_empty() && !self.cluster_state.machines().values().any(|m| m.draining) {
            return;
        }
        let covered = self.covered_by_drains();
        let ids: Vec<MachineId> = self.agents.ids().cloned().collect();
        for id in ids {
            self.refresh_drain_of(&id, covered.get(&id).copied(), now);
        }
    }

    /// Returns the machines that drains cover.
    fn covered_by_drains(&self) -> BTreeMap<MachineId, WhenEmpty> {
        let mut covered = BTreeMap::new();
        for drain in self.drains.iter() {
            for id in self.cluster_state.drained(drain) {
                let when_empty = covered.entry(id.clone()).or_insert(WhenEmpty::Delete);
                if drain.keep {
                    *when_empty = WhenEmpty::Keep;
                }
            }
        }
        covered
    }

    /// Updates whether a machine is draining. `covered` states what happens once it is empty. It
    /// is `None` if no drain covers the machine.
    fn refresh_drain_of(&mut self, id: &MachineId, covered: Option<WhenEmpty>, now: Time) {
        let draining = covered.is_some();
        let machine = self.cluster_state.machines().get(id);
        let was_draining = machine.is_some_and(|m| m.draining);
        let empty = machine.is_some_and(|m| m.claims.is_empty());
        if was_draining != draining {
            self.cluster_state
                .edit_machine(id, |m| m.draining = draining);
            tracing::info!(machine = %id, draining, "machine drain changed");
            self.refresh_machine(id, now);
        }
        if covered == Some(WhenEmpty::Delete) && empty {
            if let Some(agent) = self.agents.get_mut(id) {
                agent.retire();
            }
        }
    }
}
