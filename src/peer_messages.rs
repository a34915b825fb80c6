//! Messages between owners of shards: fixed layouts, little-endian, in the text of a
//! [`crate::peer_link::Message`]. All of them are hints: they shorten waits, and
//! nothing is proved by them. They go only between controllers of which one has
//! read that there are several shards.

use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_sharding::slices::Need;
use zerocopy::little_endian::{I64, U32};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use crate::types::{Amount, JobId, MachineId, TypeName, Zone};

/// The format that this version writes; it reads no other.
const VERSION: u32 = 1;
/// Bytes of the longest name; what has a longer one is not sent.
const MAX_NAME_BYTES: usize = 64;

/// A name as it goes over the wire, filled up with zeros.
type WireName = [u8; MAX_NAME_BYTES];

fn encode_name(text: &str) -> Option<WireName> {
    let mut name = [0; MAX_NAME_BYTES];
    name.get_mut(..text.len())?.copy_from_slice(text.as_bytes());
    Some(name)
}

fn decode_name(name: &WireName) -> Option<&str> {
    let end = name.iter().position(|b| *b == 0);
    std::str::from_utf8(&name[..end.unwrap_or(MAX_NAME_BYTES)]).ok()
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
struct NeedEntry {
    team: WireName,
    used_cpu: I64,
    used_gpu: I64,
    waits_cpu: I64,
    waits_gpu: I64,
}

impl NeedEntry {
    fn decode(&self) -> Option<TeamNeed> {
        let amount = |cpu: I64, gpu: I64| Amount {
            cpu: cpu.get(),
            gpu: gpu.get(),
            ram: 0,
        };
        let need = Need {
            slice: Amount::default(),
            used: amount(self.used_cpu, self.used_gpu),
            waits: amount(self.waits_cpu, self.waits_gpu),
        };
        let team = decode_name(&self.team)?.to_owned();
        Some(TeamNeed { team, need })
    }
}

/// What one team uses of a shard, and what it still needs there.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamNeed {
    /// The team's name.
    pub team: String,
    /// How much; the recorded part of the limit is not sent.
    pub need: Need,
}

/// What a shard uses and needs, by team, and what free capacity it has for others.
#[derive(Clone, Debug, PartialEq)]
pub struct Needs {
    /// Which shard.
    pub shard: ShardId,
    /// Machines, up and on their way.
    pub machines: u32,
    /// Thousandths of a CPU that are free beyond its own work.
    pub spare_cpu: i64,
    /// What it uses and needs, by team.
    pub teams: Vec<TeamNeed>,
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
        for TeamNeed { team, need } in &self.teams {
            let Some(team) = encode_name(team) else {
                continue;
            };
            let entry = NeedEntry {
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
        let entries = <[NeedEntry]>::ref_from_bytes(rest).ok()?;
        let teams = entries.iter().map(NeedEntry::decode);
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
    kind: WireName,
    zone: WireName,
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
            kind: encode_name(self.kind.as_str())?,
            zone: encode_name(self.zone.as_str())?,
        };
        let mut bytes = head.as_bytes().to_vec();
        for machine in &self.machines {
            bytes.extend_from_slice(&encode_name(machine.as_str())?);
        }
        Some(bytes)
    }

    /// Reads it; none if it is of another version or length.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let (head, rest) = RentedHead::read_from_prefix(bytes).ok()?;
        let names = <[WireName]>::ref_from_bytes(rest).ok()?;
        let machines = names.iter().map(|n| decode_name(n).map(MachineId::from));
        (head.version.get() == VERSION).then_some(Self {
            kind: TypeName::from(decode_name(&head.kind)?),
            zone: Zone::from(decode_name(&head.zone)?),
            spot: head.spot.get() != 0,
            machines: machines.collect::<Option<_>>()?,
        })
    }
}

#[derive(Clone, Copy, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned)]
#[repr(C)]
struct DelegatedHead {
    version: U32,
    shard: U32,
    job: WireName,
}

/// Tasks that are left to another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DelegatedTasks {
    /// To which shard.
    pub shard: ShardId,
    /// Of which job.
    pub job: JobId,
    /// Which tasks, by their numbers in the job.
    pub tasks: Vec<u32>,
}

impl DelegatedTasks {
    /// As it goes over the wire; none if the job's name is too long.
    pub fn encode(&self) -> Option<Vec<u8>> {
        let head = DelegatedHead {
            version: U32::new(VERSION),
            shard: U32::new(self.shard.0),
            job: encode_name(self.job.as_str())?,
        };
        let mut bytes = head.as_bytes().to_vec();
        for task in &self.tasks {
            bytes.extend_from_slice(U32::new(*task).as_bytes());
        }
        Some(bytes)
    }

    /// Reads it; none if it is of another version or length.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let (head, rest) = DelegatedHead::read_from_prefix(bytes).ok()?;
        let tasks = <[U32]>::ref_from_bytes(rest).ok()?;
        (head.version.get() == VERSION).then_some(Self {
            shard: ShardId(head.shard.get()),
            job: JobId::from(decode_name(&head.job)?),
            tasks: tasks.iter().map(|t| t.get()).collect(),
        })
    }
}
