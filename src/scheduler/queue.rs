//! A job's place in its team's queue (the paper's section 3 leaves the order within a
//! team open).

use std::cmp::Reverse;

use super::Job;
use crate::types::{JobId, Priority, Revision, Time};

/// What goes first within a team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Group {
    Production,
    Aged,
    Others,
}

/// When a job is due and was submitted, in milliseconds: the earliest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTurn {
    due_ms: i64,
    submitted_ms: i64,
}

/// A job's standing in its lane, see [`sorrelhinge_priority_lanes::order::Key`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneStanding {
    behind: bool,
    must_ms: u64,
    place: Revision,
}

/// Order of the jobs of a team that have tasks to place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) group: Group,
    pub(super) priority: Reverse<Priority>,
    /// Of jobs of a rank those in a lane go first, by their standing there, as far as
    /// the lane's part goes. Once all of them did: a flood in a lane then kept all
    /// other classes of its team waiting.
    pub(super) after_lanes: bool,
    pub(super) ahead: Option<LaneStanding>,
    pub(super) turn: QueueTurn,
    pub(super) id: JobId,
    /// Never decides: ids are different.
    pub(super) in_lane: bool,
}

impl Job {
    /// Its place among its team's jobs: priority, deadline, submission. An aged one
    /// goes by its submission alone, after production.
    pub(super) fn place(&self, id: &JobId) -> Place {
        let group = self.group();
        let ahead = self.lane.filter(|l| l.ahead);
        let swapped = self.lane.and_then(|l| l.turn);
        Place {
            group,
            priority: Reverse(match group {
                Group::Aged => Priority::Idle,
                Group::Production | Group::Others => self.priority,
            }),
            after_lanes: ahead.is_none(),
            ahead: ahead.map(|l| LaneStanding {
                behind: l.behind,
                must_ms: l.must_ms,
                place: l.place,
            }),
            turn: swapped.unwrap_or_else(|| self.turn()),
            id: id.clone(),
            in_lane: self.lane.is_some(),
        }
    }
    pub(super) fn group(&self) -> Group {
        match (self.priority, self.aged) {
            (Priority::Critical, _) => Group::Production,
            (_, true) => Group::Aged,
            (_, false) => Group::Others,
        }
    }
    /// Its turn among jobs of its team, group and priority, without lanes.
    pub(super) fn turn(&self) -> QueueTurn {
        let milli = |Time(seconds): Time| (seconds * 1000.0) as i64;
        QueueTurn {
            due_ms: match self.group() {
                Group::Aged => i64::MIN,
                Group::Production | Group::Others => milli(self.due),
            },
            submitted_ms: milli(self.submitted),
        }
    }
}
