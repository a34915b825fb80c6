//! Packs tasks whose placement rules depend on the topology domain or the devices of a machine.
//!
//! The cloud picks the rack of a new machine. The plan therefore rents machines speculatively, and
//! each is kept or deleted once its domain is known. The number of speculative machines is bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{choose, AllocatedDevices, DeviceInventory, Unit};
use sorrelhinge_topology::policy::{MachineLocation, Policy, Reach, Tally};
use sorrelhinge_topology::renting::{tries, Arrival, MachinePool};
use sorrelhinge_topology::tree::Domain;
use sorrelhinge_topology::Topology;

use super::free_capacity::FreeCapacity;
use super::packing::{Item, Packing};
use super::Input;
use crate::scheduler::Job;
use crate::types::Zone;

/// The plan rents no speculative machine from a pool whose machines come up in an allowed domain
/// with a lower probability than this, unless a retry of the pool is due.
const MIN_PROBABILITY: f64 = 0.1;

/// Packing state of an item whose job has placement rules on domains or devices. Only required
/// rules count, because no machine is rented for a mere preference.
struct ConstrainedItem<'a> {
    item: &'a Item,
    policy: Rc<Policy>,
    topology: Rc<Topology>,
    /// Devices that each task of the item needs.
    needs: Vec<Device>,
    /// Number of tasks of the job in each topology domain, running and packed ones.
    tally: Tally,
    /// Number of tasks of the item that were packed into each zone.
    zones: BTreeMap<Zone, u32>,
    /// Maximum number of tasks of the item in one zone.
    max_in_zone: u32,
}

impl<'a> ConstrainedItem<'a> {
    /// Creates the state for an item of which no task is packed yet. Returns `None` without a
    /// topology: the controller can't judge the rules then, so it places no task and rents nothing.
    fn new(input: &Input, item: &'a Item, job: &Job) -> Option<Self> {
        let topology = input.cluster_state.topology()?.clone();
        let policy = job.policy.clone();
        let claimed = job.tasks.claims().values().map(|claim| {
            let machine = input.cluster_state.machines().get(&claim.machine)?;
            // Tasks on a draining machine move to other machines, so they don't count at this
            // place.
            (!machine.draining).then_some(MachineLocation {
                place: machine.place,
                machine: claim.machine.as_str(),
            })
        });
        let staying: Vec<_> = claimed.flatten().map(Some).collect();
        let tally = policy.tally(&topology.tree, staying);
        Some(Self {
            item,
            needs: policy.needs(Reach::Musts),
            policy,
            topology,
            tally,
            zones: BTreeMap::new(),
            max_in_zone: if item.spec.spread {
                item.spec.tasks.div_ceil(2)
            } else {
                u32::MAX
            },
        })
    }

    /// Returns whether a zone holds the maximum number of tasks of the item.
    fn is_zone_full(&self, zone: &Zone) -> bool {
        self.zones.get(zone).is_some_and(|n| *n >= self.max_in_zone)
    }

    /// Returns whether the required rules allow one more task on a machine in a domain.
    fn allows_at(&self, place: Domain, machine: &str) -> bool {
        self.policy
            .bars(
                &self.topology.tree,
                &self.tally,
                MachineLocation { place, machine },
                Reach::Musts,
            )
            .is_none()
    }

    /// Returns whether the required rules allow one more task on a machine that is up.
    fn allows(&self, free_capacity: &FreeCapacity) -> bool {
        match (free_capacity.place, &free_capacity.id) {
            (Some(place), Some(id)) => self.allows_at(place, id.as_str()),
            _ => false,
        }
    }

    /// Returns the device units that a task would use, without the units in `allocated`. Returns
    /// `None` if a needed device is missing.
    fn units(
        &self,
        free_capacity: &FreeCapacity,
        allocated: &AllocatedDevices,
    ) -> Option<Vec<Unit>> {
        choose(&free_capacity.device_inventory, allocated, &self.needs)
    }

    /// Returns whether devices suffice for a task if no other task uses them.
    fn has_devices(&self, devices: &DeviceInventory) -> bool {
        choose(devices, &AllocatedDevices::default(), &self.needs).is_some()
    }

    /// Counts one more task that is packed into a machine, in its zone and domain.
    fn count(&mut self, free_capacity: &FreeCapacity) {
        *self.zones.entry(free_capacity.zone.clone()).or_insert(0) += 1;
        if let Some(place) = free_capacity.place {
            let name = free_capacity.id.as_ref().map_or("", |id| id.as_str());
            let at = Some(MachineLocation {
                place,
                machine: name,
            });
            self.policy.count(&self.topology.tree, &mut self.tally, at);
        }
    }
}

