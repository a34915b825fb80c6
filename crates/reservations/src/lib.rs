//! Reservation windows: a controller reserves capacity for a team so that it is ready when
//! the window begins. This crate does no I/O and reads no clock.
//!
//! - [`settings`] reads the operator's calendar file and checks it.
//! - [`when`] computes when the occurrences of a window begin and end, by time zones.
//! - [`record`] defines the records of windows and occurrences in the state service.
//! - [`plan`] computes the steps of an occurrence, how much capacity to reserve, and which
//!   window gets less when capacity is short.
//! - [`lend`] decides which tasks may use reserved capacity before its window begins.
//! - [`shown`] formats the calendar for operators.
//!
//! Times are Unix times in milliseconds. The clocks of controllers differ by a bounded error
//! and may jump within this bound. Durations are in seconds. See `docs/calendar.md`.

pub mod lend;
pub mod plan;
pub mod record;
pub mod settings;
pub mod shown;
pub mod when;
