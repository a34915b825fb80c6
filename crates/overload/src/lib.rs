//! What a controller can carry, and what gives way when it is asked for more,
//! without I/O or clock:
//!
//! - [`asked`]: which polls are answered while not all can be;
//! - [`turnstile`]: whose request is read next, so that nothing waits long
//!   behind a crowd;
//! - [`sockets`]: who may hold a connection, and which one ends when there are
//!   no more;
//! - [`spread`]: how many workers report to other controllers;
//! - [`pace`]: duties that look at the whole fleet, no more often than their
//!   cost allows;
//! - [`pressure`]: which resource binds, and what is shed while it does;
//! - [`carry`]: how many machines can be served;
//! - [`renewal`]: who renews leases while the owner of the machines has no time;
//! - [`freshness`]: how old a view may be while workers are answered by it;
//! - [`order`]: which report is a copy that came late;
//! - [`hearing`]: whether a machine that reports also hears.
//!
//! See `docs/overload.md`.

pub mod asked;
pub mod carry;
pub mod freshness;
pub mod hearing;
pub mod order;
pub mod pace;
pub mod pressure;
pub mod renewal;
pub mod sockets;
pub mod spread;
pub mod turnstile;
