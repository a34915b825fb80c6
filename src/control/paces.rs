//! How often duties that look at the whole fleet are done: the more they cost and the
//! longer requests wait, the less often.

use std::cell::RefCell;

use sorrelhinge_overload::pace::Pace;

use crate::types::Time;

/// A duty that looks at the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    /// Filling a machine at its heartbeat. Under load a heartbeat may do without:
    /// offering all waiting jobs the best machine comes to the same.
    Walk,
    /// Offering all waiting jobs the best machine.
    Place,
    /// Making room.
    Preempt,
    /// Planning the fleet.
    Fleet,
}

impl Duty {
    /// As the log calls it.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Walk => "walk",
            Self::Place => "place",
            Self::Preempt => "preempt",
            Self::Fleet => "fleet",
        }
    }
}

/// The pace of each duty.
pub(super) struct Paces {
    walk: RefCell<Pace>,
    place: RefCell<Pace>,
    preempt: RefCell<Pace>,
    fleet: RefCell<Pace>,
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            walk: RefCell::new(Pace::new(0.0, 0.5, 0.3)),
            place: RefCell::new(Pace::new(0.0, 1.0, 0.3)),
            preempt: RefCell::new(Pace::new(0.4, 4.0, 0.06)),
            fleet: RefCell::new(Pace::new(0.6, 6.0, 0.08)),
        }
    }
}

impl Paces {
    fn of(&self, duty: Duty) -> &RefCell<Pace> {
        match duty {
            Duty::Walk => &self.walk,
            Duty::Place => &self.place,
            Duty::Preempt => &self.preempt,
            Duty::Fleet => &self.fleet,
        }
    }

    /// Whether a duty is due.
    pub(super) fn due(&self, duty: Duty, now: Time) -> bool {
        self.of(duty).borrow().due(now)
    }

    /// A duty was done, and took `cost_s` seconds; requests wait for `wait_s`.
    pub(super) fn done(&self, duty: Duty, cost_s: f64, wait_s: f64, now: Time) {
        self.of(duty).borrow_mut().done(cost_s, wait_s, now);
    }
}
