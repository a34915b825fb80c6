//! Defines the input of the scale plan.

use std::rc::Rc;

use sorrelhinge_topology::renting::Memory;

use crate::scheduler::ClusterState;
use crate::types::{JobSpec, MachineType, TypeName, Zone};

/// A machine that was rented and is not up yet.
#[derive(Clone, Debug)]
pub struct PendingMachine {
    /// Type of the pending machine.
    pub kind: Rc<MachineType>,
    /// Zone in which the pending machine was rented.
    pub zone: Zone,
    /// Whether the pending machine is a spot machine.
    pub spot: bool,
}

/// Expected work, for which the plan keeps capacity free.
#[derive(Clone, Debug)]
pub struct Expected {
    /// Sample specification that stands for the expected tasks.
    pub spec: Rc<JobSpec>,
    /// Number of expected tasks for which the plan keeps capacity free.
    pub tasks: u32,
}

/// Capacity that a reservation window of the release calendar still lacks.
#[derive(Clone, Debug)]
pub struct Shortfall {
    /// Name of the reservation window.
    pub window: String,
    /// Resources that each task of the window needs, and the machines that suit it.
    pub spec: Rc<JobSpec>,
    /// Number of tasks for which the window lacks capacity.
    pub tasks: u32,
}

/// Input of the scale plan.
pub struct Input<'a> {
    /// Jobs, machines, teams and reservations of the cluster.
    pub cluster_state: &'a ClusterState,
    /// Machine types that the cloud offers.
    pub types: &'a [Rc<MachineType>],
    /// Rented machines that are not up yet.
    pub pending_machines: &'a [PendingMachine],
    /// Work that may arrive, for which the plan keeps capacity free.
    pub expected: &'a [Expected],
    /// Capacity that reservation windows still lack.
    pub shortfalls: &'a [Shortfall],
    /// Returns whether the tasks of a job may wait for other tasks to end. Otherwise the plan rents
    /// a machine for them.
    pub patient: &'a dyn Fn(&JobSpec) -> bool,
    /// Time that a new machine takes to boot, in seconds.
    pub boot_s: f64,
    /// Returns whether the plan may rent a machine of this type, zone and spot flag. The result is
    /// `false` if the cloud has just refused such a machine.
    pub open: &'a dyn Fn(&TypeName, &Zone, bool) -> bool,
    /// Topology domains in which rented machines recently came up.
    pub memory: &'a Memory,
}
