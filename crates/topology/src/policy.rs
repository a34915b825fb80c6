//! Placement rules of a job, judged by where the job's tasks are.
//!
//! The scheduler asks a policy twice for each placement. It first asks with every rule
//! ([`Reach::All`]). If that finds no machine, it asks with the required rules only
//! ([`Reach::Musts`]).

mod feasible;
mod judge;
mod reasons;
mod tally;

use sorrelhinge_protocol::placement::{Device, PlacementRules, Spread};

pub use judge::{ExcludedMachine, LocatedTask};
pub use reasons::{ExclusionRule, InfeasiblePolicy, UnjudgedPolicy};
pub use tally::{MachineLocation, Tally};

use crate::tree::{Level, Tree};

/// Set of placement rules that count when a machine is judged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Required and preferred rules count.
    All,
    /// Only required rules count, and preferred rules are ignored.
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

/// Placement rules of a job and of its class, with level names resolved. All rules apply
/// together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    spread: Vec<SpreadRule>,
    together: Vec<TogetherRule>,
    fewest: Vec<FewRule>,
    /// Devices that each task of the job needs.
    pub devices: Vec<Device>,
    /// Whether the job's placement rules were lost. Its tasks may then use any device.
    pub lost: bool,
    /// Reason why a required rule can't be judged. While it is set, no task of the job may be
    /// placed.
    unjudged: Option<UnjudgedPolicy>,
}

/// Returns the maximum number of tasks in one domain if `tasks` tasks are spread evenly
/// over a level.
///
/// If there are several tasks, the result is always below their number, so that they never
/// all share one domain.
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
    /// Creates the policy of a job with `tasks` tasks from the rules of the job and of its
    /// class.
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

    /// Creates a policy that can't be judged, under which no task is placed.
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

    /// Returns the level that a rule names. If a required rule names an unknown level, the
    /// policy can't be judged.
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
        // A limit that is not below the job's number of tasks can never be exceeded, so it needs no
        // rule.
        if max < tasks {
            self.spread.push(SpreadRule {
                level,
                max,
                must: rule.must,
            });
        }
    }

    /// Adds a device need. If several rules name the same device kind, the strictest one
    /// counts.
    fn add_device(&mut self, device: &Device) {
        match self.devices.iter_mut().find(|d| d.kind == device.kind) {
            Some(known) => {
                known.count = known.count.max(device.count);
                known.must |= device.must;
            }
            None => self.devices.push(device.clone()),
        }
    }

    /// Returns whether the policy has no rules.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
    /// Returns whether the policy has any required rule.
    pub fn requires(&self) -> bool {
        self.lost
            || self.unjudged.is_some()
            || self.spread.iter().any(|r| r.must)
            || self.together.iter().any(|r| r.must)
            || self.fewest.iter().any(|r| r.must && r.max > 0)
            || self.devices.iter().any(|d| d.must)
    }
    /// Returns whether any rule depends on where the other tasks of the job are.
    pub fn counts(&self) -> bool {
        self.unjudged.is_some()
            || !self.spread.is_empty()
            || !self.together.is_empty()
            || !self.fewest.is_empty()
    }
    /// Returns whether [`Reach::Musts`] can allow more machines than [`Reach::All`].
    pub fn prefers(&self) -> bool {
        self.spread.iter().any(|r| !r.must)
            || self.together.iter().any(|r| !r.must)
            || !self.fewest.is_empty()
            || self.devices.iter().any(|d| !d.must)
    }
    /// Returns the devices that each task needs. With [`Reach::All`], preferred devices count
    /// as required.
    pub fn needs(&self, reach: Reach) -> Vec<Device> {
        let forced = |d: &Device| Device {
            must: d.must || reach == Reach::All,
            ..d.clone()
        };
        self.devices.iter().map(forced).collect()
    }
    /// Returns the innermost level at which all tasks must share one domain, if there is one.
    pub fn one_domain(&self) -> Option<Level> {
        let musts = self.together.iter().filter(|r| r.must);
        musts.map(|r| r.level).max()
    }
}
