//! Answers users' polls of job states. Decides which polls are answered while the
//! controller sheds load, and which controller answers a poll that this one can't confirm.

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

/// Deadline of an answer. A user waits 2 s, so a later answer is useless.
const ANSWER_DEADLINE: Duration = Duration::from_millis(1900);
/// Time for which this controller tries alone to confirm a job's state, so that another controller
/// has time left to answer. One read takes its turn of at most 0.3 s plus the time of a response.
const LOCAL_QUERY_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time for which this controller tries alone to confirm a job's state after a failed read. The
/// state service may delay requests of this controller for long while it serves others.
const LOCAL_RETRY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time that one other controller has to answer a poll, so that a second one can be asked.
const REMOTE_QUERY_TIMEOUT: Duration = Duration::from_millis(950);
/// Minimum time left of a poll at which another controller is still asked.
const MIN_REMOTE_TIMEOUT: Duration = Duration::from_millis(100);

/// State of a job by a read that began after the request for it.
#[derive(Clone, Debug, PartialEq)]
pub enum JobStatus {
    /// The job was accepted and has this state.
    Recorded(Summary),
    /// No job with this id is recorded.
    Absent,
    /// No read confirmed the state in time.
    Unconfirmed,
}

impl JobStatus {
    /// Returns whether a read of the records has confirmed this state.
    fn is_confirmed_by_records(&self) -> bool {
        match self {
            Self::Recorded(_) | Self::Absent => true,
            Self::Unconfirmed => false,
        }
    }
}

/// Outcome of a poll.
pub enum PollOutcome {
    /// This controller answers. The status is unconfirmed if no controller could confirm it
    /// in time.
    Local(JobStatus),
    /// Another controller answered, and its response goes to the user.
    Peer(peer_link::Answered),
}

impl Node {
    /// Returns the state of a job that is known to have ended. Such a state never changes.
    fn final_summary(&self, id: &JobId) -> Option<Summary> {
        let summary = self.store.view().summary(id);
        summary.filter(|summary| summary.phase != Phase::Live)
    }

    /// Returns whether a job is known to have ended.
    fn has_ended(&self, id: &JobId) -> bool {
        self.final_summary(id).is_some()
    }

    /// Returns the current state of a job.
    pub(super) async fn status(&self, id: &JobId) -> JobStatus {
        self.status_within(id, FRESH_VIEW_TIMEOUT).await
    }

    /// Returns the current state of a job, or [`JobStatus::Unconfirmed`] if no read
    /// succeeds within `timeout`.
    async fn status_within(&self, id: &JobId, timeout: Duration) -> JobStatus {
        if let Some(summary) = self.final_summary(id) {
            return JobStatus::Recorded(summary);
        }
        if !self.fresh_within(timeout).await {
            return JobStatus::Unconfirmed;
        }
        let summary = self.store.view().summary(id);
        summary.map_or(JobStatus::Absent, JobStatus::Recorded)
    }

    /// Returns what a job in a pipeline waits for and inherits, by this controller's view.
    pub fn pipeline_status(&self, id: &JobId) -> Option<PipelineStatus> {
        self.store.view().pipeline_status(id)
    }

    /// Returns why a job waits, if this controller places the job and knows the reason.
    pub fn why_waits(&self, id: &JobId) -> Option<WaitingReason> {
        let cores = self.shards.owned();
        let mut here = cores.values().filter(|c| c.scope.homes(id));
        here.find_map(|c| c.cluster_state.why_waits(id, self.now()))
    }

    /// Returns whether the controller sheds this poll because of the load; see
    /// [`sorrelhinge_overload::poll_shedding`].
    pub fn sheds_poll(&self, id: &JobId) -> bool {
        if self.has_ended(id) {
            self.admission.job_ended(id);
            return false;
        }
        let poll = Poll {
            job: id,
            known: self.store.view().job(id).is_some(),
            shed: self.load.level() >= Level::Polls,
        };
        self.admission.refuses_poll(poll, self.now())
    }

