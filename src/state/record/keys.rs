//! Keys of the records: functions that build them and parse them. The texts of the keys are
//! stored, so they never change.

use sorrelhinge_reservations::record::{parse_key, CALENDAR_KEY};
use sorrelhinge_sharding::shard::{ShardId, MAX_SHARDS};

use super::deleted_machines::RETIRED_MACHINE_SLOTS;
use crate::types::{Image, JobId, NodeId};

/// Prefix of all keys.
pub const ROOT: &str = "h/";
/// Key of the leader's record.
pub const LEADER: &str = "h/leader";
/// Key of the grant of all machines as a single shard.
pub const GRANT: &str = "h/grant";

/// Returns the key of a job's record.
pub fn job_key(job: &JobId) -> String {
    format!("h/job/{job}")
}

/// Returns the key of a chunk of a job's tasks. The chunk number is zero-padded so that keys
/// sort by number.
pub fn chunk_key(job: &JobId, chunk: u32) -> String {
    format!("h/task/{job}/{chunk:06}")
}

/// Key of the number of shards.
pub const MAP: &str = "h/map";

/// Returns the key of the record of a shard's owner.
pub fn shard_key(shard: ShardId) -> String {
    format!("h/block/{shard}")
}

/// Returns the key of a shard's part of the team limits.
pub fn slice_key(shard: ShardId) -> String {
    format!("h/slice/{shard}")
}

/// Returns the key of the membership record of a controller.
pub fn member_key(node: &NodeId) -> String {
    format!("h/node/{node}")
}

/// Returns the key of a list of machines that the cloud has deleted.
pub fn retired_machines_key(slot: u32) -> String {
    format!("h/gone/{slot}")
}

/// Returns the key of a drain.
pub fn drain_key(number: u64) -> String {
    format!("h/drain/{number}")
}

/// Returns the key of an image's rollout among a shard's machines. [`image_hash`] gives the
/// hash.
pub fn rollout_key(shard: ShardId, image_hash: u64) -> String {
    format!("h/wave/{shard}/{image_hash:016x}")
}

/// Returns the FNV-1a hash of an image name. Keys have the hash because a name may be long
/// and may have any character.
pub fn image_hash(image: &Image) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    image.as_str().bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// Identifies one occurrence of a window of the release calendar.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowOccurrence {
    /// Name of the window.
    pub window: String,
    /// Wall-clock time at which the occurrence starts, in milliseconds.
    pub start_ms: i64,
}

/// Identifies the rollout of one image among the machines of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RolloutId {
    /// Shard that the image is rolled out in.
    pub shard: ShardId,
    /// Hash of the image name, as [`image_hash`] computes it.
    pub image_hash: u64,
}

impl RolloutId {
    /// Returns the identifier of the rollout of an image in a shard.
    pub fn of(shard: ShardId, image: &Image) -> Self {
        Self {
            shard,
            image_hash: image_hash(image),
        }
    }

    /// Returns the key of the rollout's record.
    pub fn key(self) -> String {
        rollout_key(self.shard, self.image_hash)
    }
}

/// Identifies a chunk of a job's tasks. Identifiers sort by job, then by chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkId {
    /// Job that the chunk belongs to.
    pub job: JobId,
    /// Number of the chunk in the job, from 0.
    pub chunk: u32,
}

impl ChunkId {
    /// Returns the identifier of a chunk of a job.
    pub fn new(job: &JobId, chunk: u32) -> Self {
        Self {
            job: job.clone(),
            chunk,
        }
    }
}

/// Parsed key of a record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// Current leader.
    Leader,
    /// Grant of all machines as a single shard.
    Grant,
    /// Record of a job.
    Job(JobId),
    /// Chunk of a job's tasks.
    Chunk(ChunkId),
    /// Drain with this number.
    Drain(u64),
    /// Slot of a list of machines that the cloud has deleted.
    DeletedMachines(u32),
    /// Number of shards.
    Map,
    /// Owner of a shard.
    Shard(ShardId),
    /// Part of the team limits that a shard has.
    Slice(ShardId),
    /// Membership of a controller.
    Member(NodeId),
    /// Windows of the release calendar.
    Calendar,
    /// Occurrence of a calendar window.
    Window(WindowOccurrence),
    /// Rollout of an image among a shard's machines.
    Rollout(RolloutId),
}

impl Key {
    /// Parses a key. Returns `None` if the key is not a key of these records.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            LEADER => Some(Self::Leader),
            GRANT => Some(Self::Grant),
            MAP => Some(Self::Map),
            CALENDAR_KEY => Some(Self::Calendar),
            _ => Self::parse_window(text).or_else(|| Self::parse_with_id(text)),
        }
    }

    fn parse_window(text: &str) -> Option<Self> {
        let key = parse_key(text)?;
        Some(Self::Window(WindowOccurrence {
            window: key.window.into(),
            start_ms: key.start_ms,
        }))
    }

    /// Parses a key of a kind with many records: the prefix, the kind and an identifier.
    fn parse_with_id(text: &str) -> Option<Self> {
        let (kind, id) = text.strip_prefix(ROOT)?.split_once('/')?;
        match kind {
            "job" => Some(Self::Job(JobId::from(id))),
            "node" => Some(Self::Member(NodeId::from(id))),
            "block" => parse_shard(id).map(Self::Shard),
            "slice" => parse_shard(id).map(Self::Slice),
            "wave" => {
                let (shard, image_hash) = id.split_once('/')?;
                Some(Self::Rollout(RolloutId {
                    shard: parse_shard(shard)?,
                    image_hash: u64::from_str_radix(image_hash, 16).ok()?,
                }))
            }
            "drain" => Some(Self::Drain(id.parse().ok()?)),
            "gone" => {
                let slot = id.parse().ok().filter(|slot| *slot < RETIRED_MACHINE_SLOTS);
                slot.map(Self::DeletedMachines)
            }
            "task" => {
                let (job, chunk) = id.rsplit_once('/')?;
                Some(Self::Chunk(ChunkId {
                    job: JobId::from(job),
                    chunk: chunk.parse().ok()?,
                }))
            }
            _ => None,
        }
    }
}

fn parse_shard(text: &str) -> Option<ShardId> {
    let shard = text.parse().ok().filter(|shard| *shard < MAX_SHARDS);
    shard.map(ShardId)
}
