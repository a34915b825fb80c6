//! Leadership: election, the grant of the only shard, and stepping down.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use tokio::time::{sleep, Instant};

use super::core::{Core, MachineZones, RecoveryInput, ShardGrant};
use super::{wall_ms, Node};
use crate::state::record::{GrantRecord, LeaderRecord, GRANT, LEADER};
use crate::state::view::Versioned;
use crate::state::{
    Change, Condition, RequestPriority, StateError, Transaction, TransactionOutcome,
};
use crate::types::{FencingToken, LeaseId, Revision, Term};

/// Pause of a controller that defers to others before each check whether one of them has become
/// leader.
const RESIGNATION_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Pause after a failed read of the records, while a new leader reads all records written before
/// its grant.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(50);
/// Pause after an election whose outcome is unknown.
pub(super) const ELECTION_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Role that a controller without a lease may take next.
enum Candidacy {
    /// The controller takes no role now.
    None,
    /// The controller may join the members, which can own some of several shards.
    Member,
    /// The controller may become the leader and owner of the only shard.
    Leader(Vacancy),
}

/// The leader's record and the grant, as read when there was no leader. An election succeeds
/// only if both are unchanged.
struct Vacancy {
    /// Revision of the leader's record, or 0 if there is no such record.
    leader_revision: Revision,
    /// Last recorded grant of the only shard.
    grant: Versioned<GrantRecord>,
}

impl Node {
    /// Runs for leader whenever there is no leader, and renews the lease while this controller
    /// has one.
    pub(super) async fn run_elections(self: Rc<Self>) {
        let lease_duration = Duration::from_secs_f64(self.cfg.tuning.leader_lease_s);
        loop {
            if let Some(lease) = self.leadership.lease() {
                self.keep_lease(lease, lease_duration).await;
                continue;
            }
            self.leadership.wait_for_vacancy().await;
            let defers = self.leadership.defers_to_others();
            if defers {
                // Another controller that reaches the workers may be elected first.
                sleep(RESIGNATION_RETRY_INTERVAL).await;
            }
            match self.candidacy(defers) {
                Candidacy::None => {}
                Candidacy::Member => self.join_members(lease_duration).await,
                Candidacy::Leader(vacancy) => self.campaign(vacancy, lease_duration).await,
            }
        }
    }

    /// Renews the lease, then waits until the next renewal is due.
    async fn keep_lease(&self, lease: LeaseId, lease_duration: Duration) {
        let asked = Instant::now();
        match self.state.renew(lease).await {
            Ok(()) => {
                self.leadership.renewed(asked, lease_duration);
                sleep(lease_duration / 4).await;
            }
            Err(StateError::LeaseEnded) => {
                self.leadership.release();
            }
            Err(_) => sleep(lease_duration / 8).await,
        }
    }

    /// Returns the role that this controller may take now, according to its local view. With
    /// `defers`, returns [`Candidacy::None`] as long as there is a leader, because other
    /// controllers go first.
    fn candidacy(&self, defers: bool) -> Candidacy {
        let view = self.store.view();
        let leader = &view.leader;
        if !view.loaded || defers && leader.value.is_some() {
            return Candidacy::None;
        }
        if view.shard_count() > 1 {
            return Candidacy::Member;
        }
        // The state service deletes the leader's key when its lease ends. A key that an earlier
        // run of this controller wrote may still exist, but that run is over, so its key
        // doesn't count.
        let leader_revision = match &leader.value {
            None => Revision(0),
            Some(l) if l.node == self.cfg.node && l.run != self.run => leader.mod_revision,
            Some(_) => return Candidacy::None,
        };
        Candidacy::Leader(Vacancy {
            leader_revision,
            grant: view.grant.clone(),
        })
    }

