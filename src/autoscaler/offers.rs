//! What the cloud offers, and which of it is the cheapest for some work.

use std::rc::Rc;

use super::free_capacity::FreeCapacity;
use super::packing::{Item, Packing};
use crate::types::{JobSpec, Kind, MachineType, Zone};

/// How much dearer a machine counts for a service in a zone without a controller.
const UNSERVED: f64 = 2.0;
/// Most machines in one request.
pub(super) const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// How much dearer a machine counts for each other one in its zone: among equals the zone
/// with the fewest machines, so that work spreads.
const CROWD: f64 = 1e-4;

impl Packing<'_> {
    /// A machine of a sort, with the devices that all of its type have.
    pub(super) fn new_machine_capacity(
        &self,
        kind: &Rc<MachineType>,
        zone: &Zone,
        spot: bool,
    ) -> FreeCapacity {
        let mut free_capacity = FreeCapacity::new(kind.clone(), zone.clone(), spot);
        if let Some(topology) = self.input.cluster_state.topology() {
            free_capacity.device_inventory =
                Rc::new(topology.device_inventory("", None, &kind.name));
        }
        free_capacity
    }

    /// Machines that suit a task and that can be rented now.
    pub(super) fn rentable<'s>(
        &'s self,
        spec: &'s JobSpec,
        barred: &'s dyn Fn(&Zone) -> bool,
    ) -> impl Iterator<Item = FreeCapacity> + 's {
        let types = self.input.types.iter().filter(|t| t.total.cpu > 0);
        types
            .flat_map(move |kind| {
                let zones = kind.zones.iter().filter(move |z| !barred(z));
                zones.flat_map(move |zone| {
                    [true, false].map(|spot| self.new_machine_capacity(kind, zone, spot))
                })
            })
            .filter(move |free_capacity| {
                free_capacity.suits(spec)
                    && self.rent.get(&free_capacity.pool()).copied().unwrap_or(0)
                        < MAX_MACHINES_PER_RENTAL
                    && (self.input.open)(
                        &free_capacity.kind.name,
                        &free_capacity.zone,
                        free_capacity.spot,
                    )
            })
    }

    /// Rents a machine.
    pub(super) fn add_rental(&mut self, free_capacity: FreeCapacity) -> usize {
        *self.rent.entry(free_capacity.pool()).or_insert(0) += 1;
        self.add(free_capacity)
    }

    /// The cheapest machine for an item of which `left_cpu` thousandths of a CPU are still
    /// to be packed.
    pub(super) fn cheapest(
        &self,
        item: &Item,
        left_cpu: i64,
        barred: &dyn Fn(&Zone) -> bool,
    ) -> Option<FreeCapacity> {
        let spec = &item.spec;
        let mut best: Option<(f64, FreeCapacity)> = None;
        for free_capacity in self.rentable(spec, barred) {
            if spec.spot
                && !free_capacity.spot
                && !item.late
                && self.total_cpu >= self.guaranteed_cpu
            {
                // Dear: only for what the teams were promised, or for
                // a queue that spot machines have not kept short.
                continue;
            }
            let score = self.price_of_use(&free_capacity, spec, left_cpu);
            if best.as_ref().is_none_or(|(s, _)| score < *s) {
                best = Some((score, free_capacity));
            }
        }
        best.map(|(_, free_capacity)| free_capacity)
    }

    /// A machine's price by what of it will be of use now.
    fn price_of_use(&self, free_capacity: &FreeCapacity, spec: &JobSpec, left_cpu: i64) -> f64 {
        let useful = free_capacity
            .kind
            .total
            .cpu
            .min(left_cpu.max(spec.each.cpu))
            .max(1);
        let crowd = self.crowd.get(&free_capacity.zone).copied().unwrap_or(0);
        let apart =
            spec.kind == Kind::Service && !self.input.cluster_state.is_served(&free_capacity.zone);
        let apart = if apart { UNSERVED } else { 1.0 };
        free_capacity.price() / useful as f64 * (1.0 + CROWD * f64::from(crowd)) * apart
    }
}
