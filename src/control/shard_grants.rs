//! Duties of the leader with several shards: it grants shards and moves them. The rules that
//! choose the next step are in [`sorrelhinge_sharding::owners`].

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::owners::{Member, RecordedShard, ShardPreference, Step};
use tokio::time::sleep;

use super::leader::ELECTION_RETRY_PAUSE;
use super::Node;
use crate::state::record::{shard_key, LeaderRecord, ShardRecord, LEADER};
use crate::state::{Change, Condition, RequestPriority, Transaction, TransactionOutcome};
use crate::types::{Revision, Term};

/// Interval at which the leader checks the ownership of the shards.
const GRANT_CHECK_INTERVAL: Duration = Duration::from_millis(300);

impl Node {
    /// Returns whether this run of the controller is the recorded leader and has a lease.
    fn is_leader(&self) -> bool {
        let view = self.store.view();
        let leader = view.leader.value.as_ref();
        self.leadership.lease().is_some()
            && leader.is_some_and(|l| l.node == self.cfg.node && l.run == self.run)
    }

    /// Runs the leader's loop: splits the machines into shards, grants the shards and moves
    /// them.
    pub(super) async fn assign_shards(self: Rc<Self>) {
        let mut next_split_attempt = None;
        loop {
            self.wakeups.assignments_woken(GRANT_CHECK_INTERVAL).await;
            let (loaded, shards, leaderless) = {
                let view = self.store.view();
                let leaderless = view.leader.value.is_none();
                (view.loaded, view.shard_count(), leaderless)
            };
            if !loaded || self.leadership.lease().is_none() {
                continue;
            }
            if shards > 1 && leaderless {
                self.campaign_among_members().await;
            } else if shards > 1 && self.is_leader() {
                self.assign_shards_once().await;
                if self.cfg.tuning.shards_least == 1 {
                    self.merge_shards(shards).await;
                }
            } else if self.is_leader() {
                self.split_shards(&mut next_split_attempt).await;
            }
        }
    }

    /// Runs for leader among the members while there are several shards. The election grants no
    /// shard.
    async fn campaign_among_members(&self) {
        let Some(lease) = self.leadership.lease() else {
            return;
        };
        let leader = self.own_leader_record();
        let transaction = Transaction {
            // The state service deleted the key of the last leader with its lease.
            conditions: vec![Condition {
                key: LEADER.into(),
                mod_revision: Revision(0),
            }],
            changes: vec![Change::write(LEADER.into(), &leader, Some(lease))],
        };
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(TransactionOutcome::Done(_)) => {
                tracing::info!(term = %leader.term, "leader elected");
                self.shards.forget_assignments();
                self.refresh_view().await;
            }
            Ok(TransactionOutcome::Failed(_)) => {
                self.refresh_view().await;
            }
            Err(error) => {
                tracing::info!(%error, "leader election failed");
                sleep(ELECTION_RETRY_PAUSE).await;
            }
        }
    }

    /// Returns the record of this controller as leader. Its term follows the latest term in
    /// which any shard was granted.
    fn own_leader_record(&self) -> LeaderRecord {
        let view = self.store.view();
        let terms = view.shards.values().map(|shard| shard.value.term);
        let last_term = terms.max().unwrap_or_default();
        LeaderRecord {
            node: self.cfg.node.clone(),
            run: self.run,
            term: Term(last_term.0 + 1),
        }
    }

    /// Carries out the next step of the shard assignment, if one is due.
    async fn assign_shards_once(&self) {
        let Some(step) = self.next_step() else { return };
        let Some(transaction) = self.step_transaction(&step) else {
            return;
        };
        tracing::info!(?step, "shards");
        match self
            .state
            .transact(&transaction, RequestPriority::First)
            .await
        {
            Ok(TransactionOutcome::Done(revision)) => self.peers.announce(revision),
            Ok(TransactionOutcome::Failed(_)) => {}
            Err(error) => tracing::info!(%error, "shards"),
        }
        // The refreshed view shows the outcome, whatever the answer was.
        self.refresh_view().await;
    }

    /// Returns the next step of the shard assignment that is due according to the records.
    fn next_step(&self) -> Option<Step> {
        let preference = ShardPreference {
            gather: (self.cfg.tuning.shards_least == 1).then(|| self.cfg.node.clone()),
            move_every_s: self.cfg.tuning.move_every_s,
        };
        let now = self.now();
        let view = self.store.view();
        let shards = view.shards.iter().map(|(shard, b)| {
            let held = RecordedShard {
                owner: b.value.owner.clone(),
                run: b.value.run,
                to: b.value.to.clone(),
                pin: b.value.pin.clone(),
            };
            (*shard, held)
        });
        let members = view.members.iter();
        let alive = members.map(|(node, m)| (node.clone(), Member { run: m.value.run }));
        self.shards
            .next_assignment(&shards.collect(), &alive.collect(), &preference, now)
    }

    /// Returns the transaction that carries out a step of the shard assignment. Its conditions
    /// include the leader's record, so a late step of a leader that was deposed meanwhile fails.
    fn step_transaction(&self, step: &Step) -> Option<Transaction> {
        let view = self.store.view();
        let (Step::Grant(shard, _) | Step::Offer(shard, _) | Step::TakeBack(shard)) = step;
        let recorded = view.shards.get(shard)?;
        let record = match step {
            Step::Grant(_, to) => ShardRecord {
                version: ShardRecord::VERSION,
                owner: to.clone(),
                run: view.members.get(to)?.value.run,
                term: view.leader.value.as_ref().map_or(Term(0), |l| l.term),
                number: view.newest_grant() + 1,
                to: None,
                pin: recorded.value.pin.clone(),
            },
            Step::Offer(_, to) => ShardRecord {
                to: Some(to.clone()),
                ..recorded.value.clone()
            },
            Step::TakeBack(_) => ShardRecord {
                to: None,
                ..recorded.value.clone()
            },
        };
        Some(Transaction {
            conditions: vec![
                Condition {
                    key: shard_key(*shard),
                    mod_revision: recorded.mod_revision,
                },
                Condition {
                    key: LEADER.into(),
                    mod_revision: view.leader.mod_revision,
                },
            ],
            changes: vec![Change::write(shard_key(*shard), &record, None)],
        })
    }
}
