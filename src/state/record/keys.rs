//! Keys of the records: how each is made, and read back. Their texts are stored, so they
//! never change.

use sorrelhinge_reservations::record::{parse_key, CALENDAR_KEY};
use sorrelhinge_sharding::shard::{ShardId, MAX_SHARDS};

use super::deleted_machines::RETIRED_MACHINE_SLOTS;
use crate::types::{Image, JobId, NodeId};

/// Prefix of all keys.
pub const ROOT: &str = "h/";
/// Key of the leader's record.
pub const LEADER: &str = "h/leader";
/// Key of the shard grant.
pub const GRANT: &str = "h/grant";

/// Key of a job.
pub fn job_key(job: &JobId) -> String {
    format!("h/job/{job}")
}

/// Key of a chunk of a job's tasks; padded, so that keys sort by number.
pub fn chunk_key(job: &JobId, chunk: u32) -> String {
    format!("h/task/{job}/{chunk:06}")
}

/// Key of the number of shards.
pub const MAP: &str = "h/map";

/// Key of a shard's owner.
pub fn shard_key(shard: ShardId) -> String {
    format!("h/block/{shard}")
}

/// Key of a shard's part of the limits.
pub fn slice_key(shard: ShardId) -> String {
    format!("h/slice/{shard}")
}

/// Key of a controller that lives.
pub fn member_key(node: &NodeId) -> String {
    format!("h/node/{node}")
}

/// Key of a list of machines that the cloud has deleted.
pub fn retired_machines_key(slot: u32) -> String {
    format!("h/gone/{slot}")
}

/// Key of a drain.
pub fn drain_key(number: u64) -> String {
    format!("h/drain/{number}")
}

/// Key of an image's rollout among a shard's machines; the image by its [`image_hash`].
pub fn rollout_key(shard: ShardId, image_hash: u64) -> String {
    format!("h/wave/{shard}/{image_hash:016x}")
}

/// What an image is called in keys: FNV-1a of its name, which may be long and
/// may have any character.
pub fn image_hash(image: &Image) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    image.as_str().bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// One occurrence of a window of the release calendar.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WindowOccurrence {
    /// The window's name.
    pub window: String,
    /// When it begins, in milliseconds of the time of day.
    pub start_ms: i64,
}

/// Which rollout a record is of: one image among the machines of one shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RolloutId {
    /// The shard.
    pub shard: ShardId,
    /// The image, by its [`image_hash`].
    pub image_hash: u64,
}

impl RolloutId {
    /// That of an image's rollout in a shard.
    pub fn of(shard: ShardId, image: &Image) -> Self {
        Self {
            shard,
            image_hash: image_hash(image),
        }
    }

    /// The key of its record.
    pub fn key(self) -> String {
        rollout_key(self.shard, self.image_hash)
    }
}

/// Part of a job's tasks. Ordered by job, then by chunk.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ChunkId {
    /// The job.
    pub job: JobId,
    /// Its number in the job, from 0.
    pub chunk: u32,
}

impl ChunkId {
    /// A chunk of a job.
    pub fn new(job: &JobId, chunk: u32) -> Self {
        Self {
            job: job.clone(),
            chunk,
        }
    }
}

/// Which record a key names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// The leader.
    Leader,
    /// The grant.
    Grant,
    /// A job.
    Job(JobId),
    /// A chunk of tasks.
    Chunk(ChunkId),
    /// A drain.
    Drain(u64),
    /// Machines that the cloud has deleted.
    DeletedMachines(u32),
    /// The number of shards.
    Map,
    /// A shard's owner.
    Shard(ShardId),
    /// A shard's part of the limits.
    Slice(ShardId),
    /// A controller that lives.
    Member(NodeId),
    /// The windows of the release calendar.
    Calendar,
    /// An occurrence of a window.
    Window(WindowOccurrence),
    /// An image's rollout among a shard's machines.
    Rollout(RolloutId),
}

impl Key {
    /// Reads a key; none if it is not one of ours.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            LEADER => Some(Self::Leader),
            GRANT => Some(Self::Grant),
            MAP => Some(Self::Map),
            CALENDAR_KEY => Some(Self::Calendar),
            _ => Self::parse_window(text).or_else(|| Self::parse_numbered(text)),
        }
    }

    fn parse_window(text: &str) -> Option<Self> {
        let key = parse_key(text)?;
        Some(Self::Window(WindowOccurrence {
            window: key.window.into(),
            start_ms: key.start_ms,
        }))
    }

    /// Reads the key of a kind of which there are many: the kind, and which one.
    fn parse_numbered(text: &str) -> Option<Self> {
        let (kind, which) = text.strip_prefix(ROOT)?.split_once('/')?;
        match kind {
            "job" => Some(Self::Job(JobId::from(which))),
            "node" => Some(Self::Member(NodeId::from(which))),
            "block" => parse_shard(which).map(Self::Shard),
            "slice" => parse_shard(which).map(Self::Slice),
            "wave" => {
                let (shard, image_hash) = which.split_once('/')?;
                Some(Self::Rollout(RolloutId {
                    shard: parse_shard(shard)?,
                    image_hash: u64::from_str_radix(image_hash, 16).ok()?,
                }))
            }
            "drain" => Some(Self::Drain(which.parse().ok()?)),
            "gone" => {
                let slot = which
                    .parse()
                    .ok()
                    .filter(|slot| *slot < RETIRED_MACHINE_SLOTS);
                slot.map(Self::DeletedMachines)
            }
            "task" => {
                let (job, chunk) = which.rsplit_once('/')?;
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
