//! What a job's placement rules allow, given where its tasks are.
//!
//! A placement asks twice: first with everything wished ([`Reach::All`]), and
//! if that finds no place, with what is required only ([`Reach::Musts`]).

use std::collections::BTreeMap;

use sorrelhinge_protocol::placement::{Device, PlacementRules};
use sorrelhinge_protocol::types::{JobSpec, Kind};

use crate::tree::{Domain, Level, Tree, ROOT};
use crate::Topology;

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
    most: u32,
    must: bool,
}

#[derive(Clone, Debug, PartialEq)]
struct FewRule {
    level: Level,
    most: u32,
    must: bool,
}

/// A job's placement rules and its class's, with levels instead of names. All of them
/// hold together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    spread: Vec<SpreadRule>,
    together: Vec<(Level, bool)>,
    fewest: Vec<FewRule>,
    /// Devices that each task needs.
    pub devices: Vec<Device>,
    /// What it wished is not known any more: its tasks may hold any device.
    pub lost: bool,
    /// A required rule that can't be judged: nothing may be placed.
    unjudged: Option<String>,
}

/// Where a task is, as far as rules see it: its machine's place and the
/// machine, or somewhere unknown.
pub type Whereabouts<'a> = Option<(Domain, &'a str)>;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Key {
    Domain(Domain),
    Machine(String),
}

#[derive(Clone, Debug, Default)]
struct Counts {
    by: BTreeMap<Key, u32>,
    unknown: u32,
}

/// How many of a job's tasks are in each domain of each level that a rule of
/// its policy names.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    levels: Vec<(Level, Counts)>,
    total: u32,
}

impl Tally {
    fn of(&self, level: Level) -> &Counts {
        static NONE: Counts = Counts {
            by: BTreeMap::new(),
            unknown: 0,
        };
        self.levels
            .iter()
            .find(|(l, _)| *l == level)
            .map_or(&NONE, |(_, c)| c)
    }
}

/// A machine that a rule keeps a job off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Barred {
    /// Which rule, in words.
    pub why: String,
    /// All machines with places from the asked one's up to here are barred by
    /// it too.
    pub until: u32,
}

