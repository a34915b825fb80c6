//! Packing tasks into machines: those that there are, those on their way, and those
//! that the plan rents.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_topology::devices::{Held, Stock};
use sorrelhinge_topology::tree::Domain;

use super::Input;
use crate::sched::ClusterState;
use crate::types::{Amount, JobId, JobSpec, Kind, MachineId, MachineType, TypeName, Zone};

/// How much dearer a machine counts for a service in a zone without a controller.
const UNSERVED: f64 = 2.0;
/// Most machines in one request.
pub(super) const MOST_RENTED: u32 = 50;

/// Room on a machine, there or rented by the plan.
pub(super) struct Room {
    pub(super) id: Option<MachineId>,
    pub(super) kind: Rc<MachineType>,
    pub(super) zone: Zone,
    pub(super) spot: bool,
    /// Free now.
    pub(super) free: Amount,
    /// Free once tasks have ended that should end while a machine boots.
    pub(super) soon: Amount,
    pub(super) kept: Amount,
    /// Where it is, once it is up.
    pub(super) place: Option<Domain>,
    /// Its devices, and those that are held; what comes up has those of its type.
    pub(super) stock: Rc<Stock>,
    pub(super) held: Held,
    /// A task hopes for it: it may come up where its rules allow it.
    pub(super) hoped: bool,
    /// Something that can't be moved off, or was packed here.
    pub(super) used: bool,
}

impl Room {
    pub(super) fn new(kind: Rc<MachineType>, zone: Zone, spot: bool) -> Self {
        Self {
            id: None,
            free: kind.total,
            soon: kind.total,
            kind,
            zone,
            spot,
            kept: Amount::default(),
            place: None,
            stock: Rc::default(),
            held: Held::default(),
            hoped: false,
            used: true,
        }
    }
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        ClusterState::kind_suits(spec, self.spot, &self.kind, &self.zone)
    }
    pub(super) fn available(&self, soon: bool) -> Amount {
        if soon {
            self.soon
        } else {
            self.free
        }
    }
    fn bin(&self) -> Bin {
        Bin {
            spot: self.spot,
            used: self.used,
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
        }
    }
}

/// Rooms that are as good as each other but for how tight they are.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Bin {
    spot: bool,
    used: bool,
    kind: TypeName,
    zone: Zone,
}

/// Tasks of a job, or expected ones, to pack.
pub(super) struct Item {
    pub(super) spec: Rc<JobSpec>,
    pub(super) tasks: u32,
    /// Room that is only kept.
    pub(super) expected: bool,
    /// It has waited so long already that its aims are in danger.
    pub(super) late: bool,
    /// It has waited for about as long as it can for tasks to end: they do,
    /// but as much work comes as they leave room for.
    pub(super) queued: bool,
    /// Its job has rules that its spec alone does not tell.
    pub(super) placed: Option<JobId>,
    /// Its job is in a lane.
    pub(super) lane: bool,
    /// For a window's hold.
    pub(super) window: Option<String>,
}

impl Item {
    /// Tasks that may come, or a window's.
    pub(super) fn expected(spec: Rc<JobSpec>, tasks: u32, window: Option<String>) -> Self {
        Self {
            spec,
            tasks,
            expected: true,
            late: false,
            queued: false,
            placed: None,
            lane: false,
            window,
        }
    }
}

/// Rooms, and what was packed into them so far.
pub(super) struct Packing<'a> {
    pub(super) input: &'a Input<'a>,
    pub(super) rooms: Vec<Room>,
    /// Rooms by what is free now, and by what is free soon: the tightest first.
    bins: [BTreeMap<Bin, BTreeSet<(i64, usize)>>; 2],
    pub(super) crowd: HashMap<Zone, u32>,
    pub(super) total_cpu: i64,
    pub(super) guaranteed_cpu: i64,
    pub(super) rent: BTreeMap<(bool, TypeName, Zone), u32>,
    /// Machines rented for the sake of where they may come up, on their way
    /// and new.
    pub(super) hoped: u32,
    /// Rooms from here on are rented by this plan.
    pub(super) new_from: usize,
    /// What of windows' holds was packed into machines on their way.
    pub(super) coming: BTreeMap<String, u32>,
}

impl<'a> Packing<'a> {
    /// Nothing is there yet.
    pub(super) fn new(input: &'a Input<'a>) -> Self {
        Self {
            input,
            rooms: Vec::new(),
            bins: Default::default(),
            crowd: HashMap::new(),
            total_cpu: 0,
            guaranteed_cpu: input.cluster_state.guaranteed().cpu,
            rent: BTreeMap::new(),
            hoped: 0,
            new_from: usize::MAX,
            coming: BTreeMap::new(),
        }
    }
}