impl Packing<'_> {
    /// Packs the tasks of an item one by one. Each task goes to a machine that is up in an allowed
    /// domain, else to a pending machine, else to a new one within the bound on speculative
    /// machines.
    pub(super) fn pack_constrained(&mut self, item: &Item, job: &Job) {
        let Some(mut constrained) = ConstrainedItem::new(self.input, item, job) else {
            return;
        };
        for left in (1..=item.tasks).rev() {
            let Some(at) = self.choose_for_constrained(&constrained, left) else {
                return;
            };
            self.take_for_constrained(at, &mut constrained);
        }
    }

    /// Returns the index of the machine for one more task, and rents one speculatively if needed.
    fn choose_for_constrained(
        &mut self,
        constrained: &ConstrainedItem,
        left: u32,
    ) -> Option<usize> {
        let spec = &constrained.item.spec;
        let excluded = |zone: &Zone| constrained.is_zone_full(zone);
        let suitable = |r: &FreeCapacity| {
            constrained.allows(r) && constrained.units(r, &r.allocated_devices).is_some()
        };
        let unlocated = |r: &FreeCapacity| r.place.is_none() && !r.speculative;
        self.fitting(spec, false, &excluded, &suitable)
            .or_else(|| self.fitting(spec, false, &excluded, &unlocated))
            .or_else(|| self.scale_out_speculatively(constrained, left))
    }

    /// Takes capacity and devices for one task from the machine at index `at`.
    fn take_for_constrained(&mut self, at: usize, constrained: &mut ConstrainedItem) {
        self.update_index(at, false);
        let free_capacity = &mut self.free_capacities[at];
        free_capacity.free -= constrained.item.spec.each;
        free_capacity.free_soon -= constrained.item.spec.each;
        free_capacity.used = true;
        let units = constrained.units(free_capacity, &free_capacity.allocated_devices);
        let certain = units.is_some() && !constrained.policy.counts();
        if let Some(units) = units {
            free_capacity.allocated_devices.take(&units);
        }
        if free_capacity.place.is_none() {
            free_capacity.speculative = !certain;
            self.speculative_machines += u32::from(!certain);
        }
        constrained.count(free_capacity);
        self.update_index(at, true);
    }

    /// Rents the machine with the lowest price per probability that it comes up in an allowed
    /// domain. Skips pools that are too unlikely. The bound on speculative machines does not apply
    /// to machines that certainly suit the task.
    fn scale_out_speculatively(
        &mut self,
        constrained: &ConstrainedItem,
        wanted: u32,
    ) -> Option<usize> {
        let overshoot = constrained.topology.settings.renting.overshoot;
        let bounded = tries(wanted, self.speculative_machines, overshoot) == 0;
        let with_devices = self.places_with_devices(constrained);
        let excluded = |zone: &Zone| constrained.is_zone_full(zone);
        let mut best: Option<(f64, FreeCapacity)> = None;
        for free_capacity in self.rentable(&constrained.item.spec, &excluded) {
            let equipped = constrained
                .units(&free_capacity, &AllocatedDevices::default())
                .is_some();
            let certain = equipped && !constrained.policy.counts();
            let may = |arrival: &Arrival| {
                constrained.allows_at(arrival.place, "")
                    && (equipped
                        || with_devices.contains(&arrival.place)
                        || constrained.has_devices(&arrival.devices))
            };
            let pool = MachinePool {
                kind: free_capacity.kind.name.clone(),
                zone: free_capacity.zone.clone(),
                spot: free_capacity.spot,
            };
            let chance = if certain {
                1.0
            } else {
                self.input.memory.chance(&pool, &may)
            };
            let unlikely =
                chance < MIN_PROBABILITY && !self.input.memory.is_retry_due(&pool, self.now);
            if unlikely || bounded && !certain {
                continue;
            }
            let score = free_capacity.price() / chance;
            if best.as_ref().is_none_or(|(s, _)| score < *s) {
                best = Some((score, free_capacity));
            }
        }
        let (_, free_capacity) = best?;
        Some(self.add_rental(free_capacity))
    }

    /// Returns the domains in which machines have the devices that the tasks need. A new machine
    /// may get devices there that its type does not include, as the machines in that domain did.
    fn places_with_devices(&self, constrained: &ConstrainedItem) -> BTreeSet<Domain> {
        if constrained.needs.is_empty() {
            return BTreeSet::new();
        }
        let equipped =
            |r: &&FreeCapacity| constrained.units(r, &AllocatedDevices::default()).is_some();
        let free_capacities = self.free_capacities.iter().filter(equipped);
        free_capacities.filter_map(|r| r.place).collect()
    }
}
