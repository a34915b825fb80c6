//! Gangs (DESIGN): placed all at once when free slots suffice; else freed slots are
//! reserved on the fewest machines that would fit the gang.
//!
//! Two gangs never block each other: machines are reserved for one gang at a
//! time, for a bounded time and a bounded part of the fleet, and a gang is
//! claimed with all its tasks or not at all.

use sorrelhinge_protocol::types::{MachineId, Time};

use crate::tree::{Domain, Level, Tree, ROOT};

/// A machine that could take tasks of a gang.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Which.
    pub machine: MachineId,
    /// Where.
    pub place: Domain,
    /// How many of its tasks fit there now.
    pub free: u32,
    /// How many will, once what now runs there and ends by itself has ended.
    pub later: u32,
    /// What it costs to use it, in seconds: for equally good plans only.
    pub cost: u32,
}

/// Tasks of a gang for one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Which.
    pub machine: MachineId,
    /// How many tasks.
    pub tasks: u32,
}

/// All tasks of a gang, by machine.
pub type Plan = Vec<Assignment>;

/// Tasks that are planned on a slot already.
#[derive(Clone, Copy, Debug)]
pub struct ChosenSlot<'a> {
    /// The slot.
    pub slot: &'a Slot,
    /// How many tasks.
    pub tasks: u32,
}

/// How many more tasks the job's rules allow on a slot, when `chosen` are
/// planned already.
pub trait Rules {
    /// At most `wanted`.
    fn allowed(&self, chosen: &[ChosenSlot<'_>], slot: &Slot, wanted: u32) -> u32;
}

/// No rules.
pub struct Anywhere;

impl Rules for Anywhere {
    fn allowed(&self, _: &[ChosenSlot<'_>], _: &Slot, wanted: u32) -> u32 {
        wanted
    }
}

fn fill<'a>(
    slots: &[&'a Slot],
    tasks: u32,
    free_capacity: impl Fn(&Slot) -> u32,
    rules: &dyn Rules,
) -> Option<Vec<ChosenSlot<'a>>> {
    let mut order: Vec<&Slot> = slots
        .iter()
        .copied()
        .filter(|s| free_capacity(s) > 0)
        .collect();
    // The largest first makes the fewest machines.
    order.sort_by(|a, b| {
        free_capacity(b)
            .cmp(&free_capacity(a))
            .then(a.cost.cmp(&b.cost))
            .then(a.machine.cmp(&b.machine))
    });
    let mut chosen: Vec<ChosenSlot> = Vec::new();
    let mut left = tasks;
    while left > 0 && !order.is_empty() {
        // For what is left at the end the tightest that takes it all.
        let at = order
            .iter()
            .rposition(|s| free_capacity(s) >= left)
            .unwrap_or(0);
        let slot = order.remove(at);
        let take = rules
            .allowed(&chosen, slot, free_capacity(slot).min(left))
            .min(left);
        if take > 0 {
            chosen.push(ChosenSlot { slot, tasks: take });
            left -= take;
        }
    }
    (left == 0).then_some(chosen)
}

/// A gang that is to be planned.
struct Wanted<'a> {
    tasks: u32,
    /// How many of its tasks a slot takes.
    free_capacity: &'a dyn Fn(&Slot) -> u32,
    rules: &'a dyn Rules,
}

impl Wanted<'_> {
    fn fill<'s>(&self, slots: &[&'s Slot]) -> Option<Vec<ChosenSlot<'s>>> {
        fill(slots, self.tasks, self.free_capacity, self.rules)
    }

    /// The plan on the fewest machines within the innermost domain that fits.
    fn within(&self, tree: Option<&Tree>, slots: &[Slot]) -> Option<Plan> {
        if let Some(tree) = tree {
            let above_machine = tree.levels().len().saturating_sub(1);
            let mut levels = (0..above_machine as u8).rev().map(Level);
            if let Some(plan) = levels.find_map(|level| self.within_level(tree, slots, level)) {
                return Some(plan);
            }
        }
        let all: Vec<&Slot> = slots.iter().collect();
        self.fill(&all).map(owned)
    }

    /// The plan on the fewest machines within one domain of a level; of several the one
    /// in the tightest domain.
    fn within_level(&self, tree: &Tree, slots: &[Slot], level: Level) -> Option<Plan> {
        let mut best: Option<RankedPlan> = None;
        let places = slots.iter().filter_map(|s| tree.at(s.place, level));
        let mut domains: Vec<Domain> = places.collect();
        domains.sort_unstable();
        domains.dedup();
        for domain in domains {
            let inside: Vec<&Slot> = slots
                .iter()
                .filter(|s| tree.covers(domain, s.place))
                .collect();
            let free_capacities = inside.iter().map(|s| (self.free_capacity)(s));
            let free_capacity = free_capacities.fold(0_u32, u32::saturating_add);
            if free_capacity < self.tasks {
                continue;
            }
            if let Some(chosen) = self.fill(&inside) {
                let machines = chosen.len();
                let rank = Rank {
                    machines,
                    free_capacity,
                };
                if best.as_ref().is_none_or(|known| rank < known.rank) {
                    let plan = owned(chosen);
                    best = Some(RankedPlan { rank, plan });
                }
            }
        }
        best.map(|best| best.plan)
    }
}

