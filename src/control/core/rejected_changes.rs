//! Changes that the state service did not take as they were, and how the next ones are
//! made because of that.
//!
//! Invariant: a change that can't be recorded stops no other one.

use std::collections::{BTreeMap, BTreeSet};

use crate::control::write_queue::PendingWrite;
use crate::state::record::ChunkId;
use crate::types::Time;

/// After a transaction that the state service rejected, each change is tried alone for so
/// long, in seconds: what is wrong with one must not stop the others.
const SINGLE_CHANGE_PERIOD_S: f64 = 10.0;
/// A change that was rejected alone is tried again after so long, in seconds.
const REJECTED_S: f64 = 20.0;

/// What follows from rejected transactions for the next ones.
#[derive(Debug)]
pub(super) struct RejectedChanges {
    /// The state service has its smaller limits (`state.next`).
    limits_fell: bool,
    /// Until then each change has a transaction of its own.
    isolated_until: Time,
    /// Changes that were rejected alone, until when they wait. A job's own record has
    /// the key of its first chunk.
    waiting: BTreeMap<ChunkId, Time>,
}

impl RejectedChanges {
    /// Nothing was rejected yet.
    pub(super) fn none(now: Time) -> Self {
        Self {
            limits_fell: false,
            isolated_until: now,
            waiting: BTreeMap::new(),
        }
    }

    /// Whether the state service is known to have its smaller limits.
    pub(super) fn limits_fell(&self) -> bool {
        self.limits_fell
    }

    /// A rejection shows whether the smaller limits are in force. True if that is news.
    pub(super) fn learn_limits(&mut self, fell: bool) -> bool {
        let new = fell && !self.limits_fell;
        self.limits_fell |= fell;
        new
    }

    /// Whether each change has a transaction of its own now.
    pub(super) fn isolates(&self, now: Time) -> bool {
        now < self.isolated_until
    }

    /// A transaction with these changes, and with an image's rollout if `with_rollout`, was
    /// rejected: its changes are tried one by one, and one that was alone waits.
    pub(super) fn isolate_batch(
        &mut self,
        changes: BTreeSet<ChunkId>,
        with_rollout: bool,
        now: Time,
    ) {
        if changes.len() + usize::from(with_rollout) > 1 {
            self.isolated_until = now.after(SINGLE_CHANGE_PERIOD_S);
        } else {
            let until = now.after(REJECTED_S);
            self.waiting.extend(changes.into_iter().map(|c| (c, until)));
        }
    }

    /// Whether a change was rejected alone and still waits.
    pub(super) fn defers(&mut self, due: &PendingWrite, now: Time) -> bool {
        self.waiting.retain(|_, until| now < *until);
        match due {
            PendingWrite::Finished(id) => self.waiting.contains_key(&ChunkId::new(id, 0)),
            PendingWrite::Chunk(chunk) => self.waiting.contains_key(chunk),
        }
    }
}
