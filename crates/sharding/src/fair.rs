//! Fair choice of who is served next when there is too little for all. Every kind of work
//! keeps a minimum share, even while more urgent work is pending.
//!
//! Serving by urgency alone starved a team for minutes. With more claims of services than
//! the state service records, no other claim was ever written, and no finished job was ever
//! reported as done.

/// Round-robin order in which the key that was served last comes last.
#[derive(Clone, Debug)]
pub struct Turns<K> {
    last: Option<K>,
}

impl<K> Default for Turns<K> {
    fn default() -> Self {
        Self { last: None }
    }
}

impl<K: Ord + Clone> Turns<K> {
    /// Returns the key among `waiting` that is served next, or `None` if `waiting` is
    /// empty. Records the returned key as the last one served.
    pub fn next<'a>(&mut self, waiting: impl Iterator<Item = &'a K> + Clone) -> Option<K>
    where
        K: 'a,
    {
        let after = waiting
            .clone()
            .filter(|k| self.last.as_ref().is_none_or(|last| *k > last))
            .min();
        let next = after.or_else(|| waiting.min())?.clone();
        self.last = Some(next.clone());
        Some(next)
    }
}

/// Number of served items of which one is chosen in round-robin order instead of by urgency.
pub const SERVED_PER_TURN: u64 = 4;
/// Number of served items of which one is a job that is done, because the users of such a
/// job wait for nothing else.
pub const SERVED_PER_DONE_JOB: u64 = 3;
/// Minimum wait before an item takes part in the round-robin order, in seconds. Before
/// that, the most urgent item is served first and everything else soon after.
pub const TURN_AFTER_S: f64 = 3.0;

/// Returns the number of places that each kind of work keeps, out of the `max` places that
/// all kinds share.
pub fn floor(max: usize) -> usize {
    (max / 8).max(1)
}
