//! What owners of shards tell each other: fixed layouts, little-endian, in the
//! text of a [`crate::peer_link::Message`]. All of it are hints: they spare waits, and
//! nothing is proved by them. They go only between controllers of which one has
//! read that there are several shards.

use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_sharding::slices::Need;
use zerocopy::little_endian::{I64, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use crate::types::{Amount, JobId, MachineId, TypeName, Zone};

/// The format that this version writes; it reads no other.
const VERSION: u32 = 1;
/// The longest name; what is longer is not told.
const NAME: usize = 64;

type Name = [u8; NAME];

fn name(text: &str) -> Option<Name> {
    let mut name = [0; NAME];
    name.get_mut(..text.len())?.copy_from_slice(text.as_bytes());
    Some(name)
}

fn text(name: &Name) -> Option<&str> {
    let end = name.iter().position(|b| *b == 0).unwrap_or(NAME);
    std::str::from_utf8(&name[..end]).ok()
}

#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct NeedsHead {
    version: U32,
    shard: U32,
    machines: U32,
    reserved: U32,
    /// Thousandths of a CPU that are free beyond the shard's own work.
    spare_cpu: I64,
}

#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct NeedOf {
    team: Name,
    used_cpu: I64,
    used_gpu: I64,
    waits_cpu: I64,
    waits_gpu: I64,
}

/// What a shard uses and wants, by team, and what free capacity it has for others.
#[derive(Clone, Debug, PartialEq)]
pub struct Needs {
    /// Which shard.
    pub shard: ShardId,
    /// Machines, up and on their way.
    pub machines: u32,
    /// Thousandths of a CPU that are free beyond its own work.
    pub spare_cpu: i64,
    /// By the team's name; the recorded part of the limit is not among it.
    pub teams: Vec<(String, Need)>,
}

impl Needs {
    /// As it goes over the wire.
    pub fn encode(&self) -> Vec<u8> {
        let head = NeedsHead {
            version: U32::new(VERSION),
            shard: U32::new(self.shard.0),
            machines: U32::new(self.machines),
            reserved: U32::new(0),
            spare_cpu: I64::new(self.spare_cpu),
        };
        let mut bytes = head.as_bytes().to_vec();
        for (team, need) in &self.teams {
            let Some(team) = name(team) else { continue };
            let entry = NeedOf {
                team,
                used_cpu: I64::new(need.used.cpu),
                used_gpu: I64::new(need.used.gpu),
                waits_cpu: I64::new(need.waits.cpu),
                waits_gpu: I64::new(need.waits.gpu),
            };
            bytes.extend_from_slice(entry.as_bytes());
        }
        bytes
    }

    /// Reads it; none if it is of another version or length.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let (head, rest) = NeedsHead::read_from_prefix(bytes).ok()?;
        let entries = <[NeedOf]>::ref_from_bytes(rest).ok()?;
        let teams = entries.iter().map(|e| {
            let amount = |cpu: I64, gpu: I64| Amount {
                cpu: cpu.get(),
                gpu: gpu.get(),
                ram: 0,
            };
            let need = Need {
                slice: Amount::default(),
                used: amount(e.used_cpu, e.used_gpu),
                waits: amount(e.waits_cpu, e.waits_gpu),
            };
            Some((text(&e.team)?.to_owned(), need))
        });
        (head.version.get() == VERSION).then_some(Self {
            shard: ShardId(head.shard.get()),
            machines: head.machines.get(),
            spare_cpu: head.spare_cpu.get(),
            teams: teams.collect::<Option<_>>()?,
        })
    }
}

#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct RentedHead {
    version: U32,
    spot: U32,
    kind: Name,
    zone: Name,
}

/// Machines that were rented, for the owners of their shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Rented {
    /// Their type.
    pub kind: TypeName,
    /// Their zone.
    pub zone: Zone,
    /// Spot machines.
    pub spot: bool,
    /// Their names.
    pub machines: Vec<MachineId>,
}

impl Rented {
    /// As it goes over the wire; none if a name is too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let head = RentedHead {
            version: U32::new(VERSION),
            spot: U32::new(u32::from(self.spot)),
            kind: name(self.kind.as_str())?,
            zone: name(self.zone.as_str())?,
        };
        let mut bytes = head.as_bytes().to_vec();
        for machine in &self.machines {
            bytes.extend_from_slice(&name(machine.as_str())?);
        }
        Some(bytes)
    }

    /// Reads it; none if it is of another version or length.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let (head, rest) = RentedHead::read_from_prefix(bytes).ok()?;
        let names = <[Name]>::ref_from_bytes(rest).ok()?;
        let machines = names.iter().map(|n| text(n).map(MachineId::from));
        (head.version.get() == VERSION).then_some(Self {
            kind: TypeName::from(text(&head.kind)?),
            zone: Zone::from(text(&head.zone)?),
            spot: head.spot.get() != 0,
            machines: machines.collect::<Option<_>>()?,
        })
    }
}

#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct LeftHead {
    version: U32,
    shard: U32,
    job: Name,
}

/// Tasks that are left to another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeftTo {
    /// To which.
    pub shard: ShardId,
    /// Of which job.
    pub job: JobId,
    /// Which tasks.
    pub tasks: Vec<u32>,
}

/// Tasks left to a shard, as they go over the wire; none if the job's name is
/// too long.
pub fn encode_left(left: &LeftTo) -> Option<Vec<u8>> {
    let head = LeftHead {
        version: U32::new(VERSION),
        shard: U32::new(left.shard.0),
        job: name(left.job.as_str())?,
    };
    let mut bytes = head.as_bytes().to_vec();
    for task in &left.tasks {
        bytes.extend_from_slice(U32::new(*task).as_bytes());
    }
    Some(bytes)
}

/// Reads tasks left to a shard; none if it is of another version or length.
pub fn parse_left(bytes: &[u8]) -> Option<LeftTo> {
    let (head, rest) = LeftHead::read_from_prefix(bytes).ok()?;
    let tasks = <[U32]>::ref_from_bytes(rest).ok()?;
    (head.version.get() == VERSION).then_some(LeftTo {
        shard: ShardId(head.shard.get()),
        job: JobId::from(text(&head.job)?),
        tasks: tasks.iter().map(|t| t.get()).collect(),
    })
}
