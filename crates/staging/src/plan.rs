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

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{Image, MachineId};

use crate::near::{Domain, Near, Rank, Seat, ALL};
use crate::record::{WaveRecord, VERSION};

/// Machines of the first stage.
const FIRST_STAGE_MACHINES: u32 = 12;
/// Each stage has so many times the machines of the one before.
const STAGE_GROWTH_FACTOR: u32 = 4;
/// A stage is open for at least so long, and seeds are written no more often: a
/// wave of 10,000 machines is six changes.
pub const MIN_STAGE_S: f64 = 1.0;
/// No stage beyond: more machines than there can be.
const LAST_STAGE: u32 = 9;
/// So many sources of a domain are looked at before a wider one is.
const MAX_SOURCES_LOOKED_AT: usize = 16;
/// A nearer source may be so many machines further from the image than the best
/// of the zone: otherwise one rack's chain would grow without end.
const MAX_EXTRA_DEPTH: u32 = 64;
/// Other whole machines that are named as alternatives.
const MAX_OTHER_SOURCES: usize = 2;

/// What bounds a wave.
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

/// What is known of a machine's image at a takeover.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Has {
    /// A task has run on it here.
    Whole,
    /// It fetches; so much is there (0 to 1), 0 if not known.
    Part(f64),
}

/// A machine as a successor finds it.
#[derive(Clone, Debug)]
pub struct Ran<'a> {
    /// The machine.
    pub machine: MachineId,
    /// Its failure domains, the zone first.
    pub path: &'a [String],
    /// What it has of the image.
    pub has: Has,
}

