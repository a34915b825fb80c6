//! One machine of a rollout: its part of the image, and its place in a chain.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::MachineId;

use crate::locality::{Domain, MemberId, Rank};

/// State of the image on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The machine has nothing of the image and waits for its start.
    Waits,
    /// The machine has a part of the image and fetches the rest.
    Fetches,
    /// The machine has the complete image.
    Complete,
}

/// Source that a machine takes the image from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Upstream {
    /// The machine is complete, or was not started, or was started by a previous owner.
    None,
    Origin,
    From(MemberId),
}

/// A machine that waits for the image, fetches it or has it.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) id: MachineId,
    /// Innermost failure domain that contains the machine.
    pub(super) domain: Domain,
    /// Zone that contains the machine.
    pub(super) zone: Domain,
    pub(super) state: State,
    pub(super) upstream: Upstream,
    pub(super) children: BTreeSet<MemberId>,
    /// Number of uploads that a previous owner may have planned from this machine.
    pub(super) assumed_uploads: u32,
    pub(super) depth: u32,
    /// Sources that the machine's start named, the best one first.
    pub(super) from: Vec<MemberId>,
    pub(super) slow: bool,
}

impl Node {
    /// Returns the number of uploads from this machine, including those that a previous
    /// owner may have planned.
    pub(super) fn load(&self) -> u32 {
        self.children.len() as u32 + self.assumed_uploads
    }
    /// Returns the machine's place among the sources. Machines with the fewest uploads and
    /// the shortest distance to a complete copy come first.
    pub(super) fn rank(&self, member: MemberId) -> Rank {
        Rank {
            load: self.load(),
            depth: self.depth,
            member,
        }
    }
    /// Returns whether the machine can be a source, so that others take from it now or can
    /// do so on request.
    pub(super) fn is_source(&self) -> bool {
        self.state != State::Waits && !self.slow
    }
    /// Returns whether the machine can be a source and has a free upload slot.
    pub(super) fn has_free_slot(&self, slots: u32) -> bool {
        self.is_source() && self.load() < slots
    }
}
