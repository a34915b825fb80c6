//! Time until which an owner may start tasks, given the records that it has read.
//!
//! Invariant: no task is started at or after the bound. A task that starts later could be on
//! its machine after `cancel_s` if its job was cancelled through another controller in the
//! meantime.

use std::collections::BTreeSet;

use crate::types::{MachineId, Time};

/// Time until which the owner may send start commands, and the machines whose start commands are
/// held back because that time has passed.
#[derive(Debug)]
pub(super) struct StartPermission {
    until: Time,
    /// Machines on which start commands were due when the owner was not allowed to start tasks any
    /// more.
    withheld: BTreeSet<MachineId>,
}

impl StartPermission {
    /// Returns a permission to start tasks without a time limit.
    pub(super) fn unbounded() -> Self {
        Self {
            until: Time(f64::INFINITY),
            withheld: BTreeSet::new(),
        }
    }

    /// Returns whether tasks may be started now.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        now < self.until
    }

    /// Records a machine on which start commands are due and may not be sent.
    pub(super) fn withhold(&mut self, machine: MachineId) {
        self.withheld.insert(machine);
    }

    /// Sets the time until which tasks may be started. If start commands may be sent now, returns
    /// the machines for which they were held back.
    pub(super) fn set(&mut self, until: Time, now: Time) -> BTreeSet<MachineId> {
        self.until = until;
        if self.is_valid(now) {
            std::mem::take(&mut self.withheld)
        } else {
            BTreeSet::new()
        }
    }
}
