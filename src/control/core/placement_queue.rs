//! This module queues the machines on which capacity became free. The scheduler visits them in
//! order of their names.

use std::collections::BTreeSet;
use std::ops::Bound;

use crate::scheduler::Pass;
use crate::types::{MachineId, Time};

/// Time for which placement walks share the same [`Pass`], in seconds. A placement walk places
/// waiting tasks on one machine or on all machines. The pass is state that takes longer to compute
/// than the rest of a walk.
const PASS_LIFETIME_S: f64 = 0.2;

/// Machines that may have capacity for tasks now.
pub(super) struct PlacementQueue {
    /// Machines on which capacity became free.
    machines: BTreeSet<MachineId>,
    /// Machine that was taken last. The next machine is the one after it by name, so no machine
    /// waits forever while capacity becomes free on others.
    last_taken: MachineId,
    /// Whether the next placement walk offers all machines to the waiting jobs.
    full_walk: bool,
    /// State that the current scans for places share. A scan (placement walk) places waiting tasks
    /// on one machine or on all. `None` before the first scan.
    pass: Option<CurrentPass>,
}

/// State that scans for places (placement walks) share for a short time, because it takes long to
/// compute. `begun` is the time at which it was created.
struct CurrentPass {
    begun: Time,
    pass: Pass,
}

impl Default for PlacementQueue {
    fn default() -> Self {
        Self {
            machines: BTreeSet::new(),
            last_taken: MachineId::from(""),
            full_walk: true,
            pass: None,
        }
    }
}

impl PlacementQueue {
    /// Adds a machine on which capacity became free.
    pub(super) fn add(&mut self, machine: MachineId) {
        self.machines.insert(machine);
    }

    /// Returns the queued machines in order of their names.
    pub(super) fn iter(&self) -> impl Iterator<Item = &MachineId> {
        self.machines.iter()
    }

    /// Removes and returns the next machine on which tasks are to be placed. This is the first one
    /// by name after the last one taken, or else the first one of all.
    pub(super) fn take_next(&mut self) -> Option<MachineId> {
        let after = (Bound::Excluded(&self.last_taken), Bound::Unbounded);
        let next = self.machines.range(after).next().cloned();
        let machine = next.or_else(|| self.machines.first().cloned())?;
        self.machines.remove(&machine);
        self.last_taken = machine.clone();
        Some(machine)
    }

    /// Requests a placement walk (a scan that places waiting tasks) over all machines, because work
    /// arrived or capacity became free.
    pub(super) fn request_full_walk(&mut self) {
        self.full_walk = true;
    }

    /// Returns whether a placement walk over all machines is due.
    pub(super) fn full_walk_is_due(&self) -> bool {
        self.full_walk
    }

    /// Returns whether a placement walk over all machines is due, and clears the request.
    pub(super) fn take_full_walk(&mut self) -> bool {
        std::mem::take(&mut self.full_walk)
    }

    /// Replaces the state that all placement walks (scans that place waiting tasks) share, if it is
    /// too old.
    pub(super) fn refresh_pass(&mut self, now: Time) {
        let begun = self.pass.as_ref().map(|current| current.begun);
        if begun.is_none_or(|at| now.since(at) >= PASS_LIFETIME_S) {
            self.pass = Some(CurrentPass {
                begun: now,
                pass: Pass::default(),
            });
        }
    }

    /// Returns the state that all placement walks (scans that place waiting tasks) share now.
    pub(super) fn pass(&self) -> Option<&Pass> {
        self.pass.as_ref().map(|current| &current.pass)
    }
}
