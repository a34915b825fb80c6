//! Memory of the domains in which rented machines came up.
//!
//! The cloud chooses the rack of a rented machine, so the scheduler rents a machine, checks
//! its place, and keeps or returns it. The memory of earlier arrivals improves the next
//! attempt. The number of such attempts in flight is limited.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use sorrelhinge_protocol::types::{Time, TypeName, Zone};

use crate::devices::DeviceInventory;
use crate::tree::Domain;

/// Machines that the cloud rents out interchangeably: one type, one zone, spot or
/// on-demand.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachinePool {
    /// Machine type that all machines of the pool have.
    pub kind: TypeName,
    /// Zone of the pool's machines.
    pub zone: Zone,
    /// Whether the pool has spot machines.
    pub spot: bool,
}

/// Time without an arrival after which a pool is tried again, in seconds, however unlikely a useful
/// machine is. What is remembered then tells little about the next machine.
const RETRY_S: f64 = 60.0;
/// Maximum number of arrivals of machines that are remembered for each pool.
const MAX_ARRIVALS: usize = 64;

/// A rented machine that came up.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time at which the machine came up.
    pub at: Time,
    /// Domain in which the machine came up.
    pub place: Domain,
    /// Devices of the machine. The next machine in its domain may have them too, also once the
    /// machine is gone.
    pub devices: Rc<DeviceInventory>,
}

/// Recent arrivals of rented machines, by machine pool.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    arrivals: BTreeMap<MachinePool, VecDeque<Arrival>>,
}

impl Memory {
    /// Records that a machine of a pool came up.
    pub fn came(&mut self, pool: MachinePool, arrival: Arrival) {
        let arrivals = self.arrivals.entry(pool).or_default();
        arrivals.push_back(arrival);
        if arrivals.len() > MAX_ARRIVALS {
            arrivals.pop_front();
        }
    }

    /// Removes arrivals that are at least `remember_s` seconds old.
    pub fn tidy(&mut self, remember_s: f64, now: Time) {
        for arrivals in self.arrivals.values_mut() {
            arrivals.retain(|arrival| now.since(arrival.at) < remember_s);
        }
        self.arrivals.retain(|_, arrivals| !arrivals.is_empty());
    }

    /// Returns whether a pool is to be tried, because no machine of it came up lately.
    pub fn is_retry_due(&self, pool: &MachinePool, now: Time) -> bool {
        let last = self.arrivals.get(pool).and_then(VecDeque::back);
        last.is_none_or(|arrival| now.since(arrival.at) >= RETRY_S)
    }

    /// Estimates the probability that the next machine of a pool is a wanted one.
    ///
    /// The estimate is the share of wanted machines among recent arrivals. It counts one extra
    /// success and one extra failure, so that it is never exactly 0 or 1.
    pub fn chance(&self, pool: &MachinePool, wanted: &dyn Fn(&Arrival) -> bool) -> f64 {
        let arrivals = self.arrivals.get(pool);
        let (good, all) = arrivals.map_or((0, 0), |arrivals| {
            let good = arrivals.iter().filter(|arrival| wanted(arrival)).count();
            (good, arrivals.len())
        });
        (good as f64 + 1.0) / (all as f64 + 2.0)
    }
}

/// Returns how many machines to rent for `wanted` tasks that need other domains, with
/// `on_the_way` such rentals in flight.
///
/// The result brings the rentals in flight to `overshoot` at most.
pub fn tries(wanted: u32, on_the_way: u32, overshoot: u32) -> u32 {
    wanted.min(overshoot.saturating_sub(on_the_way))
}