/// Uploads under way of all waves: a machine has several images, and its link is
/// one.
#[derive(Clone, Debug, Default)]
pub struct Uploads {
    of: BTreeMap<MachineId, u32>,
    origin: u32,
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
    fn add(&mut self, machine: &MachineId) {
        *self.of.entry(machine.clone()).or_default() += 1;
    }
    fn sub(&mut self, machine: &MachineId) {
        if let Some(n) = self.of.get_mut(machine) {
            *n -= 1;
            if *n == 0 {
                self.of.remove(machine);
            }
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Wants,
    Fetches,
    Whole,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Up {
    /// Whole, or not started, or started by a predecessor.
    None,
    Origin,
    From(Seat),
}

#[derive(Clone, Debug)]
struct Node {
    id: MachineId,
    /// Its innermost failure domain, and its zone.
    domain: Domain,
    zone: Domain,
    state: State,
    up: Up,
    children: BTreeSet<Seat>,
    /// Uploads that a predecessor may have planned for it.
    assumed: u32,
    depth: u32,
    /// Its sources by the start it was sent, the best first.
    from: Vec<Seat>,
    slow: bool,
}

impl Node {
    fn load(&self) -> u32 {
        self.children.len() as u32 + self.assumed
    }
    fn rank(&self, seat: Seat) -> Rank {
        Rank {
            load: self.load(),
            depth: self.depth,
            seat,
        }
    }
    /// It hands on, to others by now or as soon as it is asked.
    fn hands_on(&self) -> bool {
        self.state != State::Wants && !self.slow
    }
    fn gives(&self, slots: u32) -> bool {
        self.hands_on() && self.load() < slots
    }
}

/// An image that many machines want: who has it, fetches it, wants it.
#[derive(Clone, Debug)]
pub struct Wave {
    image: Image,
    limits: Limits,
    stage: u32,
    /// Seconds at which a record was last written.
    since: f64,
    written: Option<WaveRecord>,
    refused_until: f64,
    nodes: BTreeMap<Seat, Node>,
    seats: BTreeMap<MachineId, Seat>,
    next_seat: Seat,
    near: Near,
    /// Machines that took a copy from outside their zone, and their zones.
    seeds: BTreeMap<MachineId, Domain>,
    heads: BTreeMap<Domain, u32>,
    wants: u32,
    fetches: u32,
    whole: u32,
    hand_on: u32,
    copies: u64,
    crossings: u64,
}

impl Wave {
    /// A wave that nobody has begun. Nothing starts before its first record is
    /// written ([`Wave::next`]).
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
            near: Near::default(),
            seeds: BTreeMap::new(),
            heads: BTreeMap::new(),
            wants: 0,
            fetches: 0,
            whole: 0,
            hand_on: 0,
            copies: 0,
            crossings: 0,
        }
    }

    /// A predecessor's wave, with the machines on which the image ran or whose
    /// fetch was begun; none if the record is of a later version. `now` in
    /// seconds. Seeds that are there still count, so the origin isn't asked for
    /// their copies again. Who takes from whom isn't known: new machines take
    /// from those that have least, which are the ends of the chains, and after
    /// that from each other.
    pub fn resume<'a>(
        record: &WaveRecord,
        limits: Limits,
        ran: impl IntoIterator<Item = Ran<'a>>,
        uploads: &mut Uploads,
        now: f64,
    ) -> Option<Self> {
        if !record.known() {
            return None;
        }
        let mut wave = Self::new(record.image.clone(), limits);
        wave.stage = record.stage.min(LAST_STAGE);
        wave.since = now;
        wave.written = Some(record.clone());
        let seeds: BTreeSet<&MachineId> = record.seeds.iter().collect();
        // In order of names, whatever order they come in: all draw the same.
        let mut ran: Vec<Ran> = ran.into_iter().collect();
        ran.sort_by(|a, b| a.machine.cmp(&b.machine));
        ran.dedup_by(|b, a| a.machine == b.machine);
        let mut ranks = Vec::with_capacity(ran.len());
        let mut seats = Vec::with_capacity(ran.len());
        let mut nodes = Vec::with_capacity(ran.len());
        for r in ran {
            let (seat, mut node) = wave.node_of(r.machine.clone(), r.path);
            match r.has {
                Has::Whole => {
                    node.state = State::Whole;
                    wave.whole += 1;
                }
                Has::Part(done) => {
                    node.state = State::Fetches;
                    // It may have a child; of one slot it is asked all the same.
                    node.assumed = limits.slots.saturating_sub(1).min(1);
                    node.depth = 1 + (done.clamp(0.0, 1.0) * f64::from(limits.deep)) as u32;
                    wave.fetches += 1;
                }
            }
            // In the first stage no record names the seeds yet: who fetches may
            // be one, or the next owner would ask for a zone's copies again.
            let maybe = record.stage == 0
                && node.state == State::Fetches
                && wave.heads_of(node.zone) < limits.per_zone;
            if seeds.contains(&r.machine) || maybe {
                wave.seed(&node.id, node.zone);
                if node.state == State::Fetches {
                    node.up = Up::Origin;
                    uploads.origin += 1;
                }
            }
            wave.hand_on += 1;
            if node.gives(limits.slots) {
                ranks.push((node.domain, node.rank(seat)));
            }
            nodes.push((seat, node));
            seats.push((r.machine, seat));
        }
        wave.nodes = nodes.into_iter().collect();
        wave.seats = seats.into_iter().collect();
        wave.near.fill(&ranks);
        Some(wave)
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
    pub fn record(&self) -> Option<&WaveRecord> {
        self.written.as_ref()
    }
    /// Machines that want it, that fetch it, that have it.
    pub fn counts(&self) -> (u32, u32, u32) {
        (self.wants, self.fetches, self.whole)
    }
    /// Nobody wants or fetches it any more: its record may be deleted.
    pub fn over(&self) -> bool {
        self.wants + self.fetches == 0
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

    /// A machine that wants the image, or has it (`whole`). Its path: zone, rack,
    /// switch as far as known. One that is in the wave already stays as it is.
    pub fn join(&mut self, machine: MachineId, path: &[String], whole: bool) {
        if self.seats.contains_key(&machine) {
            return;
        }
        let (seat, node) = self.node_of(machine.clone(), path);
        self.nodes.insert(seat, node);
        self.seats.insert(machine, seat);
        if whole {
            self.whole += 1;
            self.change(seat, |n| n.state = State::Whole);
        } else {
            self.wants += 1;
        }
    }

    /// The record to write, if a step is due at `now` seconds: the wave's first,
    /// the next stage's, or one with other seeds. [`Wave::written`] once it is.
    pub fn next(&self, now: f64) -> Option<WaveRecord> {
        let record = |stage| WaveRecord {
            v: VERSION,
            image: self.image.clone(),
            stage,
            seeds: self.seeds.keys().cloned().collect(),
        };
        let Some(written) = &self.written else {
            return Some(record(0));
        };
        if now - self.since < MIN_STAGE_S {
            return None;
        }
        // A wave widens only while somebody has the image to hand on: if all
        // seeds were refused, each stage more would ask the origin for more.
        let flows = self.whole > 0 || (self.fetches > 0 && !self.refused(now));
        let full = self.wants > 0 && self.fetches >= self.allowed();
        if full && flows && self.stage < LAST_STAGE {
            return Some(record(self.stage + 1));
        }
        let same = written.seeds.len() == self.seeds.len()
            && written.seeds.iter().all(|m| self.seeds.contains_key(m));
        (!same).then(|| record(self.stage))
    }
    /// A record is in shared state since `now` seconds: its stage is open.
    pub fn written(&mut self, record: WaveRecord, now: f64) {
        self.stage = self.stage.max(record.stage);
        self.since = now;
        self.written = Some(record);
    }

    /// Whether a start may be sent to a machine now that will make it fetch the
    /// image. True also for one that fetches or has it.
    pub fn may_start(&self, machine: &MachineId, uploads: &Uploads, now: f64) -> bool {
        let Some(node) = self.node(machine) else {
            return false;
        };
        match node.state {
            State::Whole | State::Fetches => true,
            State::Wants => {
                self.written.is_some()
                    && self.fetches < self.allowed()
                    && self.choose(node, uploads, now).is_some()
            }
        }
    }

    /// The sources of a machine for the start that is sent to it now, the best
    /// first; what follows the last is the origin. Empty for a machine that has
    /// it or isn't known. Asked again for one that fetches, it names what is left of its
    /// sources: the start may be sent twice.
    pub fn assign(&mut self, machine: &MachineId, uploads: &mut Uploads, now: f64) -> Vec<Source> {
        let Some(seat) = self.seats.get(machine).copied() else {
            return Vec::new();
        };
        let node = &self.nodes[&seat];
        match node.state {
            State::Whole => return Vec::new(),
            State::Fetches => return self.named(node),
            State::Wants => {}
        }
        let up = self.choose(node, uploads, now).unwrap_or(Up::Origin);
        let from = match up {
            Up::From(source) => self.alternatives(node.zone, source),
            _ => Vec::new(),
        };
        self.wants -= 1;
        self.fetches += 1;
        self.change(seat, |n| {
            n.state = State::Fetches;
            n.from = from;
        });
        self.attach(seat, up, uploads);
        self.named(&self.nodes[&seat])
    }

    /// A machine has the whole image: a task runs on it.
    pub fn arrived(&mut self, machine: &MachineId, uploads: &mut Uploads) {
        let Some(seat) = self.seats.get(machine).copied() else {
            return;
        };
        match self.nodes[&seat].state {
            State::Whole => return,
            State::Wants => self.wants -= 1,
            State::Fetches => self.fetches -= 1,
        }
        self.whole += 1;
        self.detach(seat, uploads);
        self.change(seat, |n| {
            n.state = State::Whole;
            n.assumed = 0;
            n.depth = 0;
            n.from.clear();
        });
    }

    /// A machine is gone, or doesn't want the image any more. Who took from it
    /// goes on with the next of its sources, as its agent does.
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
            State::Wants => self.wants -= 1,
            State::Fetches => self.fetches -= 1,
            State::Whole => self.whole -= 1,
        }
    }

