//! Until when tasks may be started by what is known of the records.
//!
//! Invariant: no task is started at or after the bound. One that starts later could be
//! on its machine after `cancel_s`, if its job was cancelled through another controller
//! meanwhile.

use std::collections::BTreeSet;

use crate::types::{MachineId, Time};

/// The bound on starts, and where starts wait for a later one.
#[derive(Debug)]
pub(super) struct StartPermission {
    until: Time,
    /// Machines on which starts were due after it.
    withheld: BTreeSet<MachineId>,
}

impl StartPermission {
    /// No bound, until one is set.
    pub(super) fn unbounded() -> Self {
        Self {
            until: Time(f64::INFINITY),
            withheld: BTreeSet::new(),
        }
    }

    /// Whether tasks may be started now.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Starts are due on a machine and may not be sent.
    pub(super) fn withhold(&mut self, machine: MachineId) {
        self.withheld.insert(machine);
    }

    /// Sets the bound. The machines on which starts were withheld, if they may be sent.
    pub(super) fn set(&mut self, until: Time, now: Time) -> BTreeSet<MachineId> {
        self.until = until;
        if self.is_valid(now) {
            std::mem::take(&mut self.withheld)
        } else {
            BTreeSet::new()
        }
    }
}
