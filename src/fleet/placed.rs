//! Packing work whose rules look at where machines are, or at devices. The
//! cloud picks the rack, so a machine is rented in hope, looked at, and kept or
//! given back; how many are hoped for at a time is bounded.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use sorrelhinge_topology::devices::{choose, Held};
use sorrelhinge_topology::policy::{Policy, Reach, Tally};
use sorrelhinge_topology::renting::tries;
use sorrelhinge_topology::tree::Domain;
use sorrelhinge_topology::Topology;

use super::packing::{Item, Packing, Room, MOST_RENTED};
use crate::sched::Job;
use crate::types::{MachineType, Zone};

/// Types and zones that hardly ever bring what is wanted are not tried, until
/// what was seen is forgotten.
const LEAST_CHANCE: f64 = 0.1;

impl Packing<'_> {
    /// A machine of a sort, with the devices that all of its type have.
    pub(super) fn new_room(&self, kind: &Rc<MachineType>, zone: &Zone, spot: bool) -> Room {
        let mut room = Room::new(kind.clone(), zone.clone(), spot);
        if let Some(topology) = self.input.cluster_state.topology() {
            room.stock = Rc::new(topology.stock("", None, &kind.name));
        }
        room
    }

    /// Packs tasks one by one: into machines whose place their rules allow;
    /// else into ones that are on their way, in hope; else into new ones, as
    /// many as the bound allows. Only required rules are worth money.
    pub(super) fn pack_placed(&mut self, item: &Item, job: &Job) {
        let Some(topology) = self.input.cluster_state.topology().cloned() else {
            // Nothing is placed by a controller that can't judge, so nothing
            // is rented for it either.
            return;
        };
        let policy = job.policy.clone();
        let spec = &item.spec;
        let needs = policy.needs(Reach::Musts);
        let there = job.tasks.claims().values().map(|claim| {
            let machine = self.input.cluster_state.machines().get(&claim.machine)?;
            // What is to move off a draining machine does not stay there.
            (!machine.draining).then_some((machine.place, claim.machine.as_str()))
        });
        let staying: Vec<_> = there.flatten().map(Some).collect();
        let mut tally = policy.tally(&topology.tree, staying);
        let mut zones: BTreeMap<Zone, u32> = BTreeMap::new();
        let most = match spec.spread {
            true => spec.tasks.div_ceil(2),
            false => u32::MAX,
        };
        for left in (1..=item.tasks).rev() {
            let barred = |z: &Zone| zones.get(z).is_some_and(|n| *n >= most);
            let allowed = |room: &Room| allows(&policy, &topology, &tally, room);
            let fits = |room: &Room| choose(&room.stock, &room.held, &needs).is_some();
            let known = self.fitting(spec, false, &barred, &|r| allowed(r) && fits(r));
            let coming = |r: &Room| r.place.is_none() && !r.hoped;
            let chosen = known
                .or_else(|| self.fitting(spec, false, &barred, &coming))
                .or_else(|| self.rent_in_hope(item, left, &policy, &tally, &topology, &barred));
            let Some(at) = chosen else { return };
            self.file(at, false);
            let room = &mut self.rooms[at];
            room.free -= spec.each;
            room.soon -= spec.each;
            room.used = true;
            let units = choose(&room.stock, &room.held, &needs);
            let sure = units.is_some() && !policy.counts();
            if let Some(units) = units {
                room.held.take(&units);
            }
            *zones.entry(room.zone.clone()).or_insert(0) += 1;
            match room.place {
                Some(place) => {
                    let name = room.id.as_ref().map_or("", |id| id.as_str());
                    policy.count(&topology.tree, &mut tally, Some((place, name)));
                }
                None => {
                    room.hoped = !sure;
                    self.hoped += u32::from(!sure);
                }
            }
            self.file(at, true);
        }
    }

    /// Rents the machine that most likely comes up where a task may go, for
    /// its price.
    fn rent_in_hope(
        &mut self,
        item: &Item,
        wanted: u32,
        policy: &Policy,
        tally: &Tally,
        topology: &Topology,
        barred: &dyn Fn(&Zone) -> bool,
    ) -> Option<usize> {
        let overshoot = topology.settings.renting.overshoot;
        let bounded = tries(wanted, self.hoped, overshoot) == 0;
        let needs = policy.needs(Reach::Musts);
        // Devices that a type does not bring by itself are where others of the
        // kind are.
        let with_devices: BTreeSet<Domain> = match needs.is_empty() {
            true => BTreeSet::new(),
            false => self
                .rooms
                .iter()
                .filter(|r| choose(&r.stock, &Held::default(), &needs).is_some())
                .filter_map(|r| r.place)
                .collect(),
        };
        let mut best: Option<(f64, Room)> = None;
        for kind in self.input.types.iter().filter(|t| t.total.cpu > 0) {
            for zone in kind.zones.iter().filter(|z| !barred(z)) {
                for spot in [true, false] {
                    let room = self.new_room(kind, zone, spot);
                    let key = (spot, kind.name.clone(), zone.clone());
                    let asked = self.rent.get(&key).copied().unwrap_or(0);
                    let open = (self.input.open)(&kind.name, zone, spot);
                    if !room.suits(&item.spec) || asked >= MOST_RENTED || !open {
                        continue;
                    }
                    let equipped = choose(&room.stock, &Held::default(), &needs).is_some();
                    let may = |place: Domain| {
                        let free = policy
                            .bars(&topology.tree, tally, (place, ""), Reach::Musts)
                            .is_none();
                        free && (equipped || with_devices.contains(&place))
                    };
                    let sort = (kind.name.clone(), zone.clone(), spot);
                    let certain = equipped && !policy.counts();
                    let chance = match certain {
                        true => 1.0,
                        false => self.input.memory.chance(&sort, &may),
                    };
                    if chance < LEAST_CHANCE || bounded && !certain {
                        continue;
                    }
                    let price = if spot { kind.spot_price } else { kind.price };
                    let score = price / chance;
                    if best.as_ref().is_none_or(|(s, _)| score < *s) {
                        best = Some((score, room));
                    }
                }
            }
        }
        let (_, room) = best?;
        let key = (room.spot, room.kind.name.clone(), room.zone.clone());
        *self.rent.entry(key).or_insert(0) += 1;
        Some(self.add(room))
    }
}

/// Whether a job's required rules allow one more task on a machine that is up.
fn allows(policy: &Policy, topology: &Topology, tally: &Tally, room: &Room) -> bool {
    let (Some(place), Some(id)) = (room.place, &room.id) else {
        return false;
    };
    policy
        .bars(&topology.tree, tally, (place, id.as_str()), Reach::Musts)
        .is_none()
}
