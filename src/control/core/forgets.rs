//! Builds the commands that make a machine forget ended tasks.
//!
//! An agent that forgot an attempt runs it again if a copy of its start arrives. So these commands
//! go only in messages after which the agent refuses all messages that can have started the
//! attempt. No other module sends such commands.

use sorrelhinge_lease_safety::command_fence::ForgetRaise;

use super::agent::AgentState;
use super::commands::CommandPath;
use super::outcomes::recorded_claim;
use super::task_attempt::TaskAttempt;
use super::Core;
use crate::agent_client::{Command, TaskPhase};
use crate::scheduler::Claim;
use crate::state::view::View;
use crate::types::{FencingToken, MachineId, Time};

/// Ended attempt that a machine may forget once its start is fenced.
struct SettledAttempt {
    attempt: TaskAttempt,
    /// Highest fencing token of a message that can have started the attempt.
    start: FencingToken,
}

impl Core {
    /// Returns the commands that make the machine forget ended tasks. Each waits for a message whose
    /// fencing token fences every copy of a command that started the task there.
    pub(super) fn forget_commands(
        &mut self,
        id: &MachineId,
        view: &View,
        path: CommandPath,
        now: Time,
    ) -> Vec<Command> {
        let settled = self.settled_attempts(id, view);
        let lease_s = self.cfg.lease_s;
        let Some(agent) = self.agents.get_mut(id) else {
            return Vec::new();
        };
        if settled.iter().any(|ended| !agent.fence.fences(ended.start)) {
            raise_for_forgets(id, agent, path, lease_s, now);
        }
        let fenced = settled.iter();
        let fenced = fenced.filter(|ended| agent.fence.fences(ended.start));
        fenced.map(|ended| forget(&ended.attempt)).collect()
    }

    /// Returns the ended attempts on a machine that it may forget, once their starts are fenced.
    fn settled_attempts(&self, id: &MachineId, view: &View) -> Vec<SettledAttempt> {
        let may_forget = |agent: &&AgentState| agent.fenced() && agent.has_ended_tasks();
        let Some(agent) = self.agents.get(id).filter(may_forget) else {
            return Vec::new();
        };
        let ended = agent.tasks.iter();
        let ended = ended.filter(|(_, status)| status.phase == TaskPhase::Ended);
        let settled = ended.filter(|(key, _)| {
            let claim = self.cluster_state.claim_on(id, &key.task, key.attempt);
            is_settled(claim, key, view)
        });
        let settled = settled.map(|(key, status)| SettledAttempt {
            attempt: key.clone(),
            start: status.start,
        });
        settled.collect()
    }
}

/// Raises the fencing token of an agent for forget commands, if the next message may carry a higher
/// one. An agent sends a heartbeat for a higher token, so this happens at most once a lease.
///
/// Only answers to heartbeats raise the token for this. A direct command in flight would be refused
/// after the raise, so its outcome is waited for.
fn raise_for_forgets(
    id: &MachineId,
    agent: &mut AgentState,
    path: CommandPath,
    lease_s: f64,
    now: Time,
) {
    if path == CommandPath::Direct || agent.direct.is_in_flight() {
        return;
    }
    let raise = agent.fence.raise_for_forgets(lease_s, now);
    if raise == ForgetRaise::Exhausted && !agent.is_retiring() {
        tracing::info!(machine = %id, fencing_token = %agent.fence.token(), "fencing tokens exhausted; scaling in");
        agent.retire();
    }
}

/// Returns whether a task that ended is settled: it is not claimed any more, and its result is
/// recorded.
fn is_settled(claim: Option<&Claim>, ended: &TaskAttempt, view: &View) -> bool {
    claim.is_none() && !recorded_claim(view, &ended.task, ended.attempt)
}

/// Returns the command to forget a task that ended.
fn forget(ended: &TaskAttempt) -> Command {
    Command::Forget {
        task_name: ended.task.to_string(),
        attempt: ended.attempt,
    }
}