    /// A machine's image left its cache. It may [`Wave::join`] again.
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

    fn node_of(&mut self, id: MachineId, path: &[String]) -> (Seat, Node) {
        let seat = self.next_seat;
        self.next_seat += 1;
        let domain = self.near.domain(path);
        let node = Node {
            domain,
            zone: self.near.zone(domain),
            state: State::Wants,
            up: Up::None,
            children: BTreeSet::new(),
            assumed: 0,
            depth: 0,
            from: Vec::new(),
            slow: false,
            id,
        };
        (seat, node)
    }
    fn node(&self, machine: &MachineId) -> Option<&Node> {
        self.nodes.get(self.seats.get(machine)?)
    }
    fn refused(&self, now: f64) -> bool {
        now < self.refused_until
    }
    /// Machines that may fetch at once.
    fn allowed(&self) -> u32 {
        let stage = FIRST_STAGE_MACHINES * STAGE_GROWTH_FACTOR.pow(self.stage.min(LAST_STAGE));
        stage.max(self.whole)
    }
    fn heads_of(&self, zone: Domain) -> u32 {
        self.heads.get(&zone).copied().unwrap_or(0)
    }
    fn named(&self, node: &Node) -> Vec<Source> {
        let named = node.from.iter().filter_map(|s| self.nodes.get(s));
        let named: Vec<Source> = named.map(|n| Source::Machine(n.id.clone())).collect();
        if named.is_empty() {
            return vec![Source::Origin];
        }
        named
    }

    /// The best source for a machine; none if it has to wait.
    fn choose(&self, node: &Node, uploads: &Uploads, now: f64) -> Option<Up> {
        let zone = node.zone;
        let origin = uploads.origin < self.limits.origin && !self.refused(now);
        let head = origin && self.heads_of(zone) < self.limits.per_zone;
        if let Some(best) = self.free(zone, 0, uploads) {
            if head && best.depth >= self.limits.deep {
                return Some(Up::Origin);
            }
            let inner = self.near.around(node.domain).filter(|d| *d != zone);
            let near = inner
                .filter_map(|d| self.free(d, 0, uploads))
                .find(|r| r.depth <= best.depth + MAX_EXTRA_DEPTH);
            return Some(Up::From(near.unwrap_or(best).seat));
        }
        if head {
            return Some(Up::Origin);
        }
        // Whoever shares a source gets half of its rate: better than to wait for
        // minutes, and than another copy from outside.
        let most = self.limits.slots.saturating_sub(1);
        let shared = self.free(zone, most, uploads);
        let other = || self.free(ALL, most, uploads);
        if let Some(r) = shared.or_else(other) {
            return Some(Up::From(r.seat));
        }
        // Nobody hands on any more, say as all are too slow: without this, who
        // wants the image would wait for ever. Full sources are waited for, as
        // who takes from them is a source next.
        (origin && self.hand_on == 0).then_some(Up::Origin)
    }

