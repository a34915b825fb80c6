//! Builds the commands that start and stop tasks on a machine.

use super::command_queue::ContactOrder;
use super::task_attempt::TaskAttempt;
use super::Core;
use crate::agent_client::{Command, Reply, TaskPhase};
use crate::scheduler::{Claim, Job, Sent};
use crate::state::view::View;
use crate::types::{Kind, MachineId, TaskId, Time};

/// Message in which commands go to a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CommandPath {
    /// Answer to a heartbeat, without start commands.
    Reply,
    /// Answer to a heartbeat, with start commands.
    ReplyWithStarts,
    /// Direct command.
    Direct,
}

impl CommandPath {
    /// Returns whether the message renews the lease of the machine's tasks.
    fn renews_lease(self) -> bool {
        self != Self::Direct
    }

    /// Returns how claims are marked whose start commands go by this path, or `None` if the path
    /// carries none.
    fn carries_starts_as(self) -> Option<Sent> {
        match self {
            Self::Reply => None,
            Self::ReplyWithStarts => Some(Sent::InReply),
            Self::Direct => Some(Sent::Flying),
        }
    }
}

impl Core {
    /// Returns the answer to a heartbeat. It carries the fencing token, commands that are not
    /// urgent, and start commands if these can't be sent directly.
    pub fn reply(&mut self, id: &MachineId, view: &View, now: Time) -> Reply {
        let agent = self.agents.get(id);
        let starts = agent.is_some_and(|agent| agent.takes_starts_in_replies(now));
        let path = if starts {
            CommandPath::ReplyWithStarts
        } else {
            CommandPath::Reply
        };
        let commands = self.commands(id, view, path, now);
        self.record_commands(id, &commands, path, view.store_revision, now);
        let starts = commands
            .iter()
            .any(|command| matches!(command, Command::Start { .. }));
        let lease_s = self.cfg.lease_s;
        if let Some(agent) = self.agents.get_mut(id) {
            agent.reachability.answered(lease_s, now);
            // The answer carries start commands or a new fencing token. The next heartbeats have to
            // show that they arrived.
            if starts || !agent.fenced() {
                agent.reachability.asked(now);
            }
        }
        let fencing_token = self
            .agents
            .get(id)
            .map_or(self.base_fencing_token(), |agent| agent.fence.token());
        Reply {
            fencing_token,
            commands,
        }
    }

    /// Returns the commands for a machine that go by a path. Claims whose start commands are
    /// included are marked as sent by this path.
    ///
    /// The task list of a heartbeat proves nothing unless the heartbeat carries the machine's
    /// current fencing token. Until then no task is started or forgotten. Tasks that must not run
    /// are killed all the same. An answer without the kill command would renew the lease of a
    /// cancelled job's task. If direct commands to the machine keep failing, each failure also
    /// raises the fencing token again, so that no heartbeat ever carries it
    /// (`docs/incidents/fleet-x3-cancelled.md`).
    pub(super) fn commands(
        &mut self,
        id: &MachineId,
        view: &View,
        path: CommandPath,
        now: Time,
    ) -> Vec<Command> {
        let machine = self.cluster_state.machines().get(id);
        let (Some(agent), Some(machine)) = (self.agents.get(id), machine) else {
            return Vec::new();
        };
        let may_start = machine.usable && agent.fenced();
        let sent = path.carries_starts_as().filter(|_| may_start);
        // The starts may raise the token that the forgets rest on.
        let starts = sent.map(|sent| self.start_commands(id, sent, now));
        let mut commands = self.forget_commands(id, view, path, now);
        commands.extend(self.stops(id, path, now));
        commands.extend(starts.unwrap_or_default());
        commands
    }

