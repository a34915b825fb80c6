//! Which machines to rent and which to give back, without I/O or clock.
//!
//! The plan packs what runs, what waits and a headroom for what may come into
//! the machines that there are; what finds no free capacity there is rented, the
//! cheapest first, and machines that nothing was packed into may go.

mod free_capacity;
mod offers;
mod packing;
mod placed;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_topology::renting::Memory;

use self::free_capacity::FreeCapacity;
use self::packing::{Item, Packing};
use crate::scheduler::{ClusterState, Job, Machine, Progress};
use crate::types::{Amount, JobId, JobSpec, Kind, MachineId, MachineType, Time, TypeName, Zone};

/// Part of a boot that work waits for tasks to end.
const QUEUED: f64 = 0.5;

/// A machine on its way.
#[derive(Clone, Debug)]
pub struct PendingMachine {
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
    pub pending_machines: BTreeMap<String, u32>,
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
pub struct Shortfall {
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
    pub pending_machines: &'a [PendingMachine],
    /// Work that may come.
    pub expected: &'a [Expected],
    /// What windows lack.
    pub shortfalls: &'a [Shortfall],
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

/// Tasks to be packed, by job.
type Wanting<'a> = BTreeMap<&'a JobId, u32>;

/// Room that windows hold: on each machine so much, and of each window on each machine
/// so many tasks' room.
#[derive(Default)]
struct ReservedFreeCapacity<'a> {
    by_machine: HashMap<&'a MachineId, Amount>,
    cover: BTreeMap<(String, MachineId), u32>,
}

impl<'a> ReservedFreeCapacity<'a> {
    fn of(cluster_state: &'a ClusterState) -> Self {
        let mut reserved = Self::default();
        for (window, id, tasks) in cluster_state.reserved_capacity() {
            *reserved.by_machine.entry(id).or_default() += window.each().times(i64::from(tasks));
            reserved
                .cover
                .insert((window.name.clone(), id.clone()), tasks);
        }
        reserved
    }
}

/// Makes the plan.
pub fn plan(input: &Input, now: Time) -> Plan {
    let mut packing = Packing::new(input);
    // Held room is used, by a window that has not begun or whose work is to come.
    let mut reserved = ReservedFreeCapacity::of(input.cluster_state);
    // Tasks that could move to spot machines are packed anew, by job.
    let mut again = Wanting::new();
    add_machines(&mut packing, input, &reserved.by_machine, &mut again, now);
    add_drained(input.cluster_state, &mut again);
    let wanting = wanting(input.cluster_state, &mut reserved.cover, again, now);
    for item in &items(input, wanting, now) {
        let placed = item.placed.as_ref();
        match placed.and_then(|id| input.cluster_state.job(id)) {
            Some(job) => packing.pack_placed(item, job),
            None => packing.pack(item),
        }
    }
    outcome(packing)
}

/// Adds the machines that there are and those on their way; `again` gets the tasks that
/// could move to spot machines.
fn add_machines<'a>(
    packing: &mut Packing,
    input: &Input<'a>,
    reserved: &HashMap<&MachineId, Amount>,
    again: &mut Wanting<'a>,
    now: Time,
) {
    let machines = input.cluster_state.machines().iter();
    for (id, machine) in machines.filter(|(_, m)| m.usable) {
        let mut free_capacity = free_capacity_of(id, machine, reserved.get(id).copied());
        for task in &machine.claims {
            let Some(job) = input.cluster_state.job(&task.job) else {
                continue;
            };
            if job.spec.spot && !machine.spot {
                *again.entry(&task.job).or_insert(0) += 1;
            } else if ends_while_booting(job, task.index, input.boot_s, now) {
                free_capacity.soon += job.spec.each;
            }
        }
        packing.add(free_capacity);
    }
    for c in input.pending_machines {
        let free_capacity = packing.new_machine_capacity(&c.kind, &c.zone, c.spot);
        packing.add(free_capacity);
    }
    packing.new_from = packing.free_capacities.len();
}

/// The room on a machine that is up, less what is held for windows.
fn free_capacity_of(id: &MachineId, machine: &Machine, reserved: Option<Amount>) -> FreeCapacity {
    let fixed = machine.used - machine.movable;
    let mut free_capacity =
        FreeCapacity::new(machine.kind.clone(), machine.zone.clone(), machine.spot);
    free_capacity.id = Some(id.clone());
    free_capacity.free -= fixed;
    free_capacity.used = fixed != Amount::default();
    if let Some(amount) = reserved {
        free_capacity.free -= amount;
        free_capacity.used = true;
    }
    free_capacity.soon = free_capacity.free;
    free_capacity.place = Some(machine.place);
    free_capacity.device_inventory = machine.device_inventory.clone();
    if machine.allocated_devices.any() {
        free_capacity.reserved = machine.allocated_devices.clone();
    }
    free_capacity
}

