//! What a controller can serve, and what is shed when it is asked for more,
//! without I/O or clock:
//!
//! - [`asked`]: which polls are answered while not all can be;
//! - [`admission`]: whose request is read next, so that nothing waits long
//!   behind a crowd;
//! - [`sockets`]: who may hold a connection, and which one ends when there are
//!   no more;
//! - [`heartbeat_offload`]: how many workers heartbeat to other controllers;
//! - [`pace`]: duties that look at the whole fleet, no more often than their
//!   cost allows;
//! - [`pressure`]: which resource binds, and what is shed while it does;
//! - [`fleet_limit`]: how many machines can be served;
//! - [`renewal`]: who renews leases while the owner of the machines has no time;
//! - [`freshness`]: how old a view may be while workers are answered by it;
//! - [`order`]: which heartbeat is a copy that came late;
//! - [`reachability`]: whether a machine that heartbeats also receives what it is told;
//! - [`state_limits`]: which limits of the state service are in force.
//!
//! See `docs/overload.md`.

pub mod admission;
pub mod asked;
pub mod fleet_limit;
pub mod freshness;
pub mod heartbeat_offload;
pub mod order;
pub mod pace;
pub mod pressure;
pub mod reachability;
pub mod renewal;
pub mod sockets;
pub mod state_limits;