    /// Records whether a user's request about a job could be answered.
    pub fn record_answer(&self, id: &JobId, answered: bool) {
        if self.has_ended(id) {
            return self.admission.job_ended(id);
        }
        let known = self.store.view().job(id).is_some();
        if answered {
            self.admission.poll_answered(id, known, self.now());
        } else {
            self.admission.poll_failed(id, known, self.now());
        }
    }

    /// Answers a poll before its user stops waiting. If this controller can't answer,
    /// another controller does.
    ///
    /// An answer of another controller is never older than what this controller told users
    /// before. It rests on a read that the other controller began after the poll reached
    /// it. All that this controller had told users by then was recorded before it was told,
    /// so the read contains it. If this controller learns the job's final state while it
    /// waits, that state takes precedence.
    pub async fn poll(&self, id: &JobId) -> PollOutcome {
        let deadline = Instant::now() + ANSWER_DEADLINE;
        if self.is_cut_off_from_store() {
            if let Some(polled) = self.poll_peers(id, deadline).await {
                return polled;
            }
        }
        let left = || deadline.saturating_duration_since(Instant::now());
        let timeout = if self.store.last_refresh_succeeded() {
            LOCAL_QUERY_TIMEOUT
        } else {
            LOCAL_RETRY_TIMEOUT
        };
        let status = self.status_within(id, left().min(timeout)).await;
        if status.is_confirmed_by_records() {
            return PollOutcome::Local(status);
        }
        if let Some(polled) = self.poll_peers(id, deadline).await {
            return polled;
        }
        // No other controller can answer, so spend the time left on another try here.
        PollOutcome::Local(self.status_within(id, left()).await)
    }

    /// Answers a poll for another controller that could not. Never forwards the poll again.
    pub async fn poll_for_peer(&self, id: &JobId) -> JobStatus {
        self.status_within(id, LOCAL_QUERY_TIMEOUT).await
    }

    async fn poll_peers(&self, id: &JobId, deadline: Instant) -> Option<PollOutcome> {
        let _in_flight = self.admission.begin_forwarded_query()?;
        for other in self.peers_answering_polls(id).iter().take(2) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < MIN_REMOTE_TIMEOUT {
                return None;
            }
            let text = id.as_str().as_bytes().to_vec();
            let request = self.peers.forward_within(
                other,
                peer_link::Kind::Poll,
                text,
                left.min(REMOTE_QUERY_TIMEOUT),
            );
            let answered = request.await;
            if let Some(summary) = self.final_summary(id) {
                return Some(PollOutcome::Local(JobStatus::Recorded(summary)));
            }
            // A job that is recorded here was accepted, so no user may be told that it does
            // not exist.
            let absent_there = answered.as_ref().is_some_and(|a| a.status == 404);
            if absent_there && self.store.view().job(id).is_some() {
                tracing::error!(job = %id, by = %other, "stale status answer discarded");
                continue;
            }
            if let Some(answered) = answered.filter(|a| matches!(a.status, 200 | 404)) {
                return Some(PollOutcome::Peer(answered));
            }
        }
        self.admission.no_peer_answered_poll();
        None
    }

    /// Returns the reachable controllers that answer polls. The order differs from job to
    /// job, and the leader comes last because it has the highest load.
    fn peers_answering_polls(&self, id: &JobId) -> Vec<NodeId> {
        let leader = self.store.view().leader.value.clone().map(|l| l.node);
        let answers = |n: &&NodeId| self.peer_statuses.answers_polls(n);
        let mut others: Vec<NodeId> = self.peers.reachable().filter(answers).cloned().collect();
        others.sort();
        if !others.is_empty() {
            let offset = id.as_str().bytes().map(usize::from).sum::<usize>() % others.len();
            others.rotate_left(offset);
        }
        others.sort_by_key(|n| Some(n) == leader.as_ref());
        others
    }
}
