//! Machines on which capacity became free, to be walked one after the other by name.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::scheduler::Pass;
use crate::types::{MachineId, Time};

/// For so long walks share what they have in common, in seconds.
const PASS_S: f64 = 0.2;

/// Machines where tasks may find a place now.
pub(super) struct PlacementQueue {
    /// Machines where capacity became free.
    machines: BTreeSet<MachineId>,
    /// The one that was taken last: the next one is behind it by name, so that none
    /// waits for ever while capacity becomes free on others.
    last: MachineId,
    /// Waiting jobs are to be offered all machines.
    full_walk: bool,
    /// None: no walk was begun yet.
    pass: Option<CurrentPass>,
}

/// What the walks of a short time share.
struct CurrentPass {
    begun: Time,
    pass: Pass,
}

impl Default for PlacementQueue {
    fn default() -> Self {
        Self {
            machines: BTreeSet::new(),
            last: MachineId::from(""),
            full_walk: true,
            pass: None,
        }
    }
}

impl PlacementQueue {
    /// Capacity became free on a machine.
    pub(super) fn add(&mut self, machine: MachineId) {
        self.machines.insert(machine);
    }

    /// The machines that wait to be walked, by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// The next machine to walk: by name after the last one, then from the first.
    pub(super) fn take_next(&mut self) -> Option<MachineId> {
        let after = (Bound::Excluded(&self.last), Bound::Unbounded);
        let next = self.machines.range(after).next().cloned();
        let machine = next.or_else(|| self.machines.first().cloned())?;
        self.machines.remove(&machine);
        self.last = machine.clone();
        Some(machine)
    }

    /// Work arrived or free capacity appeared: all machines are to be walked.
    pub(super) fn request_full_walk(&mut self) {
        self.full_walk = true;
    }

    /// Whether all machines are to be walked.
    pub(super) fn full_walk_is_due(&self) -> bool {
        self.full_walk
    }

    /// Whether all machines are to be walked; they are now.
    pub(super) fn take_full_walk(&mut self) -> bool {
        std::mem::take(&mut self.full_walk)
    }

    /// Begins a new pass if the present one is too old.
    pub(super) fn refresh_pass(&mut self, now: Time) {
        let begun = self.pass.as_ref().map(|current| current.begun);
        if begun.is_none_or(|at| now.since(at) >= PASS_S) {
            self.pass = Some(CurrentPass {
                begun: now,
                pass: Pass::default(),
            });
        }
    }

    /// What walks share in the present pass.
    pub(super) fn pass(&self) -> Option<&Pass> {
        self.pass.as_ref().map(|current| &current.pass)
    }
}
