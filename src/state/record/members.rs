//! Record of the controllers that are up.

use serde::{Deserialize, Serialize};

/// Membership of a controller that is up. The store deletes the key when the controller's
/// lease ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Identifier of the controller's process.
    pub run: u64,
}
