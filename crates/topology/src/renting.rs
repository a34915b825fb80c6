//! The cloud picks the rack: a machine is rented, looked at, and kept or given
//! back. What came where is remembered, so that the next try is a better one,
//! and how many are tried at a time is bounded.

use std::collections::{BTreeMap, VecDeque};

use sorrelhinge_protocol::types::{Time, TypeName, Zone};

use crate::tree::Domain;

/// Machines that the cloud offers as one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachinePool {
    /// Type.
    pub kind: TypeName,
    /// Zone.
    pub zone: Zone,
    /// Spot machines.
    pub spot: bool,
}

/// Most arrivals that are remembered of a pool.
const MAX_SEEN: usize = 64;

/// A machine that came up.
#[derive(Clone, Debug)]
struct Arrival {
    at: Time,
    place: Domain,
}

/// Where machines came up of late.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    seen: BTreeMap<MachinePool, VecDeque<Arrival>>,
}

impl Memory {
    /// A machine of a pool came up.
    pub fn came(&mut self, pool: MachinePool, place: Domain, now: Time) {
        let seen = self.seen.entry(pool).or_default();
        seen.push_back(Arrival { at: now, place });
        if seen.len() > MAX_SEEN {
            seen.pop_front();
        }
    }

    /// Forgets what came more than `remember_s` seconds ago.
    pub fn tidy(&mut self, remember_s: f64, now: Time) {
        for seen in self.seen.values_mut() {
            seen.retain(|arrival| now.since(arrival.at) < remember_s);
        }
        self.seen.retain(|_, seen| !seen.is_empty());
    }

    /// How likely the next machine of a pool comes up where it is wanted, from
    /// what came of late: the share that did, with one good and one bad try
    /// taken as seen, so that nothing is ever certain.
    pub fn chance(&self, pool: &MachinePool, wanted: &dyn Fn(Domain) -> bool) -> f64 {
        let seen = self.seen.get(pool);
        let (good, all) = seen.map_or((0, 0), |seen| {
            let good = seen.iter().filter(|arrival| wanted(arrival.place)).count();
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
