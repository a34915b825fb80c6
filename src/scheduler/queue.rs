//! Position of a job in its team's queue. The paper's section 3 leaves the order within a
//! team open.

use std::cmp::Reverse;

use super::Job;
use crate::types::{JobId, Priority, Revision, Time};

/// Groups of jobs within a team, in the order in which they are placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Group {
    Production,
    Aged,
    Others,
}

/// When a job is due and when it was submitted, in milliseconds. The earliest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueueTurn {
    due_ms: i64,
    submitted_ms: i64,
}

/// Standing of a job in its lane, see [`sorrelhinge_priority_lanes::order::Key`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct LaneStanding {
    behind: bool,
    must_ms: u64,
    place: Revision,
}

/// Position of a job among the jobs of its team that have tasks to place. The queue orders
/// jobs by these fields, from first to last.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) group: Group,
    pub(super) priority: Reverse<Priority>,
    /// Whether the job follows the lane jobs of its priority. Lane jobs go first, in the
    /// order of their standing, up to their lane's share of capacity. When all lane jobs
    /// went first, a flood of jobs in a lane kept all other classes of its team waiting.
    pub(super) after_lanes: bool,
    pub(super) lane_standing: Option<LaneStanding>,
    pub(super) turn: QueueTurn,
    pub(super) id: JobId,
    /// Whether the job is in a lane. This field never decides the order, because ids
    /// differ.
    pub(super) in_lane: bool,
}

impl Job {
    /// Returns the job's position among its team's jobs, by priority, deadline and
    /// submission. An aged job goes by its submission alone, after production jobs.
    pub(super) fn queue_position(&self, id: &JobId) -> QueuePosition {
        let group = self.group();
        let ahead = self.lane.filter(|l| l.ahead);
        let lane_turn = self.lane.and_then(|l| l.turn);
        QueuePosition {
            group,
            priority: Reverse(match group {
                Group::Aged => Priority::Idle,
                Group::Production | Group::Others => self.priority,
            }),
            after_lanes: ahead.is_none(),
            lane_standing: ahead.map(|l| LaneStanding {
                behind: l.behind,
                must_ms: l.must_ms,
                place: l.place,
            }),
            turn: lane_turn.unwrap_or_else(|| self.turn()),
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
    /// Returns the job's turn among the jobs of its team, group and priority, without
    /// lanes.
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
