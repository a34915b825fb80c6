//! What is reserved for windows, as the release calendar and the autoscaler ask for it.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_reservations::plan::divide;
use sorrelhinge_reservations::settings::Window;

use crate::scheduler::{ClusterState, Job, Machine};
use crate::types::{Amount, MachineId, Zone};

/// For how many of its tasks a window has capacity here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationStatus {
    /// Reserved on machines.
    pub reserved_tasks: u32,
    /// Of it, what is free now.
    pub free: u32,
    /// What its work uses.
    pub used: u32,
    /// What is to be reserved beside it.
    pub open: u32,
}

/// Capacity reserved for a window on a machine.
#[derive(Clone, Copy, Debug)]
pub struct ReservedOnMachine<'a> {
    /// The window.
    pub window: &'a Rc<Window>,
    /// The machine.
    pub machine: &'a MachineId,
    /// For how many of the window's tasks.
    pub tasks: u32,
}

impl ReservedOnMachine<'_> {
    /// Which window and machine.
    pub fn key(&self) -> ReservationKey {
        ReservationKey {
            window: self.window.name.clone(),
            machine: self.machine.clone(),
        }
    }
}

/// A window and a machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationKey {
    /// The window's name.
    pub window: String,
    /// The machine.
    pub machine: MachineId,
}

/// For how many tasks each window has capacity reserved on each machine.
pub type ReservedTasks = BTreeMap<ReservationKey, u32>;

/// What a window lacks in a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingTasks {
    /// The zone; none: the window is not spread over zones.
    pub zone: Option<Zone>,
    /// For how many of its tasks nothing is reserved.
    pub tasks: u32,
}

impl ClusterState {
    /// All capacity reserved for windows, in the order of windows and machines.
    pub fn reserved_capacity(&self) -> impl Iterator<Item = ReservedOnMachine<'_>> {
        self.reservations.by_window.values().flat_map(|reserved| {
            let window = &reserved.reservation.window;
            let placed = reserved.placed.iter();
            placed.map(move |(machine, &tasks)| ReservedOnMachine {
                window,
                machine,
                tasks,
            })
        })
    }

    /// How many tasks of a job find capacity that is reserved for its window; takes them
    /// off `left`, which begins as [`ClusterState::reserved_capacity`].
    pub fn covered(&self, job: &Job, left: &mut ReservedTasks) -> u32 {
        let mut covered = 0;
        let pending = job.tasks.pending();
        for (key, n) in left.iter_mut() {
            let reserved = self.reservations.by_window.get(&key.window);
            let Some(reserved) = reserved.filter(|r| r.is_for(job.team, &job.spec)) else {
                continue;
            };
            let machine = self.machines.get(&key.machine);
            if covered >= pending || !machine.is_some_and(|m| Self::suits(&job.spec, m)) {
                continue;
            }
            let each = reserved.reservation.window.each();
            let fits = job
                .spec
                .each
                .how_many(each.times(i64::from(*n)))
                .min(pending - covered);
            // So much of the free capacity is spoken for.
            let takes = job.spec.each.times(i64::from(fits));
            let rest = each.how_many(each.times(i64::from(*n)) - takes);
            *n = rest.min(*n);
            covered += fits;
        }
        covered
    }

    /// What a window has here; none if nothing is to be reserved for it.
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

    /// What a window lacks in each of its zones; one entry if it is not spread over zones.
    pub fn missing_tasks(&self, name: &str) -> Vec<MissingTasks> {
        let Some(reserved) = self.reservations.by_window.get(name) else {
            return Vec::new();
        };
        let shortfalls = reserved.shortfalls();
        let zones = &reserved.reservation.window.zones;
        if zones.is_empty() || shortfalls == 0 {
            return vec![MissingTasks {
                zone: None,
                tasks: shortfalls,
            }];
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
                let tasks = share.saturating_sub(has).min(left);
                left -= tasks;
                MissingTasks { zone, tasks }
            })
            .collect()
    }
}
