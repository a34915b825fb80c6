//! Choice of the machines on which capacity is reserved for windows.

use std::collections::BTreeMap;

use super::{Reservation, ReservedCapacity};
use crate::scheduler::{ClusterState, Machine};
use crate::types::{Amount, Image, MachineId, Time, Zone};

/// A machine that can hold tasks of a window. The lowest candidate in sort order is chosen
/// first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Candidate<'a> {
    /// Number of the window's images that the machine lacks.
    absent_images: usize,
    /// Whether the machine held no capacity for the window before.
    newly_reserved: bool,
    /// Index of the machine's type in the window's list of allowed types.
    type_rank: usize,
    id: &'a MachineId,
    /// Number of tasks that fit on the machine.
    tasks: u32,
}

/// The sort key of the order in which windows get machines, lowest first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct WindowOrder {
    /// Whether the window's reservation exceeds the guarantee of its team.
    beyond_guarantee: bool,
    window: String,
}

/// Candidates by zone, the best last. All candidates have the key `None` if the window lists
/// no zones to spread over.
type CandidatesByZone<'a> = BTreeMap<Option<Zone>, Vec<Candidate<'a>>>;

impl ClusterState {
    /// Replaces all reservations and chooses the machines for them.
    pub fn set_reservations(&mut self, reservations: Vec<Reservation>, now: Time) {
        let mut before = std::mem::take(&mut self.reservations.by_window);
        for reservation in reservations {
            let name = reservation.window.name.clone();
            let placed = before
                .remove(&name)
                .map_or(BTreeMap::new(), |reserved| reserved.placed);
            let mut reserved = ReservedCapacity {
                reservation,
                used: Amount::default(),
                placed,
            };
            for job in self.jobs.values() {
                if reserved.is_for(job.team, &job.spec) {
                    reserved.used += job.spec.each.times(job.tasks.claims().len() as i64);
                }
            }
            self.reservations.by_window.insert(name, reserved);
        }
        self.assign_machines(now);
    }

    /// Chooses machines for all windows, spread over the zones of each window. Prefers
    /// machines that have the window's images, then machines that held capacity for the window
    /// before.
    fn assign_machines(&mut self, now: Time) {
        // If machines are scarce, windows within their team's guarantee get machines first.
        let mut order: Vec<WindowOrder> = self
            .reservations
            .by_window
            .iter()
            .map(|(name, reserved)| {
                let all = self.teams[reserved.reservation.team].used + reserved.open_amount();
                let beyond = !all.fits_team(self.teams[reserved.reservation.team].guarantee);
                WindowOrder {
                    beyond_guarantee: beyond,
                    window: name.clone(),
                }
            })
            .collect();
        order.sort();
        let mut old = BTreeMap::new();
        for (name, reserved) in &mut self.reservations.by_window {
            old.insert(name.clone(), std::mem::take(&mut reserved.placed));
        }
        for WindowOrder { window: name, .. } in order {
            let before = old.remove(&name).unwrap_or_default();
            let placed = self.choose_machines(&name, &before, now);
            if let Some(reserved) = self.reservations.by_window.get_mut(&name) {
                reserved.placed = placed;
            }
        }
    }

    /// Chooses machines for the capacity that a window needs in addition to the capacity in
    /// use. Takes each machine from the zone with the fewest of the window's tasks.
    fn choose_machines(
        &self,
        name: &str,
        before: &BTreeMap<MachineId, u32>,
        now: Time,
    ) -> BTreeMap<MachineId, u32> {
        let mut placed = BTreeMap::new();
        let reserved = self.reservations.by_window.get(name);
        let Some(reserved) = reserved.filter(|reserved| reserved.open() > 0) else {
            return placed;
        };
        let mut queues = self.reservation_candidates(reserved, before, now);
        let zoned = !reserved.reservation.window.zones.is_empty();
        let mut counts = self.used_in_zones(reserved, zoned);
        for _ in 0..reserved.open() {
            queues.retain(|_, queue| !queue.is_empty());
            let emptiest = queues
                .keys()
                .min_by_key(|zone| counts.get(*zone).copied().unwrap_or(0));
            let Some(zone) = emptiest.cloned() else { break };
            let Some(queue) = queues.get_mut(&zone) else {
                break;
            };
            let Some(best) = queue.last_mut() else {
                break;
            };
            *placed.entry(best.id.clone()).or_insert(0) += 1;
            best.tasks -= 1;
            if best.tasks == 0 {
                queue.pop();
            }
            *counts.entry(zone).or_insert(0) += 1;
        }
        placed
    }

