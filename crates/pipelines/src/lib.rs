//! Dependencies between jobs (`waits_on`). This crate does no I/O and reads no clock.
//!
//! - [`graph`] computes which jobs are ready and which are cancelled with a dependency.
//! - [`urgency`] computes the priority and the latest finish that a job inherits.
//!
//! All results are derived from committed job records. This crate stores nothing. See
//! `docs/pipelines.md`.

pub mod graph;
mod node;
pub mod urgency;
