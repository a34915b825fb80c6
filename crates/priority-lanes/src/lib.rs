//! Priority lanes: the scheduler serves urgent jobs before other jobs, in an order that a
//! failure of a controller does not change. This crate does no I/O and reads no clock.
//!
//! - [`Lanes`] holds the lanes that operators define and selects the lane of a job.
//! - [`order`] sorts jobs within a lane and between lanes.
//! - [`place`] computes a job's place in its lane, and what each write of the job's record
//!   stores of it.
//! - [`part`] limits how much of a shared resource a lane may take ahead of other jobs.
//! - [`shown`] formats lanes for operators.
//!
//! See `docs/lanes.md`.

mod lanes;
pub mod order;
pub mod part;
pub mod place;
pub mod shown;

pub use lanes::{Lane, LaneId, Lanes, LanesError, PREFIX};
