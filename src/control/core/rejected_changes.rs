//! Changes that the state service rejected, and how they affect the next transactions.
//!
//! Invariant: a change that cannot be recorded blocks no other change.

use std::collections::{BTreeMap, BTreeSet};

use crate::control::write_queue::PendingWrite;
use crate::state::record::ChunkId;
use crate::types::Time;

/// Seconds after a rejected transaction in which each change is sent alone. Otherwise one faulty
/// change would block the others.
const SINGLE_CHANGE_PERIOD_S: f64 = 10.0;
/// Seconds until a change that was rejected alone is retried.
const REJECTED_RETRY_S: f64 = 20.0;

/// Consequences of rejected transactions for the next transactions.
#[derive(Debug)]
pub(super) struct RejectedChanges {
    /// Whether the smaller limits of the state service (`state.next`) are in force.
    limits_fell: bool,
    /// Each change gets a transaction of its own until this time.
    isolated_until: Time,
    /// Changes that were rejected alone, and when they may be retried. A job's own record has
    /// the key of its first chunk.
    waiting: BTreeMap<ChunkId, Time>,
}

impl RejectedChanges {
    /// Returns the state of an owner that has had no transaction rejected.
    pub(super) fn new(now: Time) -> Self {
        Self {
            limits_fell: false,
            isolated_until: now,
            waiting: BTreeMap::new(),
        }
    }

    /// Returns whether the state service is known to apply its smaller limits.
    pub(super) fn limits_fell(&self) -> bool {
        self.limits_fell
    }

    /// Records whether a rejection shows that the smaller limits are in force. Returns true if
    /// this was not known before.
    pub(super) fn observe_limits(&mut self, fell: bool) -> bool {
        let new = fell && !self.limits_fell;
        self.limits_fell |= fell;
        new
    }

    /// Returns whether each change gets a transaction of its own now.
    pub(super) fn isolates(&self, now: Time) -> bool {
        now < self.isolated_until
    }

    /// Handles a rejected transaction with these changes, and with an image's rollout if
    /// `with_rollout` is true. Several changes are retried one by one. A single change waits
    /// before its retry.
    pub(super) fn isolate_batch(
        &mut self,
        changes: BTreeSet<ChunkId>,
        with_rollout: bool,
        now: Time,
    ) {
        if changes.len() + usize::from(with_rollout) > 1 {
            self.isolated_until = now.after(SINGLE_CHANGE_PERIOD_S);
        } else {
            let until = now.after(REJECTED_RETRY_S);
            self.waiting.extend(changes.into_iter().map(|c| (c, until)));
        }
    }

    /// Returns whether a change was rejected alone and still waits for its retry.
    pub(super) fn defers(&mut self, due: &PendingWrite, now: Time) -> bool {
        self.waiting.retain(|_, until| now < *until);
        match due {
            PendingWrite::Finished(id) => self.waiting.contains_key(&ChunkId::new(id, 0)),
            PendingWrite::Chunk(chunk) => self.waiting.contains_key(chunk),
        }
    }
}
