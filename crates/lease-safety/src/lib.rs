//! When a worker's lease may be renewed, by whom, and what a heartbeat proves, without I/O
//! or clock:
//!
//! - [`freshness`]: how old a view of the records may be while workers are answered by it;
//! - [`heartbeat_order`]: which heartbeat is a late copy of an earlier one;
//! - [`reachability`]: whether a machine that heartbeats also receives its commands;
//! - [`renewal`]: which leases are renewed while the owner of the machines is overloaded.
//!
//! See `docs/design.md`, "Safety".

pub mod freshness;
pub mod heartbeat_order;
pub mod reachability;
pub mod renewal;
