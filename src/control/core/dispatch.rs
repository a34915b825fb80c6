//! Commands sent to workers directly, and what became of them (PROTOCOL,
//! "Controller nodes -> workers").

use super::command_queue::ContactOrder;
use super::task_attempt::KILL_RETRY_S;
use super::{Core, Dispatch, Source};
use crate::agent_client::{Command, Sending};
use crate::scheduler::Sent;
use crate::state::view::View;
use crate::types::{MachineId, Time};

impl Core {
    /// Direct commands that should go out now, so many at a time that neither
    /// sockets nor the processor are short for the reports that answer them.
    pub fn dispatch(&mut self, view: &View, now: Time) -> Vec<Dispatch> {
        let mut out = Vec::new();
        while let Some(id) = self.command_queue.take_next() {
            if self.may_contact(&id, now) {
                out.extend(self.dispatch_to(id, view, now));
            }
        }
        out
    }

    /// Whether a machine may be sent a direct command now. If only later, it is queued
    /// for then.
    fn may_contact(&mut self, id: &MachineId, now: Time) -> bool {
        let Some(agent) = self.agents.get(id) else {
            return false;
        };
        if agent.direct.is_in_flight() || agent.is_deleting() {
            // The answer brings it back.
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
        // Else the reply to its next heartbeat takes the commands there.
        !(agent.is_passed_on() && agent.fenced())
    }

    /// The commands for a machine that may be contacted; none if there is nothing that
    /// does not wait for its next heartbeat.
    fn dispatch_to(&mut self, id: MachineId, view: &View, now: Time) -> Option<Dispatch> {
        let commands = self.commands(&id, view, Some(Sent::Flying), now);
        let agent = self.agents.get_mut(&id)?;
        let forgets_only = commands.iter().all(|o| matches!(o, Command::Forget { .. }));
        // Forgetting waits for the next heartbeat; a worker that does not
        // know our fencing token is contacted at once, and one that a command did not
        // reach is tried again.
        let to_be_asked = !agent.fenced() || agent.direct.is_failing() || agent.direct.is_suspect();
        if forgets_only && !to_be_asked {
            if !agent.sent_kills.is_empty() {
                self.command_queue.retry_after(id, KILL_RETRY_S, now);
            }
            return None;
        }
        agent.direct.sent();
        self.command_queue.sent();
        Some(Dispatch {
            machine: id,
            addr: agent.addr,
            commands: agent.commands(commands),
        })
    }

    /// What became of direct commands. False if we are deposed.
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

    /// The worker carried a command out.
    fn command_executed(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.command_executed(now);
        // The incarnation that took the command may end right after it;
        // the heartbeat decides what is there.
        self.mark_flying(id, Sent::Answered);
    }

    /// The worker answered that it did not carry a command out.
    fn command_refused(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.command_refused(now);
        let inherited = !agent.fenced();
        if !inherited {
            self.mark_flying(id, Sent::No);
        }
    }

    /// A command certainly did not reach the worker.
    fn command_not_sent(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.direct.failed(false, now);
        // Claims found at the takeover stay in doubt until a
        // heartbeat carries our fencing token.
        if !agent.fenced() {
            return;
        }
        // It may heartbeat on and receive no command. Whether it does,
        // the fencing token shows, by whatever way it gets there.
        if !agent.reachability.is_confirmed(self.cfg.heartbeat_s, now) {
            agent.raise_fencing_token();
        }
        self.mark_flying(id, Sent::No);
    }

    /// A command may have reached the worker, and no answer came: it may be carried out
    /// minutes late, unless a higher fencing token gets there first. Until a heartbeat carries that,
    /// nothing on this machine is settled.
    fn command_unanswered(&mut self, id: &MachineId, now: Time) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.command_unanswered(now);
        }
    }

    /// A command did not get through: the machine is in doubt.
    fn command_failed(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self.agents.get_mut(id) else {
            return;
        };
        agent.command_failed(now);
        tracing::info!(machine = %id, fencing_token = %agent.fencing_token, "direct command failed");
        self.refresh_machine(id, now);
    }

    /// It is known what became of the starts that were under way to a machine.
    fn mark_flying(&mut self, id: &MachineId, to: Sent) {
        for task in self.cluster_state.claims_on(id) {
            if let Some(claim) = self.cluster_state.claim_mut(&task) {
                if claim.sent == Sent::Flying {
                    claim.sent = to;
                }
            }
        }
    }
}
