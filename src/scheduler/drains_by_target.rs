//! An index of the active drains by target, for finding the drains of a machine.

use std::collections::HashMap;

use sorrelhinge_topology::drain::Target;

use super::rebalance::ActiveDrain;
use crate::types::MachineId;

/// A drain and its position in the list of all drains. Of two drains that end at the same
/// time, the earlier position applies.
#[derive(Clone, Copy)]
pub(super) struct IndexedDrain<'a> {
    pub index: usize,
    pub active: &'a ActiveDrain,
}

/// Drains by what they cover. As each machine of a fleet may have a drain of its own, the index
/// avoids comparing a machine with the drains of all other machines.
pub(super) struct DrainsByTarget<'a> {
    machines: HashMap<&'a str, Vec<IndexedDrain<'a>>>,
    domains: Vec<IndexedDrain<'a>>,
}

impl<'a> DrainsByTarget<'a> {
    pub(super) fn new(drains: &'a [ActiveDrain]) -> Self {
        let mut by_target = Self {
            machines: HashMap::new(),
            domains: Vec::new(),
        };
        for (index, active) in drains.iter().enumerate() {
            let indexed = IndexedDrain { index, active };
            match &active.drain.target {
                Target::Machine(name) => by_target
                    .machines
                    .entry(name.as_str())
                    .or_default()
                    .push(indexed),
                Target::Domain(_) => by_target.domains.push(indexed),
            }
        }
        by_target
    }

    /// Returns the drains that may cover a machine: the drains of the machine itself and all
    /// drains of domains.
    pub(super) fn candidates(&self, id: &MachineId) -> impl Iterator<Item = IndexedDrain<'a>> + '_ {
        let own = self.machines.get(id.as_str()).into_iter().flatten();
        own.chain(&self.domains).copied()
    }
}
