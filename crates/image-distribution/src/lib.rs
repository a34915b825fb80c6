//! Distribution of one image to many machines, without I/O or clock:
//!
//! - [`plan`]: who fetches an image from the origin, and who gets it from whom;
//! - [`record`]: what of that is in shared state, so that a successor goes on;
//! - [`fetch_timeout`]: how long to wait for fetches of minutes, what giving one up
//!   costs, and what may leave a cache for a new image.
//!
//! A machine hands parts on while its own fetch is under way, so the machines of
//! a zone form a few *chains*: each takes its parts from the one before it. With
//! one link each way every machine then gets the image at full rate, and the
//! origin gives a few copies a zone however many machines there are. See
//! `docs/staging.md`.

pub mod fetch_timeout;
mod locality;
pub mod plan;
pub mod record;
