//! Assignment of machines and jobs to shards. The name alone decides the shard, so every
//! controller knows it at once and nothing has to be recorded for a machine.
//!
//! The assignment uses rendezvous hashing: each shard gets a hash of the name, and the
//! shard with the highest hash wins. When the number of shards grows from `n` to `n + 1`,
//! one name in `n + 1` moves to the new shard, and no other name moves.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use sorrelhinge_protocol::types::{JobId, MachineId};

/// Number of a shard, from 0 up to but not including the number of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Maximum number of shards. The transaction that divides the machines into shards writes
/// one record for each shard, and the smallest limit on the operations of a transaction is
/// eight.
pub const MAX_SHARDS: u32 = 5;

/// One shard out of a number of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardScope {
    /// Number of this shard.
    pub shard: ShardId,
    /// Total number of shards that the machines are divided into.
    pub of: u32,
}

/// Returns the hash of a name for one shard. Every controller must get the same hash,
/// whatever its version, so the hash is a specified one (SipHash-1-3) with fixed keys.
fn name_hash(kind: u8, name: &str, shard: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(u64::from(kind), u64::from(shard));
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Returns the shard with the highest hash for a name (rendezvous hashing).
fn shard_with_highest_hash(kind: u8, name: &str, of: u32) -> ShardId {
    let best = (0..of.max(1)).max_by_key(|b| name_hash(kind, name, *b));
    ShardId(best.unwrap_or(0))
}

/// Returns the shard that a machine belongs to, out of `of` shards.
pub fn of_machine(machine: &MachineId, of: u32) -> ShardId {
    shard_with_highest_hash(0, machine.as_str(), of)
}

/// Returns the shard that places a job, out of `of` shards.
pub fn of_job(job: &JobId, of: u32) -> ShardId {
    shard_with_highest_hash(1, job.as_str(), of)
}

impl ShardScope {
    /// The only shard, which contains all machines.
    pub const WHOLE: Self = Self {
        shard: ShardId(0),
        of: 1,
    };

    /// Returns whether a machine belongs to this shard.
    pub fn covers(&self, machine: &MachineId) -> bool {
        self.of <= 1 || of_machine(machine, self.of) == self.shard
    }

    /// Returns whether this shard places a job.
    pub fn homes(&self, job: &JobId) -> bool {
        self.of <= 1 || of_job(job, self.of) == self.shard
    }

    /// Returns whether there are other shards besides this one.
    pub fn is_part(&self) -> bool {
        self.of > 1
    }
}
