//! Which machines to rent and which to give back, without I/O or clock.
//!
//! The plan packs what runs, what waits and a headroom for what may come into
//! the machines that there are; what finds no room there is rented, the
//! cheapest first, and machines that nothing was packed into may go.

mod placed;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_topology::devices::{Held, Stock};
use sorrelhinge_topology::renting::Memory;
use sorrelhinge_topology::tree::Domain;

use crate::sched::{ClusterState, Job, Progress};
use crate::types::{Amount, JobId, JobSpec, Kind, MachineId, MachineType, Time, TypeName, Zone};

/// A machine on its way.
#[derive(Clone, Debug)]
pub struct Coming {
    /// Type.
    pub kind: Rc<MachineType>,
    /// Zone.
    pub zone: Zone,
    /// Spot machine.
    pub spot: bool,
}

/// Machines to rent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Want {
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Spot machines.
    pub spot: bool,
    /// How many.
    pub count: u32,
}

/// What to do.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Machines to rent.
    pub rent: Vec<Want>,
    /// Machines that nothing was packed into.
    pub unused: BTreeSet<MachineId>,
    /// Room on ordinary machines for work to come that can't use spot ones.
    pub kept: BTreeMap<MachineId, Amount>,
    /// Of each window's hold, how many tasks' room is on its way.
    pub coming: BTreeMap<String, u32>,
}

/// Work that may come: `tasks` tasks like those of `spec`.
#[derive(Clone, Debug)]
pub struct Expected {
    /// A job of its sort.
    pub spec: Rc<JobSpec>,
    /// How many tasks to keep room for.
    pub tasks: u32,
}

/// Room that a window of the release calendar lacks.
#[derive(Clone, Debug)]
pub struct Lack {
    /// The window.
    pub window: String,
    /// What its tasks take, and where they may be.
    pub spec: Rc<JobSpec>,
    /// How many tasks' room.
    pub tasks: u32,
}

/// What the plan is made from.
pub struct Input<'a> {
    /// Jobs and machines.
    pub cluster_state: &'a ClusterState,
    /// What the cloud offers.
    pub types: &'a [Rc<MachineType>],
    /// Machines on their way.
    pub coming: &'a [Coming],
    /// Work that may come.
    pub expected: &'a [Expected],
    /// What windows lack.
    pub lacks: &'a [Lack],
    /// Whether a job's tasks may wait for others to end, rather than for a
    /// new machine to boot.
    pub patient: &'a dyn Fn(&JobSpec) -> bool,
    /// How long a new machine takes to boot.
    pub boot_s: f64,
    /// Whether the cloud has not just refused such a machine.
    pub open: &'a dyn Fn(&TypeName, &Zone, bool) -> bool,
    /// Where machines came up of late.
    pub memory: &'a Memory,
}

struct Room {
    id: Option<MachineId>,
    kind: Rc<MachineType>,
    zone: Zone,
    spot: bool,
    /// Free now.
    free: Amount,
    /// Free once tasks have ended that should end while a machine boots.
    soon: Amount,
    kept: Amount,
    /// Where it is, once it is up.
    place: Option<Domain>,
    /// Its devices, and those that are held; what comes up has those of its type.
    stock: Rc<Stock>,
    held: Held,
    /// A task hopes for it: it may come up where its rules allow it.
    hoped: bool,
    /// Something that can't be moved off, or was packed here.
    used: bool,
}

impl Room {
    fn new(kind: Rc<MachineType>, zone: Zone, spot: bool) -> Self {
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
    fn suits(&self, spec: &JobSpec) -> bool {
        spec.each.fits(self.kind.total)
            && (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|z| *z == self.zone)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&self.kind.name))
    }
    fn available(&self, soon: bool) -> Amount {
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

struct Item {
    spec: Rc<JobSpec>,
    tasks: u32,
    /// Room that is only kept.
    expected: bool,
    /// It has waited so long already that its aims are in danger.
    late: bool,
    /// It has waited for about as long as it can for tasks to end: they do,
    /// but as much work comes as they leave room for.
    queued: bool,
    /// Its job has rules that its spec alone does not tell.
    placed: Option<JobId>,
    /// Its job is in a lane.
    lane: bool,
    /// For a window's hold.
    window: Option<String>,
}

struct Packing<'a> {
    input: &'a Input<'a>,
    rooms: Vec<Room>,
    /// Rooms by what is free now, and by what is free soon: the tightest first.
    bins: [BTreeMap<Bin, BTreeSet<(i64, usize)>>; 2],
    crowd: HashMap<Zone, u32>,
    total_cpu: i64,
    guaranteed_cpu: i64,
    rent: BTreeMap<(bool, TypeName, Zone), u32>,
    /// Machines rented for the sake of where they may come up, on their way
    /// and new.
    hoped: u32,
    /// Rooms from here on are rented by this plan.
    new_from: usize,
    /// What of windows' holds was packed into machines on their way.
    coming: BTreeMap<String, u32>,
}

