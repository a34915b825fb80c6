//! Direct commands to agents and their outcomes (PROTOCOL, "Controller nodes -> workers").

use super::command_queue::ContactOrder;
use super::commands::CommandPath;
use super::task_attempt::KILL_RETRY_S;
use super::{Core, Dispatch, Source};
use crate::agent_client::{Command, Sending};
use crate::scheduler::Sent;
use crate::state::view::View;
use crate::types::{MachineId, Time};

impl Core {
    /// Returns the direct commands to send now. Their number is limited so that enough sockets
    /// and CPU time remain for the heartbeats that answer them.
    pub fn dispatch(&mut self, view: &View, now: Time) -> Vec<Dispatch> {
        let mut out = Vec::new();
        while let Some(id) = self.command_queue.take_next() {
            if self.may_contact(&id, now) {
                out.extend(self.dispatch_to(id, view, now));
            }
        }
        out
    }

    /// Returns whether a machine may be sent a direct command now. If the command has to wait, the
    /// machine is queued for a later time.
    fn may_contact(&mut self, id: &MachineId, now: Time) -> bool {
        let Some(agent) = self.agents.get(id) else {
            return false;
        };
        if agent.direct.is_in_flight() || agent.is_deleting() {
            // The outcome of the command in flight queues the machine again.
            return false;
        }
        if now < agent.direct.retry_at() {
            let at = agent.direct.retry_at();
            self.command_queue.retry_at(id.clone(), at);
            return false;
        }
        let suspect = agent.direct.is_suspect();
        if agent.direct.is_failing() && !self.command_queue.may_try_unreachable(suspect) {
            self.command_queue.retry_unreachable(id.clone(), now);
            return false;
        }
        // Another controller may forward the heartbeats of an agent that has the current fencing
        // token. Commands for this agent then go in the reply to its next heartbeat.
        !(agent.is_forwarded() && agent.fenced())
    }

    /// Returns the commands for a machine that may be contacted. Returns `None` if all of them
    /// can wait for its next heartbeat.
    fn dispatch_to(&mut self, id: MachineId, view: &View, now: Time) -> Option<Dispatch> {
        let commands = self.commands(&id, view, CommandPath::Direct, now);
        let agent = self.agents.get_mut(&id)?;
        let forgets_only = commands
            .iter()
            .all(|command| matches!(command, Command::Forget { .. }));
        // Forget commands alone wait for the next heartbeat in most cases. An agent is contacted
        // without that wait if it does not have the current fencing token or the last command did
        // not reach it. The same holds for a silent agent with tasks.
        let contact_now = !agent.fenced() || agent.direct.is_failing() || agent.direct.is_suspect();
        if forgets_only && !contact_now {
            if !agent.sent_kills.is_empty() {
                self.command_queue.retry_after(id, KILL_RETRY_S, now);
            }
            return None;
        }
        agent.direct.sent();
        self.command_queue.sent();
        let (addr, commands) = (agent.addr, agent.commands(commands));
        let path = CommandPath::Direct;
        self.record_commands(&id, &commands.commands, path, view.store_revision, now);
        Some(Dispatch {
            machine: id,
            addr,
            commands,
        })
    }

    /// Applies the outcome of direct commands. Returns `false` if a newer grant has superseded
    /// this one.
    pub fn dispatched(&mut self, id: &MachineId, outcome: Sending, now: Time) -> bool {
        self.command_queue.settled();
        let Some(agent) = self.agents.get_mut(id) else {
            return true;
        };
        agent.direct.settled();
        self.command_queue.add(id.clone(), ContactOrder::First);
        match outcome {
            Sending::Executed(heartbeat) => {
                self.command_executed(id, now);
                self.heartbeat(&heartbeat, Source::Direct, now)
            }
            Sending::Refused(heartbeat) => {
                self.command_refused(id, now);
                self.heartbeat(&heartbeat, Source::Direct, now)
            }
            Sending::NotSent => {
                self.command_not_sent(id, now);
                self.command_failed(id, now);
                true
            }
            Sending::Unknown => {
                self.command_unanswered(id, now);
                self.command_failed(id, now);
                true
            }
        }
    }

    /// Records that the agent executed a command.
    fn command_executed(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.command_executed(now);
        // The agent's incarnation may end right after it received the command. So the next
        // heartbeat decides which tasks are on the machine.
        self.resolve_in_flight(id, Sent::Answered);
    }

    /// Records that the agent refused a command.
    fn command_refused(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.command_refused(now);
        let unfenced = !agent.fenced();
        if !unfenced {
            self.resolve_in_flight(id, Sent::No);
        }
    }

    /// Records that a command certainly did not reach the agent.
    fn command_not_sent(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.direct.failed(false, now);
        // Claims found at the takeover stay undecided until a heartbeat carries the fencing
        // token of this grant.
        if !agent.fenced() {
            return;
        }
        // The agent may keep sending heartbeats and receive no command. The fencing token shows
        // whether it receives commands, whichever path carries them.
        if !agent.reachability.is_confirmed(self.cfg.heartbeat_s, now) {
            agent.fence.raise();
        }
        self.resolve_in_flight(id, Sent::No);
    }

    /// Records that a command may have reached the agent but got no answer. The agent may execute
    /// the command minutes later unless a higher fencing token arrives first. Until a heartbeat
    /// carries that token, the owner concludes nothing about this machine's tasks.
    fn command_unanswered(&mut self, id: &MachineId, now: Time) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.command_unanswered(now);
        }
    }

    /// Records that a command did not get through, and suspects the machine from then on.
    fn command_failed(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.command_failed(now);
        tracing::info!(machine = %id, fencing_token = %agent.fence.token(), "direct command failed");
        self.refresh_machine(id, now);
    }

    /// Records the outcome of the start commands that were in flight to a machine.
    fn resolve_in_flight(&mut self, id: &MachineId, to: Sent) {
        for task in self.cluster_state.claims_on(id) {
            if let Some(claim) = self.cluster_state.claim_mut(&task) {
                if claim.sent == Sent::Flying {
                    claim.sent = to;
                }
            }
        }
    }
}
