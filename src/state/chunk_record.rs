//! Claims and results of some of a job's tasks, and how many tasks fit into a value.

use serde::{Deserialize, Serialize, Serializer};
use sorrelhinge_topology::devices::Unit;

use crate::types::{Attempt, JobSpec, MachineId};

/// Tasks of the largest chunk: [`ChunkRecord::done`] has a bit for each.
const MAX_CHUNK_TASKS: usize = 64;

/// Bytes of a claim: about 25, and machine names may be longer than usual.
pub(super) const CLAIM_BYTES: usize = 40;
/// Bytes of a unit that a claim names, but for its kind: a name has at most 40.
const UNIT_BYTES: usize = 56;

/// Bytes left out for a chunk's own fields, and in a job's record for its place, which
/// comes later: it must not make the record too large to write.
pub(super) const OWN_BYTES: usize = 128;

/// Claims and results of up to 64 tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ChunkRecord {
    /// The next attempt number.
    #[serde(rename = "a")]
    pub next_attempt: u64,
    /// Done tasks, one bit each.
    #[serde(rename = "d")]
    pub done: u64,
    /// Claims of tasks, by their place.
    #[serde(rename = "c", default, skip_serializing_if = "Vec::is_empty")]
    pub claims: Vec<RecordedClaim>,
    /// Devices assigned to the claims of a job with devices, if only none. A field of its own,
    /// so that earlier versions can read the claims; what they write has none, and then any
    /// device of the machine may be in use.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub units: Vec<RecordedUnits>,
}

/// A task that is claimed. Stored as an array of its fields in their order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, Attempt, MachineId)")]
pub struct RecordedClaim {
    /// The task's place in the chunk, from 0 on.
    pub place: u32,
    /// The attempt to run it.
    pub attempt: Attempt,
    /// Where.
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

/// The devices assigned to a claim. Stored as an array of its fields in their order.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "(u32, Vec<Unit>)")]
pub struct RecordedUnits {
    /// The task's place in the chunk, from 0 on.
    pub place: u32,
    /// Which units of the claim's machine.
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
    /// Nothing claimed, nothing done.
    pub fn new() -> Self {
        Self {
            next_attempt: 1,
            ..Self::default()
        }
    }
    /// About how many bytes its claims take.
    pub fn weight(&self) -> usize {
        let units = self.units.iter().flat_map(|recorded| &recorded.units);
        CLAIM_BYTES * self.claims.len() + units.map(|u| u.kind().len() + UNIT_BYTES).sum::<usize>()
    }
}

/// Bytes of a claim of such a job's task, with those of the units that it names.
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

/// Tasks that fit into a chunk when values have at most `value_bytes`, and a claim takes
/// `claim_bytes`.
pub(super) fn chunk_size_of(value_bytes: usize, claim_bytes: usize) -> u32 {
    (value_bytes.saturating_sub(OWN_BYTES) / claim_bytes).clamp(1, MAX_CHUNK_TASKS) as u32
}

/// Tasks that fit into a chunk when values have at most `value_bytes`.
pub fn chunk_size(value_bytes: usize) -> u32 {
    chunk_size_of(value_bytes, CLAIM_BYTES)
}
