//! Attempts to run tasks that a worker reports, and the stop commands that were sent to it.

use std::collections::BTreeMap;

use crate::agent_client::{ExitReason, TaskPhase};
use crate::types::{Attempt, FencingToken, TaskId, Time};

/// Seconds until a stop command without effect is sent again.
pub(super) const KILL_RETRY_S: f64 = 2.0;

/// One attempt to run a task, ordered by task and then by attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskAttempt {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
}

/// Status of a task in a heartbeat.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskStatus {
    pub(super) phase: TaskPhase,
    /// Reason for the end of the task, if it has ended.
    pub(super) why: Option<ExitReason>,
    /// Highest fencing token of a message that can have started the attempt, under this grant.
    pub(super) start: FencingToken,
}

/// Task attempts that a worker was told to stop, and the time of the last stop command for each.
#[derive(Debug, Default)]
pub(super) struct SentKills(BTreeMap<TaskAttempt, Time>);

impl SentKills {
    /// Removes the attempts that the last heartbeat does not name.
    pub(super) fn keep_reported(&mut self, reported: &BTreeMap<TaskAttempt, TaskStatus>) {
        self.0.retain(|key, _| reported.contains_key(key));
    }

    /// Returns whether a stop command should be sent, because none was sent yet or the last one
    /// may be lost.
    pub(super) fn is_due(&self, task: &TaskAttempt, now: Time) -> bool {
        let sent = self.0.get(task);
        sent.is_none_or(|at| now.since(*at) >= KILL_RETRY_S)
    }

    /// Returns whether a stop command is recorded for an attempt.
    pub(super) fn contains(&self, task: &TaskAttempt) -> bool {
        self.0.contains_key(task)
    }

    /// Records that a stop command is sent for an attempt.
    pub(super) fn sent(&mut self, task: &TaskAttempt, now: Time) {
        self.0.insert(task.clone(), now);
    }

    /// Returns whether no stop command is recorded for an attempt that the worker still reports.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
