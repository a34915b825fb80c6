//! Chooses the heartbeats that another controller answers while the owner of the machines is
//! overloaded.
//!
//! A lease that expires kills all tasks of a machine. Restarting them costs the owner far more than
//! the heartbeat that it had no time to answer. Overload therefore caused more load, and went on
//! after its cause had ended. A lease proves nothing here (`docs/design.md`, "Safety"), so any
//! controller that knows the record may renew it. Only the owner sends commands.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use sorrelhinge_protocol::types::{MachineId, Time};
use sorrelhinge_protocol::worker::Heartbeat;

/// Hash of the content of a heartbeat, without its sequence number. A heartbeat with the same hash
/// as the one before contains nothing new for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatContent(u64);

impl HeartbeatContent {
    /// Returns the content hash of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        let mut hasher = DefaultHasher::new();
        (
            heartbeat.incarnation,
            heartbeat.fencing_token,
            heartbeat.addr,
        )
            .hash(&mut hasher);
        heartbeat.preemption_notice_s.is_some().hash(&mut hasher);
        for p in &heartbeat.tasks {
            (&p.task_name, p.attempt, p.phase, p.exit_reason).hash(&mut hasher);
        }
        Self(hasher.finish())
    }
}

/// Action for a heartbeat that arrived here for a machine of another controller, the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The heartbeat is forwarded to the owner, who answers it.
    Ask,
    /// This controller answers the heartbeat. The owner is only notified that the machine sent one.
    Renew,
}

/// Last heartbeat of a machine that the owner answered.
struct OwnerAnswer {
    content: HeartbeatContent,
    answered_at: Time,
    /// Time of the last heartbeat of the machine, whether or not the owner answered it.
    seen_at: Time,
}

/// Last answer of the owner to each machine that sends its heartbeats to this controller.
#[derive(Default)]
pub struct Renewals {
    answers: HashMap<MachineId, OwnerAnswer>,
    last_cleanup: Option<Time>,
}

/// Maximum time for which heartbeats of a machine are not forwarded to the owner, in heartbeat
/// intervals. The owner's commands to the machine wait no longer than this.
const MAX_WITHHELD_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Number of heartbeat intervals without a heartbeat after which the entry of a machine is removed.
const RETENTION_HEARTBEAT_INTERVALS: f64 = 12.0;

impl Renewals {
    /// Returns whether to forward a heartbeat to the owner or to answer it here. With `relief`, the
    /// owner asks not to get heartbeats without new content. `heartbeat_s` is the usual heartbeat
    /// interval in seconds.
    pub fn route(
        &mut self,
        machine: &MachineId,
        content: HeartbeatContent,
        relief: bool,
        heartbeat_s: f64,
        now: Time,
    ) -> Route {
        self.remove_expired(heartbeat_s, now);
        let Some(answer) = self.answers.get_mut(machine) else {
            return Route::Ask;
        };
        answer.seen_at = now;
        let withheld_s = now.since(answer.answered_at);
        let recent = withheld_s < MAX_WITHHELD_HEARTBEAT_INTERVALS * heartbeat_s;
        if relief && recent && answer.content == content {
            Route::Renew
        } else {
            Route::Ask
        }
    }

    /// Records that the owner answered a heartbeat of a machine.
    pub fn answered(&mut self, machine: &MachineId, content: HeartbeatContent, now: Time) {
        let answer = OwnerAnswer {
            content,
            answered_at: now,
            seen_at: now,
        };
        self.answers.insert(machine.clone(), answer);
    }

    /// Returns the number of machines whose last answer from the owner is remembered.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Returns whether no answer of the owner is remembered.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Removes machines that have not sent a heartbeat for a long time.
    fn remove_expired(&mut self, heartbeat_s: f64, now: Time) {
        let keep_s = RETENTION_HEARTBEAT_INTERVALS * heartbeat_s;
        if self
            .last_cleanup
            .is_none_or(|t| now.since(t) > keep_s / 2.0)
        {
            self.last_cleanup = Some(now);
            self.answers
                .retain(|_, answer| now.since(answer.seen_at) <= keep_s);
        }
    }
}
