//! Limits on the scarce resources that a lane may take ahead of other jobs.
//!
//! There are two kinds of scarce resources. A job holds the first kind for as long as it
//! runs (CPUs, a team's limit): a lane may use its part of the total, see
//! [`Bound::allows`]. Jobs consume the second kind one unit at a time (writes to the state
//! service, requests to the cloud): a lane gets its part of the turns, see [`Turn`]. Both
//! limits allow a lane at least one job. Both apply only while other jobs wait, so that
//! resources that no other job needs don't stay unused.

/// Smallest part of the turns that a lane gets: one turn in twenty. Otherwise a lane with a
/// part of 0 would block jobs that would run without lanes.
const MIN_TURN_SHARE: f64 = 0.05;
/// Largest part of the turns that a lane gets, which leaves other jobs one turn in ten.
/// Otherwise a lane with a part of 1 and an endless supply of jobs would prevent controllers
/// from recording any placement of another job.
const MAX_TURN_SHARE: f64 = 0.9;
/// Maximum number of turns that a lane can accumulate. The limit prevents a lane from taking
/// all turns for long after a time without jobs.
const MAX_SAVED_TURNS: f64 = 4.0;

/// Limit on what a lane may take ahead of other jobs, as a part from 0 to 1.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    part: f64,
}

/// Present use of a limited resource that jobs hold for as long as they run. The fields
/// share one unit, which can be any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedCapacity {
    /// Total amount of the resource, both used and free.
    pub total: i64,
    /// Amount of the resource that the lane's jobs use.
    pub used_by_lane: i64,
    /// Whether jobs outside this lane wait for the resource.
    pub others_wait: bool,
}

impl Bound {
    /// Creates a limit for a part, which is clamped to the range 0 to 1. NaN counts as 0.
    pub fn new(part: f64) -> Self {
        let part = if part.is_nan() { 0.0 } else { part };
        Self {
            part: part.clamp(0.0, 1.0),
        }
    }

    /// Returns the part of a resource that the lane may take, from 0 to 1.
    pub fn part(self) -> f64 {
        self.part
    }

    /// Returns the amount of `total` that the lane may use while other jobs wait. The lane's
    /// first job may exceed it.
    pub fn of(self, total: i64) -> i64 {
        // The amount is rounded down so that two lanes with a part of 0.5 never use more than
        // the total.
        (self.part * total.max(0) as f64) as i64
    }

    /// Returns whether a job of the lane that requests the amount `asks` may go ahead of other
    /// jobs. The lane's first job always may, however large it is. Otherwise a lane would
    /// never run a job that is larger than the lane's part.
    pub fn allows(self, shared: SharedCapacity, asks: i64) -> bool {
        let after = shared.used_by_lane.saturating_add(asks);
        !shared.others_wait || shared.used_by_lane <= 0 || after <= self.of(shared.total)
    }
}

/// Decides whether a lane or another job takes the next unit of a resource that jobs consume
/// one unit at a time. Each pair of a lane and a resource has its own `Turn`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// Number of units that the lane may take now, ahead of other jobs.
    saved: f64,
}

impl Default for Turn {
    fn default() -> Self {
        // The lane starts with one turn so that its first job does not wait.
        Self { saved: 1.0 }
    }
}

impl Turn {
    /// Returns whether the lane may take the next unit of the resource ahead of other jobs.
    pub fn allows(&self, others_wait: bool) -> bool {
        !others_wait || self.saved >= 1.0
    }

    /// Records that a job of this lane (`by_lane`) or another job took one unit of the
    /// resource.
    pub fn taken(&mut self, bound: Bound, by_lane: bool) {
        let saved = self.saved + bound.part.clamp(MIN_TURN_SHARE, MAX_TURN_SHARE);
        // The lower bound of 0 means that units which the lane took while no other job waited
        // don't reduce its later turns.
        let took = if by_lane { 1.0 } else { 0.0 };
        self.saved = (saved - took).clamp(0.0, MAX_SAVED_TURNS);
    }
}
