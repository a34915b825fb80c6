//! What an owner knows of the line to one worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sorrelhinge_lease_safety::reachability::Reachability;

use super::direct_line::DirectLine;
use super::failed_jobs::FailedJobs;
use super::Source;
use crate::agent_client::{
    Command, DirectCommands, ExitReason, Heartbeat, ReportedImage, ReportedTask, TaskPhase,
};
use crate::cloud::ListedMachine;
use crate::types::{
    Attempt, FencingToken, Incarnation, MachineId, SequenceNumber, TaskId, Time, TypeName, Zone,
};

/// After so long without effect a worker is told again to stop a task, in seconds.
pub(super) const KILL_RETRY_S: f64 = 2.0;

/// One attempt to run a task. Ordered by task, then by attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskAttempt {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
}

/// What a heartbeat says of a task.
#[derive(Clone, Copy, Debug)]
pub(super) struct TaskStatus {
    pub(super) phase: TaskPhase,
    /// Why it ended, if it did.
    pub(super) why: Option<ExitReason>,
}

/// Tasks that a worker was told to stop, and when that was last.
#[derive(Debug, Default)]
pub(super) struct SentKills(BTreeMap<TaskAttempt, Time>);

impl SentKills {
    /// Forgets those that its last heartbeat does not name.
    pub(super) fn keep_reported(&mut self, reported: &BTreeMap<TaskAttempt, TaskStatus>) {
        self.0.retain(|key, _| reported.contains_key(key));
    }

    /// Whether a task is to be stopped that was not, or whose stop may be lost.
    pub(super) fn is_due(&self, task: &TaskAttempt, now: Time) -> bool {
        let sent = self.0.get(task);
        sent.is_none_or(|at| now.since(*at) >= KILL_RETRY_S)
    }

    /// The worker is told to stop a task.
    pub(super) fn sent(&mut self, task: &TaskAttempt, now: Time) {
        self.0.insert(task.clone(), now);
    }

    /// Whether it was told to stop nothing that it still reports.
    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// A machine as a list or a heartbeat shows it.
pub(super) struct SeenMachine<'a> {
    pub(super) id: &'a MachineId,
    pub(super) addr: SocketAddr,
    pub(super) kind: &'a TypeName,
    pub(super) zone: &'a Zone,
    pub(super) spot: bool,
}

impl<'a> SeenMachine<'a> {
    /// By the cloud's list, at the address that this names.
    pub(super) fn by_list(listed: &'a ListedMachine, addr: SocketAddr) -> Self {
        Self {
            id: &listed.id,
            addr,
            kind: &listed.machine_type,
            zone: &listed.zone,
            spot: listed.spot,
        }
    }

    /// By its worker's heartbeat.
    pub(super) fn by_heartbeat(heartbeat: &'a Heartbeat) -> Self {
        Self {
            id: &heartbeat.machine,
            addr: heartbeat.addr,
            kind: &heartbeat.machine_type,
            zone: &heartbeat.zone,
            spot: heartbeat.spot,
        }
    }
}

/// What a heartbeat tells that the one before it did not.
pub(super) struct HeartbeatNews {
    /// The worker's incarnation ended, and all its tasks with it.
    pub(super) incarnation_ended: bool,
    /// The worker has another address.
    pub(super) moved: bool,
}

/// The line to one worker.
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
    /// When it was last heard, by this controller or, as a hint, by another one.
    pub(super) last_heard: Time,
    /// The newest report that another controller spoke of.
    told_of: SequenceNumber,
    /// Whether anything that is sent there has an effect.
    pub(super) reachability: Reachability,
    /// What its last heartbeat said of its tasks.
    pub(super) tasks: BTreeMap<TaskAttempt, TaskStatus>,
    /// Whether direct commands get through.
    pub(super) direct: DirectLine,
    /// A direct command failed: no new tasks until a heartbeat shows that it heard.
    pub(super) suspected_one_way: bool,
    /// Its last heartbeat was passed on by another controller.
    pub(super) passed: bool,
    /// The cloud takes it, or it was chosen to go.
    pub(super) leaving: bool,
    /// Being deleted: nothing may count on it again.
    pub(super) deleting: bool,
    /// Jobs that failed here.
    pub(super) failed_jobs: FailedJobs,
    /// What it was told to stop.
    pub(super) sent_kills: SentKills,
    /// Images that it said it hands on.
    pub(super) images: Vec<ReportedImage>,
}

impl AgentState {
    /// To a machine of which nothing was heard yet. `fencing_token`: the grant's lowest one.
    pub(super) fn new(addr: SocketAddr, fencing_token: FencingToken, now: Time) -> Self {
        Self {
            addr,
            incarnation: Incarnation(1),
            sequence: SequenceNumber(0),
            fencing_token,
            seen: FencingToken(0),
            last_heard: now,
            told_of: SequenceNumber(0),
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

    /// Takes in a report that is newer than the last one.
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
        self.last_heard = now;
        self.told_of = SequenceNumber(0);
        self.direct.heard();
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
        // That it heartbeats is no sign that it hears: each heartbeat made a machine
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

    /// Another controller heard it. Each heartbeat counts once: told of again and again, a
    /// copy kept a dead machine alive.
    pub(super) fn heard_elsewhere(
        &mut self,
        incarnation: Incarnation,
        sequence: SequenceNumber,
        now: Time,
    ) {
        if self.incarnation == incarnation && sequence > self.sequence.max(self.told_of) {
            self.told_of = sequence;
            self.last_heard = now;
            self.direct.heard();
        }
    }

    /// Whether its starts go in the answers to its heartbeats: direct commands don't get there
    /// for now.
    pub(super) fn takes_starts_in_replies(&self, now: Time) -> bool {
        let pauses = self.direct.is_failing() && now < self.direct.retry_at();
        !self.direct.is_in_flight() && (self.passed || pauses)
    }

    /// Direct commands for the incarnation that was heard last, under the present fencing token.
    pub(super) fn commands(&self, commands: Vec<Command>) -> DirectCommands {
        DirectCommands {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            commands,
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
