//! Which machines a policy keeps one more task off, and which tasks pile up.

use super::{
    key, Counts, ExclusionRule, FewRule, Key, Policy, Reach, SpreadRule, Tally, TogetherRule,
};
use crate::tree::{Domain, Level, Tree};

/// A machine that a rule keeps a job off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExcludedMachine {
    /// Which rule.
    pub rule: ExclusionRule,
    /// All machines with places from the asked one's up to here are barred by
    /// it too.
    pub until: u32,
}

/// A machine that is judged for one more task of a job.
#[derive(Clone, Copy)]
struct Judged<'a> {
    tree: &'a Tree,
    tally: &'a Tally,
    at: (Domain, &'a str),
    reach: Reach,
}

impl Judged<'_> {
    fn place(&self) -> Domain {
        let (place, _) = self.at;
        place
    }

    /// Its domain of a level; none if that is not known.
    fn key(&self, level: Level) -> Option<Key> {
        key(self.tree, level, self.at)
    }

    fn level_name(&self, level: Level) -> String {
        self.tree.level_name(level).to_owned()
    }

    /// The job's tasks by domain of a level.
    fn counts(&self, level: Level) -> &Counts {
        self.tally.of(level)
    }

    /// Whether a rule counts, by whether it is required.
    fn asks(&self, must: bool) -> bool {
        must || self.reach == Reach::All
    }

    /// Kept off by a rule of this level.
    fn barred(&self, level: Level, rule: ExclusionRule) -> ExcludedMachine {
        let place = self.place();
        let until = match self.tree.at(place, level) {
            _ if self.tree.is_machine(level) => place.0,
            Some(domain) => self.tree.range(domain).end,
            None => place.0 + 1,
        };
        ExcludedMachine { rule, until }
    }

    fn spread(&self, rule: &SpreadRule) -> Option<ExcludedMachine> {
        if !self.asks(rule.must) {
            return None;
        }
        let counts = self.counts(rule.level);
        let Some(key) = self.key(rule.level) else {
            // It may share a domain with any other task.
            let level = self.level_name(rule.level);
            return Some(self.barred(rule.level, ExclusionRule::UnknownDomain { level }));
        };
        let here = counts.by.get(&key).copied().unwrap_or(0);
        (here + counts.unknown >= rule.max).then(|| {
            let level = self.level_name(rule.level);
            let max = rule.max;
            self.barred(rule.level, ExclusionRule::Spread { level, max })
        })
    }

    fn together(&self, rule: &TogetherRule) -> Option<ExcludedMachine> {
        if !self.asks(rule.must) {
            return None;
        }
        let counts = self.counts(rule.level);
        let fits = self.key(rule.level).is_some_and(|key| {
            self.tally.total == 0 || counts.unknown == 0 && counts.by.contains_key(&key)
        });
        (!fits).then(|| {
            let level = self.level_name(rule.level);
            self.barred(rule.level, ExclusionRule::Together { level })
        })
    }

    fn fewest(&self, rule: &FewRule) -> Option<ExcludedMachine> {
        let counts = self.counts(rule.level);
        let used = counts.by.len() as u32 + counts.unknown;
        let known = self.key(rule.level);
        if known
            .as_ref()
            .is_some_and(|key| counts.by.contains_key(key))
        {
            return None;
        }
        let preferred = self.reach == Reach::All && (used > 0 || known.is_none());
        let required = rule.must && rule.max > 0 && (used >= rule.max || known.is_none());
        (preferred || required).then(|| {
            let level = self.level_name(rule.level);
            self.barred(rule.level, ExclusionRule::Fewest { level })
        })
    }
}

impl Policy {
    /// The rule that keeps one more task off a machine, if any does. A task
    /// whose place is not known could be in any domain.
    pub fn bars(
        &self,
        tree: &Tree,
        tally: &Tally,
        at: (Domain, &str),
        reach: Reach,
    ) -> Option<ExcludedMachine> {
        if let Some(why) = &self.unjudged {
            return Some(ExcludedMachine {
                rule: ExclusionRule::Unjudged(why.clone()),
                until: u32::MAX,
            });
        }
        let judged = Judged {
            tree,
            tally,
            at,
            reach,
        };
        let spread = self.spread.iter().find_map(|r| judged.spread(r));
        spread
            .or_else(|| self.together.iter().find_map(|r| judged.together(r)))
            .or_else(|| self.fewest.iter().find_map(|r| judged.fewest(r)))
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
        let mut max: Option<(u32, T)> = None;
        for rule in &self.spread {
            let counts = tally.of(rule.level);
            for (task, at) in tasks.clone() {
                let here = match key(tree, rule.level, at) {
                    Some(key) => counts.by.get(&key).copied().unwrap_or(0),
                    None => u32::MAX,
                };
                if here > rule.max && max.as_ref().is_none_or(|(n, _)| here > *n) {
                    max = Some((here, task));
                }
            }
        }
        max.map(|(_, task)| task)
    }
}
