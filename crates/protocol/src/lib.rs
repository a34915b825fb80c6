//! Types that all programs of the project share.
//!
//! The module [`types`] has ids, counters, times and amounts. The other modules have the
//! JSON messages of each interface. All messages can be both read and written, so that
//! clients, services and emulators use the same types. The crate makes no decisions, never
//! waits and does no I/O.

pub mod cloud;
pub mod invalid;
pub mod operators;
pub mod placement;
pub mod state;
pub mod types;
pub mod users;
pub mod worker;
