//! Commands that this owner sent last, and the check that no task is on two machines. The commands
//! are logged only if the check finds such a task, because a line for each command would cost too
//! much at the usual level.

use std::collections::VecDeque;

use super::commands::CommandPath;
use super::task_attempt::TaskAttempt;
use super::Core;
use crate::agent_client::{Command, TaskPhase};
use crate::types::{FencingToken, Incarnation, MachineId, Revision, Time};

/// Maximum number of commands that are kept.
const MAX_COMMANDS: usize = 1024;

/// A command as it was sent.
#[derive(Debug)]
struct SentCommand {
    at: Time,
    machine: MachineId,
    incarnation: Incarnation,
    fencing_token: FencingToken,
    path: CommandPath,
    /// Revision of the records by which the command was allowed.
    store_revision: Revision,
    command: Command,
}

/// Commands that this owner sent last, the oldest first.
#[derive(Debug, Default)]
pub(super) struct CommandHistory {
    commands: VecDeque<SentCommand>,
    /// Number of times that a task was found on two machines.
    tasks_on_two_machines: u64,
}

impl CommandHistory {
    /// Adds a command, and drops the oldest one if there are too many.
    fn add(&mut self, command: SentCommand) {
        if self.commands.len() >= MAX_COMMANDS {
            self.commands.pop_front();
        }
        self.commands.push_back(command);
    }

    /// Returns the commands for a task, the oldest first.
    fn of_task<'a>(&'a self, task_name: &'a str) -> impl Iterator<Item = &'a SentCommand> {
        let commands = self.commands.iter();
        commands.filter(move |sent| sent.command.task_name() == task_name)
    }
}

impl Core {
    /// Records commands that are sent to a machine, allowed by the records of `store_revision`.
    pub(super) fn record_commands(
        &mut self,
        id: &MachineId,
        commands: &[Command],
        path: CommandPath,
        store_revision: Revision,
        now: Time,
    ) {
        let Some(agent) = self.agents.get(id).filter(|_| !commands.is_empty()) else {
            return;
        };
        let (fencing_token, incarnation) = (agent.fence.token(), agent.incarnation());
        tracing::debug!(machine = %id, %fencing_token, %incarnation, ?path, %store_revision, ?commands, "commands sent");
        for command in commands {
            self.command_history.add(SentCommand {
                at: now,
                machine: id.clone(),
                incarnation,
                fencing_token,
                path,
                store_revision,
                command: command.clone(),
            });
        }
    }

    /// Checks whether attempts that were newly found on a machine without a claim also run
    /// elsewhere, as the machines of their tasks' claims report. No rule allows that. Logs what is
    /// known of them.
    pub(super) fn check_unclaimed(&mut self, id: &MachineId, unclaimed: &[TaskAttempt], now: Time) {
        for running in unclaimed {
            if let Some(other) = self.runs_elsewhere(id, running) {
                self.command_history.tasks_on_two_machines += 1;
                self.log_two_machines(id, running, &other, now);
            }
        }
    }

    /// Returns the machine that claims the task of an attempt and reports it as running, if it is
    /// another one.
    fn runs_elsewhere(&self, id: &MachineId, running: &TaskAttempt) -> Option<MachineId> {
        let claim = self.cluster_state.claim_of(&running.task)?;
        let other = self.agents.get(&claim.machine)?;
        let claimed = TaskAttempt {
            task: running.task.clone(),
            attempt: claim.attempt,
        };
        let status = other.tasks.get(&claimed)?;
        let runs = claim.machine != *id && status.phase != TaskPhase::Ended;
        runs.then(|| claim.machine.clone())
    }

    /// Logs a task that is on two machines, and the last commands for it.
    fn log_two_machines(
        &self,
        id: &MachineId,
        running: &TaskAttempt,
        other: &MachineId,
        now: Time,
    ) {
        let claimed = self.cluster_state.claim_of(&running.task);
        let claimed = claimed.map(|claim| claim.attempt).unwrap_or_default();
        let count = self.command_history.tasks_on_two_machines;
        tracing::error!(task = %running.task, machine = %id, attempt = %running.attempt, claimed_by = %other, claimed_attempt = %claimed, count, "task on two machines");
        for sent in self.command_history.of_task(&running.task.to_string()) {
            let ago_s = super::log_format::tenths(now.since(sent.at));
            tracing::error!(ago_s, machine = %sent.machine, fencing_token = %sent.fencing_token, incarnation = %sent.incarnation, path = ?sent.path, store_revision = %sent.store_revision, command = ?sent.command, "command sent before");
        }
    }

    /// Returns how often a task was found on two machines.
    pub fn tasks_on_two_machines(&self) -> u64 {
        self.command_history.tasks_on_two_machines
    }
}
