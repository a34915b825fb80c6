//! How much of anything that binds a lane may take ahead of others.
//!
//! Two kinds of things bind. Some are *used for a time* (CPUs, a team's limit): a lane
//! may use its part of them, see [`Bound::allows`]. Others *flow* (changes of the
//! state service, requests to the cloud): a lane has its part of the turns, see
//! [`Turn`]. Both let a lane have one job at least, and both bind only while
//! others wait: what nobody else needs is not left unused.

/// Whatever its part, a lane has one turn in twenty: a part of 0 would else turn
/// a lane into a trap, where jobs wait that would run without lanes.
const MIN_TURN_SHARE: f64 = 0.05;
/// And others have one in ten, also of a lane whose part is 1: a lane that never
/// ends would else keep every claim of other work from being recorded.
const MAX_TURN_SHARE: f64 = 0.9;
/// Turns that a lane may save up: after a quiet time it can't take all for long.
const MAX_SAVED_TURNS: f64 = 4.0;

/// A lane's part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    part: f64,
}

/// Something limited that jobs use for as long as they run, in any unit, as it is now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedCapacity {
    /// All that there is, used or not.
    pub total: i64,
    /// What the lane's jobs use.
    pub used_by_lane: i64,
    /// Whether jobs of no lane, or of other lanes, wait for it.
    pub others_wait: bool,
}

impl Bound {
    /// Of a part from 0 to 1; any other number is brought into that range.
    pub fn new(part: f64) -> Self {
        let part = if part.is_nan() { 0.0 } else { part };
        Self {
            part: part.clamp(0.0, 1.0),
        }
    }

    /// The part, 0 to 1.
    pub fn part(self) -> f64 {
        self.part
    }

    /// How much of `total` the lane may use while others wait, but for its first
    /// job.
    pub fn of(self, total: i64) -> i64 {
        // Rounded down: two lanes of a half never have more than all.
        (self.part * total.max(0) as f64) as i64
    }

    /// Whether a job of the lane that asks for `asks` may go ahead of others. Its
    /// first one always may, however large: else a lane whose part is smaller
    /// than a job would never run it.
    pub fn allows(self, shared: SharedCapacity, asks: i64) -> bool {
        let after = shared.used_by_lane.saturating_add(asks);
        !shared.others_wait || shared.used_by_lane <= 0 || after <= self.of(shared.total)
    }
}

/// Who is next, the lane or others, where something flows, one piece at a time.
/// One for each lane and each thing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Turn {
    /// Pieces that the lane may take now.
    saved: f64,
}

impl Default for Turn {
    fn default() -> Self {
        // The first urgent job does not wait for its turn.
        Self { saved: 1.0 }
    }
}

impl Turn {
    /// Whether the lane may take the next piece ahead of others.
    pub fn allows(&self, others_wait: bool) -> bool {
        !others_wait || self.saved >= 1.0
    }

    /// A piece was taken, by a job of the lane or by another.
    pub fn taken(&mut self, bound: Bound, by_lane: bool) {
        let saved = self.saved + bound.part.clamp(MIN_TURN_SHARE, MAX_TURN_SHARE);
        // What a lane took while nobody waited is not held against it.
        let took = if by_lane { 1.0 } else { 0.0 };
        self.saved = (saved - took).clamp(0.0, MAX_SAVED_TURNS);
    }
}
