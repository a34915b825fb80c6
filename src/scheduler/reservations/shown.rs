//! Queries about reserved capacity, for the release calendar and the autoscaler.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_reservations::plan::divide;
use sorrelhinge_reservations::settings::Window;

use crate::scheduler::{ClusterState, Job, Machine};
use crate::types::{Amount, MachineId, Zone};

/// The capacity that a window has in this shard, as numbers of the window's tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReservationStatus {
    /// Tasks that machines reserve capacity for.
    pub reserved_tasks: u32,
    /// Tasks among `reserved_tasks` whose capacity is free now.
    pub free: u32,
    /// Tasks that correspond to the capacity in use by the window's work.
    pub used: u32,
    /// Tasks to reserve capacity for in addition to `used`.
    pub open: u32,
}

/// Capacity reserved for a window on a machine.
#[derive(Clone, Copy, Debug)]
pub struct ReservedOnMachine<'a> {
    /// Window that the capacity is reserved for.
    pub window: &'a Rc<Window>,
    /// Machine that holds the reservation.
    pub machine: &'a MachineId,
    /// Number of the window's tasks that the reserved capacity holds.
    pub tasks: u32,
}

impl ReservedOnMachine<'_> {
    /// Returns the window and the machine as a key.
    pub fn key(&self) -> ReservationKey {
        ReservationKey {
            window: self.window.name.clone(),
            machine: self.machine.clone(),
        }
    }
}

/// The key of a reservation for one window on one machine.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReservationKey {
    /// Name of the window.
    pub window: String,
    /// Machine that holds the reservation.
    pub machine: MachineId,
}

/// Number of tasks that each machine reserves capacity for, by window.
pub type ReservedTasks = BTreeMap<ReservationKey, u32>;

/// The tasks in a zone that a window lacks reserved capacity for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MissingTasks {
    /// Zone, or `None` if the window is not spread over zones.
    pub zone: Option<Zone>,
    /// Number of the window's tasks without reserved capacity.
    pub tasks: u32,
}

impl ClusterState {
    /// Returns all capacity reserved for windows, sorted by window and machine.
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

    /// Returns the number of a job's pending tasks that fit in the capacity reserved for the
    /// job's window, and subtracts their capacity from `left`. The caller fills `left` from
    /// [`ClusterState::reserved_capacity`] before the first job.
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
            // Subtracts the capacity that the covered tasks will use.
            let takes = job.spec.each.times(i64::from(fits));
            let rest = each.how_many(each.times(i64::from(*n)) - takes);
            *n = rest.min(*n);
            covered += fits;
        }
        covered
    }

    /// Returns the status of a window's reservation in this shard. Returns `None` if the
    /// window has no reservation.
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

    /// Returns the tasks that a window lacks reserved capacity for, in each of its zones.
    /// Returns a single entry if nothing is missing or if the window is not spread over zones.
    pub fn missing_tasks(&self, name: &str) -> Vec<MissingTasks> {
        let Some(reserved) = self.reservations.by_window.get(name) else {
            return Vec::new();
        };
        let shortfall = reserved.shortfall();
        let zones = &reserved.reservation.window.zones;
        if zones.is_empty() || shortfall == 0 {
            return vec![MissingTasks {
                zone: None,
                tasks: shortfall,
            }];
        }
        let mut counts = self.used_in_zones(reserved, true);
        for (id, n) in &reserved.placed {
            if let Some(m) = self.machines.get(id) {
                *counts.entry(Some(m.zone.clone())).or_insert(0) += n;
            }
        }
        let mut left = shortfall;
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
