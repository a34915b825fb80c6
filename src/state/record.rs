//! What the controllers keep in the state service.
//!
//! | key | value | written by |
//! | --- | --- | --- |
//! | `h/leader` | [`LeaderRecord`], attached to a lease | whoever becomes leader |
//! | `h/grant` | [`GrantRecord`] | whoever becomes leader |
//! | `h/job/ID` | [`JobRecord`] | any controller accepts and cancels; the shard's owner claims and completes |
//! | `h/calendar` | [`CalendarRecord`](sorrelhinge_reservations::record::CalendarRecord), if a calendar is given | any controller with a newer file, or for an operator |
//! | `h/win/NAME@START` | [`WindowRecord`](sorrelhinge_reservations::record::WindowRecord), one occurrence of a window | the owner of shard 0 |
//! | `h/drain/N` | [`Drain`](sorrelhinge_topology::drain::Drain), N any number | any controller, for an operator |
//! | `h/gone/N` | [`RetiredMachinesRecord`], N below [`RETIRED_MACHINE_SLOTS`], filled in turn | the shard's owner |
//! | `h/map` | [`ShardMapRecord`]; none: all machines are one shard | the leader |
//! | `h/block/B` | [`ShardRecord`], B below the number of shards | the leader; the owner, to hand it on |
//! | `h/slice/B` | [`SliceRecord`] | the leader at first; then the owner of a shard that gives |
//! | `h/node/NODE` | [`MemberRecord`], attached to a lease, while there are several shards | that controller |
//! | `h/wave/B/HASH` | [`RolloutRecord`](sorrelhinge_image_distribution::record::RolloutRecord) of an image, only if images are staged | the shard's owner |
//! | `h/task/ID/N` | [`ChunkRecord`], tasks N·chunk and on, of a job that does not keep them in its own record | the shard's owner |
//!
//! Values are JSON. What is stored outlives the program that wrote it: a version reads what
//! the one before it wrote and the other way round, so a field is only ever added, with a
//! default, and a record that an older version must not misread has a `version`.
//!
//! Keys are in [`keys`], values in a module each kind; those of calendar, drains and staging
//! are in the packages of these features, and jobs' in
//! [`job_record`](super::job_record) and [`chunk_record`](super::chunk_record).

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
