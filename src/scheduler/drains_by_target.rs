//! Drains by their targets, to find those of a machine.

use std::collections::HashMap;

use sorrelhinge_topology::drain::Target;

use super::rebalance::ActiveDrain;
use crate::types::MachineId;

/// A drain and its place among all: of two that end at one time the first counts.
#[derive(Clone, Copy)]
pub(super) struct NumberedDrain<'a> {
    pub number: usize,
    pub active: &'a ActiveDrain,
}

/// Drains by what they cover: each machine of a fleet may have one of its own, and is not
/// compared with those of all the others.
pub(super) struct DrainsByTarget<'a> {
    machines: HashMap<&'a str, Vec<NumberedDrain<'a>>>,
    domains: Vec<NumberedDrain<'a>>,
}

impl<'a> DrainsByTarget<'a> {
    pub(super) fn new(drains: &'a [ActiveDrain]) -> Self {
        let mut by_target = Self {
            machines: HashMap::new(),
            domains: Vec::new(),
        };
        for (number, active) in drains.iter().enumerate() {
            let numbered = NumberedDrain { number, active };
            match &active.drain.target {
                Target::Machine(name) => by_target
                    .machines
                    .entry(name.as_str())
                    .or_default()
                    .push(numbered),
                Target::Domain(_) => by_target.domains.push(numbered),
            }
        }
        by_target
    }

    /// Those that may cover a machine: its own, and those of domains.
    pub(super) fn candidates(
        &self,
        id: &MachineId,
    ) -> impl Iterator<Item = NumberedDrain<'a>> + '_ {
        let own = self.machines.get(id.as_str()).into_iter().flatten();
        own.chain(&self.domains).copied()
    }
}
