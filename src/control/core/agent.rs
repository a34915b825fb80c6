//! State that a shard owner keeps of one agent.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sorrelhinge_lease_safety::command_fence::CommandFence;
use sorrelhinge_lease_safety::reachability::Reachability;

use super::direct_line::DirectCommandState;
use super::failed_jobs::FailedJobs;
use super::task_attempt::{SentKills, TaskAttempt, TaskStatus};
use super::Source;
use crate::agent_client::{
    Command, DirectCommands, Heartbeat, ReportedImage, ReportedTask, TaskPhase,
};
use crate::types::{FencingToken, Incarnation, SequenceNumber, Time};

/// Number of ended tasks in an agent's heartbeats from which on it gets no more tasks. PROTOCOL
/// allows a heartbeat of 64 KiB.
const MAX_ENDED_TASKS: usize = 512;

/// Differences between a heartbeat and the one before it.
pub(super) struct HeartbeatChanges {
    /// The agent's incarnation ended, and all tasks of that incarnation ended with it.
    pub(super) incarnation_ended: bool,
    /// The agent's address changed.
    pub(super) address_changed: bool,
}

/// State of one machine's agent, as its heartbeats and the answers to its commands show it.
#[derive(Debug)]
pub(super) struct AgentState {
    /// Address on which the agent listens.
    pub(super) addr: SocketAddr,
    /// Incarnation of the agent that sent the last heartbeat. `sequence` is the number of that
    /// heartbeat in the incarnation.
    incarnation: Incarnation,
    sequence: SequenceNumber,
    /// Fencing tokens of the commands to this machine.
    pub(super) fence: CommandFence,
    /// Time of the last heartbeat that this controller received, or of which another controller
    /// notified it.
    last_contact: Time,
    /// Sequence number of the newest heartbeat of which another controller notified this one.
    relayed_sequence: SequenceNumber,
    /// Evidence that commands to this machine take effect.
    pub(super) reachability: Reachability,
    /// Tasks that the agent's last heartbeat names.
    pub(super) tasks: BTreeMap<TaskAttempt, TaskStatus>,
    /// Number of those tasks that have ended.
    ended_tasks: usize,
    /// State of direct commands to this agent.
    pub(super) direct: DirectCommandState,
    /// A direct command failed. The machine gets no new tasks until a heartbeat shows that a
    /// command arrived.
    suspected_one_way: bool,
    /// Another controller forwarded the last heartbeat.
    forwarded: bool,
    /// The cloud is about to preempt the machine, or the owner chose to return it.
    retiring: bool,
    /// The machine is being deleted, so nothing may rely on it again.
    deleting: bool,
    /// Jobs that failed on this machine.
    pub(super) failed_jobs: FailedJobs,
    /// Stop commands that were sent to the agent.
    pub(super) sent_kills: SentKills,
    /// Images that the agent offers to other machines.
    pub(super) images: Vec<ReportedImage>,
}

impl AgentState {
    /// Returns the state of an agent that has sent no heartbeat yet. `fencing_token` is the
    /// lowest one of the grant.
    pub(super) fn new(addr: SocketAddr, fencing_token: FencingToken, now: Time) -> Self {
        Self {
            addr,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(0),
            fence: CommandFence::new(fencing_token),
            last_contact: now,
            relayed_sequence: SequenceNumber(0),
            reachability: Reachability::default(),
            tasks: BTreeMap::new(),
            ended_tasks: 0,
            direct: DirectCommandState::new(now),
            suspected_one_way: false,
            forwarded: false,
            retiring: false,
            deleting: false,
            failed_jobs: FailedJobs::new(),
            sent_kills: SentKills::default(),
            images: Vec::new(),
        }
    }

    /// Replaces the agent's tasks by those that a heartbeat names. Tasks with an unreadable name
    /// are skipped.
    fn set_tasks(&mut self, reported: &[ReportedTask]) {
        let known = std::mem::take(&mut self.tasks);
        let tasks = reported.iter().filter_map(|reported| {
            let key = TaskAttempt {
                task: reported.id()?,
                attempt: reported.attempt,
            };
            // No later message starts an attempt that a heartbeat names.
            let start = known.get(&key).map(|status| status.start);
            let status = TaskStatus {
                phase: reported.phase,
                why: reported.exit_reason,
                start: start.unwrap_or(self.fence.last_start()),
            };
            Some((key, status))
        });
        self.tasks = tasks.collect();
        let phases = self.tasks.values().map(|status| status.phase);
        self.ended_tasks = phases.filter(|phase| *phase == TaskPhase::Ended).count();
    }

