//! What users see of a job. Polls: which are answered while not all can be, and who answers
//! one that this controller can't confirm.

use std::time::Duration;

use sorrelhinge_overload::poll_shedding::Poll;
use sorrelhinge_overload::pressure::Level;
use sorrelhinge_protocol::users::PipelineStatus;
use tokio::time::Instant;

use super::store_watch::FRESH_VIEW_TIMEOUT;
use super::Node;
use crate::peer_link;
use crate::scheduler::WaitingReason;
use crate::state::record::Phase;
use crate::state::view::Summary;
use crate::types::{JobId, NodeId};

/// A user waits 2 s: an answer after this comes too late.
const ANSWER_DEADLINE: Duration = Duration::from_millis(1900);
/// This controller tries for so long alone, so that another has time left. One
/// read takes its turn of at most 0.3 s and an answer's way.
const LOCAL_QUERY_TIMEOUT: Duration = Duration::from_millis(1200);
/// The same after a read that failed: the state service may hold what is asked of
/// it here for long, and serve others.
const LOCAL_RETRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Another one has so long, so that a second can be asked.
const REMOTE_QUERY_TIMEOUT: Duration = Duration::from_millis(950);
/// With less time left no other is asked.
const MIN_REMOTE_TIMEOUT: Duration = Duration::from_millis(100);

/// What the records say of a job, by a read that began after it was asked about.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// It was accepted; its state.
    Recorded(Summary),
    /// There is no such job.
    Absent,
    /// No read confirmed it in time.
    Unconfirmed,
}

impl JobStatus {
    /// Whether the records confirm it.
    fn is_confirmed(&self) -> bool {
        match self {
            Self::Recorded(_) | Self::Absent => true,
            Self::Unconfirmed => false,
        }
    }
}

/// What came of a poll.
pub enum Polled {
    /// This controller answers; unconfirmed: nobody could confirm it in time.
    Local(JobStatus),
    /// Another controller answered.
    Peer(peer_link::Answered),
}

impl Node {
    /// What users see of a job that is known to be over: that never changes.
    fn final_summary(&self, id: &JobId) -> Option<Summary> {
        let summary = self.store.view().summary(id);
        summary.filter(|summary| summary.phase != Phase::Live)
    }

    /// Whether a job is known to be over.
    fn is_over(&self, id: &JobId) -> bool {
        self.final_summary(id).is_some()
    }

    /// What users see of a job, as of now.
    pub(super) async fn status(&self, id: &JobId) -> JobStatus {
        self.status_within(id, FRESH_VIEW_TIMEOUT).await
    }

    /// The same, for so long at the most.
    async fn status_within(&self, id: &JobId, patience: Duration) -> JobStatus {
        if let Some(summary) = self.final_summary(id) {
            return JobStatus::Recorded(summary);
        }
        if !self.fresh_within(patience).await {
            return JobStatus::Unconfirmed;
        }
        let summary = self.store.view().summary(id);
        summary.map_or(JobStatus::Absent, JobStatus::Recorded)
    }

    /// What a job in a pipeline waits for and inherits, by this controller's view.
    pub fn pipeline_status(&self, id: &JobId) -> Option<PipelineStatus> {
        self.store.view().pipeline_status(id)
    }

    /// Why a job waits, if this controller places it and knows.
    pub fn why_waits(&self, id: &JobId) -> Option<WaitingReason> {
        let cores = self.shards.owned();
        let mut here = cores.values().filter(|c| c.scope.homes(id));
        here.find_map(|c| c.cluster_state.why_waits(id, self.now()))
    }

    /// Whether a poll is to be told to come back as too much is asked for; see
    /// [`sorrelhinge_overload::poll_shedding`].
    pub fn sheds_poll(&self, id: &JobId) -> bool {
        if self.is_over(id) {
            self.admission.job_over(id);
            return false;
        }
        let poll = Poll {
            job: id,
            known: self.store.view().job(id).is_some(),
            shed: self.load.level() >= Level::Polls,
        };
        self.admission.refuses_poll(poll, self.now())
    }