impl Packing<'_> {
    pub(super) fn add(&mut self, room: Room) -> usize {
        *self.crowd.entry(room.zone.clone()).or_insert(0) += 1;
        self.total_cpu += room.kind.total.cpu;
        self.rooms.push(room);
        let at = self.rooms.len() - 1;
        self.file(at, true);
        at
    }

    pub(super) fn file(&mut self, at: usize, put: bool) {
        let room = &self.rooms[at];
        for (soon, bins) in self.bins.iter_mut().enumerate() {
            let bin = bins.entry(room.bin()).or_default();
            let key = (room.available(soon == 1).cpu, at);
            if put {
                bin.insert(key);
            } else {
                bin.remove(&key);
            }
        }
    }

    /// The room for a task that ranks best: spot machines for what may use
    /// them, then machines that stay anyway, then the tightest fit.
    pub(super) fn fitting(
        &self,
        spec: &JobSpec,
        soon: bool,
        barred: &dyn Fn(&Zone) -> bool,
        pass: &dyn Fn(&Room) -> bool,
    ) -> Option<usize> {
        let mut best: Option<((bool, bool, bool, i64), usize)> = None;
        for (bin, rooms) in &self.bins[usize::from(soon)] {
            if barred(&bin.zone) {
                continue;
            }
            for &(cpu, at) in rooms.range((spec.each.cpu, 0)..) {
                let room = &self.rooms[at];
                if !room.suits(spec) {
                    break;
                }
                if !spec.each.fits(room.available(soon)) || !pass(room) {
                    continue;
                }
                let apart =
                    spec.kind == Kind::Service && !self.input.cluster_state.is_served(&bin.zone);
                let rank = (spec.spot && !bin.spot, apart, !bin.used, cpu);
                if best.as_ref().is_none_or(|(r, _)| rank < *r) {
                    best = Some((rank, at));
                }
                break;
            }
        }
        best.map(|(_, at)| at)
    }

    fn cheapest(&self, item: &Item, left_cpu: i64, barred: &dyn Fn(&Zone) -> bool) -> Option<Room> {
        let spec = &item.spec;
        let mut best: Option<(f64, Room)> = None;
        for kind in self.input.types.iter().filter(|t| t.total.cpu > 0) {
            for zone in kind.zones.iter().filter(|z| !barred(z)) {
                for spot in [true, false] {
                    let room = self.new_room(kind, zone, spot);
                    let asked = self
                        .rent
                        .get(&(spot, kind.name.clone(), zone.clone()))
                        .copied()
                        .unwrap_or(0);
                    if !room.suits(spec)
                        || asked >= MOST_RENTED
                        || !(self.input.open)(&kind.name, zone, spot)
                    {
                        continue;
                    }
                    if spec.spot && !spot && !item.late && self.total_cpu >= self.guaranteed_cpu {
                        // Dear: only for what the teams were promised, or for
                        // a queue that spot machines have not kept short.
                        continue;
                    }
                    let price = if spot { kind.spot_price } else { kind.price };
                    // By what of the machine will be of use now; among equals
                    // the zone with the fewest machines, so that work spreads.
                    let useful = kind.total.cpu.min(left_cpu.max(spec.each.cpu)).max(1);
                    let crowd = self.crowd.get(zone).copied().unwrap_or(0);
                    let apart =
                        spec.kind == Kind::Service && !self.input.cluster_state.is_served(zone);
                    let apart = if apart { UNSERVED } else { 1.0 };
                    let score = price / useful as f64 * (1.0 + 1e-4 * f64::from(crowd)) * apart;
                    if best.as_ref().is_none_or(|(s, _)| score < *s) {
                        best = Some((score, room));
                    }
                }
            }
        }
        best.map(|(_, room)| room)
    }

    /// The room for a task, there or to be rented.
    fn choose_room(
        &mut self,
        item: &Item,
        soon: bool,
        left_cpu: i64,
        barred: &dyn Fn(&Zone) -> bool,
    ) -> Option<usize> {
        let spec = &item.spec;
        let fitting = self.fitting(spec, soon, barred, &|_| true);
        // An ordinary machine that nothing else holds is dear for work
        // that may use spot machines: rather rent one of those.
        let keep = fitting
            .map(|at| &self.rooms[at])
            .is_some_and(|r| !spec.spot || r.spot || r.used);
        if keep {
            return fitting;
        }
        let rented = self
            .cheapest(item, left_cpu, barred)
            .filter(|r| r.spot || fitting.is_none());
        let Some(room) = rented else {
            return fitting;
        };
        *self
            .rent
            .entry((room.spot, room.kind.name.clone(), room.zone.clone()))
            .or_insert(0) += 1;
        Some(self.add(room))
    }

    /// Packs an item's tasks, and rents for those that find no room.
    pub(super) fn pack(&mut self, item: &Item) {
        let spec = &item.spec;
        let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
        let most = if spec.spread {
            item.tasks.div_ceil(2)
        } else {
            item.tasks
        };
        // What is only expected needs its room at once; what waits can take
        // the room of tasks that end soon.
        let soon = !item.expected && !item.queued && (self.input.patient)(spec);
        let mut left = item.tasks;
        while left > 0 {
            let barred = |z: &Zone| zones.get(z).is_some_and(|n| *n >= most);
            let left_cpu = spec.each.cpu * i64::from(left);
            let chosen = self.choose_room(item, soon, left_cpu, &barred);
            let Some(at) = chosen else { return };
            self.file(at, false);
            let room = &mut self.rooms[at];
            let in_zone = zones.entry(room.zone.clone()).or_insert(0);
            // A spread job's tasks go to one room after another, as their
            // zones fill up.
            let count = spec
                .each
                .how_many(room.available(soon))
                .min(left)
                .min(most - *in_zone)
                .max(1);
            let count = if spec.spread { 1 } else { count };
            let taken = spec.each.times(i64::from(count));
            room.free -= taken;
            room.soon -= taken;
            room.used = true;
            match &item.window {
                Some(window) if room.id.is_none() && at < self.new_from => {
                    *self.coming.entry(window.clone()).or_insert(0) += count;
                }
                None if item.expected && !spec.spot => room.kept += taken,
                _ => {}
            }
            *in_zone += count;
            left -= count;
            self.file(at, true);
        }
    }
}