    /// Applies a heartbeat that is newer than the last one.
    pub(super) fn apply_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        source: Source,
        now: Time,
    ) -> HeartbeatChanges {
        let changes = HeartbeatChanges {
            incarnation_ended: heartbeat.incarnation > self.incarnation
                && self.sequence > SequenceNumber(0),
            address_changed: self.addr != heartbeat.addr,
        };
        self.addr = heartbeat.addr;
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        let token_adopted = self.fence.reported(heartbeat.fencing_token);
        self.last_contact = now;
        self.relayed_sequence = SequenceNumber(0);
        self.direct.contact_confirmed();
        self.forwarded = source == Source::Forwarded;
        // Only a heartbeat that the agent itself sent here shows that the network path works. An
        // earlier version also counted heartbeats that other controllers received. While the owner
        // was cut off from all agents, it then retried direct commands after each of them.
        if source == Source::Heartbeat {
            self.direct.reported(now);
        }
        if heartbeat.preemption_notice_s.is_some() {
            self.retiring = true;
        }
        self.set_tasks(&heartbeat.tasks);
        self.images.clone_from(&heartbeat.images);
        // A heartbeat is no evidence that commands reach the agent. An earlier version counted
        // heartbeats as evidence, so each heartbeat made an unreachable machine usable again.
        self.reachability.reported(now);
        if token_adopted {
            self.reachability.proved(now);
        }
        changes
    }

    /// Returns whether a heartbeat is not newer than the last one.
    pub(super) fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence) <= (self.incarnation, self.sequence)
    }

    /// Records that another controller received a heartbeat of this agent. Each heartbeat counts
    /// once, because a copy that was relayed again and again made a failed machine seem up.
    pub(super) fn relayed_contact(
        &mut self,
        incarnation: Incarnation,
        sequence: SequenceNumber,
        now: Time,
    ) {
        if self.incarnation == incarnation && sequence > self.sequence.max(self.relayed_sequence) {
            self.relayed_sequence = sequence;
            self.last_contact = now;
            self.direct.contact_confirmed();
        }
    }

    /// Returns whether start commands go in the answers to the agent's heartbeats because
    /// direct commands don't reach it for now.
    pub(super) fn takes_starts_in_replies(&self, now: Time) -> bool {
        let pauses = self.direct.is_failing() && now < self.direct.retry_at();
        !self.direct.is_in_flight() && (self.forwarded || pauses)
    }

    /// Returns the incarnation of the agent that sent the last heartbeat.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns direct commands for the incarnation that reported last, with the current fencing
    /// token.
    pub(super) fn commands(&self, commands: Vec<Command>) -> DirectCommands {
        DirectCommands {
            fencing_token: self.fence.token(),
            incarnation: self.incarnation,
            commands,
        }
    }

    /// Returns the seconds since the last heartbeat that this controller received, or of which
    /// another controller notified it.
    pub(super) fn silence_s(&self, now: Time) -> f64 {
        now.since(self.last_contact)
    }

    /// Returns whether a direct command failed and no heartbeat since then has shown that a command
    /// arrived.
    pub(super) fn is_suspected_one_way(&self) -> bool {
        self.suspected_one_way
    }

    /// Returns whether another controller forwarded the last heartbeat.
    pub(super) fn is_forwarded(&self) -> bool {
        self.forwarded
    }

    /// Returns whether the owner returns the machine, or the cloud preempts it.
    pub(super) fn is_retiring(&self) -> bool {
        self.retiring
    }

    /// Marks the machine to be returned to the cloud once it is empty.
    pub(super) fn retire(&mut self) {
        self.retiring = true;
    }

    /// Returns whether the machine is being deleted.
    pub(super) fn is_deleting(&self) -> bool {
        self.deleting
    }

    /// Marks the machine as being deleted.
    pub(super) fn begin_deletion(&mut self) {
        self.deleting = true;
    }

    /// Records that the agent reported the current fencing token. Ends the suspicion that commands
    /// don't reach the agent, unless no command takes effect there.
    pub(super) fn reported_fencing_token(&mut self) {
        self.suspected_one_way = self.reachability.in_doubt();
        if self.suspected_one_way {
            // The agent has the current fencing token but executes nothing. It has to adopt a
            // higher token before it gets more commands.
            self.fence.raise();
        }
    }

    /// Records that the agent executed a direct command.
    pub(super) fn command_executed(&mut self, now: Time) {
        self.direct.executed(now);
        self.reachability.proved(now);
        self.forwarded = false;
    }

    /// Records that the agent refused a direct command.
    pub(super) fn command_refused(&mut self, now: Time) {
        self.direct.refused(now);
        self.reachability.proved(now);
    }

    /// Records that a direct command may have reached the agent but got no answer.
    pub(super) fn command_unanswered(&mut self, now: Time) {
        self.direct.failed(true, now);
        self.fence.raise();
    }

    /// Records that a direct command or its answer was lost. The machine is suspected from then
    /// on.
    pub(super) fn command_failed(&mut self, now: Time) {
        self.suspected_one_way = true;
        // The agent has not reported its current fencing token, so its next heartbeats have to show
        // that token.
        if !self.fenced() {
            self.reachability.asked(now);
        }
    }

    /// Returns whether the agent's last heartbeat names ended tasks.
    pub(super) fn has_ended_tasks(&self) -> bool {
        self.ended_tasks > 0
    }

    /// Returns whether the agent has so many ended tasks in its heartbeats that it gets no more.
    pub(super) fn has_many_ended_tasks(&self) -> bool {
        self.ended_tasks >= MAX_ENDED_TASKS
    }

    /// Returns whether the agent created its last heartbeat after it had received the fencing
    /// token that fences all earlier commands to it with an unknown outcome.
    pub(super) fn fenced(&self) -> bool {
        self.fence.is_proven()
    }
}