    /// The best source of a domain with at most `most` uploads, those of other
    /// images counted.
    fn free(&self, domain: Domain, most: u32, uploads: &Uploads) -> Option<Rank> {
        let few = self.near.of(domain).take(MAX_SOURCES_LOOKED_AT);
        few.take_while(|r| r.load <= most).find(|r| {
            let all = self.nodes.get(&r.seat).map(|n| uploads.of(&n.id));
            all.is_some_and(|all| all <= most)
        })
    }

    /// A source and what follows it: those before it in its chain, or other whole
    /// machines of the zone. All were started earlier than who asks.
    fn alternatives(&self, zone: Domain, source: Seat) -> Vec<Seat> {
        let mut from = vec![source];
        let Some(node) = self.nodes.get(&source) else {
            return from;
        };
        let alive = |s: &&Seat| self.nodes.get(s).is_some_and(|n| !n.slow);
        from.extend(node.from.iter().filter(alive));
        from.truncate(self.limits.sources);
        if node.up != Up::Origin && from.len() < self.limits.sources {
            let whole = self
                .near
                .of(zone)
                .take(MAX_SOURCES_LOOKED_AT)
                .map(|r| r.seat);
            let whole =
                whole.filter(|s| self.nodes.get(s).is_some_and(|n| n.state == State::Whole));
            let more: Vec<Seat> = whole
                .filter(|s| !from.contains(s))
                .take(MAX_OTHER_SOURCES)
                .collect();
            from.extend(more);
            from.truncate(self.limits.sources);
        }
        from
    }

    /// Changes a machine, and its place among the sources with it.
    fn change(&mut self, seat: Seat, change: impl FnOnce(&mut Node)) {
        let Some(node) = self.nodes.get_mut(&seat) else {
            return;
        };
        if node.gives(self.limits.slots) {
            self.near.remove(node.domain, node.rank(seat));
        }
        let before = u32::from(node.hands_on());
        change(node);
        self.hand_on = self.hand_on + u32::from(node.hands_on()) - before;
        if node.gives(self.limits.slots) {
            self.near.insert(node.domain, node.rank(seat));
        }
    }

    fn seed(&mut self, machine: &MachineId, zone: Domain) {
        if self.seeds.insert(machine.clone(), zone).is_none() {
            *self.heads.entry(zone).or_default() += 1;
        }
    }

    fn attach(&mut self, seat: Seat, up: Up, uploads: &mut Uploads) {
        let Some(node) = self.nodes.get(&seat) else {
            return;
        };
        let (id, zone) = (node.id.clone(), node.zone);
        let mut depth = 0;
        match up {
            Up::None => {}
            Up::Origin => {
                uploads.origin += 1;
                self.copies += 1;
                self.seed(&id, zone);
            }
            Up::From(source) => {
                let Some(from) = self.nodes.get(&source) else {
                    return;
                };
                uploads.add(&from.id);
                depth = from.depth + 1;
                if from.zone != zone {
                    self.crossings += 1;
                    self.seed(&id, zone);
                }
                self.change(source, |n| {
                    n.children.insert(seat);
                });
            }
        }
        self.change(seat, |n| {
            n.up = up;
            n.depth = depth;
        });
    }

    fn detach(&mut self, seat: Seat, uploads: &mut Uploads) {
        match self.nodes[&seat].up {
            Up::None => {}
            Up::Origin => uploads.origin = uploads.origin.saturating_sub(1),
            Up::From(source) => {
                if let Some(from) = self.nodes.get(&source) {
                    uploads.sub(&from.id);
                }
                self.change(source, |n| {
                    n.children.remove(&seat);
                });
            }
        }
        self.change(seat, |n| n.up = Up::None);
    }

    /// Who takes from a machine goes to the next of its sources that has a slot,
    /// and if none has (`must`) to the origin, for the rest.
    fn move_children(&mut self, seat: Seat, uploads: &mut Uploads, must: bool) {
        let children = match self.nodes.get(&seat) {
            Some(node) => node.children.clone(),
            None => return,
        };
        for child in children {
            let gives = |s: &&Seat| {
                self.nodes.get(s).is_some_and(|n| {
                    n.gives(self.limits.slots) && uploads.of(&n.id) < self.limits.slots
                })
            };
            let next = self.nodes[&child].from.iter().find(gives).copied();
            let up = match next {
                Some(s) => Up::From(s),
                None if must => Up::Origin,
                None => continue,
            };
            self.detach(child, uploads);
            self.attach(child, up, uploads);
        }
    }
}
