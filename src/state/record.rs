//! What the controllers keep in the state service.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `h/leader` | [`LeaderRecord`], attached to a lease | whoever becomes leader |
//! | `h/grant` | [`GrantRecord`] | whoever becomes leader |
//! | `h/job/ID` | [`JobRecord`] | any controller accepts and cancels; the block's owner claims and completes |
//! | `h/calendar` | [`CalendarRecord`](sorrelhinge_calendar::record::CalendarRecord), if a calendar is given | any controller with a newer file, or for an operator |
//! | `h/win/NAME@START` | [`WindowRecord`](sorrelhinge_calendar::record::WindowRecord), one occurrence of a window | the owner of block 0 |
//! | `h/drain/N` | [`Drain`](sorrelhinge_topology::drain::Drain), N any number | any controller, for an operator |
//! | `h/gone/N` | [`GoneRecord`], N below [`GONE_SLOTS`], filled in turn | the block's owner |
//! | `h/map` | [`MapRecord`]; none: all machines are one block | the leader |
//! | `h/block/B` | [`BlockRecord`], B below the number of blocks | the leader; the owner, to hand it on |
//! | `h/slice/B` | [`SliceRecord`] | the leader at first; then the owner of a block that gives |
//! | `h/node/NODE` | [`MemberRecord`], attached to a lease, while there are several blocks | that controller |
//! | `h/wave/B/HASH` | [`WaveRecord`](sorrelhinge_staging::record::WaveRecord) of an image, only if images are staged | the block's owner |
//! | `h/task/ID/N` | [`ChunkRecord`], tasks N·chunk and on, of a job that does not keep them in its own record | the block's owner |

use serde::{Deserialize, Serialize};
use sorrelhinge_blocks::shard::{BlockId, MAX_BLOCKS};
use sorrelhinge_calendar::record::{parse_key, CALENDAR_KEY};

pub use super::job_record::{
    chunk_size, encoded_bytes, ChunkRecord, JobRecord, NewJob, Phase, WaitsRecord,
};
use crate::types::{Amount, Image, JobId, MachineId, NodeId, Term};

/// Prefix of all keys.
pub const ROOT: &str = "h/";
/// Key of the leader's record.
pub const LEADER: &str = "h/leader";
/// Key of the block grant.
pub const GRANT: &str = "h/grant";

/// Key of a job.
pub fn job_key(job: &JobId) -> String {
    format!("h/job/{job}")
}

/// Key of a chunk of a job's tasks; padded, so that keys sort by number.
pub fn chunk_key(job: &JobId, chunk: u32) -> String {
    format!("h/task/{job}/{chunk:06}")
}

/// Key of the number of blocks.
pub const MAP: &str = "h/map";

/// Key of a block's owner.
pub fn block_key(block: BlockId) -> String {
    format!("h/block/{block}")
}

/// Key of a block's part of the limits.
pub fn slice_key(block: BlockId) -> String {
    format!("h/slice/{block}")
}

/// Key of a controller that lives.
pub fn member_key(node: &NodeId) -> String {
    format!("h/node/{node}")
}

/// Lists of machines that are gone; the oldest is overwritten. At values of 4 KiB each
/// holds about 200 names, and all of them up to 1.2 MB in memory. Versions before know
/// the first 16 only, and ignore the others.
pub const GONE_SLOTS: u32 = 64;

/// Key of a list of machines that are gone.
pub fn gone_key(slot: u32) -> String {
    format!("h/gone/{slot}")
}

/// Key of a drain.
pub fn drain_key(number: u64) -> String {
    format!("h/drain/{number}")
}

/// Key of an image's wave among a block's machines.
pub fn wave_key(block: BlockId, image: u64) -> String {
    format!("h/wave/{block}/{image:016x}")
}

/// What an image is called in keys: FNV-1a of its name, which may be long and
/// may have any character.
pub fn image_hash(image: &Image) -> u64 {
    let mix = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    image.as_str().bytes().fold(0xcbf2_9ce4_8422_2325, mix)
}

/// What a key holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// The leader.
    Leader,
    /// The grant.
    Grant,
    /// A job.
    Job(JobId),
    /// A chunk of tasks.
    Chunk(JobId, u32),
    /// A drain.
    Drain(u64),
    /// Machines that are gone.
    DeletedMachines(u32),
    /// The number of blocks.
    Map,
    /// A block's owner.
    Block(BlockId),
    /// A block's part of the limits.
    Slice(BlockId),
    /// A controller that lives.
    Member(NodeId),
    /// The windows of the release calendar.
    Calendar,
    /// An occurrence of a window: its name, and its beginning in milliseconds.
    Window(String, i64),
    /// An image's wave among a block's machines.
    Wave(BlockId, u64),
}

