//! Attempts that the agent was told to forget in its present incarnation. A start of one of them is
//! a late copy, as no controller starts an attempt again after it had it forgotten.
//!
//! The memory is bounded, so controllers can't rely on it: they fence late copies themselves.

use std::collections::{BTreeSet, VecDeque};

use super::Key;

/// Maximum number of attempts that are remembered. Beyond it, the one that was forgotten first is
/// dropped.
pub const MAX_FORGOTTEN_ATTEMPTS: usize = 2048;

/// Attempts that the agent was told to forget.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ForgottenAttempts {
    attempts: BTreeSet<Key>,
    /// The same attempts, the one that was forgotten first at the front.
    order: VecDeque<Key>,
}

impl ForgottenAttempts {
    /// Adds an attempt.
    pub fn insert(&mut self, key: &Key) {
        if !self.attempts.insert(key.clone()) {
            return;
        }
        self.order.push_back(key.clone());
        if self.order.len() > MAX_FORGOTTEN_ATTEMPTS {
            if let Some(first) = self.order.pop_front() {
                self.attempts.remove(&first);
            }
        }
    }

    /// Returns whether the agent was told to forget this attempt.
    pub fn contains(&self, key: &Key) -> bool {
        self.attempts.contains(key)
    }

    /// Removes all attempts, because copies for an earlier incarnation are refused.
    pub fn clear(&mut self) {
        self.attempts.clear();
        self.order.clear();
    }

    /// Returns the attempts, the one that was forgotten first at the front.
    pub fn iter(&self) -> impl Iterator<Item = &Key> {
        self.order.iter()
    }
}
