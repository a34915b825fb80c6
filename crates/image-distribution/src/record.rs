//! The shared record of an image's rollout (`h/wave/HASH`).

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::{Image, MachineId};

/// Version of the rollout record that this code writes and reads.
pub const VERSION: u32 = 1;

/// Progress of an image's rollout, and the machines that fetched the image from the origin.
/// There is one small record whatever the number of machines, and it changes once per
/// stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Version of the rollout record. A process does not touch a record of a later version.
    pub v: u32,
    /// Image that the rollout distributes.
    #[serde(rename = "i")]
    pub image: Image,
    /// Number of the open stage, which limits how many machines may fetch at once.
    #[serde(rename = "s")]
    pub stage: u32,
    /// Machines that fetched the image from the origin or from another zone, and that still
    /// exist.
    #[serde(rename = "m", default)]
    pub seeds: Vec<MachineId>,
}

impl RolloutRecord {
    /// Returns whether this code may read and change the record.
    pub fn known(&self) -> bool {
        self.v == VERSION
    }
}
