//! Transfers of quota: a shard gives parts of team limits to a shard that lacks them. The rules
//! that choose the shards and the amounts are in [`sorrelhinge_sharding::slices`].

use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_sharding::slices::{next_transfer, LimitTransfer, Need};
use tokio::time::sleep;

use super::core::Core;
use super::Node;
use crate::state::record::{shard_key, slice_key, SliceRecord};
use crate::state::{Change, Condition, RequestPriority, Transaction, TransactionOutcome};
use crate::types::Revision;

/// Minimum interval between two quota transfers of a controller's shards.
pub(super) const QUOTA_TRANSFER_INTERVAL: Duration = Duration::from_millis(1500);
/// Time that the write of a quota transfer may wait until the rate limit of the state service
/// allows it.
const TRANSFER_QUEUE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Pause after the write of a quota transfer whose outcome is unknown.
const TRANSFER_RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Pause after a failed read, while the outcome of a quota transfer is looked up.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(100);

impl Node {
    /// Returns the quota, the use and the demand of each shard for each team. Returns `None` if
    /// these are unknown for at least one shard.
    fn needs_by_shard(&self) -> Option<Vec<Vec<Need>>> {
        let view = self.store.view();
        (0..view.shard_count())
            .map(|b| {
                let shard = ShardId(b);
                let slices = &view.slices.get(&shard)?.value;
                let needs = self.shards.needs_of(shard)?;
                let team = |t: &crate::config::TeamConfig| {
                    let need = needs.teams.iter().find(|of| *of.team == *t.name);
                    Need {
                        slice: slices.of(&t.name),
                        ..need.map(|of| of.need).unwrap_or_default()
                    }
                };
                Some(self.cfg.teams.iter().map(team).collect())
            })
            .collect()
    }

    /// Transfers unused quota of the owned shards to shards that lack quota.
    pub(super) async fn transfer_quotas(&self) {
        let Some(needs) = self.needs_by_shard() else {
            return;
        };
        for shard in self.shards.ids() {
            let Some(transfer) = next_transfer(shard, &needs) else {
                continue;
            };
            let Some(transaction) = self.reserve_transfer(shard, &transfer) else {
                continue;
            };
            let Some(revision) = self.send_transfer(shard, &transaction).await else {
                return;
            };
            self.apply_transfer_outcome(shard, revision).await;
        }
    }

    /// Lowers the shard's own limits by the amounts of the transfer, and returns the
    /// transaction to send. Returns `None` if the shard can't spare the amounts.
    fn reserve_transfer(&self, shard: ShardId, transfer: &LimitTransfer) -> Option<Transaction> {
        let view = self.store.view();
        let mut cores = self.shards.owned_mut();
        let core = cores.get_mut(shard).filter(|c| !c.is_frozen())?;
        let grant = view.shards.get(&shard)?;
        let mine = view.slices.get(&shard)?;
        let theirs = view.slices.get(&transfer.to)?;
        if grant.value.number != core.grant || !self.can_spare(core, &mine.value, transfer) {
            return None;
        }
        // The limits are lowered before the transaction is sent. While its outcome is unknown,
        // the amounts count as used on both sides.
        core.reserve_outgoing_quota(transfer.amounts.clone(), &view);
        let given = self.quota_after_transfer(&mine.value, transfer, -1);
        let taken = self.quota_after_transfer(&theirs.value, transfer, 1);
        Some(Transaction {
            conditions: vec![
                Condition {
                    key: shard_key(shard),
                    mod_revision: grant.mod_revision,
                },
                Condition {
                    key: slice_key(shard),
                    mod_revision: mine.mod_revision,
                },
                Condition {
                    key: slice_key(transfer.to),
                    mod_revision: theirs.mod_revision,
                },
            ],
            changes: vec![
                Change::write(slice_key(shard), &given, None),
                Change::write(slice_key(transfer.to), &taken, None),
            ],
        })
    }

    /// Returns whether the remaining quota covers the current use, including claims made since
    /// the shard's needs were published.
    fn can_spare(&self, core: &Core, mine: &SliceRecord, transfer: &LimitTransfer) -> bool {
        let used = core.needs();
        let given = transfer.amounts.iter().zip(&self.cfg.teams);
        given
            .zip(&used)
            .all(|((give, team), need)| need.used.fits_team(mine.of(&team.name) - *give))
    }

    /// Returns a shard's quota after a transfer. `sign` is 1 for the shard that receives the
    /// amounts and -1 for the shard that gives them.
    fn quota_after_transfer(
        &self,
        record: &SliceRecord,
        transfer: &LimitTransfer,
        sign: i64,
    ) -> SliceRecord {
        let teams = self.cfg.teams.iter().zip(&transfer.amounts);
        SliceRecord::new(teams.map(|(t, give)| {
            let part = record.of(&t.name) + give.times(sign);
            (t.name.to_string(), part)
        }))
    }

    /// Sends a transfer until its outcome is known, and returns the revision that shows the
    /// outcome. Returns `None` if this controller does not own the shard any more.
    async fn send_transfer(&self, shard: ShardId, transaction: &Transaction) -> Option<Revision> {
        loop {
            match self
                .state
                .transact(transaction, RequestPriority::Within(TRANSFER_QUEUE_TIMEOUT))
                .await
            {
                Ok(TransactionOutcome::Done(revision) | TransactionOutcome::Failed(revision)) => {
                    return Some(revision)
                }
                // The transaction is retried with the same conditions, so at most one attempt
                // is applied and the others fail.
                Err(error) => {
                    tracing::debug!(%error, "quota transfer failed");
                    sleep(TRANSFER_RETRY_PAUSE).await;
                }
            }
            if !self.shards.owns(shard) {
                return None;
            }
        }
    }

    /// Waits until the local records show the outcome, then applies the recorded limits again.
    async fn apply_transfer_outcome(&self, shard: ShardId, revision: Revision) {
        self.peers.announce(revision);
        self.catch_up(revision, CATCH_UP_PAUSE).await;
        let view = self.store.view();
        if let Some(core) = self.shards.owned_mut().get_mut(shard) {
            core.reserve_outgoing_quota(Vec::new(), &view);
        }
    }
}
