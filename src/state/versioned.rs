//! A record's value together with the version that conditions of transactions name.

use crate::types::Revision;

/// A value and its version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Versioned<T> {
    /// Version: the revision of the last write; 0: the key does not exist.
    pub stamp: Revision,
    /// Value.
    pub value: T,
}

impl<T> Versioned<T> {
    /// A value as `stamp` wrote it.
    pub fn new(stamp: Revision, value: T) -> Self {
        Self { stamp, value }
    }
}
