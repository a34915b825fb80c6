//! What the worker knows and decides, without I/O or clock: time, messages and
//! what becomes of processes come in, actions go out, to be carried out in their
//! order. An action that must outlive the process is a [`Action::Note`]; whatever
//! follows it happens only once it is on disk.
//!
//! [`Core`] holds the state and its lease; what it does is in parts: heartbeats and
//! their answers, commands, and what becomes of attempts.

mod attempts;
mod commands;
mod forgotten;
mod heartbeats;
mod messages;

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{Amount, FencingToken, Incarnation, Time};
use sorrelhinge_protocol::worker::{ReportedImage, TaskPhase};

use self::attempts::{has_process, AttemptEntry};
pub use self::forgotten::{ForgottenAttempts, MAX_FORGOTTEN_ATTEMPTS};
pub use self::heartbeats::ANSWER_TIMEOUT_S;
pub use self::messages::{
    Action, Answer, AttemptState, CommandOutcome, Ending, Exit, Key, Known, Machine, Needs, Note,
    Reaction, Recovered,
};

/// A heartbeat that was sent and not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentHeartbeat {
    sent: Time,
    incarnation: Incarnation,
}

/// The worker.
#[derive(Clone, Debug)]
pub struct Core {
    machine: Machine,
    fencing_token: FencingToken,
    incarnation: Incarnation,
    sequence: u64,
    sequences_noted: u64,
    tasks: BTreeMap<Key, AttemptEntry>,
    /// Attempts that this incarnation was told to forget.
    forgotten: ForgottenAttempts,
    /// Killed with their incarnation, not gone yet: nothing is reported until
    /// they are, since a heartbeat without them would prove that they are.
    dying: BTreeMap<Key, Amount>,
    results: BTreeSet<String>,
    answered: Time,
    target: usize,
    /// The heartbeat under way.
    flying: Option<SentHeartbeat>,
    reported: Time,
    next: Time,
    changed: bool,
    fencing_token_announced: Time,
    /// Nothing new is taken on: the disk fails, or the agent is to end.
    closed: bool,
    /// Images that are handed on, as many as fit into a heartbeat.
    images: Vec<ReportedImage>,
}

/// A worker that has just started.
#[derive(Clone, Debug)]
pub struct StartedCore {
    /// The worker.
    pub core: Core,
    /// What has to be carried out before anything else, in this order.
    pub actions: Vec<Action>,
}

impl Core {
    /// A worker that has just started, or started again. If the lease ran out
    /// in the meantime, its tasks are killed before anything else is done.
    pub fn recover(machine: Machine, found: Recovered, now: Time) -> StartedCore {
        let first_start = found.answered.is_none();
        let mut core = Self::without_tasks(machine, &found, now);
        core.add_tasks(found.tasks, &found.needs);
        let mut actions = vec![Action::Note(Note::Incarnation(core.incarnation))];
        core.kill_dying(found.dying, &found.needs, &mut actions);
        if first_start {
            // A machine that has just started: its lease begins now.
            actions.push(Action::Lease(now));
        }
        core.check_lease(now, &mut actions);
        StartedCore { core, actions }
    }

    /// A worker with the numbers that were found, and without tasks.
    fn without_tasks(machine: Machine, found: &Recovered, now: Time) -> Self {
        Self {
            fencing_token: found.fencing_token,
            incarnation: Incarnation(found.incarnation.0.max(1)),
            sequence: found.sequence,
            sequences_noted: found.sequence,
            tasks: BTreeMap::new(),
            forgotten: found.forgotten.clone(),
            dying: BTreeMap::new(),
            results: found.results.clone(),
            answered: found.answered.unwrap_or(now),
            target: 0,
            flying: None,
            reported: Time(f64::NEG_INFINITY),
            next: now,
            changed: true,
            fencing_token_announced: Time(f64::NEG_INFINITY),
            closed: false,
            images: Vec::new(),
            machine,
        }
    }

    /// Takes in the attempts that were taken on and not forgotten.
    fn add_tasks(&mut self, tasks: BTreeMap<Key, Known>, needs: &BTreeMap<Key, Needs>) {
        for (key, known) in tasks {
            let attempt_entry = AttemptEntry::recovered(known, needs.get(&key).copied());
            self.tasks.insert(key, attempt_entry);
        }
    }

    /// Kills the attempts of an ended incarnation that are not known to be gone.
    fn kill_dying(
        &mut self,
        dying: BTreeSet<Key>,
        needs: &BTreeMap<Key, Needs>,
        actions: &mut Vec<Action>,
    ) {
        for key in dying {
            let each = needs.get(&key).map_or(Amount::default(), |n| n.each);
            actions.push(Action::Kill(key.clone()));
            self.dying.insert(key, each);
        }
    }

    /// The tasks, for those who look at the machine.
    pub fn tasks(&self) -> impl Iterator<Item = AttemptState<'_>> {
        self.tasks.iter().map(|(key, entry)| AttemptState {
            key,
            phase: entry.phase,
            exit_reason: entry.exit_reason,
        })
    }

    /// Whether an attempt was killed with its incarnation and is not gone yet.
    pub fn is_dying(&self, key: &Key) -> bool {
        self.dying.contains_key(key)
    }

    /// Nothing new is taken on from now on, or is again.
    pub fn close(&mut self, closed: bool) {
        self.closed = closed;
    }

    /// If the last answered heartbeat was sent more than a lease ago, all tasks
    /// are killed and forgotten, and the next incarnation begins (PROTOCOL, Leases).
    fn check_lease(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.answered) <= self.machine.lease_s {
            return;
        }
        for (key, attempt_entry) in std::mem::take(&mut self.tasks) {
            if attempt_entry.phase == TaskPhase::Ended || !has_process(&attempt_entry) {
                actions.push(Action::Release(key.clone()));
                actions.push(Action::Note(Note::Forgot(key.clone())));
                actions.push(Action::Clean(key));
            } else {
                let each = attempt_entry.needs.map_or(Amount::default(), |n| n.each);
                actions.push(Action::Kill(key.clone()));
                self.dying.insert(key, each);
            }
        }
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.forgotten.clear();
        self.answered = now;
        self.changed = true;
        actions.push(Action::Note(Note::Incarnation(self.incarnation)));
        actions.push(Action::Lease(now));
    }
}
