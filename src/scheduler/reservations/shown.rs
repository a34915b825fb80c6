//! What is held for windows, as the release calendar and the fleet ask for it.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_reservations::plan::divide;
use sorrelhinge_reservations::settings::Window;

use crate::scheduler::{ClusterState, Job, Machine};
use crate::types::{Amount, MachineId, Zone};

/// What a window has here, in tasks' room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationStatus {
    /// Set aside on machines.
    pub reserved_tasks: u32,
    /// Of it, what is free now.
    pub free: u32,
    /// What its work uses.
    pub used: u32,
    /// What is to be set aside beside it.
    pub open: u32,
}

impl ClusterState {
    /// All room set aside: the window, the machine, how many tasks' room.
    pub fn reserved_capacity(&self) -> impl Iterator<Item = (&Rc<Window>, &MachineId, u32)> {
        self.reservations.by_window.values().flat_map(|h| {
            let window = &h.reservation.window;
            h.placed.iter().map(move |(id, n)| (window, id, *n))
        })
    }

    /// Of what is held, how many tasks of a job will find room there; notes it
    /// in `left`, which begins as [`ClusterState::reserved_capacity`].
    pub fn covered(&self, job: &Job, left: &mut BTreeMap<(String, MachineId), u32>) -> u32 {
        let mut covered = 0;
        let wanted = job.tasks.pending();
        for ((name, id), n) in left.iter_mut() {
            let Some(reserved) = self
                .reservations
                .by_window
                .get(name)
                .filter(|h| h.is_for(job.team, &job.spec))
            else {
                continue;
            };
            if covered >= wanted
                || !self
                    .machines
                    .get(id)
                    .is_some_and(|m| Self::suits(&job.spec, m))
            {
                continue;
            }
            let each = reserved.reservation.window.each();
            let fits = job
                .spec
                .each
                .how_many(each.times(i64::from(*n)))
                .min(wanted - covered);
            // So much of the free capacity is spoken for.
            let takes = job.spec.each.times(i64::from(fits));
            let rest = each.how_many(each.times(i64::from(*n)) - takes);
            *n = rest.min(*n);
            covered += fits;
        }
        covered
    }

    /// What a window has: tasks' room set aside, of it what is free now, what its
    /// work uses, and how many of its tasks wait.
    pub fn reservation_of(&self, name: &str) -> Option<ReservationStatus> {
        let reserved = self.reservations.by_window.get(name)?;
        let each = reserved.reservation.window.each();
        let free = reserved.placed.iter().map(|(id, n)| {
            let free = self
                .machines
                .get(id)
                .map_or(Amount::default(), Machine::free);
            each.how_many(free).min(*n)
        });
        Some(ReservationStatus {
            reserved_tasks: reserved.reserved_tasks(),
            free: free.sum(),
            used: reserved.used_tasks(),
            open: reserved.open(),
        })
    }

    /// How much of a hold each of its zones lacks; without zones, of it as a whole.
    pub fn missing_tasks(&self, name: &str) -> Vec<(Option<Zone>, u32)> {
        let Some(reserved) = self.reservations.by_window.get(name) else {
            return Vec::new();
        };
        let shortfalls = reserved.shortfalls();
        let zones = &reserved.reservation.window.zones;
        if zones.is_empty() || shortfalls == 0 {
            return vec![(None, shortfalls)];
        }
        let mut counts = self.used_in_zones(reserved, true);
        for (id, n) in &reserved.placed {
            if let Some(m) = self.machines.get(id) {
                *counts.entry(Some(m.zone.clone())).or_insert(0) += n;
            }
        }
        let mut left = shortfalls;
        let shares = divide(reserved.reservation.tasks, zones.len() as u32);
        zones
            .iter()
            .zip(shares)
            .map(|(zone, share)| {
                let zone = Some(Zone::from(zone.as_str()));
                let has = counts.get(&zone).copied().unwrap_or(0);
                let wants = share.saturating_sub(has).min(left);
                left -= wants;
                (zone, wants)
            })
            .collect()
    }
}
