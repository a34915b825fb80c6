//! Placement of gangs, whose tasks all start at the same time.
//!
//! A gang is placed at once if enough slots are free. Otherwise, slots that become free are
//! reserved on the fewest machines that would fit the gang.
//!
//! Two gangs never block each other. Machines are reserved for only one gang at a time, for
//! a limited time and on a limited part of the fleet. All tasks of a gang are claimed
//! together or none is.

use sorrelhinge_protocol::types::{MachineId, Time};

use crate::tree::{Domain, Level, Tree, ROOT};

/// A machine that could run tasks of a gang, with its capacity for them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Id of the machine that could run the gang's tasks.
    pub machine: MachineId,
    /// Innermost failure domain that is known to contain the machine.
    pub place: Domain,
    /// Number of the gang's tasks that fit on the machine now.
    pub free: u32,
    /// Number of the gang's tasks that fit once all running tasks that end by themselves have
    /// ended.
    pub later: u32,
    /// Cost in seconds of using the machine. The cost only decides between equally good plans.
    pub cost: u32,
}

/// Number of a gang's tasks that are planned on one machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Id of the machine that runs the tasks.
    pub machine: MachineId,
    /// Number of the gang's tasks on this machine.
    pub tasks: u32,
}

/// Placement of all tasks of a gang, by machine.
pub type Plan = Vec<Assignment>;

/// A slot on which a plan already puts tasks of the gang.
#[derive(Clone, Copy, Debug)]
pub struct ChosenSlot<'a> {
    /// Slot on which the plan puts tasks of the gang.
    pub slot: &'a Slot,
    /// Number of the gang's tasks that the plan puts on the slot.
    pub tasks: u32,
}

/// Placement rules of a gang's job, as the gang planner applies them.
pub trait Rules {
    /// Returns how many more tasks the rules allow on `slot`, at most `wanted`, if the tasks in
    /// `chosen` are already planned.
    fn allowed(&self, chosen: &[ChosenSlot<'_>], slot: &Slot, wanted: u32) -> u32;
}

/// Rule set that allows every placement.
pub struct NoRules;

impl Rules for NoRules {
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
    // Filling the slots with the most free capacity first uses the fewest machines.
    order.sort_by(|a, b| {
        free_capacity(b)
            .cmp(&free_capacity(a))
            .then(a.cost.cmp(&b.cost))
            .then(a.machine.cmp(&b.machine))
    });
    let mut chosen: Vec<ChosenSlot> = Vec::new();
    let mut left = tasks;
    while left > 0 && !order.is_empty() {
        // The last tasks go to the slot with the least free capacity that fits all of them.
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

/// A gang that needs a plan, with its rules and its capacity measure.
struct GangRequest<'a> {
    tasks: u32,
    /// Returns how many of the gang's tasks fit on a slot.
    free_capacity: &'a dyn Fn(&Slot) -> u32,
    rules: &'a dyn Rules,
}

impl GangRequest<'_> {
    fn fill<'s>(&self, slots: &[&'s Slot]) -> Option<Vec<ChosenSlot<'s>>> {
        fill(slots, self.tasks, self.free_capacity, self.rules)
    }

    /// Plans the gang on the fewest machines in the innermost level that has a domain that fits
    /// it. If no domain fits it, all slots count together.
    fn within(&self, tree: Option<&Tree>, slots: &[Slot]) -> Option<Plan> {
        if let Some(tree) = tree {
            let above_machine = tree.levels().len().saturating_sub(1);
            let mut levels = (0..above_machine as u8).rev().map(Level);
            if let Some(plan) = levels.find_map(|level| self.within_level(tree, slots, level)) {
                return Some(plan);
            }
        }
        let all: Vec<&Slot> = slots.iter().collect();
        self.fill(&all).map(into_plan)
    }

    /// Plans the gang in one domain of a level and prefers the domain that needs the fewest
    /// machines.
    ///
    /// Among such domains, the one with the least free capacity counts.
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
                    let plan = into_plan(chosen);
                    best = Some(RankedPlan { rank, plan });
                }
            }
        }
        best.map(|best| best.plan)
    }
}

/// Rank of a plan. A lower rank is better.
#[derive(PartialEq, PartialOrd)]
struct Rank {
    machines: usize,
    /// Number of the gang's tasks that fit into the plan's domain.
    free_capacity: u32,
}

struct RankedPlan {
    rank: Rank,
    plan: Plan,
}

fn into_plan(chosen: Vec<ChosenSlot<'_>>) -> Plan {
    let assignments = chosen.into_iter().map(|chosen| Assignment {
        machine: chosen.slot.machine.clone(),
        tasks: chosen.tasks,
    });
    assignments.collect()
}

/// Plans all tasks of a gang on capacity that is free now, or returns `None` if it does not
/// suffice.
///
/// The plan uses the fewest machines within one domain of the innermost level that has
/// enough free capacity.
pub fn plan_now(
    tree: Option<&Tree>,
    slots: &[Slot],
    tasks: u32,
    rules: &dyn Rules,
) -> Option<Plan> {
    let wanted = GangRequest {
        tasks,
        free_capacity: &|s| s.free,
        rules,
    };
    wanted.within(tree, slots)
}

/// Plans a gang on the fewest machines that will fit it once all running tasks that end by
/// themselves have ended.
pub fn plan_later(
    tree: Option<&Tree>,
    slots: &[Slot],
    tasks: u32,
    rules: &dyn Rules,
) -> Option<Plan> {
    let wanted = GangRequest {
        tasks,
        free_capacity: &|s| s.later,
        rules,
    };
    wanted.within(tree, slots)
}

/// A gang for which machines are reserved.
#[derive(Clone, Debug)]
struct Holder<J> {
    job: J,
    since: Time,
}

/// A gang whose reservation time expired and that must wait before it may reserve machines
/// again.
#[derive(Clone, Debug)]
struct Waiting<J> {
    job: J,
    until: Time,
}

/// Schedule of which gang may have machines reserved. Only one gang has reservations at a
/// time.
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
    /// Returns whether a gang that found no free capacity may have machines reserved.
    ///
    /// The gang may if it already has the reservation. It also may if no gang has the
    /// reservation and its own has not just expired. A reservation expires after `turn_s`
    /// seconds, and the gang then waits for `turn_s` seconds before it may reserve again.
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
    /// Ends a gang's reservation because the gang was placed or its job has ended.
    pub fn leave(&mut self, job: &J) {
        if self
            .holder
            .as_ref()
            .is_some_and(|holder| holder.job == *job)
        {
            self.holder = None;
        }
    }
    /// Returns the gang for which machines are reserved.
    pub fn holder(&self) -> Option<&J> {
        self.holder.as_ref().map(|holder| &holder.job)
    }
}

/// Returns the innermost domain that contains all given places.
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
