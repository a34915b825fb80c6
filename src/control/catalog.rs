//! Data about machines in general: machine types and prices from the cloud, and the
//! topology from the operator.

use std::cell::{Ref, RefCell};
use std::rc::Rc;

use sorrelhinge_topology::Topology;

use crate::types::MachineType;

/// Latest known machine types and topology.
pub(super) struct Catalog {
    types: RefCell<Vec<MachineType>>,
    topology: RefCell<Option<Rc<Topology>>>,
}

impl Catalog {
    /// Creates a catalog without machine types, which is filled once the cloud lists them.
    pub(super) fn new(topology: Option<Rc<Topology>>) -> Self {
        Self {
            types: RefCell::default(),
            topology: RefCell::new(topology),
        }
    }

    /// Returns the machine types, which are empty before the first response of the cloud.
    /// The caller must not hold the reference across an await.
    pub(super) fn types(&self) -> Ref<'_, Vec<MachineType>> {
        self.types.borrow()
    }

    /// Returns whether the cloud has listed any machine types.
    pub(super) fn has_types(&self) -> bool {
        !self.types.borrow().is_empty()
    }

    /// Replaces all machine types by those that the cloud lists now.
    pub(super) fn set_types(&self, types: Vec<MachineType>) {
        *self.types.borrow_mut() = types;
    }

    /// Returns the failure domains and devices. Returns `None` if the topology feature is
    /// off.
    pub(super) fn topology(&self) -> Option<Rc<Topology>> {
        self.topology.borrow().clone()
    }

    /// Sets the topology from the operator's new or changed file.
    pub(super) fn set_topology(&self, topology: Rc<Topology>) {
        *self.topology.borrow_mut() = Some(topology);
    }
}
