//! Admission control for user requests. It bounds how many submissions are recorded at a
//! time, picks submissions by lane turns while the controller sheds load, and decides
//! whether a request is forwarded to another controller.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use sorrelhinge_overload::poll_shedding::{Poll, PollShedding, Verdict};
use sorrelhinge_priority_lanes::part::Turn as LaneTurn;
use sorrelhinge_priority_lanes::{LaneId, Lanes};
use tokio::time::Instant;

use crate::types::{JobId, Time};

/// Maximum number of submissions that are being recorded at a time.
const MAX_CONCURRENT_SUBMISSIONS: usize = 64;
/// Maximum number of polls of job states that are forwarded to other controllers at a time.
const MAX_FORWARDED_QUERIES: usize = 128;
/// Time without forwarding after no other controller could answer a request. While the
/// state service is unavailable to all controllers, each request would otherwise pass
/// through two controllers in vain.
const FORWARD_BACKOFF: Duration = Duration::from_secs(1);

/// User's request in flight. It counts against the limit of such requests until this value is
/// dropped, because the user may disconnect at any time.
pub(super) struct InFlight<'a> {
    count: &'a Cell<usize>,
}

impl<'a> InFlight<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// State of admission control: submissions in flight, lane turns, poll history and
/// forwarding backoff.
pub(super) struct RequestAdmission {
    /// Number of submissions that are being recorded.
    submissions: Cell<usize>,
    /// Turns of each lane, which decide which submissions are admitted while the controller
    /// sheds submissions.
    lane_turns: RefCell<BTreeMap<LaneId, LaneTurn>>,
    /// Recent polls by job, with their answers and refusals.
    poll_shedding: RefCell<PollShedding>,
    /// Number of forwarded polls that are in flight.
    forwarded_queries: Cell<usize>,
    /// Polls of job states are not forwarded before this instant, because no other controller could
    /// answer the last one.
    queries_stay_local_until: Cell<Instant>,
    /// Submissions and cancellations are not forwarded before this instant, because no other
    /// controller could decide the last one.
    changes_stay_local_until: Cell<Instant>,
}

impl RequestAdmission {
    /// Creates a state with no request in flight and no forwarding backoff.
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            submissions: Cell::new(0),
            lane_turns: RefCell::default(),
            poll_shedding: RefCell::default(),
            forwarded_queries: Cell::new(0),
            queries_stay_local_until: Cell::new(now),
            changes_stay_local_until: Cell::new(now),
        }
    }

    /// Starts recording a submission, which counts until the result is dropped. Returns `None` if
    /// too many submissions are being recorded.
    pub(super) fn begin_submission(&self) -> Option<InFlight<'_>> {
        let free = self.submissions.get() < MAX_CONCURRENT_SUBMISSIONS;
        free.then(|| InFlight::new(&self.submissions))
    }

    /// Returns whether a submission is admitted by its lane's turn while the controller
    /// sheds submissions. The call also counts the submission for the turns of all lanes.
    pub(super) fn admits_by_lane_turn(&self, lanes: &Lanes, lane: Option<LaneId>) -> bool {
        let mut turns = self.lane_turns.borrow_mut();
        let admitted = lane.filter(|id| turns.entry(*id).or_default().allows(true));
        for (id, lane) in lanes.iter() {
            let turn = turns.entry(id).or_default();
            turn.taken(lane.bound, admitted == Some(id));
        }
        admitted.is_some()
    }

    /// Returns whether the controller refuses a poll for now; see
    /// [`sorrelhinge_overload::poll_shedding`].
    pub(super) fn refuses_poll(&self, poll: Poll<'_>, now: Time) -> bool {
        self.poll_shedding.borrow_mut().poll(poll, now) == Verdict::Refuse
    }

    /// Records that a poll for a job was answered. `known` says whether the job is
    /// recorded.
    pub(super) fn poll_answered(&self, job: &JobId, known: bool, now: Time) {
        self.poll_shedding.borrow_mut().answered(job, known, now);
    }

    /// Records that a poll for a job could not be answered. `known` says whether the job is
    /// recorded.
    pub(super) fn poll_failed(&self, job: &JobId, known: bool, now: Time) {
        self.poll_shedding.borrow_mut().failed(job, known, now);
    }

    /// Removes an ended job from the poll history, because polls for it cost nothing from
    /// now on.
    pub(super) fn job_ended(&self, job: &JobId) {
        self.poll_shedding.borrow_mut().over(job);
    }

    /// Starts forwarding a poll, which counts until the result is dropped. Returns `None`
    /// during the backoff or if too many forwarded polls are in flight.
    pub(super) fn begin_forwarded_query(&self) -> Option<InFlight<'_>> {
        let backing_off = Instant::now() < self.queries_stay_local_until.get();
        if backing_off || self.forwarded_queries.get() >= MAX_FORWARDED_QUERIES {
            return None;
        }
        Some(InFlight::new(&self.forwarded_queries))
    }

    /// Starts the backoff of forwarded polls after no other controller could answer one.
    pub(super) fn no_peer_answered_poll(&self) {
        self.queries_stay_local_until
            .set(Instant::now() + FORWARD_BACKOFF);
    }

    /// Returns whether submissions and cancellations may be forwarded now.
    pub(super) fn may_forward_changes(&self) -> bool {
        Instant::now() >= self.changes_stay_local_until.get()
    }

    /// Starts the backoff of forwarded changes after no other controller could decide a
    /// submission or cancellation.
    pub(super) fn no_peer_decided_change(&self) {
        self.changes_stay_local_until
            .set(Instant::now() + FORWARD_BACKOFF);
    }
}