impl Key {
    /// Reads a key; none if it is not one of ours.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            LEADER => return Some(Self::Leader),
            GRANT => return Some(Self::Grant),
            MAP => return Some(Self::Map),
            CALENDAR_KEY => return Some(Self::Calendar),
            _ => {}
        }
        if let Some((name, start_ms)) = parse_key(text) {
            return Some(Self::Window(name.into(), start_ms));
        }
        let rest = text.strip_prefix(ROOT)?;
        if let Some(job) = rest.strip_prefix("job/") {
            return Some(Self::Job(JobId::from(job)));
        }
        if let Some(node) = rest.strip_prefix("node/") {
            return Some(Self::Member(NodeId::from(node)));
        }
        let block = |text: &str| {
            let block = text.parse().ok().filter(|b| *b < MAX_BLOCKS);
            block.map(BlockId)
        };
        if let Some(text) = rest.strip_prefix("block/") {
            return block(text).map(Self::Block);
        }
        if let Some(text) = rest.strip_prefix("slice/") {
            return block(text).map(Self::Slice);
        }
        if let Some(text) = rest.strip_prefix("wave/") {
            let (text, image) = text.split_once('/')?;
            let image = u64::from_str_radix(image, 16).ok()?;
            return block(text).map(|b| Self::Wave(b, image));
        }
        if let Some(number) = rest.strip_prefix("drain/") {
            return Some(Self::Drain(number.parse().ok()?));
        }
        if let Some(slot) = rest.strip_prefix("gone/") {
            return slot
                .parse()
                .ok()
                .filter(|s| *s < GONE_SLOTS)
                .map(Self::DeletedMachines);
        }
        let (job, chunk) = rest.strip_prefix("task/")?.rsplit_once('/')?;
        Some(Self::Chunk(JobId::from(job), chunk.parse().ok()?))
    }
}

/// The present leader; the key goes away with the leader's lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Who.
    pub node: NodeId,
    /// Its process: a restarted controller is not the leader that it was.
    pub run: u64,
    /// Rises with each leader.
    pub term: Term,
}

/// The block of machines, granted to one controller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GrantRecord {
    /// To whom.
    pub owner: Option<NodeId>,
    /// By the leader of this term.
    pub term: Term,
    /// Rises with each grant; tokens are made from it.
    pub number: u64,
}

/// What `h/grant` holds while there are several blocks. A version that knows one
/// only can't read it, so it never takes all machines for its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Fence {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// See `h/map`.
    pub blocks: u32,
}

/// How many blocks there are. Which one a machine belongs to follows from its
/// name ([`sorrelhinge_blocks::shard`]).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MapRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// How many; 1: the one that `h/grant` grants.
    pub blocks: u32,
}

impl MapRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;
}

/// Who owns a block.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BlockRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Whom it is granted.
    pub owner: NodeId,
    /// That controller's process: one that was restarted owns nothing.
    pub run: u64,
    /// By the leader of this term.
    pub term: Term,
    /// Rises with each grant of any block; tokens are made from it.
    pub number: u64,
    /// To whom it is offered.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<NodeId>,
    /// Where an operator wants it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pin: Option<NodeId>,
}

impl BlockRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;
}

/// A block's part of the teams' limits, in thousandths of CPUs and GPUs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SliceRecord {
    /// Of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Each team's name, CPUs and GPUs.
    #[serde(rename = "t")]
    pub teams: Vec<(String, i64, i64)>,
}

impl SliceRecord {
    /// The format that this version writes.
    pub const VERSION: u32 = 1;

    /// Of these parts.
    pub fn new(parts: impl Iterator<Item = (String, Amount)>) -> Self {
        Self {
            version: Self::VERSION,
            teams: parts.map(|(name, a)| (name, a.cpu, a.gpu)).collect(),
        }
    }

    /// A team's part; none recorded: nothing.
    pub fn of(&self, team: &str) -> Amount {
        let found = self.teams.iter().find(|(name, ..)| name == team);
        found.map_or(Amount::default(), |(_, cpu, gpu)| Amount {
            cpu: *cpu,
            gpu: *gpu,
            ram: 0,
        })
    }
}

/// A controller that lives; the key goes away with its lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its process.
    pub run: u64,
}

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
