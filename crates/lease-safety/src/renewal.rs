//! Which heartbeats another controller answers while the owner of the machines is overloaded.
//!
//! A lease that ends kills all tasks of a machine, and starting them anew costs the owner
//! far more than the heartbeat that it had no time for: so overload made more load, and did
//! not end with its cause. A lease proves nothing here (`docs/design.md`, "Safety"), so
//! any controller that knows the record may renew it; only the owner commands.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use sorrelhinge_protocol::types::{MachineId, Time};
use sorrelhinge_protocol::worker::Heartbeat;

/// A hash of what a heartbeat reports, without when it was made: two with the same content
/// have nothing new for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatContent(u64);

impl HeartbeatContent {
    /// Of a heartbeat.
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

/// What is done with a heartbeat that came here for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The owner is asked.
    Ask,
    /// It is answered here: the owner gets only a notice that the machine heartbeats.
    Renew,
}

/// The last heartbeat of a machine that the owner answered.
struct OwnerAnswer {
    content: HeartbeatContent,
    answered_at: Time,
    /// When the machine last heartbeat, answered by the owner or not.
    seen_at: Time,
}

/// The machines whose heartbeats come here, and what the owner last answered.
#[derive(Default)]
pub struct Renewals {
    answers: HashMap<MachineId, OwnerAnswer>,
    tidied: Option<Time>,
}

/// At the most one machine's heartbeats in so many seconds are kept from the
/// owner, as a multiple of the usual time between two. The owner's commands wait
/// for no longer.
const MAX_WITHHELD_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Machines that did not heartbeat for so many of them are forgotten.
const FORGOTTEN_HEARTBEAT_INTERVALS: f64 = 12.0;

impl Renewals {
    /// What to do with a heartbeat. `relief`: the owner asks not to be sent those without
    /// anything new. `heartbeat_s`: the usual time between two, in seconds.
    pub fn route(
        &mut self,
        machine: &MachineId,
        content: HeartbeatContent,
        relief: bool,
        heartbeat_s: f64,
        now: Time,
    ) -> Route {
        self.tidy(heartbeat_s, now);
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

    /// The owner answered a heartbeat.
    pub fn answered(&mut self, machine: &MachineId, content: HeartbeatContent, now: Time) {
        let answer = OwnerAnswer {
            content,
            answered_at: now,
            seen_at: now,
        };
        self.answers.insert(machine.clone(), answer);
    }

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.answers.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Forgets machines that have not reported for long.
    fn tidy(&mut self, heartbeat_s: f64, now: Time) {
        let keep_s = FORGOTTEN_HEARTBEAT_INTERVALS * heartbeat_s;
        if self.tidied.is_none_or(|t| now.since(t) > keep_s / 2.0) {
            self.tidied = Some(now);
            self.answers
                .retain(|_, answer| now.since(answer.seen_at) <= keep_s);
        }
    }
}