    /// A user's request about a job was answered, or `answered` is false and it could not be.
    pub fn record_answer(&self, id: &JobId, answered: bool) {
        if self.is_over(id) {
            return self.admission.job_over(id);
        }
        let known = self.store.view().job(id).is_some();
        if answered {
            self.admission.poll_answered(id, known, self.now());
        } else {
            self.admission.poll_failed(id, known, self.now());
        }
    }

    /// Answers a poll within the time that its user waits: here, or if that can't
    /// be, by way of another controller.
    ///
    /// An answer from there is never older than what was told here before: it
    /// rests on a read that the other one began after the question came to it, so
    /// after everything this controller had told by then, which was recorded
    /// before it was told. What this one learnt meanwhile goes before it below.
    pub async fn poll(&self, id: &JobId) -> Polled {
        let end = Instant::now() + ANSWER_DEADLINE;
        if self.cut_off() {
            if let Some(polled) = self.poll_peers(id, end).await {
                return polled;
            }
        }
        let left = || end.saturating_duration_since(Instant::now());
        let patience = if self.store.last_refresh_succeeded() {
            LOCAL_QUERY_TIMEOUT
        } else {
            LOCAL_RETRY_TIMEOUT
        };
        let status = self.status_within(id, left().min(patience)).await;
        if status.is_confirmed() {
            return Polled::Local(status);
        }
        if let Some(polled) = self.poll_peers(id, end).await {
            return polled;
        }
        // Nobody else can: what time is left may do here.
        Polled::Local(self.status_within(id, left()).await)
    }

    /// The same for another controller that could not; it passes nothing on.
    pub async fn poll_for_peer(&self, id: &JobId) -> JobStatus {
        self.status_within(id, LOCAL_QUERY_TIMEOUT).await
    }

    async fn poll_peers(&self, id: &JobId, end: Instant) -> Option<Polled> {
        let _passed = self.admission.begin_forwarded_query()?;
        for other in self.peers_answering_polls(id).iter().take(2) {
            let left = end.saturating_duration_since(Instant::now());
            if left < MIN_REMOTE_TIMEOUT {
                return None;
            }
            let text = id.as_str().as_bytes().to_vec();
            let asked = self.peers.forward_within(
                other,
                peer_link::Kind::Poll,
                text,
                left.min(REMOTE_QUERY_TIMEOUT),
            );
            let answered = asked.await;
            if let Some(summary) = self.final_summary(id) {
                return Some(Polled::Local(JobStatus::Recorded(summary)));
            }
            // What is recorded here was accepted: nobody may be told otherwise.
            let absent_there = answered.as_ref().is_some_and(|a| a.status == 404);
            if absent_there && self.store.view().job(id).is_some() {
                tracing::error!(job = %id, by = %other, "stale status answer discarded");
                continue;
            }
            if let Some(answered) = answered.filter(|a| matches!(a.status, 200 | 404)) {
                return Some(Polled::Peer(answered));
            }
        }
        self.admission.no_peer_answered_poll();
        None
    }

    /// Other controllers that can be reached and know polls, in an order of each
    /// job's own; the leader last, as it has the most to do.
    fn peers_answering_polls(&self, id: &JobId) -> Vec<NodeId> {
        let leader = self.store.view().leader.value.clone().map(|l| l.node);
        let knows = |n: &&NodeId| self.peer_statuses.answers_polls(n);
        let mut others: Vec<NodeId> = self.peers.reachable().filter(knows).cloned().collect();
        others.sort();
        if !others.is_empty() {
            let turn = id.as_str().bytes().map(usize::from).sum::<usize>() % others.len();
            others.rotate_left(turn);
        }
        others.sort_by_key(|n| Some(n) == leader.as_ref());
        others
    }
}
