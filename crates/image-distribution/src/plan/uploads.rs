//! Limits of a rollout, sources of an image, and uploads in flight.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::MachineId;

/// Limits of a rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of concurrent uploads from a machine, over all images. One of them is
    /// reserved for a machine whose own source was lost.
    pub slots: u32,
    /// Number of copies that a zone takes from the origin or from other zones, as long as
    /// one of its machines has or fetches the image.
    pub per_zone: u32,
    /// Maximum number of copies in flight from the origin, over all images.
    pub origin: u32,
    /// Number of machines between a complete copy and the end of a chain at which a zone
    /// takes another copy. Every chain of the zone has to be that long.
    pub deep: u32,
    /// Maximum number of sources that a start names.
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

/// Source that a machine takes an image from.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The origin, which has all images.
    Origin,
    /// A machine that has the image or fetches it.
    Machine(MachineId),
}

/// Uploads in flight of all rollouts. They are counted together, because a machine has
/// several images but only one link.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    pub(super) of: BTreeMap<MachineId, u32>,
    pub(super) origin: u32,
}

impl Uploads {
    /// Returns the number of uploads that are planned from a machine.
    pub fn of(&self, machine: &MachineId) -> u32 {
        self.of.get(machine).copied().unwrap_or(0)
    }
    /// Returns the number of copies in flight from the origin.
    pub fn origin(&self) -> u32 {
        self.origin
    }
    /// Counts one more upload from a machine.
    pub(super) fn add(&mut self, machine: &MachineId) {
        *self.of.entry(machine.clone()).or_default() += 1;
    }
    /// Counts one upload fewer from a machine.
    pub(super) fn sub(&mut self, machine: &MachineId) {
        if let Some(n) = self.of.get_mut(machine) {
            *n -= 1;
            if *n == 0 {
                self.of.remove(machine);
            }
        }
    }
}
