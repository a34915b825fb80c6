//! Priority lanes: urgent work that goes before other work, in an order that no
//! failure of a controller changes. Without I/O or clock:
//!
//! - [`Lanes`]: the operators' lanes, and which one a job is in;
//! - [`order`]: the order within and between lanes;
//! - [`place`]: where a job's place is kept, and what each write does with it;
//! - [`part`]: how much of anything that binds a lane may take ahead of others;
//! - [`shown`]: what operators see.
//!
//! See `docs/lanes.md`.

mod lanes;
pub mod order;
pub mod part;
pub mod place;
pub mod shown;

pub use lanes::{Lane, LaneId, Lanes, LanesError, PREFIX};