    /// Returns the machines that can hold tasks of a window, by zone.
    fn reservation_candidates(
        &self,
        reserved: &ReservedCapacity,
        before: &BTreeMap<MachineId, u32>,
        now: Time,
    ) -> CandidatesByZone<'_> {
        let window = &reserved.reservation.window;
        let zoned = !window.zones.is_empty();
        let mut queues = CandidatesByZone::new();
        for (id, m) in &self.machines {
            let tasks = window
                .each()
                .how_many(self.reservable_capacity(reserved, id, m, now));
            if tasks == 0 {
                continue;
            }
            let absent = window
                .images
                .iter()
                .filter(|i| !m.cache.has(&Image::from(i.as_str())));
            let type_rank = window.types.iter().position(|t| t == m.kind.name.as_str());
            let candidate = Candidate {
                absent_images: absent.count(),
                newly_reserved: !before.contains_key(id),
                type_rank: type_rank.unwrap_or(0),
                id,
                tasks,
            };
            let queue = queues.entry(zoned.then(|| m.zone.clone())).or_default();
            queue.push(candidate);
        }
        for queue in queues.values_mut() {
            // The caller takes the best candidate from the end.
            queue.sort_by(|a, b| b.cmp(a));
        }
        queues
    }

    /// Returns the number of claimed tasks of a window's work in each zone. Returns an empty
    /// map if `zoned` is not set.
    pub(in crate::scheduler) fn used_in_zones(
        &self,
        reserved: &ReservedCapacity,
        zoned: bool,
    ) -> BTreeMap<Option<Zone>, u32> {
        let mut counts = BTreeMap::new();
        if !zoned {
            return counts;
        }
        let work = self
            .jobs
            .values()
            .filter(|j| reserved.is_for(j.team, &j.spec));
        for claim in work.flat_map(|j| j.tasks.claims().values()) {
            if let Some(m) = self.machines.get(&claim.machine) {
                *counts.entry(Some(m.zone.clone())).or_insert(0) += 1;
            }
        }
        counts
    }

    /// Returns the capacity of a machine that can be reserved for a window: the free capacity
    /// and the capacity that tasks of other work free in time.
    fn reservable_capacity(
        &self,
        reserved: &ReservedCapacity,
        id: &MachineId,
        m: &Machine,
        now: Time,
    ) -> Amount {
        let window = &reserved.reservation.window;
        // The cloud may revoke spot machines at any time, and not all work may use them.
        if !m.usable || m.spot || !window.allows(m.kind.name.as_str(), m.zone.as_str()) {
            return Amount::default();
        }
        let mut free_capacity = m.free();
        for task in &m.claims {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let claim = job.tasks.claims().get(&task.index);
            let leaves = !reserved.is_for(job.team, &job.spec)
                && (claim.is_some_and(|c| c.stop.is_some())
                    || self.lends(reserved, job, claim, m, now));
            if leaves {
                free_capacity += job.spec.each;
            }
        }
        for other in self.reservations.by_window.values() {
            if other.reservation.window.name != window.name {
                let there = other.placed.get(id).copied().unwrap_or(0);
                free_capacity -= other.amount_of_tasks(there);
            }
        }
        if let Some(reserved) = self.gang_free_capacity.get(id) {
            free_capacity -= reserved.amount;
        }
        free_capacity
    }

    /// Reserves capacity that came free on a machine for windows that still lack capacity,
    /// before other work takes it.
    pub fn refill_reservations(&mut self, id: &MachineId, now: Time) {
        let missing_tasks = self
            .reservations
            .by_window
            .iter()
            .filter(|(_, reserved)| reserved.shortfall() > 0);
        let names: Vec<String> = missing_tasks.map(|(name, _)| name.clone()).collect();
        for name in names {
            let (Some(reserved), Some(m)) = (
                self.reservations.by_window.get(&name),
                self.machines.get(id),
            ) else {
                return;
            };
            let more = self.more_to_reserve(reserved, id, m, now);
            if more > 0 {
                if let Some(reserved) = self.reservations.by_window.get_mut(&name) {
                    *reserved.placed.entry(id.clone()).or_insert(0) += more;
                }
            }
        }
    }

    /// Returns the number of further tasks of a window to reserve on a machine, within the
    /// share of the machine's zone.
    fn more_to_reserve(
        &self,
        reserved: &ReservedCapacity,
        id: &MachineId,
        m: &Machine,
        now: Time,
    ) -> u32 {
        let window = &reserved.reservation.window;
        let here = reserved.placed.get(id).copied().unwrap_or(0);
        let fit = window
            .each()
            .how_many(self.reservable_capacity(reserved, id, m, now));
        let more = fit.saturating_sub(here).min(reserved.shortfall());
        if window.zones.is_empty() {
            return more;
        }
        let share = reserved
            .reservation
            .tasks
            .div_ceil(window.zones.len() as u32);
        let in_same_zone =
            |other: &MachineId| self.machines.get(other).is_some_and(|o| o.zone == m.zone);
        let placed = reserved.placed.iter();
        let in_zone: u32 = placed
            .filter(|(other, _)| in_same_zone(other))
            .map(|(_, n)| n)
            .sum();
        more.min(share.saturating_sub(in_zone))
    }
}
