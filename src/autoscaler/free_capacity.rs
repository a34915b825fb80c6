//! Free capacity of machines that are there, on their way, or to be rented.

use std::rc::Rc;

use sorrelhinge_topology::devices::{AllocatedDevices, DeviceInventory};
use sorrelhinge_topology::tree::Domain;

use crate::scheduler::{CapacityPool, ClusterState};
use crate::types::{Amount, JobSpec, MachineId, MachineType, TypeName, Zone};

/// Free capacity of a machine, there or rented by the plan.
pub(super) struct FreeCapacity {
    pub(super) id: Option<MachineId>,
    pub(super) kind: Rc<MachineType>,
    pub(super) zone: Zone,
    pub(super) spot: bool,
    /// Free now.
    pub(super) free: Amount,
    /// Free once tasks have ended that should end while a machine boots.
    pub(super) soon: Amount,
    pub(super) kept: Amount,
    /// Where it is, once it is up.
    pub(super) place: Option<Domain>,
    /// Its devices, and those in use; what comes up has those of its type.
    pub(super) device_inventory: Rc<DeviceInventory>,
    pub(super) reserved: AllocatedDevices,
    /// A task hopes for it: it may come up where its rules allow it.
    pub(super) hoped: bool,
    /// Something that can't be moved off, or was packed here.
    pub(super) used: bool,
}

impl FreeCapacity {
    pub(super) fn new(kind: Rc<MachineType>, zone: Zone, spot: bool) -> Self {
        Self {
            id: None,
            free: kind.total,
            soon: kind.total,
            kind,
            zone,
            spot,
            kept: Amount::default(),
            place: None,
            device_inventory: Rc::default(),
            reserved: AllocatedDevices::default(),
            hoped: false,
            used: true,
        }
    }
    pub(super) fn suits(&self, spec: &JobSpec) -> bool {
        ClusterState::kind_suits(spec, self.spot, &self.kind, &self.zone)
    }
    pub(super) fn available(&self, soon: bool) -> Amount {
        if soon {
            self.soon
        } else {
            self.free
        }
    }
    /// The pool that it is, or is to be, rented from.
    pub(super) fn pool(&self) -> CapacityPool {
        CapacityPool {
            spot: self.spot,
            kind: self.kind.name.clone(),
            zone: self.zone.clone(),
        }
    }
    /// What it costs an hour.
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

/// Machines that are as good as each other but for how tight they are.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Bin {
    pub(super) spot: bool,
    pub(super) used: bool,
    pub(super) kind: TypeName,
    pub(super) zone: Zone,
}
