//! Index of sources by failure domain. It finds the nearest source with an upload slot
//! without a search of all machines.

use std::collections::{BTreeSet, HashMap};

/// Number of a machine's membership in a rollout. A machine that left and came back gets a
/// new number, so that plans made with the old membership don't apply to the new one.
pub(crate) type MemberId = u64;
/// Index of a failure domain: all machines, a zone, a rack or a switch.
pub(crate) type Domain = usize;
/// The outermost domain, which contains all machines.
pub(crate) const ALL: Domain = 0;

/// Order of sources: by uploads in flight, then by the number of machines between the
/// source and a complete copy, then by the time of joining. The last makes the order the
/// same in every process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub load: u32,
    pub depth: u32,
    pub member: MemberId,
}

#[derive(Clone, Debug)]
struct DomainEntry {
    within: Domain,
    /// Inner domains by name. The map is only used for look-ups and never iterated, because
    /// its order differs between runs.
    names: HashMap<Box<str>, Domain>,
    sources: BTreeSet<Rank>,
}

impl DomainEntry {
    fn of(within: Domain) -> Self {
        Self {
            within,
            names: HashMap::new(),
            sources: BTreeSet::new(),
        }
    }
}

#[derive(Clone, Debug)]
pub(crate) struct Locality {
    domains: Vec<DomainEntry>,
}

impl Default for Locality {
    fn default() -> Self {
        Self {
            domains: vec![DomainEntry::of(ALL)],
        }
    }
}

impl Locality {
    /// Returns the innermost domain of a path that starts with the zone. Adds the domains
    /// that don't exist yet.
    pub(crate) fn domain(&mut self, path: &[String]) -> Domain {
        let mut at = ALL;
        for name in path {
            at = if let Some(inner) = self.domains[at].names.get(name.as_str()) {
                *inner
            } else {
                let new = self.domains.len();
                self.domains.push(DomainEntry::of(at));
                self.domains[at].names.insert(name.as_str().into(), new);
                new
            };
        }
        at
    }
    /// Returns a domain and the domains that contain it, from the inside out, without
    /// [`ALL`].
    pub(crate) fn enclosing(&self, domain: Domain) -> impl Iterator<Item = Domain> + '_ {
        let wider = move |d: &Domain| Some(self.domains[*d].within);
        std::iter::successors(Some(domain), wider).take_while(|d| *d != ALL)
    }
    /// Returns the zone that contains a domain, or [`ALL`] if the zone is not known.
    pub(crate) fn zone(&self, domain: Domain) -> Domain {
        self.enclosing(domain).last().unwrap_or(ALL)
    }
    /// Adds a machine to the sources of its domain and of all domains that contain it.
    pub(crate) fn insert(&mut self, domain: Domain, rank: Rank) {
        self.update_enclosing(domain, |sources| sources.insert(rank));
    }
    /// Removes a machine that is no longer a source, or that gets another rank.
    pub(crate) fn remove(&mut self, domain: Domain, rank: Rank) {
        self.update_enclosing(domain, |sources| sources.remove(&rank));
    }
    /// Adds many sources at once to an empty index. Building each set whole takes a tenth
    /// of the time, and a new owner has 10,000 sources to add.
    pub(crate) fn fill(&mut self, ranks: &[(Domain, Rank)]) {
        let mut of = vec![Vec::new(); self.domains.len()];
        for (domain, rank) in ranks {
            for d in self.enclosing(*domain) {
                of[d].push(*rank);
            }
            of[ALL].push(*rank);
        }
        for (entry, ranks) in self.domains.iter_mut().zip(of) {
            entry.sources = ranks.into_iter().collect();
        }
    }
    /// Returns the sources of a domain, the best one first.
    pub(crate) fn of(&self, domain: Domain) -> impl Iterator<Item = Rank> + '_ {
        self.domains[domain].sources.iter().copied()
    }

    /// Applies a change to the sources of a domain and of all domains that contain it.
    fn update_enclosing(&mut self, domain: Domain, change: impl Fn(&mut BTreeSet<Rank>) -> bool) {
        let mut at = domain;
        while at != ALL {
            change(&mut self.domains[at].sources);
            at = self.domains[at].within;
        }
        change(&mut self.domains[ALL].sources);
    }
}