/// Whether a task that runs should end before a new machine is up.
fn ends_while_booting(job: &Job, index: u32, boot_s: f64, now: Time) -> bool {
    if job.spec.kind != Kind::Array {
        return false;
    }
    let claim = job.tasks.claims().get(&index);
    let Some(Progress::Running(since)) = claim.map(|c| c.progress) else {
        return false;
    };
    let left_s = (job.spec.estimate_s - now.since(since)).max(2.0);
    left_s <= boot_s
}

/// What is being moved off draining machines needs room elsewhere.
fn add_drained<'a>(cluster_state: &'a ClusterState, again: &mut Wanting<'a>) {
    let machines = cluster_state.machines().values();
    for machine in machines.filter(|m| m.draining) {
        for task in &machine.claims {
            if cluster_state.job(&task.job).is_some_and(|j| !j.cancelled) {
                *again.entry(&task.job).or_insert(0) += 1;
            }
        }
    }
}

/// How many tasks of each job are to be packed: those that wait, within their teams'
/// limits, and those that move.
fn wanting<'a>(
    cluster_state: &'a ClusterState,
    cover: &mut BTreeMap<(String, MachineId), u32>,
    again: Wanting<'a>,
    now: Time,
) -> Wanting<'a> {
    // What a team's limit forbids is not waiting for machines.
    let mut open: Vec<i64> = cluster_state
        .teams()
        .iter()
        .zip(cluster_state.reserved_of_quotas())
        .map(|(t, reserved)| (t.limit - t.used - reserved).cpu.max(0))
        .collect();
    let mut wanting = Wanting::new();
    // Nor is a job that fails wherever it runs: nothing is rented for it.
    let asks = |job: &Job| job.wants(now) && !job.suspected_one_way;
    for (id, job) in cluster_state.wanting().filter(|(_, j)| asks(j)) {
        // Held room waits for it already.
        let covered = if cover.is_empty() {
            0
        } else {
            cluster_state.covered(job, cover)
        };
        let cpu = job.spec.each.cpu.max(1);
        let free_capacity = u32::try_from(open[job.team] / cpu).unwrap_or(u32::MAX);
        let tasks = (job.tasks.pending() - covered).min(free_capacity);
        open[job.team] -= cpu * i64::from(tasks);
        wanting.insert(id, tasks);
    }
    for (id, tasks) in again {
        *wanting.entry(id).or_insert(0) += tasks;
    }
    wanting
}

/// All that is to be packed, in the order in which it is.
fn items(input: &Input, wanting: Wanting, now: Time) -> Vec<Item> {
    let waiting = wanting.into_iter().filter(|(_, tasks)| *tasks > 0);
    let mut items: Vec<Item> = waiting
        .filter_map(|(id, tasks)| {
            let job = input.cluster_state.job(id)?;
            Some(item_of(id, job, tasks, input.boot_s, now))
        })
        .collect();
    for e in input.expected.iter().filter(|e| e.tasks > 0) {
        items.push(Item::expected(e.spec.clone(), e.tasks, None));
    }
    for shortfall in input.shortfalls.iter().filter(|l| l.tasks > 0) {
        let window = Some(shortfall.window.clone());
        items.push(Item::expected(
            shortfall.spec.clone(),
            shortfall.tasks,
            window,
        ));
    }
    // What only ordinary machines can take goes first, then the largest.
    // Among those the lanes' jobs, for which there may be no more machines later.
    items.sort_by_key(|i| {
        let largest = std::cmp::Reverse(i.spec.each.cpu);
        (i.spec.spot, i.expected, !i.lane, largest)
    });
    items
}

/// Tasks of a job that wait, or move.
fn item_of(id: &JobId, job: &Job, tasks: u32, boot_s: f64, now: Time) -> Item {
    let blocked_s = job.blocked_since.map(|t| now.since(t));
    Item {
        spec: job.spec.clone(),
        tasks,
        expected: false,
        late: job.late(now),
        queued: blocked_s.is_some_and(|waited| waited > QUEUED * boot_s),
        placed: job.policy.requires().then(|| id.clone()),
        lane: job.lane.is_some(),
        window: None,
    }
}

/// What the packing comes to.
fn outcome(packing: Packing) -> Plan {
    let rent = packing.rent.into_iter();
    let mut plan = Plan {
        rent: rent
            .map(|(pool, count)| Want {
                kind: pool.kind,
                zone: pool.zone,
                spot: pool.spot,
                count,
            })
            .collect(),
        pending_machines: packing.pending_machines,
        ..Plan::default()
    };
    for free_capacity in packing.free_capacities {
        match free_capacity.id {
            Some(id) if !free_capacity.used => {
                plan.unused.insert(id);
            }
            Some(id) if free_capacity.kept != Amount::default() => {
                plan.kept.insert(id, free_capacity.kept);
            }
            _ => {}
        }
    }
    plan
}
