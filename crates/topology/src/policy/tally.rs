//! How many of a job's tasks are in each failure domain that its rules look at.

use std::collections::BTreeMap;

use super::Policy;
use crate::tree::{Domain, Level, Tree};

/// Where a machine is, as far as rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLocation<'a> {
    /// The innermost domain that is known.
    pub place: Domain,
    /// The machine's id; empty of one that is not there yet.
    pub machine: &'a str,
}

impl MachineLocation<'_> {
    /// Its domain of a level; none if that is not known.
    pub(super) fn domain(self, tree: &Tree, level: Level) -> Option<DomainKey> {
        if tree.is_machine(level) {
            return Some(DomainKey::Machine(self.machine.to_owned()));
        }
        tree.at(self.place, level).map(DomainKey::Domain)
    }
}

/// A domain of any level: those of the innermost are the machines.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DomainKey {
    Domain(Domain),
    Machine(String),
}

/// How many of a job's tasks are in each domain of a level.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    pub(super) by_domain: BTreeMap<DomainKey, u32>,
    /// Tasks whose domain is not known.
    pub(super) unknown: u32,
}

/// How many of a job's tasks are in each domain of one level.
#[derive(Clone, Debug)]
struct LevelCounts {
    level: Level,
    counts: Counts,
}

/// How many of a job's tasks are in each domain of each level that a rule of
/// its policy names.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    levels: Vec<LevelCounts>,
    total: u32,
}

impl Tally {
    fn new(levels: Vec<Level>) -> Self {
        let levels = levels.into_iter().map(|level| LevelCounts {
            level,
            counts: Counts::default(),
        });
        Self {
            levels: levels.collect(),
            total: 0,
        }
    }

    /// How many tasks were counted.
    pub(super) fn total(&self) -> u32 {
        self.total
    }

    pub(super) fn of(&self, level: Level) -> &Counts {
        static NONE: Counts = Counts {
            by_domain: BTreeMap::new(),
            unknown: 0,
        };
        self.levels
            .iter()
            .find(|l| l.level == level)
            .map_or(&NONE, |l| &l.counts)
    }
}

impl Policy {
    /// Counts a job's tasks. A task without a location may be anywhere.
    pub fn tally<'a>(
        &self,
        tree: &Tree,
        tasks: impl IntoIterator<Item = Option<MachineLocation<'a>>>,
    ) -> Tally {
        let mut tally = Tally::new(self.levels());
        for task in tasks {
            self.count(tree, &mut tally, task);
        }
        tally
    }

    /// The levels that rules name, the outermost first.
    fn levels(&self) -> Vec<Level> {
        let mut levels: Vec<Level> = self
            .spread
            .iter()
            .map(|r| r.level)
            .chain(self.together.iter().map(|r| r.level))
            .chain(self.fewest.iter().map(|r| r.level))
            .collect();
        levels.sort_unstable();
        levels.dedup();
        levels
    }

    /// Counts one more task.
    pub fn count(&self, tree: &Tree, tally: &mut Tally, task: Option<MachineLocation<'_>>) {
        tally.total += 1;
        for LevelCounts { level, counts } in &mut tally.levels {
            match task.and_then(|location| location.domain(tree, *level)) {
                Some(domain) => *counts.by_domain.entry(domain).or_insert(0) += 1,
                None => counts.unknown += 1,
            }
        }
    }
}
