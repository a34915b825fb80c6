//! What an owner knows of the line to one worker.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use sorrelhinge_overload::reachability::Reachability;

use super::direct_line::DirectLine;
use crate::types::{Attempt, JobId, Seq, Session, TaskId, Time, Token};
use crate::worker::{ReportedImage, TaskPhase, Why};

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
    pub(super) tasks: BTreeMap<(TaskId, Attempt), (TaskPhase, Option<Why>)>,
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
    pub(super) kill_sent: BTreeMap<(TaskId, Attempt), Time>,
    /// Images that it said it hands on.
    pub(super) images: Vec<ReportedImage>,
}

impl Link {
    /// Whether the last report was made after the worker had learnt the token
    /// that now fences every earlier command to it.
    pub(super) fn fenced(&self) -> bool {
        self.seen >= self.token
    }
}
