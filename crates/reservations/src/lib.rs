//! Windows for which capacity is there when they begin, without I/O or clock:
//!
//! - [`settings`]: the operator's file, and what is wrong with it;
//! - [`when`]: when a window's occurrences begin and end, by time zones;
//! - [`record`]: what the state service reservations of windows and occurrences;
//! - [`plan`]: one occurrence's steps, how much capacity is reserved, and who gives way;
//! - [`lend`]: what work may use reserved capacity before its window begins;
//! - [`shown`]: what operators are shown.
//!
//! Times are milliseconds of the time of day, which differs between
//! controllers by a bound and may jump within it; durations are seconds. See
//! `docs/calendar.md`.

pub mod lend;
pub mod plan;
pub mod record;
pub mod settings;
pub mod shown;
pub mod when;
