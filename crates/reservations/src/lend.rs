//! What work may use reserved capacity before its window's work does. Machines that wait idle
//! for their window cost as much as busy ones, yet whoever uses them must
//! leave them in time.

/// Estimates are often wrong by half, sometimes by more: work must end before
/// the window begins even if it takes this many times its estimate.
pub const ESTIMATE_FACTOR: f64 = 2.0;

/// Work that would use reserved capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Borrower {
    /// Estimated seconds until it ends, with its image's fetch; `None` if it
    /// doesn't end by itself, or no estimate is known.
    pub ends_in_s: Option<f64>,
    /// PROTOCOL lets it be stopped for the window's work: it has a lower
    /// priority, or its team is beyond its guarantee and the window's is not.
    pub stoppable: bool,
    /// Seconds that it takes to save when it is stopped; 0 if it doesn't.
    pub stash_s: f64,
}

/// How reserved capacity may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lend {
    /// Not by this work.
    No,
    /// It ends before.
    Ends,
    /// It is stopped when the window's work comes.
    Stop,
}

/// Whether reserved capacity is lent to some work. `left_s`: seconds until the window
/// begins, by the latest that the clock may be, and less its `early_s`;
/// negative once it has begun. `stop_s`: seconds from the decision to stop a
/// task until its machine has the command and its capacity is free, without saving. `wait_s`:
/// how long the window's work may wait for free capacity after it has come.
pub fn may_lend(work: &Borrower, left_s: f64, stop_s: f64, wait_s: f64) -> Lend {
    // An estimate of 0 is a service's, which never ends.
    if work
        .ends_in_s
        .is_some_and(|s| s > 0.0 && s * ESTIMATE_FACTOR <= left_s)
    {
        return Lend::Ends;
    }
    // The window's work may come at its first moment: what is stopped then is
    // over within the time that that work may wait.
    if work.stoppable && stop_s + work.stash_s <= wait_s {
        return Lend::Stop;
    }
    Lend::No
}
