//! Tracks the free capacity of machines that are up, pending or rented by the plan.

use std::rc::Rc;

use sorrelhinge_topology::devices::{AllocatedDevices, DeviceInventory};
use sorrelhinge_topology::tree::Domain;

use crate::scheduler::{CapacityPool, ClusterState};
use crate::types::{Amount, JobSpec, MachineId, MachineType, TypeName, Zone};

/// Free capacity of one machine that is up, pending or rented by the plan.
pub(super) struct FreeCapacity {
    pub(super) id: Option<MachineId>,
    pub(super) kind: Rc<MachineType>,
    pub(super) zone: Zone,
    pub(super) spot: bool,
    /// Capacity of the machine that is free now.
    pub(super) free: Amount,
    /// Capacity that is free once all tasks have ended that should end within one machine boot.
    pub(super) free_soon: Amount,
    /// Capacity of the machine that the plan keeps free for expected work.
    pub(super) kept: Amount,
    /// Topology domain of the machine. `None` until the machine is up.
    pub(super) place: Option<Domain>,
    /// Devices of the machine. A machine that is not up counts with the devices of its type.
    pub(super) device_inventory: Rc<DeviceInventory>,
    /// Devices of the machine that are in use or that packed tasks take.
    pub(super) allocated_devices: AllocatedDevices,
    /// Whether a packed task depends on the domain in which this machine comes up. The placement
    /// rules of the task may not allow that domain.
    pub(super) speculative: bool,
    /// Whether the plan keeps the machine, because of tasks that can't move, a reservation or
    /// packed tasks.
    pub(super) used: bool,
}

impl FreeCapacity {
    pub(super) fn new(kind: Rc<MachineType>, zone: Zone, spot: bool) -> Self {
        Self {
            id: None,
            free: kind.total,
            free_soon: kind.total,
            kind,
            zone,
            spot,
            kept: Amount::default(),
            place: None,
            device_inventory: Rc::default(),
            allocated_devices: AllocatedDevices::default(),
            speculative: false,
            used: true,
        }
    }
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        ClusterState::kind_suits(spec, self.spot, &self.kind, &self.zone)
    }
    pub(super) fn available(&self, soon: bool) -> Amount {
        if soon {
            self.free_soon
        } else {
            self.free
        }
    }
    /// Returns the capacity pool from which the machine is rented.
    pub(super) fn pool(&self) -> CapacityPool {
        CapacityPool {
            spot: self.spot,
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
        }
    }
    /// Returns the price of the machine per hour.
    pub(super) fn price(&self) -> f64 {
        if self.spot {
            self.kind.spot_price
        } else {
            self.kind.price
        }
    }
    pub(super) fn bin(&self) -> Bin {
        Bin {
            spot: self.spot,
            used: self.used,
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
        }
    }
}

/// Key of a group of machines that differ only in their free capacity.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bin {
    pub(super) spot: bool,
    pub(super) used: bool,
    pub(super) kind: TypeName,
    pub(super) zone: Zone,
}
