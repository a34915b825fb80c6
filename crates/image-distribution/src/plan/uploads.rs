//! What bounds a rollout, where an image comes from, and the uploads under way.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::MachineId;

/// What bounds a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Uploads at once of a machine, all images together. One of them is for a
    /// machine whose own source was lost.
    pub slots: u32,
    /// Copies that a zone takes from the origin or from other zones, as long as
    /// one of its machines has or fetches the image.
    pub per_zone: u32,
    /// Copies under way from the origin, all images together.
    pub origin: u32,
    /// From so many machines between the image and the end of every chain, a
    /// zone takes another copy.
    pub deep: u32,
    /// Sources that a start names at most.
    pub sources: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 2,
            per_zone: 3,
            origin: 10,
            deep: 32,
            sources: 6,
        }
    }
}

/// Where an image comes from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// Where all images come from.
    Origin,
    /// A machine that has it or fetches it.
    Machine(MachineId),
}

/// Uploads under way of all rollouts: a machine has several images, and its link is
/// one.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    pub(super) of: BTreeMap<MachineId, u32>,
    pub(super) origin: u32,
}

impl Uploads {
    /// Uploads that a machine is planned to make.
    pub fn of(&self, machine: &MachineId) -> u32 {
        self.of.get(machine).copied().unwrap_or(0)
    }
    /// Copies under way from the origin.
    pub fn origin(&self) -> u32 {
        self.origin
    }
    /// A machine makes one more.
    pub(super) fn add(&mut self, machine: &MachineId) {
        *self.of.entry(machine.clone()).or_default() += 1;
    }
    /// A machine makes one less.
    pub(super) fn sub(&mut self, machine: &MachineId) {
        if let Some(n) = self.of.get_mut(machine) {
            *n -= 1;
            if *n == 0 {
                self.of.remove(machine);
            }
        }
    }
}
