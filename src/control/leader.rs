//! Leadership: election, the grant, and stepping down.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::shard::ShardId;
use tokio::time::{sleep, Instant};

use super::core::{Core, Places, RecoveryInput, ShardGrant};
use super::{wall_ms, Node};
use crate::state::record::{GrantRecord, LeaderRecord, GRANT, LEADER};
use crate::state::view::Versioned;
use crate::state::{
    Change, Condition, RequestPriority, StateError, Transaction, TransactionOutcome,
};
use crate::types::{LeaseId, Revision, Term};

/// The leader's part of the requests that the state service takes.
const LEADER_REQUEST_SHARE: f64 = 0.5;
/// The leader's part of the changes that the state service takes.
const LEADER_WRITE_SHARE: f64 = 0.65;
/// The part of what the state service takes that all controllers together ask for.
const RATE_USED: f64 = 0.95;
/// Requests that may be sent at once after a quiet time.
const REQUEST_BURST: f64 = 4.0;
/// Changes that may be sent at once after a quiet time: this part of a second's changes.
const CHANGE_BURSTS_A_SECOND: f64 = 4.0;
/// The most changes that may be sent at once.
const CHANGE_BURST_MAX: f64 = 4.0;
/// Each controller may send so many changes a second, however few there are.
const CHANGE_RATE_LEAST: f64 = 0.5;
/// A controller that lets others go first waits so long before each look whether one
/// of them has become leader.
const RESIGNATION_RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// The pause after a read that failed, before a new leader has read all that was
/// recorded before its grant.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(50);
/// The pause after an election whose outcome is not known.
pub(super) const ELECTION_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// What a controller without a lease may become.
enum Candidacy {
    /// Nothing now.
    None,
    /// A member that may own some of several shards.
    Member,
    /// The leader, and owner of the only shard.
    Leader(Vacancy),
}

/// There is no leader, by these records.
struct Vacancy {
    /// The revision of the leader's record; 0: there is none.
    leader_revision: Revision,
    /// The last grant of the shard.
    grant: Versioned<GrantRecord>,
}

impl Node {
    /// Becomes leader whenever there is none, and stays it.
    pub(super) async fn lead(self: Rc<Self>) {
        let life = Duration::from_secs_f64(self.cfg.tuning.leader_lease_s);
        loop {
            if let Some(lease) = self.leadership.lease() {
                self.keep_lease(lease, life).await;
                continue;
            }
            self.leadership.wait_for_vacancy().await;
            let defers = self.leadership.defers_to_others();
            if defers {
                // Whoever can do better goes first.
                sleep(RESIGNATION_RETRY_INTERVAL).await;
            }
            match self.candidacy(defers) {
                Candidacy::None => {}
                Candidacy::Member => self.join_members(life).await,
                Candidacy::Leader(vacancy) => self.campaign(vacancy, life).await,
            }
        }
    }

    /// Renews the lease, and waits until that is due again.
    async fn keep_lease(&self, lease: LeaseId, life: Duration) {
        let asked = Instant::now();
        match self.state.renew(lease).await {
            Ok(()) => {
                self.leadership.renewed(asked, life);
                sleep(life / 4).await;
            }
            Err(StateError::LeaseEnded) => {
                self.leadership.release();
            }
            Err(_) => sleep(life / 8).await,
        }
    }

    /// What this controller may become now, by its view. `defers`: others go first, as
    /// long as there is a leader.
    fn candidacy(&self, defers: bool) -> Candidacy {
        let view = self.store.view();
        let leader = &view.leader;
        if !view.loaded || defers && leader.value.is_some() {
            return Candidacy::None;
        }
        if view.shard_count() > 1 {
            return Candidacy::Member;
        }
        // The key goes with its lease, unless an earlier run of this very
        // controller wrote it: that run is over.
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

    /// Tries to become leader; if the shard is still ours, keeps the grant.
    async fn campaign(&self, vacancy: Vacancy, life: Duration) {
        let asked = Instant::now();
        let Ok(lease) = self.state.lease(life).await else {
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
                self.leadership.acquired(lease, asked, life);
                if !kept {
                    self.begin_leadership(next, revision).await;
                }
            }
            Ok(TransactionOutcome::Failed(_)) => {
                self.fresh().await;
            }
            Err(error) => {
                // If it was carried out after all, the key goes with its lease.
                tracing::info!(%error, "leader election failed");
                sleep(ELECTION_RETRY_PAUSE).await;
            }
        }
    }

