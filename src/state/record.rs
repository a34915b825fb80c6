//! Records that the controllers keep in the state service.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `h/leader` | [`LeaderRecord`], attached to a lease | a new leader |
//! | `h/grant` | [`GrantRecord`] | a new leader |
//! | `h/job/ID` | [`JobRecord`] | any controller, to accept and cancel; the shard's owner, to claim and complete |
//! | `h/calendar` | [`CalendarRecord`](sorrelhinge_reservations::record::CalendarRecord), if a calendar is configured | any controller with a newer file, or on behalf of an operator |
//! | `h/win/NAME@START` | [`WindowRecord`](sorrelhinge_reservations::record::WindowRecord), one occurrence of a window | the owner of shard 0 |
//! | `h/drain/N` | [`Drain`](sorrelhinge_topology::drain::Drain), N any number | any controller, on behalf of an operator |
//! | `h/gone/N` | [`RetiredMachinesRecord`], N below [`RETIRED_MACHINE_SLOTS`], filled in turn | the shard's owner |
//! | `h/map` | [`ShardMapRecord`], absent if all machines are one shard | the leader |
//! | `h/block/B` | [`ShardRecord`], B below the number of shards | the leader; the owner, to hand the shard over |
//! | `h/slice/B` | [`SliceRecord`] | the leader at first; then the owner of a shard that transfers quota to another |
//! | `h/node/NODE` | [`MemberRecord`], attached to a lease, while there are several shards | that controller |
//! | `h/wave/B/HASH` | [`RolloutRecord`](sorrelhinge_image_distribution::record::RolloutRecord) of an image, only if images are staged | the shard's owner |
//! | `h/task/ID/N` | [`ChunkRecord`], tasks from N·chunk on, of a job that does not keep its claims in its own record | the shard's owner |
//!
//! Values are JSON. Stored records outlive the program that wrote them: each version reads the
//! records of the version before it, and that version reads the records of its successor.
//! Changes therefore only add fields, with a default. A record that an older version must not
//! misread has a `version`.
//!
//! Module [`keys`] has the keys, and one module for each kind of record has its values. The
//! packages of calendar, drains and staging have the records of these features. Modules
//! [`job_record`](super::job_record) and [`chunk_record`](super::chunk_record) have the records
//! of jobs.

pub mod deleted_machines;
pub mod keys;
pub mod leadership;
pub mod members;
pub mod shards;

pub use self::deleted_machines::{RetiredMachinesRecord, RETIRED_MACHINE_SLOTS};
pub use self::keys::{
    chunk_key, drain_key, image_hash, job_key, member_key, retired_machines_key, rollout_key,
    shard_key, slice_key, ChunkId, Key, RolloutId, WindowOccurrence, GRANT, LEADER, MAP, ROOT,
};
pub use self::leadership::{GrantRecord, LeaderRecord, ShardedGrantFence};
pub use self::members::MemberRecord;
pub use self::shards::{ShardMapRecord, ShardRecord, SliceRecord, TeamPart};
pub use super::chunk_record::{chunk_size, ChunkRecord, RecordedClaim, RecordedUnits};
pub use super::job_record::{encoded_bytes, JobRecord, NewJob, Phase, WaitsRecord};
