//! Judgement of machines and tasks by a policy: which machines it excludes for one more
//! task, and which tasks exceed a spread limit.

use super::tally::{Counts, DomainKey};
use super::{
    ExclusionRule, FewRule, MachineLocation, Policy, Reach, SpreadRule, Tally, TogetherRule,
};
use crate::tree::{Domain, Level, Tree};

/// A machine that a placement rule excludes for one more task of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedMachine {
    /// Rule that excludes the machine.
    pub rule: ExclusionRule,
    /// End of the excluded range. The rule also excludes all machines whose places are from
    /// this machine's place up to this number.
    pub until: Domain,
}

/// A task of a job, with the location of its machine.
#[derive(Clone, Copy, Debug)]
pub struct LocatedTask<'a> {
    /// Index of the task within its job.
    pub index: u32,
    /// Location of the machine that runs the task.
    pub location: MachineLocation<'a>,
}

/// A task, with the number of its job's tasks that share its domain.
struct CrowdedTask {
    index: u32,
    tasks: u32,
}

/// A machine that is judged for one more task of a job.
#[derive(Clone, Copy)]
struct Judged<'a> {
    tree: &'a Tree,
    tally: &'a Tally,
    location: MachineLocation<'a>,
    reach: Reach,
}

impl Judged<'_> {
    /// Returns the machine's domain at a level, or `None` if it is not known.
    fn domain(&self, level: Level) -> Option<DomainKey> {
        self.location.domain(self.tree, level)
    }

    fn level_name(&self, level: Level) -> String {
        self.tree.level_name(level).to_owned()
    }

    /// Returns the number of the job's tasks in each domain of a level.
    fn counts(&self, level: Level) -> &Counts {
        self.tally.of(level)
    }

    /// Returns whether a rule counts. A required rule always counts, and a preferred one only
    /// with [`Reach::All`].
    fn applies(&self, must: bool) -> bool {
        must || self.reach == Reach::All
    }

    /// Returns the exclusion of this machine by a rule of a level, with the range of places to
    /// skip.
    fn exclusion(&self, level: Level, rule: ExclusionRule) -> ExcludedMachine {
        let place = self.location.place;
        let until = match self.tree.at(place, level) {
            _ if self.tree.is_machine(level) => place,
            Some(domain) => self.tree.range(domain).end,
            None => place.next(),
        };
        ExcludedMachine { rule, until }
    }

    fn spread(&self, rule: &SpreadRule) -> Option<ExcludedMachine> {
        if !self.applies(rule.must) {
            return None;
        }
        let counts = self.counts(rule.level);
        let Some(domain) = self.domain(rule.level) else {
            // The machine may share a domain with any other task of the job.
            let level = self.level_name(rule.level);
            return Some(self.exclusion(rule.level, ExclusionRule::UnknownDomain { level }));
        };
        let here = counts.by_domain.get(&domain).copied().unwrap_or(0);
        (here + counts.unknown >= rule.max).then(|| {
            let level = self.level_name(rule.level);
            let max = rule.max;
            self.exclusion(rule.level, ExclusionRule::Spread { level, max })
        })
    }

    fn together(&self, rule: &TogetherRule) -> Option<ExcludedMachine> {
        if !self.applies(rule.must) {
            return None;
        }
        let counts = self.counts(rule.level);
        let fits = self.domain(rule.level).is_some_and(|domain| {
            self.tally.total() == 0 || counts.unknown == 0 && counts.by_domain.contains_key(&domain)
        });
        (!fits).then(|| {
            let level = self.level_name(rule.level);
            self.exclusion(rule.level, ExclusionRule::Together { level })
        })
    }

    fn fewest(&self, rule: &FewRule) -> Option<ExcludedMachine> {
        let counts = self.counts(rule.level);
        let used = counts.by_domain.len() as u32 + counts.unknown;
        let known = self.domain(rule.level);
        if known
            .as_ref()
            .is_some_and(|domain| counts.by_domain.contains_key(domain))
        {
            return None;
        }
        let preferred = self.reach == Reach::All && (used > 0 || known.is_none());
        let required = rule.must && rule.max > 0 && (used >= rule.max || known.is_none());
        (preferred || required).then(|| {
            let level = self.level_name(rule.level);
            self.exclusion(rule.level, ExclusionRule::Fewest { level })
        })
    }
}

impl Policy {
    /// Returns the rule that excludes a machine for one more task, if there is one.
    ///
    /// A task whose place is not known counts as if it could be in any domain.
    pub fn bars(
        &self,
        tree: &Tree,
        tally: &Tally,
        location: MachineLocation<'_>,
        reach: Reach,
    ) -> Option<ExcludedMachine> {
        if let Some(why) = &self.unjudged {
            return Some(ExcludedMachine {
                rule: ExclusionRule::Unjudged(why.clone()),
                until: Domain::END,
            });
        }
        let judged = Judged {
            tree,
            tally,
            location,
            reach,
        };
        let spread = self.spread.iter().find_map(|r| judged.spread(r));
        spread
            .or_else(|| self.together.iter().find_map(|r| judged.together(r)))
            .or_else(|| self.fewest.iter().find_map(|r| judged.fewest(r)))
    }

    /// Returns the index of a task in a domain that has more of the job's tasks than a spread
    /// rule allows.
    ///
    /// `tasks` lists the job's tasks that could be moved. The fullest domain comes first. Tasks
    /// break a required rule only if the labels of machines changed after the tasks were
    /// placed.
    pub fn excess(&self, tree: &Tree, tally: &Tally, tasks: &[LocatedTask<'_>]) -> Option<u32> {
        let mut max: Option<CrowdedTask> = None;
        for rule in &self.spread {
            let counts = tally.of(rule.level);
            for task in tasks {
                let tasks = match task.location.domain(tree, rule.level) {
                    Some(domain) => counts.by_domain.get(&domain).copied().unwrap_or(0),
                    None => u32::MAX,
                };
                if tasks > rule.max && max.as_ref().is_none_or(|known| tasks > known.tasks) {
                    max = Some(CrowdedTask {
                        index: task.index,
                        tasks,
                    });
                }
            }
        }
        max.map(|crowded| crowded.index)
    }
}
