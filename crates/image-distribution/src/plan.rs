//! Who fetches an image from the origin, and who gets it from whom.
//!
//! A machine learns its sources with its start and at no other time, so they are
//! chosen once, with others to fall back to: the machines before its source in
//! the chain, nearest first. If a source is lost, its place in the chain is free,
//! and the one before it has an upload slot again: a chain heals without a word
//! from the controller. Every source was started earlier than who takes from it,
//! so nobody waits for itself.
//!
//! Every call looks at a bounded number of sources, whatever the fleet's size.
//!
//! In parts: what bounds a rollout and the uploads under way (`uploads`), a machine of
//! it (`node`), the choice of a source (`choice`), the chains (`chains`), the stages
//! (`stages`), the starts (`starts`), and a rollout
//! gone on with by a new owner (`takeover`).

mod chains;
mod choice;
mod node;
mod stages;
mod starts;
mod takeover;
mod uploads;

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{Image, MachineId};

use self::node::{Node, State, Up};
use self::stages::LAST_STAGE;
pub use self::stages::MIN_STAGE_S;
pub use self::takeover::{Has, RecentImages};
pub use self::uploads::{Limits, Source, Uploads};
use crate::locality::{Domain, Locality, Seat};
use crate::record::RolloutRecord;

/// How many machines of a rollout are how far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RolloutCounts {
    /// Wait for the image.
    pub waiting: u32,
    /// Fetch it.
    pub fetching: u32,
    /// Have it.
    pub complete: u32,
}

/// An image that many machines need: which have it, fetch it or wait for it.
#[derive(Clone, Debug)]
pub struct Rollout {
    image: Image,
    limits: Limits,
    stage: u32,
    /// Seconds at which a record was last written.
    since: f64,
    written: Option<RolloutRecord>,
    refused_until: f64,
    nodes: BTreeMap<Seat, Node>,
    seats: BTreeMap<MachineId, Seat>,
    next_seat: Seat,
    locality: Locality,
    /// Machines that took a copy from outside their zone, and their zones.
    seeds: BTreeMap<MachineId, Domain>,
    heads: BTreeMap<Domain, u32>,
    waiting: u32,
    fetches: u32,
    complete: u32,
    hand_on: u32,
    copies: u64,
    crossings: u64,
}

impl Rollout {
    /// A rollout that nobody has begun. Nothing starts before its first record is
    /// written ([`Rollout::next`]).
    pub fn new(image: Image, limits: Limits) -> Self {
        Self {
            image,
            limits,
            stage: 0,
            since: f64::NEG_INFINITY,
            written: None,
            refused_until: f64::NEG_INFINITY,
            nodes: BTreeMap::new(),
            seats: BTreeMap::new(),
            next_seat: 0,
            locality: Locality::default(),
            seeds: BTreeMap::new(),
            heads: BTreeMap::new(),
            waiting: 0,
            fetches: 0,
            complete: 0,
            hand_on: 0,
            copies: 0,
            crossings: 0,
        }
    }

    /// The image.
    pub fn image(&self) -> &Image {
        &self.image
    }

    /// The stage that is open.
    pub fn stage(&self) -> u32 {
        self.stage
    }

    /// The record as last written.
    pub fn record(&self) -> Option<&RolloutRecord> {
        self.written.as_ref()
    }

    /// How many machines are how far.
    pub fn counts(&self) -> RolloutCounts {
        RolloutCounts {
            waiting: self.waiting,
            fetching: self.fetches,
            complete: self.complete,
        }
    }

    /// No machine waits for it or fetches it any more: its record may be deleted.
    pub fn over(&self) -> bool {
        self.waiting + self.fetches == 0
    }

    /// Copies asked of the origin by this owner, those that were gone on with
    /// when a seed was lost among them.
    pub fn copies(&self) -> u64 {
        self.copies
    }

    /// Copies planned by this owner from a machine of another zone.
    pub fn crossings(&self) -> u64 {
        self.crossings
    }

