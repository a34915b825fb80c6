//! The machines shared among the controllers, without I/O or clock:
//!
//! - [`served`]: what each class and team gets, and who starves;
//! - [`largest_jobs`]: the largest jobs of each class, which are logged one by one;
//! - [`shard`]: which shard a machine or a job belongs to;
//! - [`delegation`]: tasks that one shard leaves to another that has free capacity;
//! - [`fair`]: who is next when there is less than all need;
//! - [`isolation`]: whether a controller is left with nothing but its workers;
//! - [`owners`]: who is granted which shard, and which one moves next;
//! - [`reach`]: whether an owner still reaches the workers;
//! - [`slices`]: each shard's part of the teams' limits;
//! - [`tally`]: who was served over a run, from the log.
//!
//! See `docs/blocks.md`.

pub mod delegation;
pub mod fair;
pub mod isolation;
pub mod largest_jobs;
pub mod owners;
pub mod reach;
pub mod served;
pub mod shard;
pub mod slices;
pub mod tally;