    /// Runs for leader. Keeps the current grant if this controller still owns the shard by it.
    async fn campaign(&self, vacancy: Vacancy, lease_duration: Duration) {
        let asked = Instant::now();
        let Ok(lease) = self.state.lease(lease_duration).await else {
            return;
        };
        let grant = &vacancy.grant.value;
        let own_grant = self.shards.owned().first().map(|c| c.grant);
        let kept = own_grant == Some(grant.number);
        let next = GrantRecord {
            owner: Some(self.cfg.node.clone()),
            term: Term(grant.term.0 + u64::from(!kept)),
            number: grant.number + 1,
        };
        let transaction = self.election_transaction(&vacancy, &next, kept, lease);
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(TransactionOutcome::Done(revision)) => {
                self.leadership.acquired(lease, asked, lease_duration);
                if !kept {
                    self.begin_leadership(next, revision).await;
                }
            }
            Ok(TransactionOutcome::Failed(_)) => {
                self.refresh_view().await;
            }
            Err(error) => {
                // If the transaction was applied after all, the state service deletes the leader's
                // key when the lease ends.
                tracing::info!(%error, "leader election failed");
                sleep(ELECTION_RETRY_PAUSE).await;
            }
        }
    }

    /// Returns the transaction that writes the leader's record under the lease and, unless the
    /// grant is `kept`, the next grant. The transaction fails if another controller was faster.
    fn election_transaction(
        &self,
        vacancy: &Vacancy,
        next: &GrantRecord,
        kept: bool,
        lease: LeaseId,
    ) -> Transaction {
        let leader = LeaderRecord {
            node: self.cfg.node.clone(),
            run: self.run,
            term: next.term,
        };
        let mut transaction = Transaction {
            conditions: vec![
                Condition {
                    key: LEADER.into(),
                    mod_revision: vacancy.leader_revision,
                },
                Condition {
                    key: GRANT.into(),
                    mod_revision: vacancy.grant.mod_revision,
                },
            ],
            changes: vec![Change::write(LEADER.into(), &leader, Some(lease))],
        };
        if !kept {
            transaction
                .changes
                .push(Change::write(GRANT.into(), next, None));
        }
        transaction
    }

    /// Recovers the state of the only shard from the records, and owns the shard from then on.
    pub(super) async fn begin_leadership(&self, grant: GrantRecord, revision: Revision) {
        // All records of earlier owners are older than the grant, so a view as new as the grant
        // contains them.
        self.catch_up(revision, CATCH_UP_PAUSE).await;
        if self.store.view().grant.value.number != grant.number {
            self.leadership.release();
            return;
        }
        let fencing_token = FencingToken::of_grant(grant.number);
        tracing::info!(term = %grant.term, grant = grant.number, %fencing_token, %revision, "leader elected");
        let grant = ShardGrant::whole(grant.number, revision);
        let core = Core::recover(
            &RecoveryInput {
                cfg: self.cfg.clone(),
                types: &self.catalog.types(),
                view: &self.store.view(),
                topology: self.catalog.topology(),
                now: self.now(),
                wall_ms: wall_ms(),
            },
            grant,
            MachineZones::default(),
        );
        // Evidence from an earlier term that workers are unreachable would make this controller
        // step down at once.
        self.leadership.forget_reachability();
        self.shards.adopt(ShardId(0), core);
        self.update_rate_limits();
        self.inherit_offload_share();
        self.wakeups.wake_owner();
    }

    /// Resigns all ownership while this controller can still tell the state service: stops
    /// acting first, then ends its lease, so that other controllers need not wait until the
    /// lease expires. Commands that this controller sent before are fenced, as after any other
    /// end of ownership.
    pub async fn resign(&self, why: &'static str) {
        let lease = self.leadership.release();
        let shards: Vec<ShardId> = self.shards.ids();
        if shards.is_empty() && lease.is_none() {
            return;
        }
        tracing::info!(why, "resigning leadership and shards");
        self.leadership.defer_to_others();
        for shard in shards {
            self.step_down(shard);
        }
        if let Some(lease) = lease {
            // If the request is lost, the lease expires by itself.
            if let Err(error) = self.state.end(lease).await {
                tracing::info!(%error, "lease release failed");
            }
        }
    }

    /// Steps down because a worker has seen the fencing token of a newer grant. A newer grant
    /// thus exists, whether or not the state service can confirm it.
    pub(super) fn step_down_superseded(&self, shard: ShardId) {
        tracing::info!(%shard, "newer shard grant seen; stepping down");
        self.step_down(shard);
        self.store.request_refresh();
    }

    /// Stops acting for a shard.
    pub(super) fn step_down(&self, shard: ShardId) {
        let core = self.shards.release_shard(shard);
        if core.is_some_and(|c| !c.scope.is_part()) {
            self.leadership.release();
        }
        self.update_rate_limits();
    }
}
