//! What an owner knows of the line to one worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use sorrelhinge_overload::reachability::Reachability;

use super::direct_line::DirectLine;
use super::failed_jobs::FailedJobs;
use super::Source;
use crate::cloud::ListedMachine;
use crate::types::{
    Attempt, MachineId, SequenceNumber, Session, TaskId, Time, Token, TypeName, Zone,
};
use crate::worker::{
    Command, DirectCommands, ExitReason, Report, ReportedImage, ReportedTask, TaskPhase,
};

/// After so long without effect a worker is told again to stop a task, in seconds.
pub(super) const KILL_AGAIN_S: f64 = 2.0;

/// One attempt to run a task. Ordered by task, then by attempt.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskAttempt {
    pub(super) task: TaskId,
    pub(super) attempt: Attempt,
}

/// What a report says of a task.
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
    /// Forgets those that its last report does not name.
    pub(super) fn keep_reported(&mut self, reported: &BTreeMap<TaskAttempt, TaskStatus>) {
        self.0.retain(|key, _| reported.contains_key(key));
    }

    /// Whether a task is to be stopped that was not, or whose stop may be lost.
    pub(super) fn is_due(&self, task: &TaskAttempt, now: Time) -> bool {
        let sent = self.0.get(task);
        sent.is_none_or(|at| now.since(*at) >= KILL_AGAIN_S)
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

/// A machine as a list or a report shows it.
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

    /// By its worker's report.
    pub(super) fn by_report(report: &'a Report) -> Self {
        Self {
            id: &report.machine,
            addr: report.addr,
            kind: &report.machine_type,
            zone: &report.zone,
            spot: report.spot,
        }
    }
}

/// What a report tells that the one before it did not.
pub(super) struct ReportNews {
    /// The worker's session ended, and all its tasks with it.
    pub(super) session_ended: bool,
    /// The worker has another address.
    pub(super) moved: bool,
}

/// The line to one worker.
#[derive(Debug)]
pub(super) struct Link {
    /// Where its worker listens.
    pub(super) addr: SocketAddr,
    /// The session, and the number in it, of its last report.
    session: Session,
    sequence: SequenceNumber,
    /// The token that commands to this machine carry now.
    pub(super) token: Token,
    /// The highest token that the worker has reported.
    seen: Token,
    /// When it was last heard, by this controller or, as a hint, by another one.
    pub(super) last_heard: Time,
    /// The newest report that another controller spoke of.
    told_of: SequenceNumber,
    /// Whether anything that is sent there has an effect.
    pub(super) reachability: Reachability,
    /// What its last report said of its tasks.
    pub(super) tasks: BTreeMap<TaskAttempt, TaskStatus>,
    /// Whether direct commands get through.
    pub(super) direct: DirectLine,
    /// A direct command failed: no new tasks until a report shows that it heard.
    pub(super) doubted: bool,
    /// Its last report was passed on by another controller.
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

impl Link {
    /// To a machine of which nothing was heard yet. `token`: the grant's lowest one.
    pub(super) fn new(addr: SocketAddr, token: Token, now: Time) -> Self {
        Self {
            addr,
            session: Session(1),
            sequence: SequenceNumber(0),
            token,
            seen: Token(0),
            last_heard: now,
            told_of: SequenceNumber(0),
            reachability: Reachability::default(),
            tasks: BTreeMap::new(),
            direct: DirectLine::new(now),
            doubted: false,
            passed: false,
            leaving: false,
            deleting: false,
            failed_jobs: FailedJobs::none(),
            sent_kills: SentKills::default(),
            images: Vec::new(),
        }
    }

    /// Takes in what a report says of its tasks; one whose name can't be read is left out.
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
    pub(super) fn take_in(&mut self, report: &Report, source: Source, now: Time) -> ReportNews {
        let news = ReportNews {
            session_ended: report.incarnation > self.session && self.sequence > SequenceNumber(0),
            moved: self.addr != report.addr,
        };
        self.addr = report.addr;
        self.session = report.incarnation;
        self.sequence = report.sequence;
        let took_up =
            report.fencing_token > self.seen && report.fencing_token.grant() == self.token.grant();
        self.seen = self.seen.max(report.fencing_token);
        self.last_heard = now;
        self.told_of = SequenceNumber(0);
        self.direct.heard();
        self.passed = source == Source::Passed;
        // Only what comes from the worker itself shows that there is a way. Reports
        // that others took did too once: while the owner was cut off from all
        // workers, commands were tried directly after each of them.
        if source == Source::Beat {
            self.direct.reported(now);
        }
        if report.preemption_notice_s.is_some() {
            self.leaving = true;
        }
        self.set_tasks(&report.tasks);
        self.images.clone_from(&report.images);
        // That it reports is no sign that it hears: each report made a machine
        // usable again that no command reached.
        self.reachability.reported(now);
        if took_up {
            self.reachability.proved(now);
        }
        news
    }

    /// Whether a report is not newer than the last one.
    pub(super) fn is_copy(&self, report: &Report) -> bool {
        (report.incarnation, report.sequence) <= (self.session, self.sequence)
    }

    /// Another controller heard it. Each report counts once: told of again and again, a
    /// copy kept a dead machine alive.
    pub(super) fn heard_elsewhere(
        &mut self,
        session: Session,
        sequence: SequenceNumber,
        now: Time,
    ) {
        if self.session == session && sequence > self.sequence.max(self.told_of) {
            self.told_of = sequence;
            self.last_heard = now;
            self.direct.heard();
        }
    }

    /// Whether its starts go in the answers to its reports: direct commands don't get there
    /// for now.
    pub(super) fn takes_starts_in_replies(&self, now: Time) -> bool {
        let pauses = self.direct.is_failing() && now < self.direct.retry_at();
        !self.direct.is_in_flight() && (self.passed || pauses)
    }

    /// Direct commands for the session that was heard last, under the present token.
    pub(super) fn commands(&self, commands: Vec<Command>) -> DirectCommands {
        DirectCommands {
            fencing_token: self.token,
            incarnation: self.session,
            commands,
        }
    }

    /// Fences all commands that were sent to it so far.
    pub(super) fn raise_token(&mut self) {
        self.token = self.token.raised();
    }

    /// Whether the last report was made after the worker had learnt the token
    /// that now fences every earlier command to it.
    pub(super) fn fenced(&self) -> bool {
        self.seen >= self.token
    }
}
