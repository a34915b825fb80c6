//! Which machines the cloud has deleted for certain.

use serde::{Deserialize, Serialize};

use crate::types::MachineId;

/// Lists of machines that are gone; the oldest is overwritten.
pub const GONE_SLOTS: u32 = 16;

/// Machines whose deletion the cloud has answered with 200: whatever a record
/// still claims on them is gone (PROTOCOL, "POST /rentals/delete"). A later
/// owner need not find that out again. Names are never given twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GoneRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Their names.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
}

impl GoneRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;
    /// Bytes that one more name takes, about.
    pub fn weight(name: &MachineId) -> usize {
        name.as_str().len() + 3
    }
}
