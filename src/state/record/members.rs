//! Which controllers live.

use serde::{Deserialize, Serialize};

/// A controller that lives; the key goes away with its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its process.
    pub run: u64,
}
