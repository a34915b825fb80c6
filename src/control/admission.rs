//! Which requests of users are taken here: how many submissions are recorded at a time,
//! whose turn it is while requests are shed, and whether another controller is asked.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use sorrelhinge_overload::poll_shedding::{Poll, PollShedding, Verdict};
use sorrelhinge_priority_lanes::part::Turn as LaneTurn;
use sorrelhinge_priority_lanes::{LaneId, Lanes};
use tokio::time::Instant;

use crate::types::{JobId, Time};

/// Submissions that are recorded at a time.
const MAX_CONCURRENT_SUBMISSIONS: usize = 64;
/// Polls that may be with other controllers at a time.
const MAX_FORWARDED_QUERIES: usize = 128;
/// If no other could answer one, none is passed on for so long: while the state
/// service is away for all, each would else go through two controllers in vain.
const FORWARD_BACKOFF: Duration = Duration::from_secs(1);

/// A poll that another controller answers; counted until dropped, as its user may disconnect.
pub(super) struct ForwardedQuery<'a> {
    count: &'a Cell<usize>,
}

impl<'a> ForwardedQuery<'a> {
    fn new(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self { count }
    }
}

impl Drop for ForwardedQuery<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
    }
}

/// What was taken, shed and passed on.
pub(super) struct RequestAdmission {
    /// Submissions that are being recorded.
    submissions: Cell<usize>,
    /// Whose turn it is among submissions while they are shed.
    lane_turns: RefCell<BTreeMap<LaneId, LaneTurn>>,
    /// Who asked about which job, and who was refused for now.
    asked: RefCell<PollShedding>,
    /// Polls that other controllers answer at the moment.
    forwarded_queries: Cell<usize>,
    /// Before this instant no poll is passed on, as nobody could answer the last one.
    queries_stay_local_until: Cell<Instant>,
    /// The same for submissions and cancellations.
    changes_stay_local_until: Cell<Instant>,
}

impl RequestAdmission {
    /// Nothing is under way, and everything may be passed on.
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            submissions: Cell::new(0),
            lane_turns: RefCell::default(),
            asked: RefCell::default(),
            forwarded_queries: Cell::new(0),
            queries_stay_local_until: Cell::new(now),
            changes_stay_local_until: Cell::new(now),
        }
    }

    /// Whether one more submission may be recorded now.
    pub(super) fn has_free_capacity_for_submission(&self) -> bool {
        self.submissions.get() < MAX_CONCURRENT_SUBMISSIONS
    }

    /// A submission is about to be recorded.
    pub(super) fn begin_submission(&self) {
        self.submissions.set(self.submissions.get() + 1);
    }

    /// It is recorded, or was refused.
    pub(super) fn end_submission(&self) {
        self.submissions.set(self.submissions.get() - 1);
    }

    /// Whether a submission is taken in its lane's turn, while submissions are shed.
    /// Also counts it for the turns of all lanes.
    pub(super) fn takes_lane_turn(&self, lanes: &Lanes, lane: Option<LaneId>) -> bool {
        let mut turns = self.lane_turns.borrow_mut();
        let jumps = lane.filter(|id| turns.entry(*id).or_default().allows(true));
        for (id, lane) in lanes.iter() {
            let turn = turns.entry(id).or_default();
            turn.taken(lane.bound, jumps == Some(id));
        }
        jumps.is_some()
    }

    /// Whether a poll is refused for now; see [`sorrelhinge_overload::poll_shedding`].
    pub(super) fn refuses_poll(&self, poll: Poll<'_>, now: Time) -> bool {
        self.asked.borrow_mut().poll(poll, now) == Verdict::Refuse
    }

    /// A poll for a job was answered; `known`: it is recorded.
    pub(super) fn poll_answered(&self, job: &JobId, known: bool, now: Time) {
        self.asked.borrow_mut().answered(job, known, now);
    }

    /// A poll for a job could not be answered.
    pub(super) fn poll_failed(&self, job: &JobId, known: bool, now: Time) {
        self.asked.borrow_mut().failed(job, known, now);
    }

    /// A job is over: polls for it cost nothing from now on.
    pub(super) fn job_over(&self, job: &JobId) {
        self.asked.borrow_mut().over(job);
    }

    /// A poll goes to another controller, counted until the result is dropped; none if
    /// that is not to be done now.
    pub(super) fn begin_forwarded_query(&self) -> Option<ForwardedQuery<'_>> {
        let stays = Instant::now() < self.queries_stay_local_until.get();
        if stays || self.forwarded_queries.get() >= MAX_FORWARDED_QUERIES {
            return None;
        }
        Some(ForwardedQuery::new(&self.forwarded_queries))
    }

    /// No other controller could answer a poll.
    pub(super) fn no_peer_answered_poll(&self) {
        self.queries_stay_local_until
            .set(Instant::now() + FORWARD_BACKOFF);
    }

    /// Whether submissions and cancellations may be passed on.
    pub(super) fn may_forward_changes(&self) -> bool {
        Instant::now() >= self.changes_stay_local_until.get()
    }

    /// No other controller could decide a submission or cancellation.
    pub(super) fn no_peer_decided_change(&self) {
        self.changes_stay_local_until
            .set(Instant::now() + FORWARD_BACKOFF);
    }
}
