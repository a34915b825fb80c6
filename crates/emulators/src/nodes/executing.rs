//! What a worker does with commands.

use std::time::Instant;

use serde_json::Value;
use sorrelhinge_protocol::worker::{Command, DirectCommands};

use super::{attempt_id, ForgottenAttempt, Nodes, Task, CPUS};
use crate::history::{Event, Reason};

impl Nodes {
    /// Carries out commands in their order.
    pub(super) fn execute(&mut self, id: &str, commands: &[Command]) {
        for order in commands {
            match order {
                Command::Start {
                    task_name,
                    attempt,
                    units,
                    ..
                } => self.begin(id, task_name, attempt.0, units),
                Command::Kill {
                    task_name, attempt, ..
                } => {
                    let node = self.all.get_mut(id).expect("it is there");
                    let key = (task_name.clone(), attempt.0);
                    let task = node.tasks.get_mut(&key);
                    if let Some(task) = task.filter(|t| t.phase != "ended") {
                        task.phase = "ended".into();
                        task.exit_reason = Some("stopped");
                        node.dirty = true;
                        self.note_left(id, &key, Instant::now(), Reason::Ended);
                    }
                }
                Command::Forget { task_name, attempt } => {
                    let node = self.all.get_mut(id).expect("it is there");
                    node.tasks.remove(&(task_name.clone(), attempt.0));
                    self.forgotten.insert(ForgottenAttempt {
                        machine: id.to_owned(),
                        task: task_name.clone(),
                        attempt: attempt.0,
                    });
                }
            }
        }
    }

    /// A start, with all that must hold at this moment.
    pub(super) fn begin(
        &mut self,
        id: &str,
        task_name: &str,
        attempt: u64,
        units: &[(String, String)],
    ) {
        let key = (task_name.to_owned(), attempt);
        if self.all[id].tasks.contains_key(&key) {
            return;
        }
        let uid = task_name.rsplit_once('/').expect("a piece").0;
        let job = self.jobs.get(uid).cloned().unwrap_or(Value::Null);
        self.check_not_forgotten(id, task_name, attempt);
        self.check_runs_once(id, task_name);
        self.check_unit_count(id, task_name, &job, units.len());
        for unit in units {
            self.check_unit(id, task_name, unit);
        }
        self.starts += 1;
        self.figures.started(uid);
        let fails = self.failing_starts.draw();
        let node = self.all.get_mut(id).expect("it is there");
        let cpus = job["cpus"].as_f64().unwrap_or(1.0);
        let full = node.used_cpus() + cpus > CPUS;
        let mut task = Task::begin(&job, cpus, full, units);
        task.fails = fails;
        node.tasks.insert(key, task);
        node.dirty = true;
        if let Some(attempt) = attempt_id(id, task_name, attempt).filter(|_| !full) {
            self.recorder.note(Event::Started(attempt));
        }
    }

    /// Carries out direct commands if fencing token and incarnation match.
    pub(super) fn obey(&mut self, id: &str, commands: &DirectCommands) -> bool {
        let node = self.all.get_mut(id).expect("it is there");
        if commands.fencing_token.0 < node.fencing_token
            || commands.incarnation.0 != node.incarnation
        {
            return false;
        }
        node.take_token(commands.fencing_token.0);
        self.execute(id, &commands.commands);
        true
    }
}