fn key(tree: &Tree, level: Level, (place, machine): (Domain, &str)) -> Option<Key> {
    if tree.is_machine(level) {
        return Some(Key::Machine(machine.to_owned()));
    }
    tree.at(place, level).map(Key::Domain)
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
    pub fn unjudged(why: &str) -> Self {
        Self {
            unjudged: Some(why.to_owned()),
            ..Self::default()
        }
    }

    fn add(&mut self, w: &PlacementRules, tree: &Tree, tasks: u32) {
        self.lost |= w.lost;
        let mut unknown = |name: &str, must: bool| {
            if must {
                self.unjudged
                    .get_or_insert(format!("there is no level {name:?}"));
            }
        };
        for rule in &w.spread {
            let Some(level) = tree.level(&rule.level) else {
                unknown(&rule.level, rule.must);
                continue;
            };
            let share = rule
                .share
                .map(|s| ((s * f64::from(tasks)).ceil() as u32).max(1));
            let most = match (rule.most, share) {
                (None, None) => {
                    let domains = if tree.is_machine(level) {
                        tasks
                    } else {
                        tree.domains(level).count() as u32
                    };
                    // Evenly, and with several tasks never all in one.
                    let even = tasks.div_ceil(domains.max(1));
                    even.min(tasks.saturating_sub(1)).max(1)
                }
                (most, share) => most.unwrap_or(u32::MAX).min(share.unwrap_or(u32::MAX)),
            };
            // A rule that the job can't break whatever happens is none.
            if most < tasks {
                self.spread.push(SpreadRule {
                    level,
                    most,
                    must: rule.must,
                });
            }
        }
        if let Some(rule) = w.together.as_ref().filter(|_| tasks > 1) {
            match tree.level(&rule.level) {
                Some(level) => self.together.push((level, rule.must)),
                None => unknown(&rule.level, rule.must),
            }
        }
        if let Some(rule) = w.fewest.as_ref().filter(|_| tasks > 1) {
            match tree.level(&rule.level) {
                Some(level) => self.fewest.push(FewRule {
                    level,
                    most: rule.most,
                    must: rule.must,
                }),
                None => unknown(&rule.level, rule.must),
            }
        }
        for device in &w.devices {
            match self.devices.iter_mut().find(|d| d.kind == device.kind) {
                Some(known) => {
                    known.count = known.count.max(device.count);
                    known.must |= device.must;
                }
                None => self.devices.push(device.clone()),
            }
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
            || self.together.iter().any(|(_, must)| *must)
            || self.fewest.iter().any(|r| r.must && r.most > 0)
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
            || self.together.iter().any(|(_, must)| !must)
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
        let musts = self.together.iter().filter(|(_, must)| *must);
        musts.map(|(level, _)| *level).max()
    }

    /// Counts a job's tasks.
    pub fn tally<'a>(
        &self,
        tree: &Tree,
        tasks: impl IntoIterator<Item = Whereabouts<'a>>,
    ) -> Tally {
        let mut levels: Vec<Level> = self
            .spread
            .iter()
            .map(|r| r.level)
            .chain(self.together.iter().map(|(l, _)| *l))
            .chain(self.fewest.iter().map(|r| r.level))
            .collect();
        levels.sort_unstable();
        levels.dedup();
        let mut tally = Tally {
            levels: levels.into_iter().map(|l| (l, Counts::default())).collect(),
            total: 0,
        };
        for task in tasks {
            self.count(tree, &mut tally, task);
        }
        tally
    }

    /// Counts one more task.
    pub fn count(&self, tree: &Tree, tally: &mut Tally, task: Whereabouts<'_>) {
        tally.total += 1;
        for (level, counts) in &mut tally.levels {
            match task.and_then(|t| key(tree, *level, t)) {
                Some(key) => *counts.by.entry(key).or_insert(0) += 1,
                None => counts.unknown += 1,
            }
        }
    }

    /// The rule that keeps one more task off a machine, if any does. A task
    /// whose place is not known could be in any domain.
    pub fn bars(
        &self,
        tree: &Tree,
        tally: &Tally,
        at: (Domain, &str),
        reach: Reach,
    ) -> Option<Barred> {
        if let Some(why) = &self.unjudged {
            return Some(Barred {
                why: why.clone(),
                until: u32::MAX,
            });
        }
        let counted = |must: bool| must || reach == Reach::All;
        let barred = |level: Level, why: String| {
            let until = match tree.at(at.0, level) {
                _ if tree.is_machine(level) => at.0 .0,
                Some(domain) => tree.range(domain).end,
                None => at.0 .0 + 1,
            };
            Some(Barred { why, until })
        };
        for rule in self.spread.iter().filter(|r| counted(r.must)) {
            let name = tree.level_name(rule.level);
            let counts = tally.of(rule.level);
            match key(tree, rule.level, at) {
                // It may share a domain with any other task.
                None => return barred(rule.level, format!("its {name} is not known")),
                Some(key) => {
                    let here = counts.by.get(&key).copied().unwrap_or(0);
                    if here + counts.unknown >= rule.most {
                        return barred(rule.level, format!("at most {} in a {name}", rule.most));
                    }
                }
            }
        }
        for &(level, _) in self.together.iter().filter(|(_, must)| counted(*must)) {
            let name = tree.level_name(level);
            let counts = tally.of(level);
            let fits = key(tree, level, at).is_some_and(|key| {
                tally.total == 0 || counts.unknown == 0 && counts.by.contains_key(&key)
            });
            if !fits {
                return barred(level, format!("all in one {name}"));
            }
        }
        for rule in &self.fewest {
            let name = tree.level_name(rule.level);
            let counts = tally.of(rule.level);
            let used = counts.by.len() as u32 + counts.unknown;
            let known = key(tree, rule.level, at);
            if known
                .as_ref()
                .is_some_and(|key| counts.by.contains_key(key))
            {
                continue;
            }
            let preferred = reach == Reach::All && (used > 0 || known.is_none());
            let required = rule.must && rule.most > 0 && (used >= rule.most || known.is_none());
            if preferred || required {
                return barred(rule.level, format!("in as few of each {name} as can be"));
            }
        }
        None
    }

    /// A task in a domain that has more than a rule wants, the fullest first;
    /// `tasks` are the job's tasks that could be moved. Required rules can be
    /// broken only by labels that changed under the tasks.
    pub fn excess<'a, T: Copy>(
        &self,
        tree: &Tree,
        tally: &Tally,
        tasks: impl IntoIterator<Item = (T, (Domain, &'a str))> + Clone,
    ) -> Option<T> {
        let mut most: Option<(u32, T)> = None;
        for rule in &self.spread {
            let counts = tally.of(rule.level);
            for (task, at) in tasks.clone() {
                let here = match key(tree, rule.level, at) {
                    Some(key) => counts.by.get(&key).copied().unwrap_or(0),
                    None => u32::MAX,
                };
                if here > rule.most && most.as_ref().is_none_or(|(n, _)| here > *n) {
                    most = Some((here, task));
                }
            }
        }
        most.map(|(_, task)| task)
    }

    /// How many tasks of the job can be within `domain` at a time, were all
    /// its machines there and free.
    fn room(&self, tree: &Tree, domain: Domain) -> u64 {
        let own = |level: Level| {
            let rules = self.spread.iter().filter(|r| r.must && r.level == level);
            rules.map(|r| u64::from(r.most)).min()
        };
        let level = tree.level_of(domain);
        let deepest = self
            .spread
            .iter()
            .filter(|r| r.must && !tree.is_machine(r.level))
            .map(|r| r.level)
            .max();
        let inner = match (deepest, level) {
            (None, _) => u64::MAX,
            (Some(deepest), Some(level)) if level >= deepest => u64::MAX,
            _ => {
                let next = level.map_or(Level(0), |l| Level(l.0 + 1));
                let range = tree.range(domain);
                tree.domains(next)
                    .filter(|d| range.contains(&d.0))
                    .map(|d| self.room(tree, d))
                    .fold(0, u64::saturating_add)
            }
        };
        level.and_then(own).unwrap_or(u64::MAX).min(inner)
    }

    /// Why a job can never be placed on the machines that the file describes,
    /// if that is so.
    pub fn never(&self, topology: &Topology, spec: &JobSpec) -> Option<String> {
        let tree = &topology.tree;
        if let Some(why) = &self.unjudged {
            return Some(why.clone());
        }
        let most = topology.most_units();
        for need in self.devices.iter().filter(|d| d.must) {
            let there = most.get(&need.kind).copied().unwrap_or(0);
            if there < need.count {
                return Some(format!(
                    "{} of {:?} on one machine: the most there is, is {there}",
                    need.count, need.kind
                ));
            }
        }
        // An array's tasks can run one after another.
        let at_once = match spec.kind {
            Kind::Array => 1,
            Kind::Service | Kind::Gang => u64::from(spec.tasks),
        };
        let outer = match &spec.zone {
            // A zone that the file doesn't name has no known domains in it.
            Some(zone) => tree.find(zone.as_str()),
            None => Some(ROOT),
        };
        let one_zone = (spec.one_zone && tree.levels().len() > 1).then_some(Level(0));
        let one = self
            .one_domain()
            .max(one_zone)
            .filter(|level| !tree.is_machine(*level));
        let within = |d: Domain| outer.is_some_and(|o| tree.covers(o, d) || tree.covers(d, o));
        let rooms: Vec<u64> = match one {
            Some(level) => tree
                .domains(level)
                .filter(|d| within(*d))
                .map(|d| self.room(tree, d))
                .collect(),
            None => outer.map(|o| self.room(tree, o)).into_iter().collect(),
        };
        let judged = self.spread.iter().any(|r| r.must) || self.one_domain().is_some();
        let room = rooms.into_iter().max().unwrap_or(0);
        if judged && room < at_once {
            return Some(format!(
                "{at_once} tasks at a time; its rules allow {room} on all the machines described"
            ));
        }
        let few = self.fewest.iter().find(|r| r.must && r.most > 0);
        if let Some(rule) = few.filter(|r| !tree.is_machine(r.level)) {
            let mut rooms: Vec<u64> = tree
                .domains(rule.level)
                .filter(|d| within(*d))
                .map(|d| self.room(tree, d))
                .collect();
            rooms.sort_unstable_by(|a, b| b.cmp(a));
            let room = rooms
                .into_iter()
                .take(rule.most as usize)
                .fold(0, u64::saturating_add);
            if room < at_once {
                return Some(format!(
                    "{at_once} tasks at a time in at most {} of each {}: its rules allow {room}",
                    rule.most,
                    tree.level_name(rule.level)
                ));
            }
        }
        None
    }
}
