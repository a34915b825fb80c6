//! Capacity reserved for windows of the release calendar, on machines that are there.
//!
//! Reserved capacity is taken by nobody but the window's own work, unless it is lent
//! ([`sorrelhinge_reservations::lend`]); it counts in its team's limit. Where it is,
//! no record says: each owner chooses anew, from its machines' heartbeats.

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

/// To what work reserved capacity may be lent, see [`may_lend`](sorrelhinge_reservations::lend::may_lend).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Lending {
    /// When its window begins, as early as clocks may say and less its `early_s`.
    pub until: Time,
    /// Seconds until a task that is to stop has the command.
    pub stop_s: f64,
    /// How long the window's work may wait, in seconds.
    pub wait_s: f64,
}

/// How much free capacity a window is to have here.
#[derive(Clone, Debug, PartialEq)]
pub struct Reservation {
    /// The window.
    pub window: Rc<Window>,
    /// Its team's place in `ClusterState::teams`.
    pub team: usize,
    /// For how many tasks, with what its work uses.
    pub tasks: u32,
    /// To whom it may be lent.
    pub lending: Lending,
}

/// What a window is to have, and on which machines it is reserved.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct ReservedCapacity {
    pub(in crate::scheduler) reservation: Reservation,
    /// What the claims of its window's work take.
    used: Amount,
    /// For how many tasks capacity is reserved, by machine.
    pub(in crate::scheduler) placed: BTreeMap<MachineId, u32>,
}

impl ReservedCapacity {
    /// Whether a team's job is of its window's work.
    pub(in crate::scheduler) fn is_for(&self, team: usize, spec: &JobSpec) -> bool {
        self.reservation.team == team && self.reservation.window.is_for(&spec.team, &spec.class)
    }

    /// What is to be reserved beside what is used.
    pub(in crate::scheduler) fn open_amount(&self) -> Amount {
        self.free_capacity_of(self.open())
    }

    /// What so many of its tasks take.
    pub(in crate::scheduler) fn free_capacity_of(&self, tasks: u32) -> Amount {
        self.reservation.window.each().times(i64::from(tasks))
    }

    /// So many of its tasks take what its work uses.
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

    /// What is to be reserved beside what is used.
    pub(in crate::scheduler) fn open(&self) -> u32 {
        self.reservation.tasks.saturating_sub(self.used_tasks())
    }

    /// For how many tasks capacity is still to be reserved.
    pub(in crate::scheduler) fn shortfalls(&self) -> u32 {
        self.open().saturating_sub(self.reserved_tasks())
    }

    /// For how many tasks capacity is reserved.
    pub(in crate::scheduler) fn reserved_tasks(&self) -> u32 {
        self.placed.values().sum()
    }

    /// Releases what is reserved beyond what is due, on `first` first.
    fn trim(&mut self, first: &MachineId) {
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

/// All reservations, by their windows' names.
#[derive(Clone, Debug, Default)]
pub(in crate::scheduler) struct Reservations {
    pub(in crate::scheduler) by_window: BTreeMap<String, ReservedCapacity>,
}

impl Reservations {
    /// Work was placed: its window needs as much less reserved.
    pub(super) fn taken(&mut self, team: usize, spec: &JobSpec, machine: &MachineId) {
        for reserved in self
            .by_window
            .values_mut()
            .filter(|reserved| reserved.is_for(team, spec))
        {
            reserved.used += spec.each;
            reserved.trim(machine);
        }
    }

    /// Work has ended.
    pub(super) fn left(&mut self, team: usize, spec: &JobSpec) {
        for reserved in self
            .by_window
            .values_mut()
            .filter(|reserved| reserved.is_for(team, spec))
        {
            reserved.used -= spec.each;
        }
    }

    /// A machine is removed.
    pub(super) fn drop_machine(&mut self, id: &MachineId) {
        for reserved in self.by_window.values_mut() {
            reserved.placed.remove(id);
        }
    }
}