impl Packing<'_> {
    fn add(&mut self, room: Room) -> usize {
        *self.crowd.entry(room.zone.clone()).or_insert(0) += 1;
        self.total_cpu += room.kind.total.cpu;
        self.rooms.push(room);
        let at = self.rooms.len() - 1;
        self.file(at, true);
        at
    }

    fn file(&mut self, at: usize, put: bool) {
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
    fn fitting(
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

    fn pack(&mut self, item: &Item) {
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
            let fitting = self.fitting(spec, soon, &barred, &|_| true);
            // An ordinary machine that nothing else holds is dear for work
            // that may use spot machines: rather rent one of those.
            let keep = fitting
                .map(|at| &self.rooms[at])
                .is_some_and(|r| !spec.spot || r.spot || r.used);
            let mut chosen = fitting;
            if !keep {
                let rented = self
                    .cheapest(item, left_cpu, &barred)
                    .filter(|r| r.spot || fitting.is_none());
                if let Some(room) = rented {
                    *self
                        .rent
                        .entry((room.spot, room.kind.name.clone(), room.zone.clone()))
                        .or_insert(0) += 1;
                    chosen = Some(self.add(room));
                }
            }
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

/// How much dearer a machine counts for a service in a zone without a controller.
const UNSERVED: f64 = 2.0;
/// Part of a boot that work waits for tasks to end.
const QUEUED: f64 = 0.5;
/// Most machines in one request.
const MOST_RENTED: u32 = 50;

/// Makes the plan.
pub fn plan(input: &Input, now: Time) -> Plan {
    let cluster_state = input.cluster_state;
    let mut packing = Packing {
        input,
        rooms: Vec::new(),
        bins: Default::default(),
        crowd: HashMap::new(),
        total_cpu: 0,
        guaranteed_cpu: cluster_state.guaranteed().cpu,
        rent: BTreeMap::new(),
        hoped: 0,
        new_from: usize::MAX,
        coming: BTreeMap::new(),
    };
    // Held room is used, by a window that has not begun or whose work is to come.
    let mut held: HashMap<&MachineId, Amount> = HashMap::new();
    let mut cover: BTreeMap<(String, MachineId), u32> = BTreeMap::new();
    for (window, id, tasks) in cluster_state.held_room() {
        *held.entry(id).or_default() += window.each().times(i64::from(tasks));
        cover.insert((window.name.clone(), id.clone()), tasks);
    }
    // Tasks that could move to spot machines are packed anew, by job.
    let mut again: BTreeMap<&JobId, u32> = BTreeMap::new();
    for (id, m) in cluster_state.machines().iter().filter(|(_, m)| m.usable) {
        let fixed = m.used - m.movable;
        let mut room = Room::new(m.kind.clone(), m.zone.clone(), m.spot);
        room.id = Some(id.clone());
        room.free -= fixed;
        room.soon = room.free;
        room.used = fixed != Amount::default();
        if let Some(amount) = held.get(id) {
            room.free -= *amount;
            room.soon = room.free;
            room.used = true;
        }
        room.place = Some(m.place);
        room.stock = m.stock.clone();
        if m.held.any() {
            room.held = m.held.clone();
        }
        for task in &m.claims {
            let Some(job) = cluster_state.job(&task.job) else {
                continue;
            };
            if job.spec.spot && !m.spot {
                *again.entry(&task.job).or_insert(0) += 1;
            } else if job.spec.kind == Kind::Array {
                let claim = job.tasks.claims().get(&task.index);
                if let Some(Progress::Running(since)) = claim.map(|c| c.progress) {
                    let left = (job.spec.estimate_s - now.since(since)).max(2.0);
                    if left <= input.boot_s {
                        room.soon += job.spec.each;
                    }
                }
            }
        }
        packing.add(room);
    }
    for c in input.coming {
        let room = packing.new_room(&c.kind, &c.zone, c.spot);
        packing.add(room);
    }
    packing.new_from = packing.rooms.len();
    // What is being moved off draining machines needs room elsewhere.
    for (_, m) in cluster_state.machines().iter().filter(|(_, m)| m.draining) {
        for task in &m.claims {
            if cluster_state.job(&task.job).is_some_and(|j| !j.cancelled) {
                *again.entry(&task.job).or_insert(0) += 1;
            }
        }
    }
    let mut items: Vec<Item> = Vec::new();
    // What a team's limit forbids is not waiting for machines.
    let mut open: Vec<i64> = cluster_state
        .teams()
        .iter()
        .zip(cluster_state.held_of_limits())
        .map(|(t, held)| (t.limit - t.used - held).cpu.max(0))
        .collect();
    let mut wanting: BTreeMap<&JobId, u32> = BTreeMap::new();
    // Nor is a job that fails wherever it runs: nothing is rented for it.
    let asks = |job: &Job| job.wants(now) && !job.doubted;
    for (id, job) in cluster_state.wanting().filter(|(_, j)| asks(j)) {
        // Held room waits for it already.
        let covered = match cover.is_empty() {
            true => 0,
            false => cluster_state.covered(job, &mut cover),
        };
        let cpu = job.spec.each.cpu.max(1);
        let room = u32::try_from(open[job.team] / cpu).unwrap_or(u32::MAX);
        let tasks = (job.tasks.pending() - covered).min(room);
        open[job.team] -= cpu * i64::from(tasks);
        wanting.insert(id, tasks);
    }
    for (id, tasks) in again {
        *wanting.entry(id).or_insert(0) += tasks;
    }
    for (id, tasks) in wanting {
        if let Some(job) = cluster_state.job(id).filter(|_| tasks > 0) {
            items.push(Item {
                spec: job.spec.clone(),
                tasks,
                expected: false,
                late: job.late(now),
                queued: job
                    .blocked_since
                    .is_some_and(|t| now.since(t) > QUEUED * input.boot_s),
                placed: job.policy.requires().then(|| id.clone()),
                lane: job.lane.is_some(),
                window: None,
            });
        }
    }
    for e in input.expected.iter().filter(|e| e.tasks > 0) {
        items.push(Item {
            spec: e.spec.clone(),
            tasks: e.tasks,
            expected: true,
            late: false,
            queued: false,
            placed: None,
            lane: false,
            window: None,
        });
    }
    for lack in input.lacks.iter().filter(|l| l.tasks > 0) {
        items.push(Item {
            spec: lack.spec.clone(),
            tasks: lack.tasks,
            expected: true,
            late: false,
            queued: false,
            placed: None,
            lane: false,
            window: Some(lack.window.clone()),
        });
    }
    // What only ordinary machines can take goes first, then the largest.
    // Among those the lanes' jobs, for which there may be no more machines later.
    items.sort_by_key(|i| {
        let largest = std::cmp::Reverse(i.spec.each.cpu);
        (i.spec.spot, i.expected, !i.lane, largest)
    });
    for item in &items {
        match item
            .placed
            .as_ref()
            .and_then(|id| Some((id, cluster_state.job(id)?)))
        {
            Some((_, job)) => packing.pack_placed(item, job),
            None => packing.pack(item),
        }
    }
    let mut plan = Plan {
        rent: packing
            .rent
            .into_iter()
            .map(|((spot, kind, zone), count)| Want {
                kind,
                zone,
                spot,
                count,
            })
            .collect(),
        coming: packing.coming,
        ..Plan::default()
    };
    for room in packing.rooms {
        match room.id {
            Some(id) if !room.used => {
                plan.unused.insert(id);
            }
            Some(id) if room.kept != Amount::default() => {
                plan.kept.insert(id, room.kept);
            }
            _ => {}
        }
    }
    plan
}
