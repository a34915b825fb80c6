//! Holds a history against the rules.
//!
//! Each rule is checked on its own, so that one breach never hides another. A
//! history is bad if [`check`] returns anything.

mod answers;
mod cancelled;
mod exchanges;
mod pipelines;
mod placement;
mod silence;
mod waiting;

use std::fmt;

use super::event::{Entry, History, Limits, Moment};
use exchanges::Exchanges;

/// A rule of PROTOCOL ("Rules"), or one that the operators added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// `ran_twice`: while a task is on one machine, it starts on another.
    RanTwice,
    /// `quota`: a team's tasks use more than its limit.
    Quota,
    /// `wrong_place`: a task starts where its job doesn't allow it.
    WrongPlace,
    /// `ran_cancelled`: a task is on a machine more than `cancel_s` after its user
    /// was told that the job is cancelled.
    RanCancelled,
    /// `forgotten`: an accepted job is answered 404, its repeated submission 400 or
    /// 422, or all polls for it fail while most others are answered.
    Forgotten,
    /// `invented`: a 200 for a job that nobody submitted.
    Invented,
    /// `not_done`: a job is called done before its tasks are.
    NotDone,
    /// `went_back`: a final phase changed, or a job that nobody cancelled is called
    /// cancelled.
    WentBack,
    /// `nothing_ran`: no task was started.
    NothingRan,
    /// `unanswered`: no question about a job was answered for 75 s once troubles
    /// were over.
    Unanswered,
    /// `left_waiting`: a job waited for 90 s while it could have run.
    LeftWaiting,
    /// `started_cancelled`: more starts after a confirmed cancellation than allowed.
    StartedCancelled,
    /// `older_answer`: a node answered something older than another had told before
    /// the question was sent.
    OlderAnswer,
    /// `wrongly_accepted`: a job was accepted that can't run or lacks a field.
    WronglyAccepted,
    /// `too_early`: a task starts before all jobs that its job needs are done.
    TooEarly,
    /// `orphaned`: a job is still called queued or running more than `cancel_s` after a
    /// job before it was told to be cancelled.
    Orphaned,
}

impl Rule {
    /// The rule's name: PROTOCOL's own where it has one.
    pub const fn name(self) -> &'static str {
        match self {
            Self::RanTwice => "ran_twice",
            Self::Quota => "quota",
            Self::WrongPlace => "wrong_place",
            Self::RanCancelled => "ran_cancelled",
            Self::Forgotten => "forgotten",
            Self::Invented => "invented",
            Self::NotDone => "not_done",
            Self::WentBack => "went_back",
            Self::NothingRan => "nothing_ran",
            Self::Unanswered => "unanswered",
            Self::LeftWaiting => "left_waiting",
            Self::StartedCancelled => "started_cancelled",
            Self::OlderAnswer => "older_answer",
            Self::WronglyAccepted => "wrongly_accepted",
            Self::TooEarly => "too_early",
            Self::Orphaned => "orphaned",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct InvariantViolation {
    /// Which.
    pub rule: Rule,
    /// When it was broken.
    pub at: Moment,
    /// What happened, for whoever reads a failed test.
    pub what: String,
}

impl fmt::Display for InvariantViolation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let at = self.at.as_secs_f64();
        write!(f, "{} at {at:.3} s: {}", self.rule.name(), self.what)
    }
}

/// Every broken rule of a history, in the order of time.
pub fn check(history: &History, limits: &Limits) -> Vec<InvariantViolation> {
    let mut entries: Vec<Entry> = history.entries.clone();
    entries.sort_by_key(|e| e.at);
    let exchanges = Exchanges::read(&entries, &history.site, history.end);
    let mut violations = placement::check(&entries, &exchanges, &history.site);
    violations.extend(cancelled::check(&entries, &exchanges, limits, history.end));
    violations.extend(answers::check(&entries, &exchanges));
    violations.extend(pipelines::check(&entries, &exchanges, limits));
    violations.extend(silence::check(&entries, &exchanges, limits));
    violations.extend(waiting::check(
        &entries,
        &exchanges,
        &history.site,
        limits,
        history.end,
    ));
    violations.sort_by_key(|b| b.at);
    violations
}
