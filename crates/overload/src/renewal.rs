//! Who renews a worker's lease while the owner of its machine has no time.
//!
//! A lease that ends kills all tasks of a machine, and starting them anew costs
//! the owner far more than the report that it had no time for: so too much load
//! made more load, and did not end with its cause. A lease proves nothing here
//! (`docs/design.md`, "Safety"), so whoever knows the record may renew it; only
//! the owner commands.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use sorrelhinge_protocol::types::{MachineId, Time};
use sorrelhinge_protocol::worker::Heartbeat;

/// What a heartbeat tells, but for when it was made: two with the same tell the
/// owner nothing new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Content(u64);

impl Content {
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

/// What is done with a report that came here for the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The owner is asked.
    Ask,
    /// It is answered here: the owner is told only that the machine was heard.
    Renew,
}

struct Asked {
    content: Content,
    at: Time,
    seen: Time,
}

/// The machines whose heartbeats come here, and what the owner last answered.
#[derive(Default)]
pub struct Renewals {
    asked: HashMap<MachineId, Asked>,
    tidied: Option<Time>,
}

/// At the most one machine's heartbeats in so many seconds are kept from the
/// owner, as a multiple of the usual time between two. The owner's commands wait
/// for no longer.
const MAX_WITHHELD_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Machines that did not heartbeat for so many of them are forgotten.
const FORGOTTEN_HEARTBEAT_INTERVALS: f64 = 12.0;

impl Renewals {
    /// What to do with a heartbeat. `relief`: the owner asks to be spared those
    /// that tell nothing new. `heartbeat_s`: the usual time between two.
    pub fn route(
        &mut self,
        machine: &MachineId,
        content: Content,
        relief: bool,
        heartbeat_s: f64,
        now: Time,
    ) -> Route {
        self.tidy(heartbeat_s, now);
        let Some(asked) = self.asked.get_mut(machine) else {
            return Route::Ask;
        };
        asked.seen = now;
        let lately = now.since(asked.at) < MAX_WITHHELD_HEARTBEAT_INTERVALS * heartbeat_s;
        if relief && lately && asked.content == content {
            Route::Renew
        } else {
            Route::Ask
        }
    }

    /// The owner answered a heartbeat.
    pub fn answered(&mut self, machine: &MachineId, content: Content, now: Time) {
        let asked = Asked {
            content,
            at: now,
            seen: now,
        };
        self.asked.insert(machine.clone(), asked);
    }

    /// How many machines are known.
    pub fn len(&self) -> usize {
        self.asked.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.asked.is_empty()
    }

    /// Forgets machines that have not reported for long.
    fn tidy(&mut self, heartbeat_s: f64, now: Time) {
        let keep_s = FORGOTTEN_HEARTBEAT_INTERVALS * heartbeat_s;
        if self.tidied.is_none_or(|t| now.since(t) > keep_s / 2.0) {
            self.tidied = Some(now);
            self.asked.retain(|_, a| now.since(a.seen) <= keep_s);
        }
    }
}

/// Whether the owner asks to be spared reports that tell nothing new: not before
/// all workers heartbeat elsewhere, and until there was room for a while, as with
/// the heartbeats back at once it would be short again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relief {
    on: bool,
    /// Since when requests have been read without delay.
    calm_since: Option<Time>,
}

/// Requests wait for so long, in seconds: relief is asked for.
const LONG_WAIT_S: f64 = 0.25;
/// So long is no delay.
const CALM_WAIT_S: f64 = 0.08;
/// For so long there must have been none.
const CALM_FOR_S: f64 = 20.0;

impl Relief {
    /// Takes in how long requests wait, in seconds, and whether all workers
    /// heartbeat elsewhere already.
    pub fn take(&mut self, spread: bool, wait_s: f64, now: Time) {
        if wait_s > CALM_WAIT_S {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(now);
        }
        let calm = self.calm_since.is_some_and(|t| now.since(t) >= CALM_FOR_S);
        if spread && wait_s > LONG_WAIT_S {
            self.on = true;
        } else if calm || !spread {
            self.on = false;
        }
    }

    /// Whether it is asked for.
    pub fn asked(&self) -> bool {
        self.on
    }
}
