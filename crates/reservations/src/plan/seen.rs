//! What the plan is made from: the time of day with its bound, and what the owner
//! sees of a window; and what can be lacking.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// This controller's, in milliseconds.
    pub now_ms: i64,
    /// By how much it may be wrong, in milliseconds (`clock_off_ms`).
    pub off_ms: i64,
}

impl Clock {
    /// The latest that it may be.
    pub fn latest_ms(self) -> i64 {
        self.now_ms.saturating_add(self.off_ms)
    }
    /// The earliest that it may be.
    pub fn earliest_ms(self) -> i64 {
        self.now_ms.saturating_sub(self.off_ms)
    }
}

/// What the owner sees of a window. Room is counted in the window's tasks, over
/// all shards and all occurrences of the window.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Capacity reserved, used by its work, or rented for it and on its way.
    pub asked: u32,
    /// Of it, what is up and has the images, used or not.
    pub ready: u32,
    /// Of it, what its classes' work uses.
    pub used: u32,
    /// Tasks of its classes that wait.
    pub waiting: u32,
    /// The most that it may have: what its team's limit leaves beside the
    /// team's other work, and what [`super::arbitrate`] gives. With what it has.
    pub fits: u32,
    /// The window that it gives way to, if that is why `fits` is short.
    pub gives_way_to: Option<String>,
    /// For how long none of its work has run or waited, in seconds on the
    /// steady clock, as far as this owner has seen: from its takeover on. So a
    /// takeover keeps capacity reserved for longer, never shorter.
    pub idle_s: f64,
    /// Usual seconds until a machine is up.
    pub boot_s: f64,
    /// Seconds until a slow machine is up.
    pub slow_boot_s: f64,
    /// Seconds until a machine has the images, on the slowest type allowed.
    pub fetch_s: f64,
    /// For how many tasks machines can be rented in a second at most.
    pub rent_per_s: f64,
    /// Why the last request for free capacity brought less, if it did.
    pub refused: Option<Refused>,
}

/// Why a request for free capacity brought less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refused {
    /// The cloud has no more of any type and zone allowed.
    Capacity,
    /// The controllers' changes or requests are used up.
    Changes,
}

/// What is lacking of the capacity to be reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Short {
    /// The team's limit has free capacity for so many tasks only.
    Limit(u32),
    /// Another window comes first.
    GivesWay(String),
    /// The cloud has no more.
    Capacity,
    /// Changes or requests are used up.
    Changes,
    /// Machines for so many tasks are not ready, and there is less time left than it
    /// takes.
    Late(u32),
}

impl fmt::Display for Short {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Limit(tasks) => write!(f, "the team's limit leaves room for {tasks} tasks"),
            Self::GivesWay(name) => write!(f, "window {name} comes first"),
            Self::Capacity => f.write_str("the cloud has no more"),
            Self::Changes => f.write_str("changes or requests are used up"),
            Self::Late(tasks) => write!(f, "room for {tasks} tasks is late"),
        }
    }
}
