//! Order of the pending jobs in priority lanes.
//!
//! The scheduler serves the jobs of a lane **in the order of their places** (first in,
//! first out), with one exception for a deadline that the job can still meet. A job is
//! *pressing* during the last [`PRESSING_S`] before the latest moment at which it may start.
//! Pressing jobs go before the other jobs of their lane, and the job with the earliest
//! latest start goes first. An earlier version sorted pressing jobs by place. Urgent jobs
//! then met their deadline less often than without a lane (0.946 instead of 0.983, on
//! simulated machines). A job that can no longer meet its deadline, or never could, gains
//! no precedence from the deadline and waits by its place. To prevent pressing jobs from
//! delaying it forever, a job that has waited for [`AGED_S`] goes before all pressing jobs,
//! by its place.
//!
//! So the order is that of the tuple (lane, front or not, latest start, place, id). This
//! order is total and transitive by construction. A pairwise rule such as "the later job
//! goes first if it would otherwise miss its deadline" is not, because it allows cycles of
//! three jobs. The key of a job depends only on the job and the time.
//!
//! The clocks of controllers differ, and so do the times at which they accept jobs.
//! [`arrange`] corrects these times by the places: a job was not accepted before a job with
//! an earlier place. So of two jobs with the same requirements, the later one goes first
//! only if the earlier one can no longer meet its deadline.

use sorrelhinge_protocol::types::{JobId, Revision};

use crate::LaneId;

/// Time in seconds before its latest start during which a job is pressing.
pub const PRESSING_S: f64 = 45.0;
/// Waiting time in seconds after which a job goes before the pressing jobs of its lane. The
/// value is far below the four minutes within which every job is to start.
pub const AGED_S: f64 = 60.0;

/// Sort key of a pending job among all jobs in lanes. The job with the smallest key goes
/// first. A key is valid only for the time at which it is computed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Lane of the job.
    pub lane: LaneId,
    /// Whether the job is neither pressing nor aged, so that it goes after all jobs that are.
    pub behind: bool,
    /// Latest start of a pressing job as Unix time in milliseconds; 0 for all other jobs.
    pub must_ms: u64,
    /// Place of the job in its lane: the revision of the first write of its record.
    pub place: Revision,
    /// Id of the job. The id breaks ties, because two jobs that one transaction writes have
    /// the same place.
    pub id: JobId,
}

/// Facts about a pending job in a lane. All facts come from the job's record, so all
/// controllers have the same.
#[derive(Clone, Debug, PartialEq)]
pub struct Waits {
    /// Lane of the job.
    pub lane: LaneId,
    /// Place of the job in its lane: the revision of the first write of its record.
    pub place: Revision,
    /// Id of the job.
    pub id: JobId,
    /// Unix time in milliseconds at which a controller accepted the job, by that controller's
    /// clock.
    pub accepted_ms: u64,
    /// Time in milliseconds that the job may wait and still meet its deadline: the deadline
    /// minus the run time. `None` if the job has no deadline or could never meet it.
    pub may_wait_ms: Option<u64>,
}

/// Returns [`Waits::may_wait_ms`] for the deadline and run time in seconds that the job's
/// user gives (PROTOCOL, `due_s` and `guess_s`).
pub fn may_wait_ms(deadline_s: Option<f64>, run_s: f64) -> Option<u64> {
    let left = deadline_s? - run_s;
    // The comparison is also false if `left` is NaN.
    (left >= 0.0).then_some((left * 1000.0) as u64)
}

/// Returns the sorted keys of all pending jobs in lanes at `now_ms`, the Unix time in
/// milliseconds of this controller's clock. The cost is O(n log n), so the scheduler calls
/// this function once per pass over the jobs and not once per job.
pub fn arrange(mut waits: Vec<Waits>, now_ms: u64) -> Vec<Key> {
    waits.sort_by(|a, b| (a.place, &a.id).cmp(&(b.place, &b.id)));
    let mut earliest = 0;
    let mut keys: Vec<Key> = waits
        .into_iter()
        .map(|w| {
            // An acceptance time in the future comes from a clock that is ahead of this
            // controller's. Jobs with later places may have been accepted at any time until
            // now, so `now_ms` caps the time.
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

/// Returns the sort value of a job that goes before the others of its lane: 0 for an aged
/// job, the latest start in milliseconds for a pressing job. Returns `None` for a job that
/// is neither.
fn front(now_ms: u64, accepted_ms: u64, may_wait_ms: Option<u64>) -> Option<u64> {
    if now_ms.saturating_sub(accepted_ms) >= (AGED_S * 1000.0) as u64 {
        return Some(0);
    }
    let must_ms = accepted_ms.saturating_add(may_wait_ms?);
    let pressing = must_ms.saturating_sub((PRESSING_S * 1000.0) as u64)..=must_ms;
    pressing.contains(&now_ms).then_some(must_ms)
}
