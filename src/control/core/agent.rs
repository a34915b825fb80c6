//! What an owner knows of one worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sorrelhinge_lease_safety::reachability::Reachability;

use super::direct_line::DirectLine;
use super::failed_jobs::FailedJobs;
use super::task_attempt::{SentKills, TaskAttempt, TaskStatus};
use super::Source;
use crate::agent_client::{Command, DirectCommands, Heartbeat, ReportedImage, ReportedTask};
use crate::types::{FencingToken, Incarnation, SequenceNumber, Time};

/// What a heartbeat shows that the one before it did not.
pub(super) struct HeartbeatNews {
    /// The worker's incarnation ended, and all its tasks with it.
    pub(super) incarnation_ended: bool,
    /// The worker has another address.
    pub(super) moved: bool,
}

/// What is known of one worker.
#[derive(Debug)]
pub(super) struct AgentState {
    /// Where its worker listens.
    pub(super) addr: SocketAddr,
    /// The incarnation, and the number in it, of its last heartbeat.
    incarnation: Incarnation,
    sequence: SequenceNumber,
    /// The fencing token that commands to this machine carry now.
    pub(super) fencing_token: FencingToken,
    /// The highest fencing token that the worker has reported.
    seen: FencingToken,
    /// When its last heartbeat came, to this controller or, as a hint, to another one.
    last_contact: Time,
    /// The newest heartbeat that another controller spoke of.
    relayed_sequence: SequenceNumber,
    /// Whether anything that is sent there has an effect.
    pub(super) reachability: Reachability,
    /// What its last heartbeat said of its tasks.
    pub(super) tasks: BTreeMap<TaskAttempt, TaskStatus>,
    /// Whether direct commands get through.
    pub(super) direct: DirectLine,
    /// A direct command failed: no new tasks until a heartbeat shows that one arrived.
    suspected_one_way: bool,
    /// Its last heartbeat was passed on by another controller.
    passed: bool,
    /// The cloud takes it, or it was chosen to go.
    leaving: bool,
    /// Being deleted: nothing may count on it again.
    deleting: bool,
    /// Jobs that failed here.
    pub(super) failed_jobs: FailedJobs,
    /// What it was sent the command to stop.
    pub(super) sent_kills: SentKills,
    /// Images that it said it hands on.
    pub(super) images: Vec<ReportedImage>,
}

impl AgentState {
    /// Of a machine that has sent no heartbeat yet. `fencing_token`: the grant's lowest one.
    pub(super) fn new(addr: SocketAddr, fencing_token: FencingToken, now: Time) -> Self {
        Self {
            addr,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(0),
            fencing_token,
            seen: FencingToken(0),
            last_contact: now,
            relayed_sequence: SequenceNumber(0),
            reachability: Reachability::default(),
            tasks: BTreeMap::new(),
            direct: DirectLine::new(now),
            suspected_one_way: false,
            passed: false,
            leaving: false,
            deleting: false,
            failed_jobs: FailedJobs::none(),
            sent_kills: SentKills::default(),
            images: Vec::new(),
        }
    }

    /// Takes in what a heartbeat says of its tasks; one whose name can't be read is left out.
    fn set_tasks(&mut self, reported: &[ReportedTask]) {
        let tasks = reported.iter().filter_map(|reported| {
            let key = TaskAttempt {
                task: reported.id()?,
                attempt: reported.attempt,
            };
            let status = TaskStatus {
                phase: reported.phase,
                why: reported.exit_reason,
            };
            Some((key, status))
        });
        self.tasks = tasks.collect();
    }

