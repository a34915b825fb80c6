//! Which machines the cloud has deleted for certain.

use serde::{Deserialize, Serialize};

use crate::types::MachineId;

/// Lists of deleted machines; the oldest is overwritten. At values of 4 KiB each has
/// about 200 names, and all of them take up to 1.2 MB in memory. Versions before know
/// the first 16 only, and ignore the others.
pub const RETIRED_MACHINE_SLOTS: u32 = 64;

/// Machines whose deletion the cloud has answered with 200: whatever a record
/// still claims on them has ended (PROTOCOL, "POST /rentals/delete"). A later
/// owner need not find that out again. Names are never given twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetiredMachinesRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Their names.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
}

impl RetiredMachinesRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;
    /// Bytes that one more name takes, about.
    pub fn weight(name: &MachineId) -> usize {
        name.as_str().len() + 3
    }
}
