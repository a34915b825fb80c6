//! What all programs of the project share: ids, counters, times and amounts
//! ([`types`]), and the JSON of each interface, readable *and* writable, so that
//! clients, services and stand-ins use the same types. Nothing here decides,
//! waits or does I/O.

pub mod cloud;
pub mod invalid;
pub mod operators;
pub mod placement;
pub mod state;
pub mod types;
pub mod users;
pub mod worker;
