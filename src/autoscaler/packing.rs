//! Packs tasks into machines that are up, pending or rented by the plan.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use super::free_capacity::{Bin, FreeCapacity};
use super::Input;
use crate::scheduler::CapacityPool;
use crate::types::{JobId, JobSpec, Kind, Time, Zone};

/// Tasks to pack, which belong to a job, to expected work or to a reservation window.
pub(super) struct Item {
    pub(super) spec: Rc<JobSpec>,
    pub(super) tasks: u32,
    /// Whether the item only keeps capacity free, for expected work or for a reservation window.
    pub(super) expected: bool,
    /// Whether the job has waited so long that it may miss its service-level objectives.
    pub(super) late: bool,
    /// Whether the job has waited too long for other tasks to end. Tasks do end, but as much new
    /// work arrives as they free capacity for.
    pub(super) queued: bool,
    /// Job of the item, if the job has required placement rules, which its spec does not show.
    pub(super) constrained_job: Option<JobId>,
    /// Whether the job of the item is in a priority lane.
    pub(super) lane: bool,
    /// Reservation window for which the item needs capacity.
    pub(super) window: Option<String>,
}

impl Item {
    /// Creates an item for expected tasks, or for tasks of a reservation window.
    pub(super) fn expected(spec: Rc<JobSpec>, tasks: u32, window: Option<String>) -> Self {
        Self {
            spec,
            tasks,
            expected: true,
            late: false,
            queued: false,
            constrained_job: None,
            lane: false,
            window,
        }
    }
}

/// Rank of a machine for a task. The machine with the lowest rank is the best.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    /// Whether the machine is an ordinary (non-spot) one although the task may use spot machines.
    ordinary: bool,
    /// Whether the task belongs to a service and the zone of the machine has no controller.
    unserved_zone: bool,
    /// Whether the machine is unused so far, so the plan might delete it.
    unused: bool,
    /// Free CPU of the machine, in thousandths of a CPU.
    cpu: i64,
}

/// Sort key that orders machines by free CPU.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeCpu {
    /// Free CPU of the machine, in thousandths of a CPU.
    cpu: i64,
    /// Index of the machine in `free_capacities`.
    at: usize,
}

/// State of the packing: the machines, and the capacity that packed tasks leave free on them.
pub(super) struct Packing<'a> {
    pub(super) input: &'a Input<'a>,
    /// Time of the plan.
    pub(super) now: Time,
    pub(super) free_capacities: Vec<FreeCapacity>,
    /// Machines of each group in order of free CPU, the least first. The first map counts CPU that
    /// is free now, the second CPU that is free once tasks have ended that should end soon.
    bins: [BTreeMap<Bin, BTreeSet<FreeCpu>>; 2],
    /// Number of machines in each zone.
    pub(super) machines_by_zone: HashMap<Zone, u32>,
    /// Total CPU of all machines, in thousandths of a CPU.
    pub(super) total_cpu: i64,
    /// CPU that is guaranteed to the teams, in thousandths of a CPU.
    pub(super) guaranteed_cpu: i64,
    /// Number of machines to rent from each pool.
    pub(super) rent: BTreeMap<CapacityPool, u32>,
    /// Number of speculative machines, pending or new. A packed task depends on the domain in which
    /// such a machine comes up.
    pub(super) speculative_machines: u32,
    /// Index in `free_capacities` of the first machine that this plan rents.
    pub(super) first_rental: usize,
    /// Number of tasks, by reservation window, for which pending machines have capacity.
    pub(super) pending_tasks: BTreeMap<String, u32>,
}

impl<'a> Packing<'a> {
    /// Creates a packing without machines.
    pub(super) fn new(input: &'a Input<'a>, now: Time) -> Self {
        Self {
            input,
            now,
            free_capacities: Vec::new(),
            bins: Default::default(),
            machines_by_zone: HashMap::new(),
            total_cpu: 0,
            guaranteed_cpu: input.cluster_state.guaranteed().cpu,
            rent: BTreeMap::new(),
            speculative_machines: 0,
            first_rental: usize::MAX,
            pending_tasks: BTreeMap::new(),
        }
    }
}

