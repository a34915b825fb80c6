//! What an owner knows of the line to one worker.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sorrelhinge_overload::reachability::Reachability;

use super::direct_line::DirectLine;
use crate::cloud::Listed;
use crate::types::{Attempt, JobId, MachineId, Seq, Session, TaskId, Time, Token, TypeName, Zone};
use crate::worker::{Report, ReportedImage, ReportedTask, TaskPhase, Why};

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
    pub(super) why: Option<Why>,
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
    pub(super) fn by_list(listed: &'a Listed, addr: SocketAddr) -> Self {
        Self {
            id: &listed.uid,
            addr,
            kind: &listed.build,
            zone: &listed.rack,
            spot: listed.loaners,
        }
    }

    /// By its worker's report.
    pub(super) fn by_report(report: &'a Report) -> Self {
        Self {
            id: &report.machine,
            addr: report.addr,
            kind: &report.build,
            zone: &report.rack,
            spot: report.loaners,
        }
    }
}

/// The line to one worker.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) addr: SocketAddr,
    pub(super) session: Session,
    pub(super) seq: Seq,
    /// The token that commands to this machine carry now.
    pub(super) token: Token,
    /// The highest token that the worker has reported.
    pub(super) seen: Token,
    pub(super) last_heard: Time,
    /// The newest report that another controller spoke of.
    pub(super) told_of: Seq,
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
    /// Not used until then, after failures.
    pub(super) shunned_until: Time,
    /// Jobs that failed here.
    pub(super) errors: BTreeSet<JobId>,
    /// When it was last told to stop a task.
    pub(super) kill_sent: BTreeMap<TaskAttempt, Time>,
    /// Images that it said it hands on.
    pub(super) images: Vec<ReportedImage>,
}

impl Link {
    /// To a machine of which nothing was heard yet. `token`: the grant's lowest one.
    pub(super) fn new(addr: SocketAddr, token: Token, now: Time) -> Self {
        Self {
            addr,
            session: Session(1),
            seq: Seq(0),
            token,
            seen: Token(0),
            last_heard: now,
            told_of: Seq(0),
            reachability: Reachability::default(),
            tasks: BTreeMap::new(),
            direct: DirectLine::new(now),
            doubted: false,
            passed: false,
            leaving: false,
            deleting: false,
            shunned_until: Time(0.0),
            errors: BTreeSet::new(),
            kill_sent: BTreeMap::new(),
            images: Vec::new(),
        }
    }

    /// Takes in what a report says of its tasks; one whose name can't be read is left out.
    pub(super) fn set_tasks(&mut self, reported: &[ReportedTask]) {
        let tasks = reported.iter().filter_map(|reported| {
            let key = TaskAttempt {
                task: reported.id()?,
                attempt: reported.attempt,
            };
            let status = TaskStatus {
                phase: reported.phase,
                why: reported.cause,
            };
            Some((key, status))
        });
        self.tasks = tasks.collect();
    }

    /// Whether the last report was made after the worker had learnt the token
    /// that now fences every earlier command to it.
    pub(super) fn fenced(&self) -> bool {
        self.seen >= self.token
    }
}
