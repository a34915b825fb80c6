//! A record's value together with the version that conditions of transactions name.

use crate::types::Revision;

/// A value and its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versioned<T> {
    /// Version: the revision of the last write; 0: the key does not exist.
    pub mod_revision: Revision,
    /// Value.
    pub value: T,
}

impl<T> Versioned<T> {
    /// A value as `mod_revision` wrote it.
    pub fn new(mod_revision: Revision, value: T) -> Self {
        Self {
            mod_revision,
            value,
        }
    }
}
