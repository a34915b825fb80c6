//! Choice of the machines that fetch an image from the origin, and of the sources of the
//! others.
//!
//! A machine receives its sources with its start and at no other time. The plan therefore
//! chooses them once and adds alternatives: the machines before its source in the chain,
//! nearest first. If a source is lost, its place in the chain is free, and the machine
//! before it has an upload slot again. A chain thus repairs itself without a message from
//! the controller. Every source starts earlier than the machines that take from it, so no
//! machine waits for itself.
//!
//! Every call looks at a bounded number of sources, whatever the size of the fleet.
//!
//! The submodules contain the limits of a rollout and the uploads in flight (`uploads`),
//! one machine of a rollout (`node`), the choice of a source (`choice`), the chains
//! (`chains`), the stages (`stages`), the starts (`starts`), and the continuation of a
//! rollout by a new owner (`takeover`).

mod chains;
mod choice;
mod node;
mod stages;
mod starts;
mod takeover;
mod uploads;

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{Image, MachineId};

use self::node::{Node, State, Upstream};
use self::stages::LAST_STAGE;
pub use self::stages::MIN_STAGE_S;
pub use self::takeover::{Has, RecentImages};
pub use self::uploads::{Limits, Source, Uploads};
use crate::locality::{Domain, Locality, MemberId};
use crate::record::RolloutRecord;

/// Number of a rollout's machines in each state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Number of machines that wait for the image.
    pub waiting: u32,
    /// Number of machines that are fetching the image.
    pub fetching: u32,
    /// Number of machines that have the complete image.
    pub complete: u32,
}

/// Rollout of an image to the machines that need it, with each machine's state and source.
#[derive(Clone, Debug)]
pub struct Rollout {
    image: Image,
    limits: Limits,
    stage: u32,
    /// Time at which a record of this rollout was last written, in seconds.
    since: f64,
    written: Option<RolloutRecord>,
    refused_until: f64,
    nodes: BTreeMap<MemberId, Node>,
    members: BTreeMap<MachineId, MemberId>,
    next_member: MemberId,
    locality: Locality,
    /// Machines that fetched a copy from outside their zone, each with its zone.
    seeds: BTreeMap<MachineId, Domain>,
    seeds_per_zone: BTreeMap<Domain, u32>,
    waiting: u32,
    fetches: u32,
    complete: u32,
    source_count: u32,
    copies: u64,
    crossings: u64,
}

impl Rollout {
    /// Returns a new rollout that no owner has begun. No machine starts before the first
    /// record of the rollout is written ([`Rollout::next`]).
    pub fn new(image: Image, limits: Limits) -> Self {
        Self {
            image,
            limits,
            stage: 0,
            since: f64::NEG_INFINITY,
            written: None,
            refused_until: f64::NEG_INFINITY,
            nodes: BTreeMap::new(),
            members: BTreeMap::new(),
            next_member: 0,
            locality: Locality::default(),
            seeds: BTreeMap::new(),
            seeds_per_zone: BTreeMap::new(),
            waiting: 0,
            fetches: 0,
            complete: 0,
            source_count: 0,
            copies: 0,
            crossings: 0,
        }
    }