impl Packing<'_> {
    pub(super) fn add(&mut self, free_capacity: FreeCapacity) -> usize {
        *self
            .machines_by_zone
            .entry(free_capacity.zone.clone())
            .or_insert(0) += 1;
        self.total_cpu += free_capacity.kind.total.cpu;
        self.free_capacities.push(free_capacity);
        let at = self.free_capacities.len() - 1;
        self.update_index(at, true);
        at
    }

    pub(super) fn update_index(&mut self, at: usize, insert: bool) {
        let free_capacity = &self.free_capacities[at];
        for (soon, bins) in self.bins.iter_mut().enumerate() {
            let bin = bins.entry(free_capacity.bin()).or_default();
            let cpu = free_capacity.available(soon == 1).cpu;
            let key = FreeCpu { cpu, at };
            if insert {
                bin.insert(key);
            } else {
                bin.remove(&key);
            }
        }
    }

    /// Returns the index of the best existing machine for a task. Tasks that may use spot machines
    /// prefer them. Then machines that are in use come first, then those with the least free CPU.
    pub(super) fn fitting(
        &self,
        spec: &JobSpec,
        soon: bool,
        excluded: &dyn Fn(&Zone) -> bool,
        pass: &dyn Fn(&FreeCapacity) -> bool,
    ) -> Option<usize> {
        let mut best: Option<(Rank, usize)> = None;
        for (bin, free_capacities) in &self.bins[usize::from(soon)] {
            if excluded(&bin.zone) {
                continue;
            }
            let least = FreeCpu {
                cpu: spec.each.cpu,
                at: 0,
            };
            for &FreeCpu { cpu, at } in free_capacities.range(least..) {
                let free_capacity = &self.free_capacities[at];
                if !free_capacity.suits(spec) {
                    break;
                }
                if !spec.each.fits(free_capacity.available(soon)) || !pass(free_capacity) {
                    continue;
                }
                let unserved_zone =
                    spec.kind == Kind::Service && !self.input.cluster_state.is_served(&bin.zone);
                let rank = Rank {
                    ordinary: spec.spot && !bin.spot,
                    unserved_zone,
                    unused: !bin.used,
                    cpu,
                };
                if best.as_ref().is_none_or(|(r, _)| rank < *r) {
                    best = Some((rank, at));
                }
                break;
            }
        }
        best.map(|(_, at)| at)
    }

    /// Returns the index of the machine for the next task of an item, and rents one if needed.
    fn choose_machine(
        &mut self,
        item: &Item,
        soon: bool,
        left_cpu: i64,
        excluded: &dyn Fn(&Zone) -> bool,
    ) -> Option<usize> {
        let spec = &item.spec;
        let fitting = self.fitting(spec, soon, excluded, &|_| true);
        // An ordinary (non-spot) machine that nothing else uses is expensive for work that may use
        // spot machines. The plan prefers to rent a spot machine for such work.
        let keep = fitting
            .map(|at| &self.free_capacities[at])
            .is_some_and(|r| !spec.spot || r.spot || r.used);
        if keep {
            return fitting;
        }
        let new_machine = self
            .cheapest(item, left_cpu, excluded)
            .filter(|r| r.spot || fitting.is_none());
        let Some(free_capacity) = new_machine else {
            return fitting;
        };
        Some(self.add_rental(free_capacity))
    }

    /// Packs the tasks of an item, and rents machines for tasks that find no free capacity.
    pub(super) fn pack(&mut self, item: &Item) {
        let spec = &item.spec;
        let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
        let max = if spec.spread {
            item.tasks.div_ceil(2)
        } else {
            item.tasks
        };
        // Pending tasks may count on capacity that ending tasks free soon. Expected work needs
        // capacity that is free now.
        let soon = !item.expected && !item.queued && (self.input.patient)(spec);
        let mut left = item.tasks;
        while left > 0 {
            let excluded = |z: &Zone| zones.get(z).is_some_and(|n| *n >= max);
            let left_cpu = spec.each.cpu * i64::from(left);
            let chosen = self.choose_machine(item, soon, left_cpu, &excluded);
            let Some(at) = chosen else { return };
            let free_capacity = &self.free_capacities[at];
            let in_zone = zones.entry(free_capacity.zone.clone()).or_insert(0);
            // The tasks of a spread job are packed one at a time, because each task counts towards
            // the limit of its zone.
            let count = spec
                .each
                .how_many(free_capacity.available(soon))
                .min(left)
                .min(max - *in_zone)
                .max(1);
            let count = if spec.spread { 1 } else { count };
            self.take(at, item, count);
            *in_zone += count;
            left -= count;
        }
    }

    /// Takes capacity for `count` tasks of an item from the machine at index `at`.
    fn take(&mut self, at: usize, item: &Item, count: u32) {
        self.update_index(at, false);
        let free_capacity = &mut self.free_capacities[at];
        let taken = item.spec.each.times(i64::from(count));
        free_capacity.free -= taken;
        free_capacity.free_soon -= taken;
        free_capacity.used = true;
        match &item.window {
            Some(window) if free_capacity.id.is_none() && at < self.first_rental => {
                *self.pending_tasks.entry(window.clone()).or_insert(0) += count;
            }
            None if item.expected && !item.spec.spot => free_capacity.kept += taken,
            _ => {}
        }
        self.update_index(at, true);
    }
}
