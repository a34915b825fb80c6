//! Ownership of several shards: looking up owners, adopting granted shards and handing shards
//! over.

use std::time::Duration;

use sorrelhinge_sharding::shard::{of_machine, ShardId, ShardScope};
use tokio::time::Instant;

use super::core::{Core, RecoveryInput, ShardGrant};
use super::{wall_ms, Node};
use crate::state::record::{member_key, shard_key, MemberRecord, ShardRecord};
use crate::state::view::View;
use crate::state::{Change, Condition, RequestPriority, Transaction, TransactionOutcome};
use crate::types::{MachineId, NodeId};

impl Node {
    /// Returns the number of shards according to the local view.
    pub(super) fn view_shards(&self) -> u32 {
        self.store.try_view().map_or(1, |v| v.shard_count())
    }

    /// Returns the shard that a machine belongs to.
    pub(super) fn shard_of(&self, machine: &MachineId) -> ShardId {
        of_machine(machine, self.store.view().shard_count())
    }

    /// Returns whether this controller owns the shard of a machine.
    pub(super) fn owns(&self, machine: &MachineId) -> bool {
        let shard = self.shard_of(machine);
        self.shards.owns(shard)
    }

    /// Returns the recorded owner of a shard, or `None` if that controller is not alive. The
    /// leader owns the only shard.
    pub(super) fn owner_of(&self, shard: ShardId) -> Option<NodeId> {
        let view = self.store.view();
        if view.shard_count() == 1 {
            return view.leader.value.as_ref().map(|l| l.node.clone());
        }
        let recorded = view.shards.get(&shard)?;
        let member = view.members.get(&recorded.value.owner);
        let alive = member.is_some_and(|m| m.value.run == recorded.value.run);
        alive.then(|| recorded.value.owner.clone())
    }

    /// Returns how many controllers own shards, at least 1.
    pub(super) fn shard_owner_count(&self) -> usize {
        let view = self.store.view();
        let owners: std::collections::BTreeSet<&NodeId> =
            view.shards.values().map(|b| &b.value.owner).collect();
        match view.shard_count() {
            1 => 1,
            _ => owners.len().max(1),
        }
    }

    /// Registers this controller as a member under a new lease, while there are several shards.
    /// The ownership of its shards depends on this lease.
    pub(super) async fn join_members(&self, lease_duration: Duration) {
        let asked = Instant::now();
        let Ok(lease) = self.state.lease(lease_duration).await else {
            return;
        };
        let key = member_key(&self.cfg.node);
        let transaction = Transaction {
            conditions: Vec::new(),
            changes: vec![Change::write(
                key,
                &MemberRecord { run: self.run },
                Some(lease),
            )],
        };
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(_) => {
                self.leadership.acquired(lease, asked, lease_duration);
                self.store.request_refresh();
            }
            Err(error) => tracing::info!(%error, "membership registration failed"),
        }
    }

    /// Adopts the shards that the records grant to this controller. Returns whether there are
    /// new ones.
    pub(super) fn adopt_shards(&self, view: &View) -> bool {
        let of = view.shard_count();
        if of == 1 {
            return false;
        }
        let mut new = false;
        for (shard, recorded) in &view.shards {
            let record = &recorded.value;
            if !self.is_granted_here(record) || shard.0 >= of || self.shards.owns(*shard) {
                continue;
            }
            tracing::info!(%shard, term = %record.term, grant = record.number, "shard ownership acquired");
            let grant = ShardGrant {
                scope: ShardScope { shard: *shard, of },
                number: record.number,
                revision: recorded.mod_revision,
                issued: self.shards.issued_under(*shard, record.number),
            };
            self.recover_shard(view, grant);
            new = true;
        }
        if new {
            self.wakeups.wake_owner();
        }
        new
    }

    /// Returns whether a shard's record names this run of the controller as the owner.
    fn is_granted_here(&self, record: &ShardRecord) -> bool {
        record.owner == self.cfg.node
            && record.run == self.run
            && record.version <= ShardRecord::VERSION
    }

    /// Recovers the state of one of several shards from the records, and owns the shard from
    /// then on.
    fn recover_shard(&self, view: &View, grant: ShardGrant) {
        let shard = grant.scope.shard;
        let core = Core::recover(
            &RecoveryInput {
                cfg: self.cfg.clone(),
                types: &self.catalog.types(),
                view,
                topology: None,
                now: self.now(),
                wall_ms: wall_ms(),
            },
            grant,
            self.shards.machine_zones(),
        );
        if self.shards.is_empty() {
            self.leadership.forget_reachability();
        }
        self.shards.adopt(shard, core);
    }

    /// Freezes owned shards that are offered to another controller, and unfreezes those whose offer
    /// was withdrawn.
    pub(super) fn freeze_offered_shards(&self, view: &View) {
        if view.shard_count() == 1 {
            return;
        }
        let now = self.now();
        for (shard, c) in self.shards.owned_mut().iter_mut() {
            let offered = view.shards.get(shard).and_then(|b| b.value.to.as_ref());
            match offered {
                Some(to) if view.members.contains_key(to) => c.freeze(now),
                _ => c.unfreeze(),
            }
        }
    }

    /// Hands over the shards that are offered to others and have settled, each by one
    /// conditional write. The caller runs this between two transactions, so none is in flight.
    pub(super) async fn hand_over_shards(&self) {
        if self.view_shards() == 1 {
            return;
        }
        for handover in self.due_handovers() {
            let shard = handover.shard;
            match self
                .state
                .transact(&handover.transaction, RequestPriority::First)
                .await
            {
                Ok(TransactionOutcome::Done(revision)) => {
                    tracing::info!(%shard, "shard handed over");
                    self.peers.announce(revision);
                }
                Ok(TransactionOutcome::Failed(_)) => {}
                Err(error) => tracing::info!(%shard, %error, "shard handover failed"),
            }
            self.refresh_view().await;
        }
    }

    /// Returns handovers of the owned shards that are offered to others and have settled.
    fn due_handovers(&self) -> Vec<Handover> {
        let now = self.now();
        let view = self.store.view();
        let cores = self.shards.owned();
        let settled = cores
            .iter()
            .filter(|(_, c)| c.is_frozen() && c.settled(now));
        settled
            .filter_map(|(shard, c)| handover(&view, *shard, c.grant))
            .collect()
    }
}

/// Handover of a shard to the controller that it was offered to.
struct Handover {
    shard: ShardId,
    transaction: Transaction,
}

/// Returns the handover of a shard if it is offered to a controller that is alive. Returns `None`
/// if this controller no longer owns the shard by `grant`.
fn handover(view: &View, shard: ShardId, grant: u64) -> Option<Handover> {
    let recorded = view.shards.get(&shard);
    let recorded = recorded.filter(|b| b.value.number == grant)?;
    let to = recorded.value.to.clone()?;
    let record = ShardRecord {
        version: ShardRecord::VERSION,
        run: view.members.get(&to)?.value.run,
        owner: to,
        term: recorded.value.term,
        number: view.newest_grant() + 1,
        to: None,
        pin: recorded.value.pin.clone(),
    };
    let transaction = Transaction {
        conditions: vec![Condition {
            key: shard_key(shard),
            mod_revision: recorded.mod_revision,
        }],
        changes: vec![Change::write(shard_key(shard), &record, None)],
    };
    Some(Handover { shard, transaction })
}
