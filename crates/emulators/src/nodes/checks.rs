//! What must hold when a worker starts a task.

use serde_json::Value;

use super::{Node, Nodes};

/// An attempt that a worker was told to forget.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ForgottenAttempt {
    pub(super) machine: String,
    pub(super) task: String,
    pub(super) attempt: u64,
}

impl Nodes {
    /// The machine was not told to forget this attempt.
    pub(super) fn check_not_forgotten(&mut self, id: &str, task_name: &str, attempt: u64) {
        let started = ForgottenAttempt {
            machine: id.to_owned(),
            task: task_name.to_owned(),
            attempt,
        };
        if self.forgotten.contains(&started) {
            self.wrong.push(format!(
                "ran_again: {started:?} starts after it was forgotten"
            ));
        }
    }

    /// No machine that is there has the task already.
    pub(super) fn check_runs_once(&mut self, id: &str, task_name: &str) {
        let has = |node: &Node| {
            let mut tasks = node.tasks.iter();
            tasks.any(|((name, _), task)| name == task_name && task.phase != "ended")
        };
        if self.all.values().any(|node| !node.gone && has(node)) {
            self.wrong
                .push(format!("ran_twice: {task_name} starts on {id}"));
        }
    }

    /// The start names as many devices as the job needs.
    pub(super) fn check_unit_count(
        &mut self,
        id: &str,
        task_name: &str,
        job: &Value,
        count: usize,
    ) {
        let device = &job["topology"]["devices"][0];
        let asked = device["count"].as_u64().unwrap_or(1) as usize;
        let needs = if device.is_null() { 0 } else { asked };
        if count != needs {
            self.wrong
                .push(format!("{task_name} on {id}: {count} of {needs} units"));
        }
    }

    /// A device that a start names is there, works, and is no other task's.
    pub(super) fn check_unit(&mut self, id: &str, task_name: &str, unit: &(String, String)) {
        let node = &self.all[id];
        let there = self.encoders.get(&(node.zone, node.switch));
        let works = there.and_then(|list| list.iter().find(|(name, _)| *name == unit.1));
        let taken = node
            .tasks
            .values()
            .any(|task| task.phase != "ended" && task.units.contains(unit));
        let wrong = match works {
            None => Some("missing"),
            Some((_, false)) => Some("broken"),
            Some(_) => None,
        };
        for wrong in wrong.into_iter().chain(taken.then_some("taken")) {
            self.wrong
                .push(format!("{task_name} on {id}: {unit:?} is {wrong}"));
        }
    }
}
