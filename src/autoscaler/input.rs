//! What a plan is made from.

use std::rc::Rc;

use sorrelhinge_topology::renting::Memory;

use crate::scheduler::ClusterState;
use crate::types::{JobSpec, MachineType, TypeName, Zone};

/// A machine on its way.
#[derive(Clone, Debug)]
pub struct PendingMachine {
    /// Type.
    pub kind: Rc<MachineType>,
    /// Zone.
    pub zone: Zone,
    /// Spot machine.
    pub spot: bool,
}

/// Work that may come: `tasks` tasks like those of `spec`.
#[derive(Clone, Debug)]
pub struct Expected {
    /// A job of its sort.
    pub spec: Rc<JobSpec>,
    /// For how many tasks to keep capacity free.
    pub tasks: u32,
}

/// Reserved capacity that a window of the release calendar lacks.
#[derive(Clone, Debug)]
pub struct Shortfall {
    /// The window.
    pub window: String,
    /// What its tasks take, and where they may be.
    pub spec: Rc<JobSpec>,
    /// For how many tasks.
    pub tasks: u32,
}

/// What the plan is made from.
pub struct Input<'a> {
    /// Jobs and machines.
    pub cluster_state: &'a ClusterState,
    /// What the cloud offers.
    pub types: &'a [Rc<MachineType>],
    /// Machines on their way.
    pub pending_machines: &'a [PendingMachine],
    /// Work that may come.
    pub expected: &'a [Expected],
    /// What windows lack.
    pub shortfalls: &'a [Shortfall],
    /// Whether a job's tasks may wait for others to end, rather than for a
    /// new machine to boot.
    pub patient: &'a dyn Fn(&JobSpec) -> bool,
    /// How long a new machine takes to boot.
    pub boot_s: f64,
    /// Whether the cloud has not just refused such a machine.
    pub open: &'a dyn Fn(&TypeName, &Zone, bool) -> bool,
    /// Where machines came up of late.
    pub memory: &'a Memory,
}
