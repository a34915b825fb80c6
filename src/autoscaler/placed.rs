//! Packing work whose rules look at where machines are, or at devices. The
//! cloud picks the rack, so a machine is rented in hope, looked at, and kept or
//! given back; how many are hoped for at a time is bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{choose, AllocatedDevices, Unit};
use sorrelhinge_topology::policy::{MachineLocation, Policy, Reach, Tally};
use sorrelhinge_topology::renting::{tries, MachinePool};
use sorrelhinge_topology::tree::Domain;
use sorrelhinge_topology::Topology;

use super::free_capacity::FreeCapacity;
use super::packing::{Item, Packing};
use super::Input;
use crate::scheduler::Job;
use crate::types::Zone;

/// Types and zones that hardly ever bring what is wanted are not tried, until
/// what was seen is forgotten.
const MIN_PROBABILITY: f64 = 0.1;

/// An item whose job's rules look at where machines are, or at devices, as far as it is
/// packed. Only required rules are worth money.
struct PlacedItem<'a> {
    item: &'a Item,
    policy: Rc<Policy>,
    topology: Rc<Topology>,
    /// Devices that each task needs.
    needs: Vec<Device>,
    /// Where the job's tasks are and will be.
    tally: Tally,
    /// How many of the item's tasks were packed into each zone, and how many may be.
    zones: BTreeMap<Zone, u32>,
    max_in_zone: u32,
}

impl<'a> PlacedItem<'a> {
    /// Nothing of it is packed yet. None: nothing is placed by a controller that can't
    /// judge, so nothing is rented for it either.
    fn new(input: &Input, item: &'a Item, job: &Job) -> Option<Self> {
        let topology = input.cluster_state.topology()?.clone();
        let policy = job.policy.clone();
        let there = job.tasks.claims().values().map(|claim| {
            let machine = input.cluster_state.machines().get(&claim.machine)?;
            // What is to move off a draining machine does not stay there.
            (!machine.draining).then_some(MachineLocation {
                place: machine.place,
                machine: claim.machine.as_str(),
            })
        });
        let staying: Vec<_> = there.flatten().map(Some).collect();
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

    /// Whether a zone has as many of its tasks as it may.
    fn bars_zone(&self, zone: &Zone) -> bool {
        self.zones.get(zone).is_some_and(|n| *n >= self.max_in_zone)
    }

    /// Whether the required rules allow one more task at a place.
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

    /// Whether they allow one more task on a machine that is up.
    fn allows(&self, free_capacity: &FreeCapacity) -> bool {
        match (free_capacity.place, &free_capacity.id) {
            (Some(place), Some(id)) => self.allows_at(place, id.as_str()),
            _ => false,
        }
    }

    /// The units that a task would use, beside those in use; none if one is missing.
    fn units(
        &self,
        free_capacity: &FreeCapacity,
        reserved: &AllocatedDevices,
    ) -> Option<Vec<Unit>> {
        choose(&free_capacity.device_inventory, reserved, &self.needs)
    }

    /// Counts a task that is packed into a machine.
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
    /// Packs tasks one by one: into machines whose place their rules allow;
    /// else into ones that are on their way, in hope; else into new ones, as
    /// many as the bound allows.
    pub(super) fn pack_placed(&mut self, item: &Item, job: &Job) {
        let Some(mut placed) = PlacedItem::new(self.input, item, job) else {
            return;
        };
        for left in (1..=item.tasks).rev() {
            let Some(at) = self.choose_for_placed(&placed, left) else {
                return;
            };
            self.take_for_placed(at, &mut placed);
        }
    }

    /// The machine for one more task, there or rented in hope.
    fn choose_for_placed(&mut self, placed: &PlacedItem, left: u32) -> Option<usize> {
        let spec = &placed.item.spec;
        let barred = |zone: &Zone| placed.bars_zone(zone);
        let known = |r: &FreeCapacity| placed.allows(r) && placed.units(r, &r.reserved).is_some();
        let to_be_rented = |r: &FreeCapacity| r.place.is_none() && !r.hoped;
        self.fitting(spec, false, &barred, &known)
            .or_else(|| self.fitting(spec, false, &barred, &to_be_rented))
            .or_else(|| self.scale_out_speculatively(placed, left))
    }

    /// Takes capacity for one task.
    fn take_for_placed(&mut self, at: usize, placed: &mut PlacedItem) {
        self.file(at, false);
        let free_capacity = &mut self.free_capacities[at];
        free_capacity.free -= placed.item.spec.each;
        free_capacity.soon -= placed.item.spec.each;
        free_capacity.used = true;
        let units = placed.units(free_capacity, &free_capacity.reserved);
        let sure = units.is_some() && !placed.policy.counts();
        if let Some(units) = units {
            free_capacity.reserved.take(&units);
        }
        if free_capacity.place.is_none() {
            free_capacity.hoped = !sure;
            self.hoped += u32::from(!sure);
        }
        placed.count(free_capacity);
        self.file(at, true);
    }

    /// Rents the machine that most likely comes up where a task may go, for
    /// its price.
    fn scale_out_speculatively(&mut self, placed: &PlacedItem, wanted: u32) -> Option<usize> {
        let overshoot = placed.topology.settings.renting.overshoot;
        let bounded = tries(wanted, self.hoped, overshoot) == 0;
        let with_devices = self.places_with_devices(placed);
        let barred = |zone: &Zone| placed.bars_zone(zone);
        let mut best: Option<(f64, FreeCapacity)> = None;
        for free_capacity in self.rentable(&placed.item.spec, &barred) {
            let equipped = placed
                .units(&free_capacity, &AllocatedDevices::default())
                .is_some();
            let certain = equipped && !placed.policy.counts();
            let may = |place: Domain| {
                placed.allows_at(place, "") && (equipped || with_devices.contains(&place))
            };
            let chance = if certain {
                1.0
            } else {
                let pool = MachinePool {
                    kind: free_capacity.kind.name.clone(),
                    zone: free_capacity.zone.clone(),
                    spot: free_capacity.spot,
                };
                self.input.memory.chance(&pool, &may)
            };
            if chance < MIN_PROBABILITY || bounded && !certain {
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

    /// Where machines have the devices that the tasks need: those that a type does not
    /// bring by itself are where others of the kind are.
    fn places_with_devices(&self, placed: &PlacedItem) -> BTreeSet<Domain> {
        if placed.needs.is_empty() {
            return BTreeSet::new();
        }
        let equipped = |r: &&FreeCapacity| placed.units(r, &AllocatedDevices::default()).is_some();
        let free_capacities = self.free_capacities.iter().filter(equipped);
        free_capacities.filter_map(|r| r.place).collect()
    }
}
