//! What a job's placement rules allow, given where its tasks are.
//!
//! A placement asks twice: first with every rule ([`Reach::All`]), and
//! if that finds no place, with what is required only ([`Reach::Musts`]).

mod feasible;
mod judge;
mod reasons;
mod tally;

use sorrelhinge_protocol::placement::{Device, PlacementRules, Spread};

pub use judge::{ExcludedMachine, LocatedTask};
pub use reasons::{ExclusionRule, InfeasiblePolicy, UnjudgedPolicy};
pub use tally::{MachineLocation, Tally};

use crate::tree::{Level, Tree};

/// Which rules count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Required and preferred ones.
    All,
    /// Required ones.
    Musts,
}

#[derive(Clone, Debug, PartialEq)]
struct SpreadRule {
    level: Level,
    max: u32,
    must: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct TogetherRule {
    level: Level,
    must: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct FewRule {
    level: Level,
    max: u32,
    must: bool,
}

/// A job's placement rules and its class's, with levels instead of names. All of them
/// apply.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    spread: Vec<SpreadRule>,
    together: Vec<TogetherRule>,
    fewest: Vec<FewRule>,
    /// Devices that each task needs.
    pub devices: Vec<Device>,
    /// Its rules are not known any more: its tasks may use any device.
    pub lost: bool,
    /// A required rule that can't be judged: nothing may be placed.
    unjudged: Option<UnjudgedPolicy>,
}

/// The most tasks in a domain if they are spread evenly; of several tasks never all in
/// one.
fn max_if_even(tree: &Tree, level: Level, tasks: u32) -> u32 {
    let domains = if tree.is_machine(level) {
        tasks
    } else {
        tree.domains(level).count() as u32
    };
    let even = tasks.div_ceil(domains.max(1));
    even.min(tasks.saturating_sub(1)).max(1)
}

impl Policy {
    /// The placement rules of a job of `tasks` tasks: its own and its class's.
    pub fn new<'a>(
        rules: impl IntoIterator<Item = &'a PlacementRules>,
        tree: &Tree,
        tasks: u32,
    ) -> Self {
        let mut policy = Self::default();
        for w in rules {
            policy.add(w, tree, tasks);
        }
        policy
    }

    /// A policy that can't be judged, so that nothing is placed.
    pub fn unjudged(why: UnjudgedPolicy) -> Self {
        Self {
            unjudged: Some(why),
            ..Self::default()
        }
    }

    fn add(&mut self, rules: &PlacementRules, tree: &Tree, tasks: u32) {
        self.lost |= rules.lost;
        for rule in &rules.spread {
            self.add_spread(rule, tree, tasks);
        }
        if let Some(rule) = rules.together.as_ref().filter(|_| tasks > 1) {
            if let Some(level) = self.level_of_rule(tree, &rule.level, rule.must) {
                let must = rule.must;
                self.together.push(TogetherRule { level, must });
            }
        }
        if let Some(rule) = rules.fewest.as_ref().filter(|_| tasks > 1) {
            if let Some(level) = self.level_of_rule(tree, &rule.level, rule.must) {
                self.fewest.push(FewRule {
                    level,
                    max: rule.max,
                    must: rule.must,
                });
            }
        }
        for device in &rules.devices {
            self.add_device(device);
        }
    }

    /// The level that a rule names. A required rule of an unknown level can't be judged.
    fn level_of_rule(&mut self, tree: &Tree, name: &str, must: bool) -> Option<Level> {
        let level = tree.level(name);
        if level.is_none() && must {
            self.unjudged
                .get_or_insert_with(|| UnjudgedPolicy::UnknownLevel {
                    level: name.to_owned(),
                });
        }
        level
    }

    fn add_spread(&mut self, rule: &Spread, tree: &Tree, tasks: u32) {
        let Some(level) = self.level_of_rule(tree, &rule.level, rule.must) else {
            return;
        };
        let share = rule
            .share
            .map(|s| ((s * f64::from(tasks)).ceil() as u32).max(1));
        let max = match (rule.most, share) {
            (None, None) => max_if_even(tree, level, tasks),
            (max, share) => max.unwrap_or(u32::MAX).min(share.unwrap_or(u32::MAX)),
        };
        // A rule that the job can't break whatever happens is none.
        if max < tasks {
            self.spread.push(SpreadRule {
                level,
                max,
                must: rule.must,
            });
        }
    }

    /// Of a kind that several rules name the strictest counts.
    fn add_device(&mut self, device: &Device) {
        match self.devices.iter_mut().find(|d| d.kind == device.kind) {
            Some(known) => {
                known.count = known.count.max(device.count);
                known.must |= device.must;
            }
            None => self.devices.push(device.clone()),
        }
    }

    /// Whether it asks nothing.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
    /// Whether anything is required.
    pub fn requires(&self) -> bool {
        self.lost
            || self.unjudged.is_some()
            || self.spread.iter().any(|r| r.must)
            || self.together.iter().any(|r| r.must)
            || self.fewest.iter().any(|r| r.must && r.max > 0)
            || self.devices.iter().any(|d| d.must)
    }
    /// Whether any rule looks at where the other tasks are.
    pub fn counts(&self) -> bool {
        self.unjudged.is_some()
            || !self.spread.is_empty()
            || !self.together.is_empty()
            || !self.fewest.is_empty()
    }
    /// Whether asking with [`Reach::Musts`] can find more than with
    /// [`Reach::All`].
    pub fn prefers(&self) -> bool {
        self.spread.iter().any(|r| !r.must)
            || self.together.iter().any(|r| !r.must)
            || !self.fewest.is_empty()
            || self.devices.iter().any(|d| !d.must)
    }
    /// The devices that count as required.
    pub fn needs(&self, reach: Reach) -> Vec<Device> {
        let forced = |d: &Device| Device {
            must: d.must || reach == Reach::All,
            ..d.clone()
        };
        self.devices.iter().map(forced).collect()
    }
    /// The innermost level at which all tasks have to be together, if any.
    pub fn one_domain(&self) -> Option<Level> {
        let musts = self.together.iter().filter(|r| r.must);
        musts.map(|r| r.level).max()
    }
}
