//! Commands (PROTOCOL, "Workers -> controller nodes" and "Controller nodes ->
//! workers"): those of a heartbeat's answer and direct ones, in their order.

use std::net::SocketAddr;

use sorrelhinge_protocol::types::Time;
use sorrelhinge_protocol::worker::{Command, DirectCommands, ExitReason, TaskPhase};

use super::attempts::{has_process, AttemptEntry};
use super::{Action, CommandOutcome, Core, Key, Note, Reaction};

/// Bytes of a heartbeat from which on nothing more is taken on.
const FULL_HEARTBEAT_BYTES: usize = 48 << 10;

/// Bytes from which on a start is not even refused: PROTOCOL allows a body of 64 KiB.
const MAX_TASKS_BYTES: usize = 58 << 10;

/// Bytes of a task in a heartbeat, beside its name.
const TASK_BYTES: usize = 64;

/// Sources of a start that are looked at.
const MAX_SOURCES: usize = 64;

impl Core {
    /// Direct commands.
    pub fn commands(&mut self, commands: &DirectCommands, now: Time) -> Reaction {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        if !self.dying.is_empty() {
            return Reaction {
                outcome: CommandOutcome::NotNow,
                actions,
            };
        }
        let taken = commands.fencing_token >= self.fencing_token
            && commands.incarnation == self.incarnation;
        if taken {
            self.learn(commands.fencing_token, now, &mut actions);
            self.execute(&commands.commands, now, &mut actions);
        }
        let heartbeat = self.heartbeat(&mut actions);
        Reaction {
            outcome: CommandOutcome::Heartbeat {
                taken,
                heartbeat: Box::new(heartbeat),
            },
            actions,
        }
    }

    /// `GET /status`.
    pub fn status(&mut self, now: Time) -> Reaction {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        if !self.dying.is_empty() {
            return Reaction {
                outcome: CommandOutcome::NotNow,
                actions,
            };
        }
        let heartbeat = self.heartbeat(&mut actions);
        Reaction {
            outcome: CommandOutcome::Heartbeat {
                taken: true,
                heartbeat: Box::new(heartbeat),
            },
            actions,
        }
    }

    /// Carries out commands in their order.
    pub(super) fn execute(&mut self, commands: &[Command], now: Time, actions: &mut Vec<Action>) {
        for order in commands {
            match order {
                Command::Start {
                    task_name,
                    attempt,
                    units,
                    from,
                } => {
                    let key = Key::of(task_name, *attempt);
                    let sources = from.iter().take(MAX_SOURCES).copied().collect();
                    self.start(key, units.clone(), sources, actions);
                }
                Command::Kill {
                    task_name,
                    attempt,
                    grace_s,
                } => {
                    let key = Key::of(task_name, *attempt);
                    self.kill(&key, *grace_s, now, actions);
                }
                Command::Forget { task_name, attempt } => {
                    let key = Key::of(task_name, *attempt);
                    self.forget(key, actions);
                }
            }
        }
    }

    /// `start`. If this attempt is here in any state, or was forgotten, it has no effect.
    fn start(
        &mut self,
        key: Key,
        units: Vec<(String, String)>,
        from: Vec<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        if self.tasks.contains_key(&key) || self.forgotten.contains(&key) {
            return;
        }
        let said: usize = self
            .tasks
            .keys()
            .map(|k| k.task_name.len() + TASK_BYTES)
            .sum();
        if said >= MAX_TASKS_BYTES {
            // It is repeated once others are forgotten.
            return;
        }
        let refused = self.refusal(&key, &units, said);
        actions.push(Action::Note(Note::Took(key.clone(), units.clone())));
        let attempt_entry = AttemptEntry {
            phase: TaskPhase::Fetching,
            exit_reason: None,
            needs: None,
            units,
            from,
            stopping: false,
            save_until: None,
        };
        self.tasks.insert(key.clone(), attempt_entry);
        self.changed = true;
        match refused {
            Some(why) => self.end(&key, why, false, actions),
            None => actions.push(Action::Describe(key)),
        }
    }

    /// Why a start is refused, if it is; tasks take `said` bytes of a heartbeat.
    fn refusal(&self, key: &Key, units: &[(String, String)], said: usize) -> Option<ExitReason> {
        let other = |(k, h): (&Key, &AttemptEntry)| {
            k.task_name == key.task_name && h.phase != TaskPhase::Ended
        };
        let in_use = self.tasks.iter().any(other);
        let taken = |h: &AttemptEntry| {
            h.phase != TaskPhase::Ended && h.units.iter().any(|unit| units.contains(unit))
        };
        if in_use {
            Some(ExitReason::InUse)
        } else if self.closed || said >= FULL_HEARTBEAT_BYTES || self.tasks.values().any(taken) {
            Some(ExitReason::Full)
        } else if self.results.contains(&key.task_name) {
            // Its result is here.
            Some(ExitReason::Done)
        } else {
            None
        }
    }

    /// `kill`: a task that can save does if there is time enough, any other is
    /// ended at once. It is reported as running until it is proven gone.
    fn kill(&mut self, key: &Key, grace_s: f64, now: Time, actions: &mut Vec<Action>) {
        let Some(attempt_entry) = self.tasks.get_mut(key) else {
            return;
        };
        match attempt_entry.phase {
            TaskPhase::Ended => {}
            _ if !has_process(attempt_entry) => self.end(key, ExitReason::Stopped, false, actions),
            TaskPhase::Saving if grace_s > 0.0 => {}
            _ => {
                let saves = attempt_entry.needs.and_then(|n| n.save_s);
                let first = !attempt_entry.stopping;
                attempt_entry.stopping = true;
                if first && saves.is_some_and(|s| grace_s >= s) {
                    attempt_entry.phase = TaskPhase::Saving;
                    attempt_entry.save_until = Some(now.after(grace_s));
                    self.changed = true;
                    actions.push(Action::Save(key.clone()));
                } else {
                    attempt_entry.save_until = None;
                    actions.push(Action::Kill(key.clone()));
                }
            }
        }
    }

    /// `forget`: removes an attempt that has ended.
    fn forget(&mut self, key: Key, actions: &mut Vec<Action>) {
        let ended = |h: &AttemptEntry| h.phase == TaskPhase::Ended;
        if self.tasks.get(&key).is_some_and(ended) {
            self.tasks.remove(&key);
            self.forgotten.insert(&key);
            self.changed = true;
            actions.push(Action::Note(Note::Forgot(key.clone())));
            actions.push(Action::Clean(key));
        }
    }
}
