//! Which shard a machine or a job belongs to: by its name alone, so everybody
//! knows it at once and nothing has to be recorded for a machine.
//!
//! Rendezvous hashing: each shard draws a number for the name, the highest has
//! it. From `n` shards to `n + 1` one name in `n + 1` moves, and nothing else.

use std::fmt;
use std::hash::Hasher;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use sorrelhinge_protocol::types::{JobId, MachineId};

/// A shard: from 0, below the number of shards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ShardId(pub u32);

impl fmt::Display for ShardId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The most shards that there may be: the change that divides the machines
/// writes a record for each, and the least that a transaction takes is eight.
pub const MAX_SHARDS: u32 = 5;

/// One shard of so many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShardScope {
    /// Which.
    pub shard: ShardId,
    /// How many there are.
    pub of: u32,
}

/// Every controller must draw the same numbers, whatever its version: so the
/// hash is one that is specified (SipHash-1-3), and keys are fixed.
fn draw(sort: u8, name: &str, shard: u32) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(u64::from(sort), u64::from(shard));
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// The shard that draws highest for a name: rendezvous hashing.
fn highest(sort: u8, name: &str, of: u32) -> ShardId {
    let best = (0..of.max(1)).max_by_key(|b| draw(sort, name, *b));
    ShardId(best.unwrap_or(0))
}

/// The shard of a machine, of `of` shards.
pub fn of_machine(machine: &MachineId, of: u32) -> ShardId {
    highest(0, machine.as_str(), of)
}

/// The shard that places a job, of `of` shards.
pub fn of_job(job: &JobId, of: u32) -> ShardId {
    highest(1, job.as_str(), of)
}

impl ShardScope {
    /// All machines are one shard.
    pub const WHOLE: Self = Self {
        shard: ShardId(0),
        of: 1,
    };

    /// Whether a machine belongs to it.
    pub fn covers(&self, machine: &MachineId) -> bool {
        self.of <= 1 || of_machine(machine, self.of) == self.shard
    }

    /// Whether a job is placed by it.
    pub fn homes(&self, job: &JobId) -> bool {
        self.of <= 1 || of_job(job, self.of) == self.shard
    }

    /// Whether there are others.
    pub fn is_part(&self) -> bool {
        self.of > 1
    }
}
