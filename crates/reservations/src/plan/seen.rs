//! Input of the planner: the wall clock with the bound on its error, and what the owner
//! observes of a window. This module also defines the reasons for a shortage.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Reading of a controller's wall clock, with the bound on its error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Unix time in milliseconds by this controller's clock.
    pub now_ms: i64,
    /// Maximum error of the clock in milliseconds (setting `clock_off_ms`).
    pub off_ms: i64,
}

impl Clock {
    /// Returns the latest Unix time in milliseconds that the true time can have.
    pub fn latest_ms(self) -> i64 {
        self.now_ms.saturating_add(self.off_ms)
    }
    /// Returns the earliest Unix time in milliseconds that the true time can have.
    pub fn earliest_ms(self) -> i64 {
        self.now_ms.saturating_sub(self.off_ms)
    }
}

/// Observations of the owner about a window. Capacity is counted in tasks of the window, over
/// all shards and all occurrences of the window.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// Number of tasks for which capacity is reserved, in use by the window's tasks, or on
    /// machines that are rented for the window and not up yet.
    pub asked: u32,
    /// Part of `asked` that is on machines which are up and have the images, in use or not.
    pub ready: u32,
    /// Part of `asked` that tasks of the window's classes use.
    pub used: u32,
    /// Number of pending tasks of the window's classes.
    pub waiting: u32,
    /// Maximum capacity in tasks that the window may have, including the capacity that it
    /// already has. The team's limit minus the team's other tasks bounds this number, and so
    /// does the share from [`super::arbitrate`].
    pub fits: u32,
    /// Name of the window that was served before this one and therefore reduces `fits`, if
    /// there is one.
    pub gives_way_to: Option<String>,
    /// Time in seconds, by the monotonic clock, during which no task of the window has run or
    /// waited. An owner counts this time only from its takeover on. So a takeover makes the
    /// reservation last longer, never shorter.
    pub idle_s: f64,
    /// Usual time in seconds from the rental of a machine until it is up.
    pub boot_s: f64,
    /// Time in seconds from the rental of a machine that boots slowly until it is up.
    pub slow_boot_s: f64,
    /// Time in seconds to fetch the window's images on the slowest machine type that the
    /// window allows.
    pub fetch_s: f64,
    /// Maximum rate at which machines can be rented, in tasks of the window per second.
    pub rent_per_s: f64,
    /// Reason why the last request for capacity got less than it asked for, or `None` if it
    /// got all.
    pub refused: Option<Refused>,
}

/// Reason why a request for capacity got less than it asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Refused {
    /// The cloud has no more machines of any type and zone that the window allows.
    Capacity,
    /// The controllers have used up their store writes or cloud requests.
    Changes,
}

/// Reason why less capacity is reserved than the window needs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Short {
    /// The team's limit leaves capacity for only this number of tasks.
    Limit(u32),
    /// The window of this name is served first and has the missing capacity.
    GivesWay(String),
    /// The cloud has no more machines of any type and zone that the window allows.
    Capacity,
    /// The controllers have used up their store writes or cloud requests.
    Changes,
    /// Machines for this number of tasks are not ready, and the time left until the window
    /// begins is too short to start them.
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
