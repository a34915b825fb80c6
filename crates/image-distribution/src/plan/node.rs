//! A machine of a rollout: what it has of the image, and its place in a chain.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::MachineId;

use crate::locality::{Domain, Rank, Seat};

/// What a machine has of the image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Nothing: it waits for its start.
    Waits,
    /// A part: it fetches.
    Fetches,
    /// All of it.
    Complete,
}

/// Where a machine takes the image from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Up {
    /// Complete, or not started, or started by a predecessor.
    None,
    Origin,
    From(Seat),
}

/// A machine that waits for the image, fetches it or has it.
#[derive(Clone, Debug)]
pub(super) struct Node {
    pub(super) id: MachineId,
    /// Its innermost failure domain, and its zone.
    pub(super) domain: Domain,
    pub(super) zone: Domain,
    pub(super) state: State,
    pub(super) up: Up,
    pub(super) children: BTreeSet<Seat>,
    /// Uploads that a predecessor may have planned for it.
    pub(super) assumed: u32,
    pub(super) depth: u32,
    /// Its sources by the start it was sent, the best first.
    pub(super) from: Vec<Seat>,
    pub(super) slow: bool,
}

impl Node {
    /// Uploads that it makes, or may make by a plan of before.
    pub(super) fn load(&self) -> u32 {
        self.children.len() as u32 + self.assumed
    }
    /// Its place among sources: who has least to do, and is nearest to the image, comes
    /// first.
    pub(super) fn rank(&self, seat: Seat) -> Rank {
        Rank {
            load: self.load(),
            depth: self.depth,
            seat,
        }
    }
    /// It hands on, to others by now or as soon as it is asked.
    pub(super) fn hands_on(&self) -> bool {
        self.state != State::Waits && !self.slow
    }
    /// Whether it has a slot free.
    pub(super) fn gives(&self, slots: u32) -> bool {
        self.hands_on() && self.load() < slots
    }
}
