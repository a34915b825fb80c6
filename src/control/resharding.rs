//! Splits the only shard into several: divides the machines and the teams' limits.

use sorrelhinge_sharding::owners::how_many;
use sorrelhinge_sharding::shard::{ShardId, ShardScope};
use sorrelhinge_sharding::slices::divide;

use super::core::{Core, RecoveryInput, ShardGrant};
use super::{wall_ms, Node};
use crate::state::record::{
    member_key, shard_key, slice_key, MemberRecord, ShardMapRecord, ShardRecord, ShardedGrantFence,
    SliceRecord, GRANT, MAP,
};
use crate::state::{
    Change, Condition, RequestPriority, StateError, Transaction, TransactionOutcome,
};
use crate::types::{Amount, LeaseId, Revision, Term, Time};

/// Time in seconds that a leader must have led before it splits the machines into shards.
const SPLIT_DELAY_S: f64 = 1.0;
/// Delay in seconds before the next attempt after a failed split.
const SPLIT_RETRY_DELAY_S: f64 = 5.0;

/// Reason why the machines were not split into shards.
#[derive(Debug, thiserror::Error)]
enum SplitError {
    /// The local copy of the records may be outdated.
    #[error("the state service can't be asked")]
    Unconfirmed,
    /// Some claims exceed a limit, and their releases are not recorded yet.
    #[error("releases wait to be recorded")]
    ReleasesPending,
    /// The shards' quotas were not recorded, or the outcome is unknown.
    #[error("parts of the limits: {0:?}")]
    Quotas(Result<TransactionOutcome, StateError>),
    /// This controller is not the leader any more.
    #[error("the lease ended")]
    LeaseExpired,
    /// The records of the shards were not written, or the outcome is unknown.
    #[error("blocks: {0:?}")]
    Shards(Result<TransactionOutcome, StateError>),
}

/// Planned split into several shards that is not recorded yet.
struct SplitPlan {
    /// Number of shards after the split.
    shard_count: u32,
    /// Number of the current grant, which the grants of the shards replace.
    grant: u64,
    /// Quota of each shard for each team.
    quotas: Vec<Vec<Amount>>,
    /// Condition that the current grant is still the same. Otherwise nothing is written.
    guard: Condition,
    /// Term of the current grant.
    term: Term,
}

impl Node {
    /// Returns whether all other controllers support several shards.
    fn all_peers_support_shards(&self) -> bool {
        self.peers_supporting_shards().len() == self.cfg.others.len()
    }

    /// Splits the only shard into several. This controller owns all of them at first. Its core
    /// is frozen until nothing is in flight. Then each shard's quota is its current use and an
    /// equal part of the rest.
    pub(super) async fn split_shards(&self, next_attempt: &mut Option<Time>) {
        let shard_count = how_many(self.cfg.tuning.shards_least, self.cfg.others.len() + 1);
        let now = self.now();
        // With a topology, one core must see the places of all machines, so the shard is not split.
        if shard_count < 2 || self.topology().is_some() || !self.all_peers_support_shards() {
            // The core may be frozen from an earlier attempt, before this condition changed.
            if let Some(core) = self.shards.owned_mut().first_mut() {
                core.unfreeze();
            }
            return;
        }
        let due = *next_attempt.get_or_insert(now.after(SPLIT_DELAY_S));
        let grant = {
            let mut cores = self.shards.owned_mut();
            let Some(core) = cores.first_mut().filter(|_| now >= due) else {
                return;
            };
            if core.has_claimed_gang() {
                return;
            }
            core.freeze(now);
            if !core.settled(now) {
                return;
            }
            let zones = core.zones().map(|(id, zone)| (id.clone(), zone.clone()));
            self.shards.learn_zones(zones);
            core.grant
        };
        if let Err(error) = self.execute_split(shard_count, grant).await {
            let why = error.to_string();
            tracing::info!(why, "shard split postponed");
            *next_attempt = Some(self.now().after(SPLIT_RETRY_DELAY_S));
            if let Some(core) = self.shards.owned_mut().first_mut() {
                core.unfreeze();
            }
        }
    }

