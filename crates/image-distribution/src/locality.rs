//! Sources by failure domain, so that the nearest with an upload slot is found
//! without a look at all machines.

use std::collections::{BTreeSet, HashMap};

/// A machine's stay in a rollout. One that left and came back is another seat: what
/// was planned with the first must not be taken for the second.
pub(crate) type Seat = u64;
/// A domain: all machines, a zone, a rack, a switch.
pub(crate) type Domain = usize;
/// All machines.
pub(crate) const ALL: Domain = 0;

/// What sources are ordered by: uploads under way, machines between them and the
/// image, then who came first, so that all draw the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    pub load: u32,
    pub depth: u32,
    pub seat: Seat,
}

#[derive(Clone, Debug)]
struct Part {
    within: Domain,
    /// Looked up only, never gone through: its order is not the same twice.
    names: HashMap<Box<str>, Domain>,
    sources: BTreeSet<Rank>,
}

impl Part {
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
    parts: Vec<Part>,
}

impl Default for Locality {
    fn default() -> Self {
        Self {
            parts: vec![Part::of(ALL)],
        }
    }
}

impl Locality {
    /// The innermost domain of a path, the zone first.
    pub(crate) fn domain(&mut self, path: &[String]) -> Domain {
        let mut at = ALL;
        for name in path {
            at = if let Some(inner) = self.parts[at].names.get(name.as_str()) {
                *inner
            } else {
                let new = self.parts.len();
                self.parts.push(Part::of(at));
                self.parts[at].names.insert(name.as_str().into(), new);
                new
            };
        }
        at
    }
    /// A domain and those around it, from the inside, without [`ALL`].
    pub(crate) fn around(&self, domain: Domain) -> impl Iterator<Item = Domain> + '_ {
        let wider = move |d: &Domain| Some(self.parts[*d].within);
        std::iter::successors(Some(domain), wider).take_while(|d| *d != ALL)
    }
    /// The zone of a domain; [`ALL`] if none is known.
    pub(crate) fn zone(&self, domain: Domain) -> Domain {
        self.around(domain).last().unwrap_or(ALL)
    }
    /// A machine hands on from now on.
    pub(crate) fn insert(&mut self, domain: Domain, rank: Rank) {
        self.each(domain, |sources| sources.insert(rank));
    }
    /// A machine hands on no more, or with another rank.
    pub(crate) fn remove(&mut self, domain: Domain, rank: Rank) {
        self.each(domain, |sources| sources.remove(&rank));
    }
    /// Many sources at once, into an empty index: a set built whole takes a tenth
    /// of the time, and a successor has 10,000.
    pub(crate) fn fill(&mut self, ranks: &[(Domain, Rank)]) {
        let mut of = vec![Vec::new(); self.parts.len()];
        for (domain, rank) in ranks {
            for d in self.around(*domain) {
                of[d].push(*rank);
            }
            of[ALL].push(*rank);
        }
        for (part, ranks) in self.parts.iter_mut().zip(of) {
            part.sources = ranks.into_iter().collect();
        }
    }
    /// The sources of a domain, the best first.
    pub(crate) fn of(&self, domain: Domain) -> impl Iterator<Item = Rank> + '_ {
        self.parts[domain].sources.iter().copied()
    }

    /// Changes the sources of a domain and of all around it.
    fn each(&mut self, domain: Domain, change: impl Fn(&mut BTreeSet<Rank>) -> bool) {
        let mut at = domain;
        while at != ALL {
            change(&mut self.parts[at].sources);
            at = self.parts[at].within;
        }
        change(&mut self.parts[ALL].sources);
    }
}
