//! Merges several shards into one.

use sorrelhinge_sharding::shard::ShardId;

use super::Node;
use crate::state::record::{shard_key, GrantRecord, ShardMapRecord, GRANT, LEADER, MAP};
use crate::state::view::View;
use crate::state::{
    Change, Condition, RequestPriority, StateError, Transaction, TransactionOutcome,
};
use crate::types::Term;

impl Node {
    /// Merges all shards into one, once this controller owns all of them and nothing is in flight.
    /// The new grant gets a higher number than the grants of all shards.
    pub(super) async fn merge_shards(&self, shard_count: u32) {
        if !self.settle_all(shard_count) {
            return;
        }
        let (transaction, grant) = {
            let view = self.store.view();
            let grant = self.merged_grant(&view);
            (merge_transaction(&view, &grant), grant)
        };
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(TransactionOutcome::Done(revision)) => {
                tracing::info!("shards merged");
                self.peers.announce(revision);
                self.begin_leadership(grant, revision).await;
            }
            // If the transaction was applied after all, no controller owns the shard. Releasing
            // the lease lets it expire, and the next leader takes the shard.
            Err(StateError::Unknown(_)) => {
                self.leadership.release();
            }
            other => {
                tracing::info!(?other, "shard merge failed");
                self.refresh_view().await;
                for c in self.shards.owned_mut().values_mut() {
                    c.unfreeze();
                }
            }
        }
    }

    /// Freezes all shards if this controller owns all of them and none is moving. Returns
    /// whether nothing is in flight in any shard.
    fn settle_all(&self, shard_count: u32) -> bool {
        let now = self.now();
        let view = self.store.view();
        let mut cores = self.shards.owned_mut();
        let all_owned = (0..shard_count).all(|number| {
            let recorded = view.shards.get(&ShardId(number));
            let core = cores.get(ShardId(number));
            let recorded = recorded.filter(|h| h.value.to.is_none());
            recorded
                .zip(core)
                .is_some_and(|(h, c)| h.value.number == c.grant)
        });
        if !all_owned {
            return false;
        }
        for c in cores.values_mut() {
            c.freeze(now);
        }
        let settled = cores.values().all(|c| c.settled(now));
        settled
    }

    /// Returns the grant of the only shard after the merge.
    fn merged_grant(&self, view: &View) -> GrantRecord {
        GrantRecord {
            owner: Some(self.cfg.node.clone()),
            term: view.leader.value.as_ref().map_or(Term(0), |l| l.term),
            number: view.newest_grant() + 1,
        }
    }
}

/// Returns the transaction that replaces the records of all shards by the map and the grant of
/// one shard. The transaction fails unless this controller still leads and no record changed.
fn merge_transaction(view: &View, grant: &GrantRecord) -> Transaction {
    let map = ShardMapRecord {
        version: ShardMapRecord::VERSION,
        shards: 1,
    };
    let mut conditions = vec![Condition {
        key: LEADER.into(),
        mod_revision: view.leader.mod_revision,
    }];
    let mut changes = vec![
        Change::write(MAP.into(), &map, None),
        Change::write(GRANT.into(), grant, None),
    ];
    for (shard, recorded) in &view.shards {
        conditions.push(Condition {
            key: shard_key(*shard),
            mod_revision: recorded.mod_revision,
        });
        changes.push(Change::Delete {
            delete: shard_key(*shard),
        });
    }
    Transaction {
        conditions,
        changes,
    }
}
