//! The cloud's machine types: what a machine of each has, and how long it boots.

use std::collections::HashMap;
use std::rc::Rc;

use crate::types::{Amount, MachineType, TypeName};

/// Machine types by name; none until the cloud has listed them.
#[derive(Debug, Default)]
pub(super) struct MachineTypes(HashMap<TypeName, Rc<MachineType>>);

impl MachineTypes {
    /// Of the cloud's list.
    pub(super) fn new(types: &[MachineType]) -> Self {
        let types = types.iter();
        Self(
            types
                .map(|t| (t.name.clone(), Rc::new(t.clone())))
                .collect(),
        )
    }

    /// Whether none are known yet.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The type of this name.
    pub(super) fn get(&self, name: &TypeName) -> Option<&Rc<MachineType>> {
        self.0.get(name)
    }

    /// All types, in no order.
    pub(super) fn values(&self) -> impl Iterator<Item = &Rc<MachineType>> {
        self.0.values()
    }

    /// The shortest usual boot, in seconds; without end if no type is known.
    pub(super) fn shortest_boot_s(&self) -> f64 {
        let boots = self.values().map(|t| t.boot_s);
        boots.fold(f64::INFINITY, f64::min)
    }

    /// The type with the fewest CPUs that a task fits.
    pub(super) fn smallest_for(&self, each: Amount) -> Option<&TypeName> {
        let fit = self.values().filter(|t| each.fits(t.total));
        fit.min_by_key(|t| t.total.cpu).map(|t| &t.name)
    }
}
