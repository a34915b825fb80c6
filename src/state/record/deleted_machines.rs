//! Record of the machines whose deletion the cloud has confirmed.

use serde::{Deserialize, Serialize};

use crate::types::MachineId;

/// Number of lists of deleted machines. A new list overwrites the oldest one. At values of 4
/// KiB each list has about 200 names, and all lists take up to 1.2 MB in memory. Earlier
/// versions know only the first 16 lists and ignore the others.
pub const RETIRED_MACHINE_SLOTS: u32 = 64;

/// Machines whose deletion the cloud has answered with 200: every claim still recorded on
/// them has ended (PROTOCOL, "POST /rentals/delete"). A later owner need not find this out
/// again. A machine name is never given twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetiredMachinesRecord {
    /// Version of the record format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Names of the deleted machines.
    #[serde(rename = "m")]
    pub machines: Vec<MachineId>,
}

impl RetiredMachinesRecord {
    /// Format that this version writes.
    pub const VERSION: u32 = 1;
    /// Returns the approximate number of bytes that one more name takes.
    pub fn weight(name: &MachineId) -> usize {
        name.as_str().len() + 3
    }
}
