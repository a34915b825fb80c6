//! The shared record of an image under way (`h/wave/HASH`).

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::{Image, MachineId};

/// The version this code writes and understands.
pub const VERSION: u32 = 1;

/// An image under way: how far its rollout is, and who took it from the origin. One
/// small record whatever the number of machines, and a change a stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutRecord {
    /// Version of the record; one of a later version is left alone.
    pub v: u32,
    /// The image.
    #[serde(rename = "i")]
    pub image: Image,
    /// The stage that is open: how many machines may fetch at once.
    #[serde(rename = "s")]
    pub stage: u32,
    /// Machines that took the image from the origin or from another zone, and are
    /// there.
    #[serde(rename = "m", default)]
    pub seeds: Vec<MachineId>,
}

impl RolloutRecord {
    /// Whether this code may read on and change it.
    pub fn known(&self) -> bool {
        self.v == VERSION
    }
}
