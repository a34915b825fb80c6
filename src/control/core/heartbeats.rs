//! Agents' heartbeats: decides which of them to accept, and what they prove about the claims on a
//! machine.

use super::seen_machine::SeenMachine;
use super::task_attempt::{TaskAttempt, TaskStatus};
use super::{Core, Source};
use crate::agent_client::{ExitReason, Heartbeat, TaskPhase};
use crate::scheduler::{Progress, Sent};
use crate::types::{Incarnation, MachineId, SequenceNumber, TaskId, Time};

impl Core {
    /// Returns whether a heartbeat is a late copy. Such a heartbeat is not newer than the last
    /// one, or it comes from a deleted machine, whose name is never used again. Copies of a
    /// dead machine's last heartbeat once added that machine again, and kept it in the fleet.
    pub fn is_stale(&self, heartbeat: &Heartbeat) -> bool {
        if let Some(agent) = self.agents.get(&heartbeat.machine) {
            return agent.is_stale(heartbeat);
        }
        self.tombstones.contains(&heartbeat.machine)
    }

    /// Applies an agent's heartbeat. Returns `false` if the heartbeat carries a fencing token of a
    /// newer grant, which supersedes the grant of this owner. Even a late heartbeat proves this,
    /// because only the holder of the newer grant issues such tokens.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, source: Source, now: Time) -> bool {
        if heartbeat.fencing_token.grant() > self.grant {
            return false;
        }
        if self.accepts(heartbeat) {
            self.apply_heartbeat(heartbeat, source, now);
        }
        true
    }

    /// Returns whether a heartbeat is from a machine of this shard and is certainly no late
    /// copy.
    fn accepts(&self, heartbeat: &Heartbeat) -> bool {
        if !self.scope.covers(&heartbeat.machine) || self.is_stale(heartbeat) {
            return false;
        }
        // Only a heartbeat with a fencing token of this grant was certainly created under this
        // grant. Any other heartbeat may be an earlier copy from a machine deleted long ago. Once
        // the owner has read the machine list, such a heartbeat does not add a machine. The answer
        // to a live agent carries this grant's fencing token, and the agent's next heartbeat
        // carries it back.
        let id = &heartbeat.machine;
        let shown =
            heartbeat.fencing_token >= self.base_fencing_token() || self.inventory.is_pending(id);
        !self.inventory.was_listed() || shown || self.agents.contains(id)
    }

    /// Applies an accepted heartbeat: updates the agent's state, the tasks that it names and
    /// the claims that it does not name.
    fn apply_heartbeat(&mut self, heartbeat: &Heartbeat, source: Source, now: Time) {
        let id = &heartbeat.machine;
        let (lease_s, silence_ignored) = (self.cfg.lease_s, self.ignored_silence.is_on(now));
        let Some(agent) = self.agent(&SeenMachine::by_heartbeat(heartbeat), now) else {
            return;
        };
        let changes = agent.apply_heartbeat(heartbeat, source, now);
        // The agent's lease expires again and again although its heartbeats are answered, and each
        // time all tasks on the machine are lost. So the owner returns the machine to the cloud.
        // The machine stays while this controller reads requests too late, because late answers may
        // be the cause.
        if changes.incarnation_ended
            && agent.reachability.incarnation_ended(lease_s, now)
            && !silence_ignored
        {
            agent.retire();
        }
        let fenced = agent.fence.proves(heartbeat.fencing_token);
        self.record_served_images(heartbeat);
        if changes.address_changed {
            self.cluster_state.locate(id, Some(heartbeat.addr.ip()));
        }
        self.check_started_tasks(id, now);
        if changes.incarnation_ended {
            self.incarnation_ended(id, now);
        }
        if fenced {
            self.reconcile(id, source, now);
        }
        self.clear_suspicion(id);
        self.queue_contact(id);
        self.refresh_machine(id, now);
    }

    /// Clears the suspicion of a machine that has the current fencing token, unless no command that
    /// is sent to it takes effect.
    fn clear_suspicion(&mut self, id: &MachineId) {
        let Some(agent) = self.agents.get_mut(id).filter(|agent| agent.fenced()) else {
            return;
        };
        agent.reported_fencing_token();
    }

    /// Records that commands reach the machine if a task that this owner started is in the
    /// heartbeat.
    fn check_started_tasks(&mut self, id: &MachineId, now: Time) {
        let Some(agent) = self
            .agents
            .get_mut(id)
            .filter(|agent| agent.reachability.awaits_effect())
        else {
            return;
        };
        let began = self.cluster_state.claims_on(id).into_iter().any(|task| {
            self.cluster_state.claim_of(&task).is_some_and(|c| {
                matches!(c.sent, Sent::InReply | Sent::Flying)
                    && agent.tasks.contains_key(&TaskAttempt {
                        task,
                        attempt: c.attempt,
                    })
            })
        });
        if began {
            agent.reachability.proved(now);
        }
    }

    /// Releases the claims that ended with a machine's incarnation. If this owner sent the start
    /// command to the old incarnation, the task is lost whatever fencing token the agent has. On a
    /// machine that no command reaches, no heartbeat ever carries the current token. Tasks that a
    /// former owner started may belong to the new incarnation. Claims of such tasks stay until a
    /// heartbeat carries the current token.
    fn incarnation_ended(&mut self, id: &MachineId, now: Time) {
        for task in self.cluster_state.claims_on(id) {
            let ours = self
                .cluster_state
                .claim_of(&task)
                .is_some_and(|c| matches!(c.sent, Sent::Answered | Sent::InReply));
            if ours {
                tracing::info!(task = %task, machine = %id, "task lost because its agent's incarnation ended");
                self.release(&task, now);
                self.placement_queue.request_full_walk();
            }
        }
    }

    /// Records that another controller received a heartbeat that shows nothing new. The record is
    /// only a hint. It saves the direct command that would test whether the machine still answers.
    pub fn relayed_contact(
        &mut self,
        id: &MachineId,
        incarnation: Incarnation,
        sequence: SequenceNumber,
        now: Time,
    ) {
        if let Some(agent) = self.agents.get_mut(id) {
            agent.relayed_contact(incarnation, sequence, now);
        }
    }

    /// Compares the claims on a machine with an authoritative heartbeat. Such a heartbeat
    /// carries the fencing token that fences all earlier commands.
    pub(super) fn reconcile(&mut self, id: &MachineId, source: Source, now: Time) {
        if !self.cluster_state.machines().contains_key(id) {
            return;
        }
        for task in self.cluster_state.claims_on(id) {
            self.reconcile_claim(id, &task, source, now);
        }
    }

    /// Compares one claim with the heartbeat of its machine.
    fn reconcile_claim(&mut self, id: &MachineId, task: &TaskId, source: Source, now: Time) {
        let job = self.cluster_state.job(&task.job);
        let claim = self.cluster_state.claim_of(task);
        let (Some(job), Some(claim), Some(agent)) = (job, claim, self.agents.get(id)) else {
            return;
        };
        let key = TaskAttempt {
            task: task.clone(),
            attempt: claim.attempt,
        };
        match agent.tasks.get(&key).copied() {
            Some(TaskStatus {
                phase: TaskPhase::Ended,
                why,
                ..
            }) => {
                let spec = job.spec.clone();
                self.ended(id, task, &spec, why.unwrap_or(ExitReason::Other), now);
            }
            Some(TaskStatus { phase, .. }) => self.claim_reported(task, phase, now),
            None => self.claim_not_reported(id, task, source, now),
        }
    }

    /// Records that a claimed task is on its machine and has not ended.
    fn claim_reported(&mut self, task: &TaskId, phase: TaskPhase, now: Time) {
        let Some(claim) = self.cluster_state.claim_mut(task) else {
            return;
        };
        claim.sent = Sent::Answered;
        let before = claim.progress;
        let after = match (phase, before) {
            (TaskPhase::Fetching | TaskPhase::Waiting, _) => Progress::Fetching,
            (TaskPhase::Saving, _) => Progress::Saving,
            (_, Progress::Running(since)) => Progress::Running(since),
            _ => Progress::Running(now),
        };
        claim.progress = after;
        let began = matches!(after, Progress::Running(_)) && before != after;
        if phase == TaskPhase::Waiting || began {
            self.cluster_state.ran(task);
        }
        if began {
            self.record_image_complete(task);
        }
    }

    /// Handles a claimed task that is not on its machine. Either the task never started, it ended,
    /// or its start command is still on the way.
    fn claim_not_reported(&mut self, id: &MachineId, task: &TaskId, source: Source, now: Time) {
        let in_flight = self
            .agents
            .get(id)
            .is_some_and(|agent| agent.direct.is_in_flight());
        let job = self.cluster_state.job(&task.job);
        let cancelled = job.is_some_and(|j| j.cancelled);
        let Some(claim) = self.cluster_state.claim_mut(task) else {
            return;
        };
        match claim.sent {
            Sent::No => {}
            // The task never started, or it has ended. The former owner may have dropped the
            // claim and given its quota, capacity or devices to another claim. Perhaps only
            // that other claim is in the record so far. So the task is placed again instead of
            // started.
            Sent::Found => {
                self.release(task, now);
            }
            // Only the next heartbeat that the agent sends itself shows whether a reply arrived.
            // The answer to a direct command may overtake the reply.
            Sent::InReply if source == Source::Direct => {}
            // The answer to the start command in flight is still to come, and shows the task.
            Sent::Flying if in_flight => {}
            Sent::Flying | Sent::InReply => {
                claim.sent = Sent::No;
                if cancelled || claim.stop.is_some() {
                    self.release(task, now);
                }
            }
            Sent::Answered => {
                tracing::info!(task = %task, machine = %id, "task missing from heartbeat");
                self.release(task, now);
            }
        }
    }
}
