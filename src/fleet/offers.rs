//! What the cloud offers, and which of it is the cheapest for some work.

use std::rc::Rc;

use super::packing::{Item, Packing};
use super::room::Room;
use crate::types::{JobSpec, Kind, MachineType, Zone};

/// How much dearer a machine counts for a service in a zone without a controller.
const UNSERVED: f64 = 2.0;
/// Most machines in one request.
pub(super) const MOST_RENTED: u32 = 50;

/// How much dearer a machine counts for each other one in its zone: among equals the zone
/// with the fewest machines, so that work spreads.
const CROWD: f64 = 1e-4;

impl Packing<'_> {
    /// A machine of a sort, with the devices that all of its type have.
    pub(super) fn new_room(&self, kind: &Rc<MachineType>, zone: &Zone, spot: bool) -> Room {
        let mut room = Room::new(kind.clone(), zone.clone(), spot);
        if let Some(topology) = self.input.cluster_state.topology() {
            room.stock = Rc::new(topology.stock("", None, &kind.name));
        }
        room
    }

    /// Machines that suit a task and that can be rented now.
    pub(super) fn rentable<'s>(
        &'s self,
        spec: &'s JobSpec,
        barred: &'s dyn Fn(&Zone) -> bool,
    ) -> impl Iterator<Item = Room> + 's {
        let types = self.input.types.iter().filter(|t| t.total.cpu > 0);
        types
            .flat_map(move |kind| {
                let zones = kind.zones.iter().filter(move |z| !barred(z));
                zones
                    .flat_map(move |zone| [true, false].map(|spot| self.new_room(kind, zone, spot)))
            })
            .filter(move |room| {
                room.suits(spec)
                    && self.rent.get(&room.pool()).copied().unwrap_or(0) < MOST_RENTED
                    && (self.input.open)(&room.kind.name, &room.zone, room.spot)
            })
    }

    /// Rents a machine.
    pub(super) fn rent_room(&mut self, room: Room) -> usize {
        *self.rent.entry(room.pool()).or_insert(0) += 1;
        self.add(room)
    }

    /// The cheapest machine for an item of which `left_cpu` thousandths of a CPU are still
    /// to be packed.
    pub(super) fn cheapest(
        &self,
        item: &Item,
        left_cpu: i64,
        barred: &dyn Fn(&Zone) -> bool,
    ) -> Option<Room> {
        let spec = &item.spec;
        let mut best: Option<(f64, Room)> = None;
        for room in self.rentable(spec, barred) {
            if spec.spot && !room.spot && !item.late && self.total_cpu >= self.guaranteed_cpu {
                // Dear: only for what the teams were promised, or for
                // a queue that spot machines have not kept short.
                continue;
            }
            let score = self.price_of_use(&room, spec, left_cpu);
            if best.as_ref().is_none_or(|(s, _)| score < *s) {
                best = Some((score, room));
            }
        }
        best.map(|(_, room)| room)
    }

    /// A machine's price by what of it will be of use now.
    fn price_of_use(&self, room: &Room, spec: &JobSpec, left_cpu: i64) -> f64 {
        let useful = room.kind.total.cpu.min(left_cpu.max(spec.each.cpu)).max(1);
        let crowd = self.crowd.get(&room.zone).copied().unwrap_or(0);
        let apart = spec.kind == Kind::Service && !self.input.cluster_state.is_served(&room.zone);
        let apart = if apart { UNSERVED } else { 1.0 };
        room.price() / useful as f64 * (1.0 + CROWD * f64::from(crowd)) * apart
    }
}