    /// The leader's record under the lease and, unless the grant is `kept`, the next
    /// grant; only if nobody else was faster.
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

    /// Recovers the one shard's state from the records, and owns it from then on.
    pub(super) async fn begin_leadership(&self, grant: GrantRecord, revision: Revision) {
        // Everything that earlier owners recorded is older than the grant.
        self.catch_up(revision, CATCH_UP_PAUSE).await;
        if self.store.view().grant.value.number != grant.number {
            self.leadership.release();
            return;
        }
        tracing::info!(term = %grant.term, grant = grant.number, "leader elected");
        let grant = ShardGrant::whole(grant.number, revision);
        let core = Core::load(
            &RecoveryInput {
                cfg: self.cfg.clone(),
                types: &self.catalog.types(),
                view: &self.store.view(),
                topology: self.catalog.topology(),
                now: self.now(),
                wall_ms: wall_ms(),
            },
            grant,
            Places::default(),
        );
        // By what it had seen as an earlier owner it would step down at once.
        self.leadership.forget_reachability();
        self.shards.adopt(ShardId(0), core);
        self.set_share();
        self.inherit_spread();
        self.wakeups.wake_owner();
    }

    /// Divides what all may ask of the state service: most changes are the
    /// leader's, who claims and completes; the others accept and cancel, a few
    /// at a time, so they may ask for some at once. Where that comes to too
    /// much together, the service says so, and who asked waits.
    ///
    /// Of several shards, each owner has the leader's part of it for its shard,
    /// and each controller an equal part of what is left.
    pub(super) fn set_share(&self) {
        let others = self.cfg.others.len() as f64;
        let cores = self.shards.owned();
        let shards = cores.first().map_or(1, |c| c.scope.of);
        let shards = f64::from(shards.max(self.view_shards()));
        let here = cores.len() as f64;
        drop(cores);
        let part = |leader: f64| match (here > 0.0, others > 0.0) {
            (_, false) => 1.0,
            _ if shards > 1.0 => leader * here / shards + (1.0 - leader) / (others + 1.0),
            (true, true) => leader,
            (false, true) => (1.0 - leader) / others,
        };
        let rps = self.cfg.state_rps * RATE_USED;
        self.state
            .requests
            .set_rate(rps * part(LEADER_REQUEST_SHARE), REQUEST_BURST);
        let changes = self.state.change_rate() * RATE_USED;
        let burst = (changes / CHANGE_BURSTS_A_SECOND).min(CHANGE_BURST_MAX);
        self.state.writes.set_rate(
            (changes * part(LEADER_WRITE_SHARE)).max(CHANGE_RATE_LEAST),
            burst,
        );
    }

    /// Gives up all that this controller owns while it can still say so: it stops
    /// to act first, then ends its lease, so that others need not wait for that.
    /// What it sent before is fenced as after any other end.
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
            // If that gets lost, it ends by itself.
            if let Err(error) = self.state.end(lease).await {
                tracing::info!(%error, "lease release failed");
            }
        }
    }

    /// A worker has seen the fencing token of a newer grant, so there is one, whether
    /// or not the state service can be asked about it.
    pub(super) fn superseded(&self, shard: ShardId) {
        tracing::info!(%shard, "newer shard grant seen; stepping down");
        self.step_down(shard);
        self.store.request_refresh();
    }

    /// Stops to act for a shard.
    pub(super) fn step_down(&self, shard: ShardId) {
        let core = self.shards.release_shard(shard);
        if core.is_some_and(|c| !c.scope.is_part()) {
            self.leadership.release();
        }
        self.set_share();
    }
}
