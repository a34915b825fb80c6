//! Packing tasks into machines: those that there are, those on their way, and those
//! that the plan rents.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use super::free_capacity::{Bin, FreeCapacity};
use super::Input;
use crate::scheduler::CapacityPool;
use crate::types::{JobId, JobSpec, Kind, Zone};

/// Tasks of a job, or expected ones, to pack.
pub(super) struct Item {
    pub(super) spec: Rc<JobSpec>,
    pub(super) tasks: u32,
    /// Capacity that is only kept free.
    pub(super) expected: bool,
    /// It has waited so long already that its objectives are in danger.
    pub(super) late: bool,
    /// It has waited for about as long as it can for tasks to end: they do,
    /// but as much work comes as they leave capacity for.
    pub(super) queued: bool,
    /// Its job has rules that its spec alone does not tell.
    pub(super) placed: Option<JobId>,
    /// Its job is in a lane.
    pub(super) lane: bool,
    /// To be reserved for a window.
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

/// How good a machine is for a task, the least first.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    /// An ordinary machine, for what may use spot ones.
    dear: bool,
    /// For a service, in a zone without a controller.
    apart: bool,
    /// It might be given back.
    unused: bool,
    /// Free thousandths of a CPU.
    cpu: i64,
}

/// A machine by what is free there.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct FreeCpu {
    /// Thousandths of a CPU.
    cpu: i64,
    /// The machine's place in `free_capacities`.
    at: usize,
}

/// Machines, and what was packed into them so far.
pub(super) struct Packing<'a> {
    pub(super) input: &'a Input<'a>,
    pub(super) free_capacities: Vec<FreeCapacity>,
    /// Machines by what is free now, and by what is free soon: the tightest first.
    bins: [BTreeMap<Bin, BTreeSet<FreeCpu>>; 2],
    pub(super) crowd: HashMap<Zone, u32>,
    pub(super) total_cpu: i64,
    pub(super) guaranteed_cpu: i64,
    pub(super) rent: BTreeMap<CapacityPool, u32>,
    /// Machines rented for the sake of where they may come up, on their way
    /// and new.
    pub(super) hoped: u32,
    /// Machines from here on are rented by this plan.
    pub(super) new_from: usize,
    /// For how many tasks of each window machines on their way have capacity.
    pub(super) pending_tasks: BTreeMap<String, u32>,
}

impl<'a> Packing<'a> {
    /// Nothing is there yet.
    pub(super) fn new(input: &'a Input<'a>) -> Self {
        Self {
            input,
            free_capacities: Vec::new(),
            bins: Default::default(),
            crowd: HashMap::new(),
            total_cpu: 0,
            guaranteed_cpu: input.cluster_state.guaranteed().cpu,
            rent: BTreeMap::new(),
            hoped: 0,
            new_from: usize::MAX,
            pending_tasks: BTreeMap::new(),
        }
    }
}

impl Packing<'_> {
    pub(super) fn add(&mut self, free_capacity: FreeCapacity) -> usize {
        *self.crowd.entry(free_capacity.zone.clone()).or_insert(0) += 1;
        self.total_cpu += free_capacity.kind.total.cpu;
        self.free_capacities.push(free_capacity);
        let at = self.free_capacities.len() - 1;
        self.file(at, true);
        at
    }

    pub(super) fn file(&mut self, at: usize, put: bool) {
        let free_capacity = &self.free_capacities[at];
        for (soon, bins) in self.bins.iter_mut().enumerate() {
            let bin = bins.entry(free_capacity.bin()).or_default();
            let cpu = free_capacity.available(soon == 1).cpu;
            let key = FreeCpu { cpu, at };
            if put {
                bin.insert(key);
            } else {
                bin.remove(&key);
            }
        }
    }

    /// The machine for a task that ranks best: spot machines for what may use
    /// them, then machines that stay anyway, then the tightest fit.
    pub(super) fn fitting(
        &self,
        spec: &JobSpec,
        soon: bool,
        barred: &dyn Fn(&Zone) -> bool,
        pass: &dyn Fn(&FreeCapacity) -> bool,
    ) -> Option<usize> {
        let mut best: Option<(Rank, usize)> = None;
        for (bin, free_capacities) in &self.bins[usize::from(soon)] {
            if barred(&bin.zone) {
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
                let apart =
                    spec.kind == Kind::Service && !self.input.cluster_state.is_served(&bin.zone);
                let rank = Rank {
                    dear: spec.spot && !bin.spot,
                    apart,
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

    /// The machine for a task, there or to be rented.
    fn choose_machine(
        &mut self,
        item: &Item,
        soon: bool,
        left_cpu: i64,
        barred: &dyn Fn(&Zone) -> bool,
    ) -> Option<usize> {
        let spec = &item.spec;
        let fitting = self.fitting(spec, soon, barred, &|_| true);
        // An ordinary machine that nothing else uses is dear for work
        // that may use spot machines: rather rent one of those.
        let keep = fitting
            .map(|at| &self.free_capacities[at])
            .is_some_and(|r| !spec.spot || r.spot || r.used);
        if keep {
            return fitting;
        }
        let new_machine = self
            .cheapest(item, left_cpu, barred)
            .filter(|r| r.spot || fitting.is_none());
        let Some(free_capacity) = new_machine else {
            return fitting;
        };
        Some(self.add_rental(free_capacity))
    }

    /// Packs an item's tasks, and rents for those that find no free capacity.
    pub(super) fn pack(&mut self, item: &Item) {
        let spec = &item.spec;
        let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
        let max = if spec.spread {
            item.tasks.div_ceil(2)
        } else {
            item.tasks
        };
        // What is only expected needs its free capacity at once; what waits can take
        // the free capacity of tasks that end soon.
        let soon = !item.expected && !item.queued && (self.input.patient)(spec);
        let mut left = item.tasks;
        while left > 0 {
            let barred = |z: &Zone| zones.get(z).is_some_and(|n| *n >= max);
            let left_cpu = spec.each.cpu * i64::from(left);
            let chosen = self.choose_machine(item, soon, left_cpu, &barred);
            let Some(at) = chosen else { return };
            let free_capacity = &self.free_capacities[at];
            let in_zone = zones.entry(free_capacity.zone.clone()).or_insert(0);
            // A spread job's tasks go to one machine after another, as their
            // zones fill up.
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

    /// Takes capacity for so many tasks of an item.
    fn take(&mut self, at: usize, item: &Item, count: u32) {
        self.file(at, false);
        let free_capacity = &mut self.free_capacities[at];
        let taken = item.spec.each.times(i64::from(count));
        free_capacity.free -= taken;
        free_capacity.soon -= taken;
        free_capacity.used = true;
        match &item.window {
            Some(window) if free_capacity.id.is_none() && at < self.new_from => {
                *self.pending_tasks.entry(window.clone()).or_insert(0) += count;
            }
            None if item.expected && !item.spec.spot => free_capacity.kept += taken,
            _ => {}
        }
        self.file(at, true);
    }
}
