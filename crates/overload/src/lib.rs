//! Overload control: what a controller can serve, and what is shed when it is asked for
//! more, without I/O or clock:
//!
//! - [`admission`]: whose request is read next, so that nothing waits long behind a crowd;
//! - [`sockets`]: which connections are open, and which one ends when there are no more;
//! - [`pressure`]: which resource binds, and what is shed while it does;
//! - [`poll_shedding`]: which polls are answered while not all can be;
//! - [`heartbeat_offload`]: how many workers heartbeat to other controllers;
//! - [`relief`]: when an owner asks others to answer heartbeats without anything new;
//! - [`fleet_limit`]: how many machines can be served;
//! - [`claim_rate`]: for how long free capacity lasts;
//! - [`pace`]: tasks that go through the whole fleet, no more often than their cost allows;
//! - [`state_limits`]: which limits of the state service are in force.
//!
//! [`decaying_mean`] is the average that several of them measure by. When leases may be
//! renewed is decided in `sorrelhinge_lease_safety`. See `docs/overload.md`.

pub mod admission;
pub mod claim_rate;
pub mod decaying_mean;
pub mod fleet_limit;
pub mod heartbeat_offload;
pub mod pace;
pub mod poll_shedding;
pub mod pressure;
pub mod relief;
pub mod sockets;
pub mod state_limits;
