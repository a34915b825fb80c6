//! The machines shared among the controllers, without I/O or clock:
//!
//! - [`alone`]: whether a controller is left with nothing but its workers;
//! - [`served`]: what each class and team gets, and who starves;
//! - [`largest`]: the largest jobs of each class, told of one by one;
//! - [`shard`]: which block a machine or a job belongs to;
//! - [`fair`]: who is next when what all want is short;
//! - [`owners`]: who is granted which block, and which one moves next;
//! - [`reach`]: whether an owner still reaches the workers;
//! - [`slices`]: each block's part of the teams' limits;
//! - [`tally`]: who was served over a run, from the log;
//! - [`yields`]: tasks that one block leaves to another that has room.
//!
//! See `docs/blocks.md`.

pub mod alone;
pub mod fair;
pub mod largest_jobs;
pub mod owners;
pub mod reach;
pub mod served;
pub mod shard;
pub mod slices;
pub mod tally;
pub mod yields;