    /// Takes in a heartbeat that is newer than the last one.
    pub(super) fn take_in(
        &mut self,
        heartbeat: &Heartbeat,
        source: Source,
        now: Time,
    ) -> HeartbeatNews {
        let news = HeartbeatNews {
            incarnation_ended: heartbeat.incarnation > self.incarnation
                && self.sequence > SequenceNumber(0),
            moved: self.addr != heartbeat.addr,
        };
        self.addr = heartbeat.addr;
        self.incarnation = heartbeat.incarnation;
        self.sequence = heartbeat.sequence;
        let took_up = heartbeat.fencing_token > self.seen
            && heartbeat.fencing_token.grant() == self.fencing_token.grant();
        self.seen = self.seen.max(heartbeat.fencing_token);
        self.last_contact = now;
        self.relayed_sequence = SequenceNumber(0);
        self.direct.contact_confirmed();
        self.passed = source == Source::Passed;
        // Only what comes from the worker itself shows that there is a way. Heartbeats
        // that others took did too once: while the owner was cut off from all
        // workers, commands were tried directly after each of them.
        if source == Source::Heartbeat {
            self.direct.reported(now);
        }
        if heartbeat.preemption_notice_s.is_some() {
            self.leaving = true;
        }
        self.set_tasks(&heartbeat.tasks);
        self.images.clone_from(&heartbeat.images);
        // That it heartbeats is no sign that commands reach it: each heartbeat made a machine
        // usable again that no command reached.
        self.reachability.reported(now);
        if took_up {
            self.reachability.proved(now);
        }
        news
    }

    /// Whether a heartbeat is not newer than the last one.
    pub(super) fn is_copy(&self, heartbeat: &Heartbeat) -> bool {
        (heartbeat.incarnation, heartbeat.sequence) <= (self.incarnation, self.sequence)
    }

    /// Another controller received its heartbeat. Each counts once: relayed again and again, a
    /// copy kept a dead machine alive.
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

    /// Whether its starts go in the answers to its heartbeats: direct commands don't get there
    /// for now.
    pub(super) fn takes_starts_in_replies(&self, now: Time) -> bool {
        let pauses = self.direct.is_failing() && now < self.direct.retry_at();
        !self.direct.is_in_flight() && (self.passed || pauses)
    }

    /// Direct commands for the incarnation that reported last, under the present fencing token.
    pub(super) fn commands(&self, commands: Vec<Command>) -> DirectCommands {
        DirectCommands {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            commands,
        }
    }

    /// Seconds since its last heartbeat came here or, as a hint, to another controller.
    pub(super) fn silence_s(&self, now: Time) -> f64 {
        now.since(self.last_contact)
    }

    /// Whether a direct command failed, and no heartbeat shows yet that one arrived.
    pub(super) fn is_suspected_one_way(&self) -> bool {
        self.suspected_one_way
    }

    /// Whether its last heartbeat was passed on by another controller.
    pub(super) fn is_passed_on(&self) -> bool {
        self.passed
    }

    /// Whether its machine is given back, or the cloud takes it.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Its machine is given back once it is empty.
    pub(super) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether its machine is being deleted.
    pub(super) fn is_deleting(&self) -> bool {
        self.deleting
    }

    /// Its machine is to be deleted from now on.
    pub(super) fn begin_deletion(&mut self) {
        self.deleting = true;
    }

    /// It has reported the present fencing token, and is no longer doubted unless nothing
    /// that is sent there has an effect.
    pub(super) fn reported_fencing_token(&mut self) {
        self.suspected_one_way = self.reachability.in_doubt();
        if self.suspected_one_way {
            // It has the present fencing token and does nothing: a higher one has
            // to be taken up before anything more goes there.
            self.raise_fencing_token();
        }
    }

    /// It carried a direct command out.
    pub(super) fn command_executed(&mut self, now: Time) {
        self.direct.executed(now);
        self.reachability.proved(now);
        self.passed = false;
    }

    /// It answered that it did not carry a direct command out.
    pub(super) fn command_refused(&mut self, now: Time) {
        self.direct.refused(now);
        self.reachability.proved(now);
    }

    /// A direct command may have reached it, and no answer came.
    pub(super) fn command_unanswered(&mut self, now: Time) {
        self.direct.failed(true, now);
        self.raise_fencing_token();
    }

    /// A direct command did not get through, or no answer to it: it is in doubt.
    pub(super) fn command_failed(&mut self, now: Time) {
        self.suspected_one_way = true;
        // Its heartbeats have to show the fencing token.
        if !self.fenced() {
            self.reachability.asked(now);
        }
    }

    /// Fences all commands that were sent to it so far.
    pub(super) fn raise_fencing_token(&mut self) {
        self.fencing_token = self.fencing_token.raised();
    }

    /// Whether the last heartbeat was made after the worker had learnt the fencing token
    /// that now fences every earlier command to it.
    pub(super) fn fenced(&self) -> bool {
        self.seen >= self.fencing_token
    }
}