    /// Returns the image that this rollout distributes.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// Returns the number of the stage that is open.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// Returns the record of this rollout as last written.
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.written.as_ref()
    }

    /// Returns the number of machines in each state.
    pub fn counts(&self) -> RolloutCounts {
        RolloutCounts {
            waiting: self.waiting,
            fetching: self.fetches,
            complete: self.complete,
        }
    }

    /// Returns whether no machine waits for the image or fetches it any more. The rollout's
    /// record may then be deleted.
    pub fn over(&self) -> bool {
        self.waiting + self.fetches == 0
    }

    /// Returns the number of copies that this owner requested from the origin. This
    /// includes copies that were continued after a seed was lost.
    pub fn copies(&self) -> u64 {
        self.copies
    }

    /// Returns the number of copies that this owner planned from a machine of another zone.
    pub fn crossings(&self) -> u64 {
        self.crossings
    }

    /// Returns the source that a machine takes the image from, as far as this owner knows.
    /// Returns `None` if the machine does not fetch or a previous owner started it.
    pub fn source(&self, machine: &MachineId) -> Option<Source> {
        match self.node(machine)?.upstream {
            Upstream::None => None,
            Upstream::Origin => Some(Source::Origin),
            Upstream::From(s) => Some(Source::Machine(self.nodes.get(&s)?.id.clone())),
        }
    }

    /// Adds a machine that needs the image, or that already has it (`complete`). The path
    /// names the machine's zone, rack and switch as far as known. A machine that is already
    /// in the rollout stays unchanged.
    pub fn join(&mut self, machine: MachineId, path: &[String], complete: bool) {
        if self.members.contains_key(&machine) {
            return;
        }
        let member = self.new_member_id();
        let node = self.node_of(machine.clone(), path);
        self.nodes.insert(member, node);
        self.members.insert(machine, member);
        if complete {
            self.complete += 1;
            self.change(member, |n| n.state = State::Complete);
        } else {
            self.waiting += 1;
        }
    }

    /// Records that a machine has the complete image, because a task runs on it.
    pub fn arrived(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(member) = self.members.get(machine).copied() else {
            return;
        };
        match self.nodes[&member].state {
            State::Complete => return,
            State::Waits => self.waiting -= 1,
            State::Fetches => self.fetches -= 1,
        }
        self.complete += 1;
        self.detach(member, uploads);
        self.change(member, |n| {
            n.state = State::Complete;
            n.assumed_uploads = 0;
            n.depth = 0;
            n.from.clear();
        });
    }

    /// Removes a machine that was deleted or does not need the image any more. Machines
    /// that took the image from it continue with the next of their sources, as their agents
    /// do.
    pub fn lost(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(member) = self.members.remove(machine) else {
            return;
        };
        self.detach(member, uploads);
        // The machine leaves the index of sources first, or the machines that took from it
        // would be sent back to it.
        self.change(member, |n| n.slow = true);
        if let Some(zone) = self.seeds.remove(machine) {
            if let Some(n) = self.seeds_per_zone.get_mut(&zone) {
                *n -= 1;
            }
        }
        self.move_children(member, uploads, true);
        let Some(node) = self.nodes.remove(&member) else {
            return;
        };
        match node.state {
            State::Waits => self.waiting -= 1,
            State::Fetches => self.fetches -= 1,
            State::Complete => self.complete -= 1,
        }
    }

    /// Records that a machine's cache evicted the image. The machine may [`Rollout::join`]
    /// again.
    pub fn evicted(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        self.lost(machine, uploads);
    }

    /// Records that a machine uploads too slowly. The machine is no longer a source, and
    /// machines that take from it move to another source that has a slot. The machine still
    /// counts as a seed, because otherwise slow seeds would cause requests to the origin
    /// again and again.
    pub fn slow(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(member) = self.members.get(machine).copied() else {
            return;
        };
        self.change(member, |n| n.slow = true);
        self.move_children(member, uploads, false);
    }

    /// Records that the origin refused a request or is too slow. The rollout requests
    /// nothing more from the origin before `until` seconds, while machines continue to
    /// upload to each other.
    pub fn origin_refused(&mut self, until: f64) {
        self.refused_until = self.refused_until.max(until);
    }

    /// Returns the next membership number, which no machine has had before.
    fn new_member_id(&mut self) -> MemberId {
        let member = self.next_member;
        self.next_member += 1;
        member
    }

    /// Returns the entry of a machine that waits for the image.
    fn node_of(&mut self, id: MachineId, path: &[String]) -> Node {
        let domain = self.locality.domain(path);
        Node {
            domain,
            zone: self.locality.zone(domain),
            state: State::Waits,
            upstream: Upstream::None,
            children: BTreeSet::new(),
            assumed_uploads: 0,
            depth: 0,
            from: Vec::new(),
            slow: false,
            id,
        }
    }

    /// Returns the rollout's entry of a machine, if the machine is in the rollout.
    fn node(&self, machine: &MachineId) -> Option<&Node> {
        self.nodes.get(self.members.get(machine)?)
    }
}
