//! Overload control of a controller, without I/O or a clock: what the controller can serve, and
//! what it sheds beyond that.
//!
//! - [`admission`] chooses the connection to read next, so that no request waits long behind
//!   others.
//! - [`sockets`] tracks the open connections, and closes an idle one if no socket is free.
//! - [`pressure`] finds the resource that binds, and what to shed while it does.
//! - [`poll_shedding`] chooses the polls to answer while not all can be answered.
//! - [`heartbeat_offload`] decides how many workers send heartbeats to other controllers.
//! - [`relief`] decides when an owner asks others to answer heartbeats without new content.
//! - [`fleet_limit`] limits the number of machines to what the controllers can serve.
//! - [`claim_rate`] estimates for how long free capacity lasts.
//! - [`pace`] runs duties over the whole fleet no more often than their cost allows.
//! - [`state_limits`] tells which limits of the state service are in force.
//!
//! Several modules use the mean of [`decaying_mean`]. The crate `sorrelhinge_lease_safety` decides
//! when leases may be renewed. See `docs/overload.md`.

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
