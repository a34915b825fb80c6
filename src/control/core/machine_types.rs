//! Machine types of the cloud, with the capacity and the boot time of each.

use std::collections::HashMap;
use std::rc::Rc;

use crate::types::{Amount, MachineType, TypeName};

/// Machine types by name. The table is empty until the cloud has listed them.
#[derive(Debug, Default)]
pub(super) struct MachineTypes(HashMap<TypeName, Rc<MachineType>>);

impl MachineTypes {
    /// Returns the table of the machine types that the cloud lists.
    pub(super) fn new(types: &[MachineType]) -> Self {
        let types = types.iter();
        Self(
            types
                .map(|t| (t.name.clone(), Rc::new(t.clone())))
                .collect(),
        )
    }

    /// Returns whether no type is known yet.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the type with this name.
    pub(super) fn get(&self, name: &TypeName) -> Option<&Rc<MachineType>> {
        self.0.get(name)
    }

    /// Returns all types in unspecified order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Rc<MachineType>> {
        self.0.values()
    }

    /// Returns the shortest usual boot time, in seconds. Returns infinity if no type is known.
    pub(super) fn shortest_boot_s(&self) -> f64 {
        let boots = self.values().map(|t| t.boot_s);
        boots.fold(f64::INFINITY, f64::min)
    }

    /// Returns the name of the machine type with the fewest CPUs that fits a task.
    pub(super) fn smallest_for(&self, each: Amount) -> Option<&TypeName> {
        let fit = self.values().filter(|t| each.fits(t.total));
        fit.min_by_key(|t| t.total.cpu).map(|t| &t.name)
    }
}