    /// Returns the commands that stop tasks that the machine reported.
    fn stops(&mut self, id: &MachineId, path: CommandPath, now: Time) -> Vec<Command> {
        let (mut commands, mut unclaimed) = (Vec::new(), Vec::new());
        let Some(agent) = self.agents.get_mut(id) else {
            return commands;
        };
        let fenced = agent.fenced();
        agent.sent_kills.keep_reported(&agent.tasks);
        let running = agent.tasks.iter();
        for (key, status) in running.filter(|(_, status)| status.phase != TaskPhase::Ended) {
            let claim = self.cluster_state.claim_on(id, &key.task, key.attempt);
            if claim.is_none() && !agent.sent_kills.contains(key) {
                unclaimed.push(key.clone());
            }
            let job = self.cluster_state.job(&key.task.job);
            let grace_s = stop_grace_s(job, claim).filter(|g| fenced || *g == 0.0);
            let Some(grace_s) = grace_s else {
                continue;
            };
            let saving = status.phase == TaskPhase::Saving && grace_s > 0.0;
            // An answer to a heartbeat renews the machine's lease. A task that must end at once
            // (`grace_s` is 0) could keep running by that lease. So the answer always carries the
            // kill of such a task, because the direct command that carried it last may be lost.
            let renews = path.renews_lease() && grace_s == 0.0;
            if !saving && (renews || agent.sent_kills.is_due(key, now)) {
                agent.sent_kills.sent(key, now);
                commands.push(kill(key, grace_s));
            }
        }
        self.check_unclaimed(id, &unclaimed, now);
        commands
    }

    /// Returns whether a task is claimed, its claim is recorded, and its start was not sent
    /// yet.
    fn start_is_due(&self, task: &TaskId) -> bool {
        let job = self.cluster_state.job(&task.job);
        let starts = job.is_some_and(|j| !j.cancelled && starts_now(j));
        let due = |c: &Claim| c.committed && c.sent == Sent::No && c.stop.is_none();
        starts && self.cluster_state.claim_of(task).is_some_and(due)
    }

    /// Returns the start commands that are due on a machine. Marks their claims as sent by the path
    /// that `sent` names.
    fn start_commands(&mut self, id: &MachineId, sent: Sent, now: Time) -> Vec<Command> {
        let mut tasks = self.cluster_state.claims_on(id);
        tasks.retain(|task| self.start_is_due(task));
        if !self.start_permission.is_valid(now) {
            if !tasks.is_empty() {
                self.start_permission.withhold(id.clone());
            }
            return Vec::new();
        }
        let starts = tasks
            .iter()
            .filter_map(|task| self.start_command(id, task, sent, now));
        let starts: Vec<Command> = starts.collect();
        if let Some(agent) = self.agents.get_mut(id).filter(|_| !starts.is_empty()) {
            agent.fence.start_sent(now);
        }
        starts
    }

    /// Returns the start command of a task. Returns `None` while the task waits for its image
    /// distribution stage. A waiting task does not delay others.
    fn start_command(
        &mut self,
        id: &MachineId,
        task: &TaskId,
        sent: Sent,
        now: Time,
    ) -> Option<Command> {
        let spec = self.cluster_state.job(&task.job)?.spec.clone();
        let from = self.sources_for(id, &spec, now)?;
        let claim = self.cluster_state.claim_mut(task)?;
        claim.sent = sent;
        let units = claim.units.iter();
        Some(Command::Start {
            task_name: task.to_string(),
            attempt: claim.attempt,
            units: units.map(|u| (u.0.clone(), u.1.clone())).collect(),
            from,
        })
    }

    /// Sets the time until which the owner may start tasks, given the age of the records that it
    /// has read. A task that starts later could still be on its machine after `cancel_s` if its job
    /// was cancelled through another controller in the meantime.
    pub fn allow_starts_until(&mut self, until: Time, now: Time) {
        for id in self.start_permission.set(until, now) {
            self.command_queue.add(id, ContactOrder::First);
        }
    }
}

/// Returns how many seconds a reported task gets to save its state before it ends. Returns
/// `None` if the task may keep running.
fn stop_grace_s(job: Option<&Job>, claim: Option<&Claim>) -> Option<f64> {
    match claim {
        // No claim is left, so the task must not keep running.
        None => Some(0.0),
        // The job was cancelled. This includes a cancellation that the owner found in the job's
        // record at its takeover, without seeing any change of the job.
        Some(_) if job.is_some_and(|j| j.cancelled) => Some(0.0),
        Some(claim) => claim.stop,
    }
}

/// Returns the command to stop a task that may save its state for `grace_s` seconds.
fn kill(running: &TaskAttempt, grace_s: f64) -> Command {
    Command::Kill {
        task_name: running.task.to_string(),
        attempt: running.attempt,
        grace_s,
    }
}

/// Returns whether a job's claimed tasks may be started. Tasks of a gang start only once all of
/// them are claimed and all claims are recorded.
fn starts_now(job: &Job) -> bool {
    job.spec.kind != Kind::Gang
        || job.tasks.pending() == 0
            && job
                .tasks
                .claims()
                .values()
                .all(|c| c.committed && c.stop.is_none())
}
