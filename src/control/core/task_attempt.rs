//! What a worker reports of the attempts to run tasks there, and which of them it was sent
//! the command to stop.

use std::collections::BTreeMap;

use crate::agent_client::{ExitReason, TaskPhase};
use crate::types::{Attempt, TaskId, Time};

/// After so long without effect the command to stop a task is sent again, in seconds.
pub(super) const KILL_RETRY_S: f64 = 2.0;

/// One attempt to run a task. Ordered by task, then by attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskAttempt {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
}

/// What a heartbeat says of a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskStatus {
    pub(super) phase: TaskPhase,
    /// Why it ended, if it did.
    pub(super) why: Option<ExitReason>,
}

/// Tasks that a worker was sent the command to stop, and when that was last.
#[derive(Debug, Default)]
pub(super) struct SentKills(BTreeMap<TaskAttempt, Time>);

impl SentKills {
    /// Forgets those that its last heartbeat does not name.
    pub(super) fn keep_reported(&mut self, reported: &BTreeMap<TaskAttempt, TaskStatus>) {
        self.0.retain(|key, _| reported.contains_key(key));
    }

    /// Whether a task is to be stopped that was not, or whose stop may be lost.
    pub(super) fn is_due(&self, task: &TaskAttempt, now: Time) -> bool {
        let sent = self.0.get(task);
        sent.is_none_or(|at| now.since(*at) >= KILL_RETRY_S)
    }

    /// The command to stop a task is sent.
    pub(super) fn sent(&mut self, task: &TaskAttempt, now: Time) {
        self.0.insert(task.clone(), now);
    }

    /// Whether there is none for a task that it still reports.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
