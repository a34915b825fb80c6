//! Operators' drains: which are recorded, and which machines they cover now.

use std::collections::BTreeMap;

use sorrelhinge_topology::drain::{Drain, Target};

use super::Core;
use crate::state::view::View;
use crate::types::{MachineId, Time, Zone};

/// The drains that are recorded, in the order of their numbers.
#[derive(Default)]
pub(super) struct RecordedDrains {
    drains: Vec<Drain>,
}

impl RecordedDrains {
    /// Takes in what the records show. True if that differs from before.
    fn update(&mut self, view: &View) -> bool {
        // Asked at every change of the view: nothing is copied unless it is news.
        let recorded = || view.drains.values().map(|d| &d.value);
        let changed = !recorded().eq(&self.drains);
        if changed {
            self.drains = recorded().cloned().collect();
        }
        changed
    }

    /// Whether nothing is drained.
    fn is_empty(&self) -> bool {
        self.drains.is_empty()
    }

    /// Whether a whole zone is drained. Nothing is rented there: what came up was
    /// drained at once, and rented again and again.
    pub(super) fn covers_zone(&self, zone: &Zone) -> bool {
        let covers_zone =
            |d: &Drain| matches!(&d.target, Target::Domain(path) if path == zone.as_str());
        self.drains.iter().any(covers_zone)
    }

    /// All of them, in the order of their numbers.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Drain> {
        self.drains.iter()
    }
}

/// Whether the machines that a drain covers are given back once they are empty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WhenEmpty {
    /// They are given back.
    Delete,
    /// They stay: at least one drain asks for that.
    Keep,
}

impl Core {
    /// Drains as recorded now.
    pub fn set_drains(&mut self, view: &View, now: Time) {
        if self.drains.update(view) {
            self.refresh_drains(now);
        }
    }

    /// Which machines are drained now: their place, or the drains, may have
    /// changed. An empty one is given back, unless it is to be kept.
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

    /// The machines that drains cover.
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

    /// Notes whether a machine is drained. `covered`: what its drains ask for; none: no
    /// drain covers it.
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
                agent.leave();
            }
        }
    }
}
