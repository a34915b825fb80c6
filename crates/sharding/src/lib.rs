//! Rules that share the machines among the controllers. This crate has no I/O and no clock.
//!
//! - [`served`]: what each job class and team gets, and which of them starve;
//! - [`largest_jobs`]: the largest jobs of each class, which are logged one by one;
//! - [`shard`]: the shard that a machine or a job belongs to;
//! - [`delegation`]: tasks that one shard delegates to another shard with free capacity;
//! - [`fair`]: who is served next when there is too little for all;
//! - [`isolation`]: whether a controller is cut off from all but its workers;
//! - [`owners`]: the controller that is granted each shard, and the shard that moves next;
//! - [`reach`]: whether a shard's owner still reaches the workers;
//! - [`slices`]: each shard's part of the teams' limits;
//! - [`tally`]: the jobs that were served over a whole run, read from the log.
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
