//! Distribution of one image to many machines. This crate has no I/O and no clock.
//!
//! - [`plan`]: the machines that fetch an image from the origin, and the sources of the others;
//! - [`record`]: the shared record from which a new owner continues a rollout;
//! - [`fetch_timeout`]: waiting times for fetches that take minutes, the cost of abandoning a
//!   fetch, and the images that a cache may evict for a new one.
//!
//! A machine uploads parts of an image while its own fetch is in flight, so the machines of a
//! zone form a few *chains*, in which each machine takes its parts from the one before it. With
//! one link in each direction, every machine then gets the image at full rate, and the origin
//! uploads only a few copies for each zone, whatever the number of machines. See
//! `docs/staging.md`.

pub mod fetch_timeout;
mod locality;
pub mod plan;
pub mod record;
