//! Capacity that existing machines reserve for windows of the release calendar.
//!
//! Only the window's own work uses reserved capacity, unless the capacity is lent
//! ([`sorrelhinge_reservations::lend`]). Reserved capacity counts in the limit of its team.
//! No record names the machines of a reservation. Each shard owner chooses them again from
//! the heartbeats of its machines.

mod lending;
mod placement;
mod shown;

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_reservations::settings::Window;

pub use self::shown::{
    MissingTasks, ReservationKey, ReservationStatus, ReservedOnMachine, ReservedTasks,
};
use crate::types::{Amount, JobSpec, MachineId, Time};

/// Conditions for lending reserved capacity, see
/// [`may_lend`](sorrelhinge_reservations::lend::may_lend).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lending {
    /// Earliest time at which the window may begin, given the clock error, less the window's
    /// `early_s`.
    pub until: Time,
    /// Seconds from the decision to stop a task until the task receives the command.
    pub stop_s: f64,
    /// Seconds that the window's work may wait for capacity.
    pub wait_s: f64,
}

/// Capacity to reserve for a window in this shard.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// Window of the release calendar.
    pub window: Rc<Window>,
    /// Index of the window's team in `ClusterState::teams`.
    pub team: usize,
    /// Number of the window's tasks to reserve capacity for, including the tasks whose
    /// capacity is in use.
    pub tasks: u32,
    /// Conditions for lending the reserved capacity.
    pub lending: Lending,
}

/// A reservation and the machines that hold it.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ReservedCapacity {
    pub(in crate::scheduler) reservation: Reservation,
    /// Sum of the claims of the window's work.
    used: Amount,
    /// Number of tasks that capacity is reserved for, by machine.
    pub(in crate::scheduler) placed: BTreeMap<MachineId, u32>,
}

impl ReservedCapacity {
    /// Returns whether a job of a team is part of the window's work.
    pub(in crate::scheduler) fn is_for(&self, team: usize, spec: &JobSpec) -> bool {
        self.reservation.team == team && self.reservation.window.is_for(&spec.team, &spec.class)
    }

    /// Returns the capacity to reserve in addition to the capacity in use.
    pub(in crate::scheduler) fn open_amount(&self) -> Amount {
        self.amount_of_tasks(self.open())
    }

    /// Returns the capacity that a number of the window's tasks need.
    pub(in crate::scheduler) fn amount_of_tasks(&self, tasks: u32) -> Amount {
        self.reservation.window.each().times(i64::from(tasks))
    }

    /// Returns the number of tasks of the window's size that correspond to the capacity in use,
    /// rounded up.
    pub(in crate::scheduler) fn used_tasks(&self) -> u32 {
        let each = self.reservation.window.each();
        let of = |used: i64, each: i64| match each {
            0 => 0,
            each => (used.max(0) + each - 1) / each,
        };
        let max = of(self.used.cpu, each.cpu)
            .max(of(self.used.gpu, each.gpu))
            .max(of(self.used.ram, each.ram));
        u32::try_from(max).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks to reserve capacity for, in addition to the capacity in use.
    pub(in crate::scheduler) fn open(&self) -> u32 {
        self.reservation.tasks.saturating_sub(self.used_tasks())
    }

    /// Returns the number of tasks that capacity is still to be reserved for.
    pub(in crate::scheduler) fn shortfall(&self) -> u32 {
        self.open().saturating_sub(self.reserved_tasks())
    }

    /// Returns the number of tasks that capacity is reserved for.
    pub(in crate::scheduler) fn reserved_tasks(&self) -> u32 {
        self.placed.values().sum()
    }

    /// Releases capacity that is reserved beyond the number that [`Self::open`] returns.
    /// Releases it on the machine `first` before others.
    fn release_excess(&mut self, first: &MachineId) {
        let mut over = self.reserved_tasks().saturating_sub(self.open());
        while over > 0 {
            let at = if self.placed.contains_key(first) {
                Some(first.clone())
            } else {
                self.placed.keys().next_back().cloned()
            };
            let Some(at) = at else { return };
            if let Some(n) = self.placed.get_mut(&at) {
                let released = (*n).min(over);
                over -= released;
                *n -= released;
                if *n == 0 {
                    self.placed.remove(&at);
                }
            }
        }
    }
}

/// All reservations for windows.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Reservations {
    /// Reservations by the name of their window.
    pub(in crate::scheduler) by_window: BTreeMap<String, ReservedCapacity>,
}

impl Reservations {
    /// Counts a placed task of a window's work as used, and releases as much of the window's
    /// reserved capacity, on the task's machine first.
    pub(super) fn taken(&mut self, team: usize, spec: &JobSpec, machine: &MachineId) {
        for reserved in self
            .by_window
            .values_mut()
            .filter(|reserved| reserved.is_for(team, spec))
        {
            reserved.used += spec.each;
            reserved.release_excess(machine);
        }
    }

    /// Counts an ended task of a window's work as no longer used.
    pub(super) fn left(&mut self, team: usize, spec: &JobSpec) {
        for reserved in self
            .by_window
            .values_mut()
            .filter(|reserved| reserved.is_for(team, spec))
        {
            reserved.used -= spec.each;
        }
    }

    /// Removes a machine from all reservations.
    pub(super) fn drop_machine(&mut self, id: &MachineId) {
        for reserved in self.by_window.values_mut() {
            reserved.placed.remove(id);
        }
    }
}