/// How good a plan is, the least first.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    machines: usize,
    /// How many tasks its domain would take.
    free_capacity: u32,
}

struct RankedPlan {
    rank: Rank,
    plan: Plan,
}

fn owned(chosen: Vec<ChosenSlot<'_>>) -> Plan {
    let assignments = chosen.into_iter().map(|chosen| Assignment {
        machine: chosen.slot.machine.clone(),
        tasks: chosen.tasks,
    });
    assignments.collect()
}

/// Plans all tasks of a gang in what is free, if that suffices: within one domain of
/// the innermost level that has free capacity, on the fewest machines.
pub fn plan_now(
    tree: Option<&Tree>,
    slots: &[Slot],
    tasks: u32,
    rules: &dyn Rules,
) -> Option<Plan> {
    let wanted = Wanted {
        tasks,
        free_capacity: &|s| s.free,
        rules,
    };
    wanted.within(tree, slots)
}

/// The fewest machines that would fit a gang once what ends by itself has ended.
pub fn plan_later(
    tree: Option<&Tree>,
    slots: &[Slot],
    tasks: u32,
    rules: &dyn Rules,
) -> Option<Plan> {
    let wanted = Wanted {
        tasks,
        free_capacity: &|s| s.later,
        rules,
    };
    wanted.within(tree, slots)
}

/// A gang that has machines reserved.
#[derive(Clone, Debug)]
struct Holder<J> {
    job: J,
    since: Time,
}

/// A gang that had its turn and waits for the next.
#[derive(Clone, Debug)]
struct Waiting<J> {
    job: J,
    until: Time,
}

/// Whose turn it is to have machines reserved.
#[derive(Clone, Debug)]
pub struct Turn<J> {
    holder: Option<Holder<J>>,
    waiting: Vec<Waiting<J>>,
}

impl<J> Default for Turn<J> {
    fn default() -> Self {
        Self {
            holder: None,
            waiting: Vec::new(),
        }
    }
}

impl<J: Clone + PartialEq> Turn<J> {
    /// Whether a gang that found no free capacity may have machines reserved: it has, or
    /// none has and it has not just had its turn. A turn ends after
    /// `turn_s` seconds, and the gang then stands back for as long.
    pub fn may_reserve(&mut self, job: &J, turn_s: f64, now: Time) -> bool {
        self.waiting.retain(|waiting| now < waiting.until);
        if let Some(holder) = &self.holder {
            if now.since(holder.since) < turn_s {
                return holder.job == *job;
            }
            let job = holder.job.clone();
            let until = now.after(turn_s);
            self.holder = None;
            self.waiting.push(Waiting { job, until });
        }
        if self.waiting.iter().any(|waiting| waiting.job == *job) {
            return false;
        }
        self.holder = Some(Holder {
            job: job.clone(),
            since: now,
        });
        true
    }
    /// A gang was placed, or is over.
    pub fn leave(&mut self, job: &J) {
        if self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.job == *job)
        {
            self.holder = None;
        }
    }
    /// The gang that has machines reserved.
    pub fn holder(&self) -> Option<&J> {
        self.holder.as_ref().map(|holder| &holder.job)
    }
}

/// The innermost domain that all these places lie in.
pub fn common(tree: &Tree, places: impl IntoIterator<Item = Domain>) -> Domain {
    let mut places = places.into_iter();
    let Some(mut domain) = places.next() else {
        return ROOT;
    };
    for place in places {
        while !tree.covers(domain, place) {
            domain = match tree.level_of(domain) {
                Some(Level(0)) | None => return ROOT,
                Some(Level(n)) => tree.at(domain, Level(n - 1)).unwrap_or(ROOT),
            };
        }
    }
    domain
}
