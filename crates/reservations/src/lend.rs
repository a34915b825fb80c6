//! Rules for lending reserved capacity to other tasks until the window's own tasks use it.
//! Machines that wait idle for their window cost as much as busy ones, but other tasks must
//! leave them in time.

/// Factor by which the estimated run time of a task is multiplied. Estimates are often wrong
/// by half, sometimes by more. So a task must end before the window begins even if it takes
/// this many times its estimate.
pub const ESTIMATE_FACTOR: f64 = 2.0;

/// Task that could use reserved capacity of a window that is not its own.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Borrower {
    /// Estimated time in seconds until the task ends, including the fetch of its image.
    /// `None` if the task doesn't end by itself or has no estimate.
    pub ends_in_s: Option<f64>,
    /// Whether PROTOCOL allows preempting the task for the window's tasks. That is the case if
    /// the task has a lower priority, or if its team is beyond its guarantee and the window's
    /// team is not.
    pub stoppable: bool,
    /// Time in seconds that the task takes to save its state when it is stopped; 0 if the
    /// task saves nothing.
    pub stash_s: f64,
}

/// Decision on whether a task may use reserved capacity of another window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lend {
    /// The task may not use the reserved capacity.
    No,
    /// The task may use the reserved capacity because it ends before the window begins.
    Ends,
    /// The task may use the reserved capacity and is stopped when the window's tasks arrive.
    Stop,
}

/// Returns whether a task may use reserved capacity. All times are in seconds:
///
/// - `left_s`: time until the window begins, by the latest possible time of the clock, minus
///   the window's `early_s`; negative once the window has begun.
/// - `stop_s`: time from the decision to stop a task until its machine has the command and
///   the capacity is free, without saving.
/// - `wait_s`: time that the window's tasks may wait for free capacity after they arrive.
pub fn may_lend(work: &Borrower, left_s: f64, stop_s: f64, wait_s: f64) -> Lend {
    // An estimate of 0 belongs to a service, which never ends.
    if work
        .ends_in_s
        .is_some_and(|s| s > 0.0 && s * ESTIMATE_FACTOR <= left_s)
    {
        return Lend::Ends;
    }
    // The window's tasks may arrive at the moment when the window begins. A task that is
    // stopped then must free its capacity within the time that the window's tasks may wait.
    if work.stoppable && stop_s + work.stash_s <= wait_s {
        return Lend::Stop;
    }
    Lend::No
}
