//! Which machines to rent and which to give back, without I/O or clock.
//!
//! The plan packs what runs, what waits and a headroom for what may come into
//! the machines that there are; what finds no room there is rented, the
//! cheapest first, and machines that nothing was packed into may go.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use crate::config::Tuning;
use crate::sched::{Board, Progress};
use crate::types::{Amount, JobSpec, Kind, MachineId, MachineType, Time, TypeName, Zone};

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
}

/// Work that may come: `tasks` tasks like those of `spec`.
#[derive(Clone, Debug)]
pub struct Expected {
    /// A job of its sort.
    pub spec: Rc<JobSpec>,
    /// How many tasks to keep room for.
    pub tasks: u32,
}

/// What the plan is made from.
pub struct Input<'a> {
    /// Jobs and machines.
    pub board: &'a Board,
    /// What the cloud offers.
    pub types: &'a [Rc<MachineType>],
    /// Machines on their way.
    pub coming: &'a [Coming],
    /// Work that may come.
    pub expected: &'a [Expected],
    /// How long a job's tasks may wait for others to end, rather than for a
    /// new machine to boot.
    pub patience: &'a dyn Fn(&JobSpec) -> f64,
    /// Whether the cloud has not just refused such a machine.
    pub open: &'a dyn Fn(&TypeName, &Zone, bool) -> bool,
    /// The operators' settings.
    pub tuning: &'a Tuning,
}

struct Room {
    id: Option<MachineId>,
    kind: Rc<MachineType>,
    zone: Zone,
    spot: bool,
    free: Amount,
    /// When running tasks should end, in seconds from now, and what they free.
    ends: Vec<(f64, Amount)>,
    kept: Amount,
    /// Something that can't be moved off, or was packed here.
    used: bool,
}

struct Item {
    spec: Rc<JobSpec>,
    tasks: u32,
    /// Room that is only kept.
    expected: bool,
    /// It has waited so long already that its aims are in danger.
    late: bool,
}

impl Room {
    fn takes(&self, spec: &JobSpec) -> bool {
        self.takes_within(spec, 0.0)
    }

    /// Whether there is room now, or should be within `wait` seconds.
    fn takes_within(&self, spec: &JobSpec, wait: f64) -> bool {
        let mut free = self.free;
        for (_, amount) in self.ends.iter().filter(|(t, _)| *t <= wait) {
            free += *amount;
        }
        spec.each.fits(free)
            && (spec.spot || !self.spot)
            && spec.zone.as_ref().is_none_or(|z| *z == self.zone)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&self.kind.name))
    }

    /// Lower is better: spot machines for what may use them, then machines
    /// that stay anyway, then the tightest fit.
    fn rank(&self, spec: &JobSpec) -> (bool, bool, i64) {
        (
            spec.spot && !self.spot,
            !self.used,
            self.free.cpu - spec.each.cpu,
        )
    }
}

struct Packing<'a> {
    input: &'a Input<'a>,
    rooms: Vec<Room>,
    rent: BTreeMap<(bool, TypeName, Zone), u32>,
}

