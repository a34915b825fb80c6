//! Check whether a job could ever be placed on the machines that the topology file
//! describes. The check assumes that all of them are rented and free.

use sorrelhinge_protocol::types::{JobSpec, Kind};

use super::{InfeasiblePolicy, Policy};
use crate::tree::{Domain, Level, Tree, ROOT};
use crate::Topology;

/// Part of the tree in which a job's tasks may run.
struct Bounds {
    /// Zone that the job requires, or the root. `None` means that the topology file does not
    /// name that zone, so no domain of the zone is known.
    outer: Option<Domain>,
    /// Level at which all tasks must share one domain, if there is one.
    one: Option<Level>,
}

impl Bounds {
    fn of(policy: &Policy, tree: &Tree, spec: &JobSpec) -> Self {
        let outer = match &spec.zone {
            Some(zone) => tree.find(zone.as_str()),
            None => Some(ROOT),
        };
        let one_zone = (spec.one_zone && tree.levels().len() > 1).then_some(Level(0));
        let one = policy
            .one_domain()
            .max(one_zone)
            .filter(|level| !tree.is_machine(*level));
        Self { outer, one }
    }

    fn may_contain(&self, tree: &Tree, domain: Domain) -> bool {
        self.outer
            .is_some_and(|o| tree.covers(o, domain) || tree.covers(domain, o))
    }
}

/// Returns how many tasks of a job must run at the same time. Tasks of an array can run one
/// after another.
fn tasks_at_once(spec: &JobSpec) -> u64 {
    match spec.kind {
        Kind::Array => 1,
        Kind::Service | Kind::Gang => u64::from(spec.tasks),
    }
}

impl Policy {
    /// Returns why a job can never be placed on the machines that the topology file describes,
    /// or `None` if it can.
    pub fn never(&self, topology: &Topology, spec: &JobSpec) -> Option<InfeasiblePolicy> {
        if let Some(why) = &self.unjudged {
            return Some(InfeasiblePolicy::Unjudged(why.clone()));
        }
        let tree = &topology.tree;
        let bounds = Bounds::of(self, tree, spec);
        let at_once = tasks_at_once(spec);
        self.missing_devices(topology)
            .or_else(|| self.too_little_capacity(tree, &bounds, at_once))
            .or_else(|| self.too_little_capacity_in_few(tree, &bounds, at_once))
    }

    /// Checks whether the job requires more device units than any machine has.
    fn missing_devices(&self, topology: &Topology) -> Option<InfeasiblePolicy> {
        let max = topology.max_slots();
        self.devices.iter().filter(|d| d.must).find_map(|need| {
            let there = max.get(&need.kind).copied().unwrap_or(0);
            (there < need.count).then(|| InfeasiblePolicy::Devices {
                kind: need.kind.clone(),
                count: need.count,
                max: there,
            })
        })
    }

    /// Checks whether the required rules allow too few tasks in the domain that all tasks must
    /// share.
    fn too_little_capacity(
        &self,
        tree: &Tree,
        bounds: &Bounds,
        at_once: u64,
    ) -> Option<InfeasiblePolicy> {
        let judged = self.spread.iter().any(|r| r.must) || self.one_domain().is_some();
        if !judged {
            return None;
        }
        let free_capacities: Vec<u64> = match bounds.one {
            Some(level) => self.free_capacities(tree, bounds, level),
            None => bounds
                .outer
                .map(|o| self.free_capacity(tree, o))
                .into_iter()
                .collect(),
        };
        let allowed = free_capacities.into_iter().max().unwrap_or(0);
        (allowed < at_once).then_some(InfeasiblePolicy::Tasks { at_once, allowed })
    }

    /// Checks whether the required rules allow too few tasks in the limited number of domains
    /// that the job may use.
    fn too_little_capacity_in_few(
        &self,
        tree: &Tree,
        bounds: &Bounds,
        at_once: u64,
    ) -> Option<InfeasiblePolicy> {
        let few = self.fewest.iter().find(|r| r.must && r.max > 0);
        let rule = few.filter(|r| !tree.is_machine(r.level))?;
        let mut free_capacities = self.free_capacities(tree, bounds, rule.level);
        free_capacities.sort_unstable_by(|a, b| b.cmp(a));
        let allowed = free_capacities
            .into_iter()
            .take(rule.max as usize)
            .fold(0, u64::saturating_add);
        (allowed < at_once).then(|| InfeasiblePolicy::TasksInFewDomains {
            at_once,
            allowed,
            max_domains: rule.max,
            level: tree.level_name(rule.level).to_owned(),
        })
    }

    /// Returns how many tasks can run at the same time in each allowed domain of a level.
    fn free_capacities(&self, tree: &Tree, bounds: &Bounds, level: Level) -> Vec<u64> {
        tree.domains(level)
            .filter(|d| bounds.may_contain(tree, *d))
            .map(|d| self.free_capacity(tree, d))
            .collect()
    }

    /// Returns how many tasks of the job can run in `domain` at the same time if all its
    /// machines are rented and free.
    fn free_capacity(&self, tree: &Tree, domain: Domain) -> u64 {
        let own = |level: Level| {
            let rules = self.spread.iter().filter(|r| r.must && r.level == level);
            rules.map(|r| u64::from(r.max)).min()
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
                let next = level.map_or(Level(0), Level::inner);
                let range = tree.range(domain);
                tree.domains(next)
                    .filter(|d| range.contains(d))
                    .map(|d| self.free_capacity(tree, d))
                    .fold(0, u64::saturating_add)
            }
        };
        level.and_then(own).unwrap_or(u64::MAX).min(inner)
    }
}
