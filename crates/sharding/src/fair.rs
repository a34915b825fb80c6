//! Who is next when what all want is short: every sort of work keeps a floor of
//! it, whatever is more urgent.
//!
//! Urgency alone starved a team for minutes: with more claims of services than
//! the state service records, no other claim was ever written, and no job that
//! was done was ever said to be.

/// Turns in a circle: whoever was served last comes last.
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
    /// Whose turn it is, of those that wait.
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

/// Of each so many that are served, one is by turns.
pub const SERVED_PER_TURN: u64 = 4;
/// And one is a job that is done: its users wait for nothing else.
pub const SERVED_PER_DONE_JOB: u64 = 3;
/// Turns count only for what has waited for so long, in seconds: before, the most
/// urgent goes first and everything else soon after.
pub const TURN_AFTER_S: f64 = 3.0;

/// How many places each sort keeps, of `max` that all share.
pub fn floor(max: usize) -> usize {
    (max / 8).max(1)
}
