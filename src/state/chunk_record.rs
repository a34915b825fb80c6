//! Record of the claims and results of a chunk of a job's tasks, and the number of tasks that
//! fit into a chunk.

use serde::{Deserialize, Serialize, Serializer};
use sorrelhinge_topology::devices::Unit;

use crate::types::{Attempt, JobSpec, MachineId};

/// Maximum number of tasks in a chunk: [`ChunkRecord::done`] has one bit for each task.
const MAX_CHUNK_TASKS: usize = 64;

/// Bytes reserved for a claim. A claim takes about 25 bytes, and machine names may be longer
/// than usual.
pub(super) const CLAIM_BYTES: usize = 40;
/// Bytes reserved for a device unit of a claim, without its kind. A unit name has at most 40
/// bytes.
const UNIT_BYTES: usize = 56;

/// Bytes reserved for a chunk's other fields. In a job record they are reserved for the job's
/// place in its lane: a later write adds the place, which must not make the record too large
/// to write.
pub(super) const RESERVED_BYTES: usize = 128;

/// Claims and results of up to 64 tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// Number of the next attempt.
    #[serde(rename = "a")]
    pub next_attempt: u64,
    /// Completed tasks, one bit each.
    #[serde(rename = "d")]
    pub done: u64,
    /// Claims of tasks, each with the index of its task in the chunk.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<RecordedClaim>,
    /// Devices assigned to the claims of a job that requests devices. A claim with no
    /// assigned device has an entry too. A claim without an entry was recorded by an earlier
    /// version, and any device of the machine may be in use. This is a separate field so that
    /// earlier versions can read the claims.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub units: Vec<RecordedUnits>,
    /// Number of attempts that failed. It is 0 in records of earlier versions, and attempts that
    /// ended for other reasons, such as the loss of the machine, don't count.
    #[serde(rename = "f", default, skip_serializing_if = "is_zero")]
    pub failed_attempts: u32,
}

/// Returns whether a number is 0. Records leave out such numbers.
fn is_zero(number: &u32) -> bool {
    *number == 0
}

/// Claim of a task. The record stores it as an array of its fields in declaration order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, Attempt, MachineId)")]
pub struct RecordedClaim {
    /// Index of the task in its chunk, from 0.
    pub place: u32,
    /// Attempt that runs the task.
    pub attempt: Attempt,
    /// Machine that the task is claimed on.
    pub machine: MachineId,
}

impl From<(u32, Attempt, MachineId)> for RecordedClaim {
    fn from((place, attempt, machine): (u32, Attempt, MachineId)) -> Self {
        Self {
            place,
            attempt,
            machine,
        }
    }
}

impl Serialize for RecordedClaim {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.place, self.attempt, &self.machine).serialize(serializer)
    }
}

/// Devices assigned to a claim. The record stores them as an array of its fields in
/// declaration order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, Vec<Unit>)")]
pub struct RecordedUnits {
    /// Index of the task in its chunk, from 0.
    pub place: u32,
    /// Assigned device units of the machine that the task is claimed on.
    pub units: Vec<Unit>,
}

impl From<(u32, Vec<Unit>)> for RecordedUnits {
    fn from((place, units): (u32, Vec<Unit>)) -> Self {
        Self { place, units }
    }
}

impl Serialize for RecordedUnits {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.place, &self.units).serialize(serializer)
    }
}

impl ChunkRecord {
    /// Returns a record without claims and completed tasks.
    pub fn new() -> Self {
        Self {
            next_attempt: 1,
            ..Self::default()
        }
    }
    /// Returns the approximate size of the encoded claims in bytes.
    pub fn weight(&self) -> usize {
        let units = self.units.iter().flat_map(|recorded| &recorded.units);
        CLAIM_BYTES * self.claims.len() + units.map(|u| u.kind().len() + UNIT_BYTES).sum::<usize>()
    }
}

/// Returns the bytes reserved for a claim of a task of this job, including the device units
/// that the task requests.
pub(super) fn claim_bytes(spec: &JobSpec) -> usize {
    let with_extension = spec
        .extension
        .iter()
        .flat_map(|extension| &extension.placement);
    let devices = spec
        .placement
        .iter()
        .chain(with_extension)
        .flat_map(|w| &w.devices);
    let units: usize = devices
        .map(|d| d.count as usize * (d.kind.len() + UNIT_BYTES))
        .sum();
    CLAIM_BYTES + units
}

/// Returns the number of tasks that fit into a chunk if a value has at most `value_bytes` and
/// a claim takes `claim_bytes`.
pub(super) fn chunk_size_of(value_bytes: usize, claim_bytes: usize) -> u32 {
    (value_bytes.saturating_sub(RESERVED_BYTES) / claim_bytes).clamp(1, MAX_CHUNK_TASKS) as u32
}

/// Returns the number of tasks without devices that fit into a chunk if a value has at most
/// `value_bytes`.
pub fn chunk_size(value_bytes: usize) -> u32 {
    chunk_size_of(value_bytes, CLAIM_BYTES)
}
