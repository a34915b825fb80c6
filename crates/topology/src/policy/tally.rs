//! Counts of a job's tasks in each failure domain that the job's placement rules name.

use std::collections::BTreeMap;

use super::Policy;
use crate::tree::{Domain, Level, Tree};

/// Location of a machine, as placement rules see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MachineLocation<'a> {
    /// Innermost failure domain that is known to contain the machine.
    pub place: Domain,
    /// Id of the machine, or an empty string if the machine is not rented yet.
    pub machine: &'a str,
}

impl MachineLocation<'_> {
    /// Returns the machine's domain at a level, or `None` if it is not known.
    pub(super) fn domain(self, tree: &Tree, level: Level) -> Option<DomainKey> {
        if tree.is_machine(level) {
            return Some(DomainKey::Machine(self.machine.to_owned()));
        }
        tree.at(self.place, level).map(DomainKey::Domain)
    }
}

/// Key of a domain at any level. At the innermost level, each machine is a domain of its
/// own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum DomainKey {
    Domain(Domain),
    Machine(String),
}

/// Number of a job's tasks in each domain of one level.
#[derive(Clone, Debug, Default)]
pub(super) struct Counts {
    pub(super) by_domain: BTreeMap<DomainKey, u32>,
    /// Number of tasks whose domain is not known.
    pub(super) unknown: u32,
}

/// Task counts of one level, with the level that they belong to.
#[derive(Clone, Debug)]
struct LevelCounts {
    level: Level,
    counts: Counts,
}

/// Number of a job's tasks in each domain of each level that the policy's rules name.
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

    /// Returns the number of tasks that were counted.
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
    /// Counts a job's tasks by domain. A task without a location counts as one whose domain is
    /// not known.
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

    /// Returns the levels that the rules name, outermost first.
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

    /// Adds one more task to the counts. `None` means that the task's location is not known.
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
