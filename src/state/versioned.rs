//! Value of a record together with the version that conditions of transactions name.

use crate::types::Revision;

/// Value with its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versioned<T> {
    /// Revision of the last write. The value 0 means that the key does not exist.
    pub mod_revision: Revision,
    /// Value that this revision wrote.
    pub value: T,
}

impl<T> Versioned<T> {
    /// Returns a value that the revision `mod_revision` wrote.
    pub fn new(mod_revision: Revision, value: T) -> Self {
        Self {
            mod_revision,
            value,
        }
    }
}
