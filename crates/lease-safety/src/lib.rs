//! Decides when and by whom a worker's lease may be renewed, and what a heartbeat proves, without
//! I/O or a clock.
//!
//! - [`command_fence`] fences late copies of commands by fencing tokens.
//! - [`freshness`] bounds how old a controller's view of the records may be while it answers
//!   workers.
//! - [`heartbeat_order`] detects late duplicates of heartbeats.
//! - [`reachability`] tells whether a machine that sends heartbeats also receives its commands.
//! - [`renewal`] chooses the leases to renew while the owner of the machines is overloaded.
//!
//! See `docs/design.md`, "Safety".

pub mod command_fence;
pub mod freshness;
pub mod heartbeat_order;
pub mod reachability;
pub mod renewal;
