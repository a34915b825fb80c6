//! Lists the machines that can be rented from the cloud, and chooses the cheapest one for an item.

use std::rc::Rc;

use super::free_capacity::FreeCapacity;
use super::packing::{Item, Packing};
use crate::types::{JobSpec, Kind, MachineType, Zone};

/// Price factor of a machine in a zone without a controller, for tasks of a service.
const UNSERVED_ZONE_PRICE_FACTOR: f64 = 2.0;
/// Maximum number of machines in one rental request.
pub(super) const MAX_MACHINES_PER_RENTAL: u32 = 50;

/// Price increase of a machine for each other machine in its zone, as a share of the price. At
/// equal prices the zone with the fewest machines wins, so work spreads over the zones.
const CROWDED_ZONE_PRICE_INCREASE: f64 = 1e-4;

impl Packing<'_> {
    /// Returns the capacity of an empty machine, with the devices that all machines of its type
    /// have.
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

    /// Returns the machines that suit a task and that can be rented now.
    pub(super) fn rentable<'s>(
        &'s self,
        spec: &'s JobSpec,
        excluded: &'s dyn Fn(&Zone) -> bool,
    ) -> impl Iterator<Item = FreeCapacity> + 's {
        let types = self.input.types.iter().filter(|t| t.total.cpu > 0);
        types
            .flat_map(move |kind| {
                let zones = kind.zones.iter().filter(move |z| !excluded(z));
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

    /// Adds a machine to the rentals of the plan, and returns its index in `free_capacities`.
    pub(super) fn add_rental(&mut self, free_capacity: FreeCapacity) -> usize {
        *self.rent.entry(free_capacity.pool()).or_insert(0) += 1;
        self.add(free_capacity)
    }

    /// Returns the cheapest machine to rent for an item. `left_cpu` is the part of the item that is
    /// not packed yet, in thousandths of a CPU.
    pub(super) fn cheapest(
        &self,
        item: &Item,
        left_cpu: i64,
        excluded: &dyn Fn(&Zone) -> bool,
    ) -> Option<FreeCapacity> {
        let spec = &item.spec;
        let mut best: Option<(f64, FreeCapacity)> = None;
        for free_capacity in self.rentable(spec, excluded) {
            if spec.spot
                && !free_capacity.spot
                && !item.late
                && self.total_cpu >= self.guaranteed_cpu
            {
                // Ordinary (non-spot) machines are expensive. Work that may use spot machines gets
                // them only up to the CPU that is guaranteed to the teams, or if spot machines have
                // not kept its queue short.
                continue;
            }
            let score = self.price_of_use(&free_capacity, spec, left_cpu);
            if best.as_ref().is_none_or(|(s, _)| score < *s) {
                best = Some((score, free_capacity));
            }
        }
        best.map(|(_, free_capacity)| free_capacity)
    }

    /// Returns the price of a machine per thousandth of a CPU that the item will use now.
    fn price_of_use(&self, free_capacity: &FreeCapacity, spec: &JobSpec, left_cpu: i64) -> f64 {
        let useful = free_capacity
            .kind
            .total
            .cpu
            .min(left_cpu.max(spec.each.cpu))
            .max(1);
        let machines_in_zone = self
            .machines_by_zone
            .get(&free_capacity.zone)
            .copied()
            .unwrap_or(0);
        let unserved_zone =
            spec.kind == Kind::Service && !self.input.cluster_state.is_served(&free_capacity.zone);
        let unserved_zone = if unserved_zone {
            UNSERVED_ZONE_PRICE_FACTOR
        } else {
            1.0
        };
        free_capacity.price() / useful as f64
            * (1.0 + CROWDED_ZONE_PRICE_INCREASE * f64::from(machines_in_zone))
            * unserved_zone
    }
}