    /// Writes the shards' quotas and then, if nothing changed meanwhile, the shards in place of
    /// the only grant.
    async fn execute_split(&self, shard_count: u32, grant: u64) -> Result<(), SplitError> {
        if !self.refresh_view().await {
            return Err(SplitError::Unconfirmed);
        }
        let plan = self.plan_split(shard_count, grant)?;
        let quotas_at = self.record_quotas(&plan).await?;
        let lease = self.leadership.lease();
        let lease = lease.ok_or(SplitError::LeaseExpired)?;
        let transaction = self.split_transaction(&plan, quotas_at, lease);
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(TransactionOutcome::Done(revision)) => {
                tracing::info!(shards = shard_count, "machines split into shards");
                self.peers.announce(revision);
                self.refresh_view().await;
                Ok(())
            }
            // If the transaction was applied after all, the refreshed view shows it.
            other => Err(SplitError::Shards(other)),
        }
    }

    /// Computes the use of each shard after the split, and its quota.
    fn plan_split(&self, shard_count: u32, grant: u64) -> Result<SplitPlan, SplitError> {
        let (now, wall) = (self.now(), wall_ms());
        let shards = (0..shard_count).map(|b| ShardScope {
            shard: ShardId(b),
            of: shard_count,
        });
        let view = self.store.view();
        let input = RecoveryInput {
            cfg: self.cfg.clone(),
            types: &self.catalog.types(),
            view: &view,
            topology: None,
            now,
            wall_ms: wall,
        };
        let used: Vec<Vec<Amount>> = shards
            .map(|scope| {
                let grant = ShardGrant {
                    scope,
                    number: grant,
                    revision: Revision(0),
                    issued: None,
                };
                let core = Core::recover(&input, grant, self.shards.machine_zones());
                core.needs().iter().map(|n| n.used).collect()
            })
            .collect();
        let limits: Vec<Amount> = self.cfg.teams.iter().map(|t| t.limit).collect();
        let quotas = divide(&limits, &used).ok_or(SplitError::ReleasesPending)?;
        Ok(SplitPlan {
            shard_count,
            grant,
            quotas,
            guard: Condition {
                key: GRANT.into(),
                mod_revision: view.grant.mod_revision,
            },
            term: view.grant.value.term,
        })
    }

    /// Writes the quota of each shard, and returns the revision of that write.
    async fn record_quotas(&self, plan: &SplitPlan) -> Result<Revision, SplitError> {
        let names = || self.cfg.teams.iter().map(|t| t.name.to_string());
        let parts = plan.quotas.iter().enumerate().map(|(b, part)| {
            let record = SliceRecord::new(names().zip(part.iter().copied()));
            Change::write(slice_key(ShardId(b as u32)), &record, None)
        });
        let transaction = Transaction {
            conditions: vec![plan.guard.clone()],
            changes: parts.collect(),
        };
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(TransactionOutcome::Done(revision)) => Ok(revision),
            other => Err(SplitError::Quotas(other)),
        }
    }

    /// Returns the transaction that carries out the split. It writes the shard map, a fence in
    /// place of the grant, this controller as a member, and a record for each shard. The
    /// transaction fails unless the quotas are unchanged since `quotas_at`.
    fn split_transaction(
        &self,
        plan: &SplitPlan,
        quotas_at: Revision,
        lease: LeaseId,
    ) -> Transaction {
        let shard_count = plan.shard_count;
        let mut conditions = vec![plan.guard.clone()];
        let map = ShardMapRecord {
            version: ShardMapRecord::VERSION,
            shards: shard_count,
        };
        let grant_fence = ShardedGrantFence {
            version: 2,
            shards: shard_count,
        };
        let member = MemberRecord { run: self.run };
        let mut changes = vec![
            Change::write(MAP.into(), &map, None),
            Change::write(GRANT.into(), &grant_fence, None),
            Change::write(member_key(&self.cfg.node), &member, Some(lease)),
        ];
        for shard in (0..shard_count).map(ShardId) {
            conditions.push(Condition {
                key: slice_key(shard),
                mod_revision: quotas_at,
            });
            let record = self.first_shard_record(plan, shard);
            changes.push(Change::write(shard_key(shard), &record, None));
        }
        Transaction {
            conditions,
            changes,
        }
    }

    /// Returns the first record of a shard after the split, which names this controller as the
    /// owner. The shards get consecutive grant numbers. The lowest one follows the number of the
    /// grant that they replace.
    fn first_shard_record(&self, plan: &SplitPlan, shard: ShardId) -> ShardRecord {
        ShardRecord {
            version: ShardRecord::VERSION,
            owner: self.cfg.node.clone(),
            run: self.run,
            term: plan.term,
            number: plan.grant + 1 + u64::from(shard.0),
            to: None,
            pin: None,
        }
    }
}
