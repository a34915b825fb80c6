//! The order of lane jobs.
//!
//! Within a lane jobs go **in the order of their places** (first in, first out),
//! but for one exception, a deadline that can still be met: a job is *pressing*
//! from [`PRESSING_S`] before the last moment at which it may begin until that
//! moment. Pressing jobs go before the others of their lane, who must begin first
//! before who may begin later: by place among themselves, as once, urgent work was
//! in time less often than without a lane (0.946 for 0.983, simulated machines). A
//! job whose deadline can't be met any more, or never could, gains nothing by it:
//! it waits by its place. So that pressing ones can't pass it over for ever, a job
//! that has waited for [`AGED_S`] goes before them all, by its place.
//!
//! So the order is that of the tuple (lane, front or not, when it must begin, place,
//! id): total and transitive by construction, unlike pairwise rules such as "the
//! later one goes first if it would else be missed", which make circles of three.
//! Where a job stands depends on itself and the time only.
//!
//! Clocks of controllers differ, and so do the times at which jobs were accepted.
//! [`arrange`] sets these times right by the places: a job was not accepted
//! before one that has an earlier place. So of two jobs that ask for the same,
//! the later goes first only if the earlier one can't be in time any more.

use sorrelhinge_protocol::types::{JobId, Revision};

use crate::LaneId;

/// A job is pressing for so long before it must begin, in seconds.
pub const PRESSING_S: f64 = 45.0;
/// A job that has waited for so long, in seconds, goes before the pressing ones.
/// Far below the four minutes within which every job is to begin.
pub const AGED_S: f64 = 60.0;

/// A job's standing among all lane jobs: the least goes first. Valid for one
/// moment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Its lane.
    pub lane: LaneId,
    /// Neither pressing nor aged.
    pub behind: bool,
    /// Of a pressing one when it must begin, in milliseconds of the time of day; of
    /// all others 0.
    pub must_ms: u64,
    /// Its place.
    pub place: Revision,
    /// Its id: two jobs written by one transaction have the same place.
    pub id: JobId,
}

/// A lane job that waits, from its record alone: so all controllers see the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Waits {
    /// Its lane.
    pub lane: LaneId,
    /// Its place.
    pub place: Revision,
    /// Its id.
    pub id: JobId,
    /// When it was accepted, in milliseconds of the acceptor's time of day.
    pub accepted_ms: u64,
    /// How long it may wait to be done by its deadline, in milliseconds: the
    /// deadline less the run time. None: no deadline, or one that it could never
    /// meet.
    pub may_wait_ms: Option<u64>,
}

/// See [`Waits::may_wait_ms`]: from a deadline and a run time in seconds, as the
/// job's owner gives them (PROTOCOL, `due_s` and `guess_s`).
pub fn may_wait_ms(deadline_s: Option<f64>, run_s: f64) -> Option<u64> {
    let left = deadline_s? - run_s;
    // Also false for what is no number.
    (left >= 0.0).then_some((left * 1000.0) as u64)
}

/// The keys of all lane jobs that wait, the first to be served first, at `now_ms`
/// of this controller's time of day. O(n log n): once a walk, not once a job.
pub fn arrange(mut waits: Vec<Waits>, now_ms: u64) -> Vec<Key> {
    waits.sort_by(|a, b| (a.place, &a.id).cmp(&(b.place, &b.id)));
    let mut earliest = 0;
    let mut keys: Vec<Key> = waits
        .into_iter()
        .map(|w| {
            // A clock that is ahead of ours says nothing of those behind it: they
            // may have been accepted at any time until now.
            earliest = w.accepted_ms.min(now_ms).max(earliest);
            let front = front(now_ms, earliest, w.may_wait_ms);
            Key {
                lane: w.lane,
                behind: front.is_none(),
                must_ms: front.unwrap_or(0),
                place: w.place,
                id: w.id,
            }
        })
        .collect();
    keys.sort();
    keys
}

/// What a job that was accepted then goes by in front: 0 of an aged one, when it must
/// begin of a pressing one. None: it is behind.
fn front(now_ms: u64, accepted_ms: u64, may_wait_ms: Option<u64>) -> Option<u64> {
    if now_ms.saturating_sub(accepted_ms) >= (AGED_S * 1000.0) as u64 {
        return Some(0);
    }
    let must_ms = accepted_ms.saturating_add(may_wait_ms?);
    let pressing = must_ms.saturating_sub((PRESSING_S * 1000.0) as u64)..=must_ms;
    pressing.contains(&now_ms).then_some(must_ms)
}
