//! Paces of the duties that scan the whole fleet. The interval of a duty grows with its
//! cost and with the time that requests wait.

use std::cell::RefCell;

use sorrelhinge_overload::pace::Pace;

use crate::types::Time;

/// Kind of periodic work (a duty) that scans the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Duty {
    /// Fills a machine with tasks at its heartbeat. Under load heartbeats may skip this
    /// duty, because `Place` offers all waiting jobs the best machine and has the same
    /// result.
    FillMachines,
    /// Offers the best machine to each waiting job.
    Place,
    /// Preempts tasks to free capacity for waiting jobs.
    Preempt,
    /// Plans which machines to rent and delete.
    PlanScaling,
}

impl Duty {
    /// Returns the name that the log shows.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::FillMachines => "walk",
            Self::Place => "place",
            Self::Preempt => "preempt",
            Self::PlanScaling => "fleet",
        }
    }
}

/// Intervals between runs of each duty, the periodic work that scans the whole fleet.
pub(super) struct Paces {
    fill_machines: RefCell<Pace>,
    place: RefCell<Pace>,
    preempt: RefCell<Pace>,
    plan_scaling: RefCell<Pace>,
}

impl Default for Paces {
    fn default() -> Self {
        Self {
            fill_machines: RefCell::new(Pace::new(0.0, 0.5, 0.3)),
            place: RefCell::new(Pace::new(0.0, 1.0, 0.3)),
            preempt: RefCell::new(Pace::new(0.4, 4.0, 0.06)),
            plan_scaling: RefCell::new(Pace::new(0.6, 6.0, 0.08)),
        }
    }
}

impl Paces {
    fn of(&self, duty: Duty) -> &RefCell<Pace> {
        match duty {
            Duty::FillMachines => &self.fill_machines,
            Duty::Place => &self.place,
            Duty::Preempt => &self.preempt,
            Duty::PlanScaling => &self.plan_scaling,
        }
    }

    /// Returns whether a duty, periodic work that scans the whole fleet, is due.
    pub(super) fn due(&self, duty: Duty, now: Time) -> bool {
        self.of(duty).borrow().due(now)
    }

    /// Records that a duty (periodic work over the whole fleet) ran and took `cost_s` seconds while
    /// requests waited for `wait_s` seconds.
    pub(super) fn done(&self, duty: Duty, cost_s: f64, wait_s: f64, now: Time) {
        self.of(duty).borrow_mut().done(cost_s, wait_s, now);
    }
}