impl Packing<'_> {
    /// Whether the machines offer less than all teams are guaranteed.
    fn below_guarantee(&self) -> bool {
        let sum: i64 = self.rooms.iter().map(|r| r.kind.total.cpu).sum();
        sum < self.input.board.guaranteed().cpu
    }

    fn cheapest(&self, item: &Item, left_cpu: i64, barred: &dyn Fn(&Zone) -> bool) -> Option<Room> {
        let spec = &item.spec;
        let mut best: Option<(f64, Room)> = None;
        for kind in self.input.types.iter().filter(|t| t.total.cpu > 0) {
            for zone in kind.zones.iter().filter(|z| !barred(z)) {
                for spot in [true, false] {
                    let room = Room {
                        id: None,
                        kind: kind.clone(),
                        zone: zone.clone(),
                        spot,
                        free: kind.total,
                        ends: Vec::new(),
                        kept: Amount::default(),
                        used: true,
                    };
                    let asked = self
                        .rent
                        .get(&(spot, kind.name.clone(), zone.clone()))
                        .copied()
                        .unwrap_or(0);
                    if !room.takes(spec)
                        || asked >= 50
                        || !(self.input.open)(&kind.name, zone, spot)
                    {
                        continue;
                    }
                    if spec.spot && !spot && !item.late && !self.below_guarantee() {
                        // Dear: only for what the teams were promised, or for
                        // a queue that spot machines have not kept short.
                        continue;
                    }
                    let price = if spot { kind.spot_price } else { kind.price };
                    // By what of the machine will be of use now; among equals
                    // the zone with the fewest machines, so that work spreads.
                    let useful = kind.total.cpu.min(left_cpu.max(spec.each.cpu)).max(1);
                    let crowd = self.rooms.iter().filter(|r| r.zone == *zone).count();
                    let score = price / useful as f64 * (1.0 + 1e-4 * crowd as f64);
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
        let wait = if item.expected {
            0.0
        } else {
            (self.input.patience)(spec)
        };
        for done in 0..item.tasks {
            let barred = |z: &Zone| zones.get(z).is_some_and(|n| *n >= most);
            let left_cpu = spec.each.cpu * i64::from(item.tasks - done);
            let fitting = self
                .rooms
                .iter_mut()
                .filter(|r| r.takes_within(spec, wait) && !barred(&r.zone))
                .min_by_key(|r| r.rank(spec));
            // An ordinary machine that nothing else holds is dear for work
            // that may use spot machines: rather rent one of those.
            let keep = fitting
                .as_ref()
                .is_some_and(|r| !spec.spot || r.spot || r.used);
            let mut zone = fitting.as_ref().map(|r| r.zone.clone());
            if !keep {
                let rented = self
                    .cheapest(item, left_cpu, &barred)
                    .filter(|r| r.spot || zone.is_none());
                if let Some(mut room) = rented {
                    zone = Some(room.zone.clone());
                    *self
                        .rent
                        .entry((room.spot, room.kind.name.clone(), room.zone.clone()))
                        .or_insert(0) += 1;
                    room.free -= spec.each;
                    self.rooms.push(room);
                    *zones
                        .entry(zone.clone().unwrap_or_else(|| Zone::from("")))
                        .or_insert(0) += 1;
                    continue;
                }
            }
            let chosen = self
                .rooms
                .iter_mut()
                .filter(|r| zone.as_ref() == Some(&r.zone) && r.takes_within(spec, wait))
                .min_by_key(|r| r.rank(spec));
            let Some(room) = chosen else {
                if item.expected {
                    continue;
                }
                break;
            };
            room.free -= spec.each;
            room.used = true;
            if item.expected && !spec.spot {
                room.kept += spec.each;
            }
            *zones.entry(room.zone.clone()).or_insert(0) += 1;
        }
    }
}

/// Makes the plan.
pub fn plan(input: &Input, now: Time) -> Plan {
    let board = input.board;
    let mut rooms: Vec<Room> = Vec::new();
    for (id, m) in board.machines.iter().filter(|(_, m)| m.usable) {
        rooms.push(Room {
            id: Some(id.clone()),
            kind: m.kind.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: m.kind.total,
            ends: Vec::new(),
            kept: Amount::default(),
            used: false,
        });
    }
    let place: BTreeMap<MachineId, usize> = rooms
        .iter()
        .enumerate()
        .filter_map(|(i, r)| Some((r.id.clone()?, i)))
        .collect();
    let mut items: Vec<Item> = Vec::new();
    for job in board.jobs.values() {
        let mut movable = 0;
        for claim in job.tasks.claims().values() {
            let Some(room) = place.get(&claim.machine).map(|&i| &mut rooms[i]) else {
                continue;
            };
            if job.spec.spot && !room.spot {
                // On an ordinary machine now, but spot machines would do.
                movable += 1;
            } else {
                room.free -= job.spec.each;
                room.used = true;
                if let (Kind::Array, Progress::Running(since)) = (job.spec.kind, claim.progress) {
                    let left = (job.spec.estimate_s - now.since(since)).max(2.0);
                    room.ends.push((left, job.spec.each));
                }
            }
        }
        let mut tasks = movable;
        if job.wants(now) {
            // What the team's limit forbids is not waiting for machines.
            let team = &board.teams[job.team];
            let room = (team.limit - team.used).cpu.max(0) / job.spec.each.cpu.max(1);
            tasks += job
                .tasks
                .pending()
                .min(u32::try_from(room).unwrap_or(u32::MAX));
        }
        if tasks > 0 {
            items.push(Item {
                spec: job.spec.clone(),
                tasks,
                expected: false,
                late: job.late(now),
            });
        }
    }
    for c in input.coming {
        rooms.push(Room {
            id: None,
            kind: c.kind.clone(),
            zone: c.zone.clone(),
            spot: c.spot,
            free: c.kind.total,
            ends: Vec::new(),
            kept: Amount::default(),
            used: true,
        });
    }
    for e in input.expected.iter().filter(|e| e.tasks > 0) {
        items.push(Item {
            spec: e.spec.clone(),
            tasks: e.tasks,
            expected: true,
            late: false,
        });
    }
    // What only ordinary machines can take goes first, then the largest.
    items.sort_by_key(|i| (i.spec.spot, i.expected, std::cmp::Reverse(i.spec.each.cpu)));
    let mut packing = Packing {
        input,
        rooms,
        rent: BTreeMap::new(),
    };
    for item in &items {
        packing.pack(item);
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