    /// Whom a machine takes from, by what is known here; none if it doesn't
    /// fetch, or a predecessor started it.
    pub fn source(&self, machine: &MachineId) -> Option<Source> {
        match self.node(machine)?.up {
            Up::None => None,
            Up::Origin => Some(Source::Origin),
            Up::From(s) => Some(Source::Machine(self.nodes.get(&s)?.id.clone())),
        }
    }

    /// Adds a machine that needs the image, or has it (`complete`). Its path: zone, rack,
    /// switch as far as known. One that is in the rollout already stays as it is.
    pub fn join(&mut self, machine: MachineId, path: &[String], complete: bool) {
        if self.seats.contains_key(&machine) {
            return;
        }
        let seat = self.take_seat();
        let node = self.node_of(machine.clone(), path);
        self.nodes.insert(seat, node);
        self.seats.insert(machine, seat);
        if complete {
            self.complete += 1;
            self.change(seat, |n| n.state = State::Complete);
        } else {
            self.waiting += 1;
        }
    }

    /// A machine has the complete image: a task runs on it.
    pub fn arrived(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(seat) = self.seats.get(machine).copied() else {
            return;
        };
        match self.nodes[&seat].state {
            State::Complete => return,
            State::Waits => self.waiting -= 1,
            State::Fetches => self.fetches -= 1,
        }
        self.complete += 1;
        self.detach(seat, uploads);
        self.change(seat, |n| {
            n.state = State::Complete;
            n.assumed = 0;
            n.depth = 0;
            n.from.clear();
        });
    }

    /// A machine was deleted, or doesn't need the image any more. Those that took from it
    /// go on with the next of their sources, as their agents do.
    pub fn lost(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(seat) = self.seats.remove(machine) else {
            return;
        };
        self.detach(seat, uploads);
        // Out of the sources first: its own children would be sent to it.
        self.change(seat, |n| n.slow = true);
        if let Some(zone) = self.seeds.remove(machine) {
            if let Some(n) = self.heads.get_mut(&zone) {
                *n -= 1;
            }
        }
        self.move_children(seat, uploads, true);
        let Some(node) = self.nodes.remove(&seat) else {
            return;
        };
        match node.state {
            State::Waits => self.waiting -= 1,
            State::Fetches => self.fetches -= 1,
            State::Complete => self.complete -= 1,
        }
    }

    /// A machine's image left its cache. It may [`Rollout::join`] again.
    pub fn evicted(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        self.lost(machine, uploads);
    }

    /// A machine hands on too slowly: it is nobody's source from now on, and who
    /// takes from it goes to another that has a slot. It still counts as a seed,
    /// or slow seeds would have the origin asked again and again.
    pub fn slow(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(seat) = self.seats.get(machine).copied() else {
            return;
        };
        self.change(seat, |n| n.slow = true);
        self.move_children(seat, uploads, false);
    }

    /// The origin refused, or is too slow: nothing more is asked of it before
    /// `until` seconds; machines go on handing on.
    pub fn origin_refused(&mut self, until: f64) {
        self.refused_until = self.refused_until.max(until);
    }

    /// The next seat, which no machine has had.
    fn take_seat(&mut self) -> Seat {
        let seat = self.next_seat;
        self.next_seat += 1;
        seat
    }

    /// A machine that waits for the image.
    fn node_of(&mut self, id: MachineId, path: &[String]) -> Node {
        let domain = self.locality.domain(path);
        Node {
            domain,
            zone: self.locality.zone(domain),
            state: State::Waits,
            up: Up::None,
            children: BTreeSet::new(),
            assumed: 0,
            depth: 0,
            from: Vec::new(),
            slow: false,
            id,
        }
    }

    /// A machine of the rollout.
    fn node(&self, machine: &MachineId) -> Option<&Node> {
        self.nodes.get(self.seats.get(machine)?)
    }
}
