//! What the cloud and the operator tell of machines in general: their types and prices,
//! and the topology.

use std::cell::{Ref, RefCell};
use std::rc::Rc;

use sorrelhinge_topology::Topology;

use crate::types::MachineType;

/// Machine types and the topology, as last told.
pub(super) struct Catalog {
    types: RefCell<Vec<MachineType>>,
    topology: RefCell<Option<Rc<Topology>>>,
}

impl Catalog {
    /// Without machine types, until the cloud tells them.
    pub(super) fn new(topology: Option<Rc<Topology>>) -> Self {
        Self {
            types: RefCell::default(),
            topology: RefCell::new(topology),
        }
    }

    /// The machine types; none are known before the cloud was asked. Not to be held
    /// across an await.
    pub(super) fn types(&self) -> Ref<'_, Vec<MachineType>> {
        self.types.borrow()
    }

    /// Whether the cloud has told any machine types.
    pub(super) fn has_types(&self) -> bool {
        !self.types.borrow().is_empty()
    }

    /// The cloud told all machine types.
    pub(super) fn set_types(&self, types: Vec<MachineType>) {
        *self.types.borrow_mut() = types;
    }

    /// Failure domains and devices, if the feature is on.
    pub(super) fn topology(&self) -> Option<Rc<Topology>> {
        self.topology.borrow().clone()
    }

    /// Takes up the operator's file, new or changed.
    pub(super) fn set_topology(&self, topology: Rc<Topology>) {
        *self.topology.borrow_mut() = Some(topology);
    }
}
