//! Records claims and results in the state service. One transaction is in flight at a time,
//! and the owned shards take turns.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use tokio::time::sleep;

use super::core::Batch;
use super::shard_owner::OWNER_TICK_INTERVAL;
use super::Node;
use crate::state::{RequestPriority, StateError, TransactionOutcome};
use crate::types::Revision;

/// Maximum time that a transaction waits for the write budget of the state service.
const RECORD_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause after a transaction whose outcome is unknown.
const RECORD_RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Pause after a failed read while the cause of a conflict is looked up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);

/// Next batch that a shard has to record.
struct ShardBatch {
    shard: ShardId,
    /// Grant by which this controller owned the shard when it built the batch.
    grant: u64,
    batch: Batch,
}

impl Node {
    /// Records claims and results of the owned shards, one transaction at a time.
    pub(super) async fn record_pending_writes(self: Rc<Self>) {
        let mut last = ShardId(0);
        loop {
            // The timeout lets writes that are not urgent be recorded now and then.
            self.wakeups.recording_woken(OWNER_TICK_INTERVAL).await;
            while let Some(next) = self.next_shard_batch(last) {
                last = next.shard;
                self.record_batch(next).await;
                self.run_due_work();
            }
            self.hand_over_shards().await;
        }
    }

    /// Returns the next batch to record. The shards take turns, and `last` is the shard of
    /// the previous batch.
    fn next_shard_batch(&self, last: ShardId) -> Option<ShardBatch> {
        let mut cores = self.shards.owned_mut();
        let view = self.store.view();
        let spare = self.state.writes.spare();
        let now = self.now();
        let (before, after): (Vec<_>, Vec<_>) =
            cores.iter_mut().partition(|(shard, _)| **shard <= last);
        let mut turns = after.into_iter().chain(before);
        turns.find_map(|(shard, c)| {
            let batch = c.next_batch(&view, self.cfg.state_limits.txn_ops, spare, now)?;
            Some(ShardBatch {
                shard: *shard,
                grant: c.grant,
                batch,
            })
        })
    }

    /// Sends a transaction until its outcome is known or this controller no longer owns the
    /// shard.
    async fn record_batch(&self, next: ShardBatch) {
        loop {
            let urgency = RequestPriority::Within(RECORD_TIMEOUT);
            let result = self.state.transact(&next.batch.transaction, urgency).await;
            if !self.shards.owns_by_grant(next.shard, next.grant) {
                return;
            }
            match result {
                Ok(TransactionOutcome::Done(revision)) => {
                    return self.batch_committed(next, revision)
                }
                Ok(TransactionOutcome::Failed(revision)) => {
                    return self.batch_conflicted(next, revision).await;
                }
                Err(StateError::Rejected(why)) => {
                    let changes = next.batch.transaction.changes.len();
                    tracing::error!(%why, changes, "store rejected a transaction");
                    return self.batch_rejected(next);
                }
                // Retry the same transaction. If the state service commits an earlier
                // attempt after all, either that attempt's conditions or those of this one
                // fail, and the view shows which.
                Err(error) => {
                    tracing::debug!(%error, "store transaction failed");
                    sleep(RECORD_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Applies a committed transaction to the shard and the view.
    fn batch_committed(&self, done: ShardBatch, revision: Revision) {
        if let Some(c) = self.shards.owned_mut().get_mut(done.shard) {
            let mut view = self.store.view_for_commit();
            c.transaction_committed(done.batch, revision, &mut view, self.now());
        }
        self.peers.announce(revision);
    }

    /// Handles a transaction whose condition failed. Waits until the view contains
    /// `revision`, whose records show the cause.
    async fn batch_conflicted(&self, failed: ShardBatch, revision: Revision) {
        let (shard, grant) = (failed.shard, failed.grant);
        while self.store.view().store_revision < revision {
            if !self.refresh_view().await {
                sleep(CATCH_UP_PAUSE).await;
            }
            if !self.shards.owns_by_grant(shard, grant) {
                return;
            }
        }
        let grant_kept =
            self.shards.owned_mut().get_mut(shard).is_none_or(|c| {
                c.transaction_conflicted(failed.batch, &self.store.view(), self.now())
            });
        if !grant_kept {
            tracing::info!(%shard, "shard grant lost; stepping down");
            self.step_down(shard);
        }
    }

    /// Handles a transaction that the state service rejects in its present form.
    fn batch_rejected(&self, refused: ShardBatch) {
        if let Some(c) = self.shards.owned_mut().get_mut(refused.shard) {
            let limits_fell = self.state.limits_fell();
            c.transaction_rejected(refused.batch, limits_fell, &self.store.view(), self.now());
        }
    }
}
