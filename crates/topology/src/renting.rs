//! The cloud picks the rack: a machine is rented, looked at, and kept or given
//! back. What came where is remembered, so that the next try is a better one,
//! and how many are tried at a time is bounded.

use std::collections::{BTreeMap, VecDeque};

use sorrelhinge_protocol::types::{Time, TypeName, Zone};

use crate::tree::Domain;

/// What is asked of the cloud: type, zone, spot.
pub type Sort = (TypeName, Zone, bool);

const MAX_SEEN: usize = 64;

/// Where machines came up of late.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    seen: BTreeMap<Sort, VecDeque<(Time, Domain)>>,
}

impl Memory {
    /// A machine came up.
    pub fn came(&mut self, sort: Sort, place: Domain, now: Time) {
        let seen = self.seen.entry(sort).or_default();
        seen.push_back((now, place));
        if seen.len() > MAX_SEEN {
            seen.pop_front();
        }
    }

    /// Forgets what came more than `remember_s` seconds ago.
    pub fn tidy(&mut self, remember_s: f64, now: Time) {
        for seen in self.seen.values_mut() {
            seen.retain(|(t, _)| now.since(*t) < remember_s);
        }
        self.seen.retain(|_, seen| !seen.is_empty());
    }

    /// How likely the next machine of a sort comes up where it is wanted, from
    /// what came of late: the share that did, with one good and one bad try
    /// taken as seen, so that nothing is ever certain.
    pub fn chance(&self, sort: &Sort, wanted: &dyn Fn(Domain) -> bool) -> f64 {
        let seen = self.seen.get(sort);
        let (good, all) = seen.map_or((0, 0), |seen| {
            let good = seen.iter().filter(|(_, place)| wanted(*place)).count();
            (good, seen.len())
        });
        (good as f64 + 1.0) / (all as f64 + 2.0)
    }
}

/// How many machines to rent for `wanted` tasks that need other domains, when
/// so many such tries are on their way: never more than the bound.
pub fn tries(wanted: u32, on_the_way: u32, overshoot: u32) -> u32 {
    wanted.min(overshoot.saturating_sub(on_the_way))
}
