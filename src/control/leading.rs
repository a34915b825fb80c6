//! Leadership: standing for it, the grant, and standing down.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_blocks::reach::Reach;
use sorrelhinge_blocks::shard::BlockId;
use tokio::time::{sleep, timeout, Instant};

use super::core::{Core, Places, RecoveryInput, ShardGrant};
use super::{wall_ms, Node, LEADER_CHANGES, LEADER_REQUESTS, UNFIT, UNFIT_WAIT};
use crate::state::record::{GrantRecord, LeaderRecord, GRANT, LEADER};
use crate::state::view::Versioned;
use crate::state::{Change, Outcome, StateError, Txn, Urgency, When};
use crate::types::{Revision, Term};

impl Node {
    /// Becomes leader whenever there is none, and stays it.
    pub(super) async fn lead(self: Rc<Self>) {
        let life = Duration::from_secs_f64(self.cfg.tuning.leader_lease_s);
        loop {
            match self.lease.get() {
                Some(lease) => {
                    let asked = Instant::now();
                    match self.state.renew(lease).await {
                        Ok(()) => {
                            self.leads_until.set(asked + life);
                            sleep(life / 4).await;
                        }
                        Err(StateError::LeaseEnded) => self.lease.set(None),
                        Err(_) => sleep(life / 8).await,
                    }
                    continue;
                }
                None => {
                    let _ =
                        timeout(Duration::from_millis(300), self.leader_changed.notified()).await;
                }
            }
            let unfit = Instant::now() < self.unfit_until.get();
            if unfit {
                // Whoever can do better goes first.
                sleep(UNFIT_WAIT).await;
            }
            let (leader, grant, loaded) = {
                let view = self.view.borrow();
                (view.leader.clone(), view.grant.clone(), view.loaded)
            };
            if !loaded {
                continue;
            }
            if unfit && leader.value.is_some() {
                continue;
            }
            if self.view.borrow().block_count() > 1 {
                self.enlist(life).await;
                continue;
            }
            // The key goes with its lease, unless an earlier run of this very
            // controller wrote it: that run is over.
            let stamp = match &leader.value {
                None => Revision(0),
                Some(l) if l.node == self.cfg.node && l.run != self.run => leader.stamp,
                Some(_) => continue,
            };
            self.stand(stamp, grant, life).await;
        }
    }

    /// Tries to become leader; if the block is still ours, keeps the grant.
    pub(super) async fn stand(
        &self,
        leader_stamp: Revision,
        grant: Versioned<GrantRecord>,
        life: Duration,
    ) {
        let asked = Instant::now();
        let Ok(lease) = self.state.lease(life).await else {
            return;
        };
        let held = self.cores.borrow().values().next().map(|c| c.grant);
        let kept = held == Some(grant.value.number);
        let term = Term(grant.value.term.0 + u64::from(!kept));
        let leader = LeaderRecord {
            node: self.cfg.node.clone(),
            run: self.run,
            term,
        };
        let next = GrantRecord {
            owner: Some(self.cfg.node.clone()),
            term,
            number: grant.value.number + 1,
        };
        let mut txn = Txn {
            when: vec![
                When {
                    key: LEADER.into(),
                    stamp: leader_stamp,
                },
                When {
                    key: GRANT.into(),
                    stamp: grant.stamp,
                },
            ],
            apply: vec![Change::write(LEADER.into(), &leader, Some(lease))],
        };
        if !kept {
            txn.apply.push(Change::write(GRANT.into(), &next, None));
        }
        match self.state.txn(&txn, Urgency::First).await {
            Ok(Outcome::Done(revision)) => {
                self.lease.set(Some(lease));
                self.leads_until.set(asked + life);
                if !kept {
                    self.take_over(next, revision).await;
                }
            }
            Ok(Outcome::Failed(_)) => {
                self.fresh().await;
            }
            Err(error) => {
                // If it was carried out after all, the key goes with its lease.
                tracing::info!(%error, "standing for leader");
                sleep(Duration::from_millis(150)).await;
            }
        }
    }

    pub(super) async fn take_over(&self, grant: GrantRecord, revision: Revision) {
        // Everything that earlier owners recorded is older than the grant.
        while self.view.borrow().ledger < revision {
            if !self.fresh().await {
                sleep(Duration::from_millis(50)).await;
            }
        }
        if self.view.borrow().grant.value.number != grant.number {
            self.lease.set(None);
            return;
        }
        tracing::info!(term = %grant.term, grant = grant.number, "leading");
        let grant = ShardGrant::whole(grant.number, revision);
        let core = Core::load(
            &RecoveryInput {
                cfg: self.cfg.clone(),
                types: &self.types.borrow(),
                view: &self.view.borrow(),
                topology: self.topology.borrow().clone(),
                now: self.now(),
                wall_ms: wall_ms(),
            },
            grant,
            Places::default(),
        );
        // It gave up at once, by what it had seen as the owner before.
        *self.reach.borrow_mut() = Reach::default();
        self.cores.borrow_mut().insert(BlockId(0), core);
        self.set_share();
        self.inherit_spread();
        self.work.notify_one();
    }

    /// Divides what all may ask of the state service: most changes are the
    /// leader's, who claims and completes; the others accept and cancel, a few
    /// at a time, so they may ask for some at once. Where that comes to too
    /// much together, the service says so, and who asked waits.
    ///
    /// Of several blocks, each owner has the leader's part of it for its block,
    /// and each controller an equal part of what is left.
    pub(super) fn set_share(&self) {
        let others = self.cfg.others.len() as f64;
        let cores = self.cores.borrow();
        let blocks = cores.values().next().map_or(1, |c| c.shard.of);
        let blocks = f64::from(blocks.max(self.view_blocks()));
        let here = cores.len() as f64;
        drop(cores);
        let part = |leader: f64| match (here > 0.0, others > 0.0) {
            (_, false) => 1.0,
            _ if blocks > 1.0 => leader * here / blocks + (1.0 - leader) / (others + 1.0),
            (true, true) => leader,
            (false, true) => (1.0 - leader) / others,
        };
        let rps = self.cfg.state_rps * 0.95;
        self.state
            .requests
            .set_rate(rps * part(LEADER_REQUESTS), 4.0);
        let changes = self.state.change_rate() * 0.95;
        let burst = (changes / 4.0).min(4.0);
        self.state
            .writes
            .set_rate((changes * part(LEADER_CHANGES)).max(0.5), burst);
    }

    /// Gives up all that this controller owns while it can still say so: it stops
    /// to act first, then ends its lease, so that others need not wait for that.
    /// What it sent before is fenced as after any other end.
    pub async fn resign(&self, why: &'static str) {
        let lease = self.lease.take();
        let blocks: Vec<BlockId> = self.cores.borrow().keys().copied().collect();
        if blocks.is_empty() && lease.is_none() {
            return;
        }
        tracing::info!(why, "giving up what is owned here");
        self.unfit_until.set(Instant::now() + UNFIT);
        *self.reach.borrow_mut() = Reach::default();
        for block in blocks {
            self.stand_down(block);
        }
        if let Some(lease) = lease {
            // If that gets lost, it ends by itself.
            if let Err(error) = self.state.end(lease).await {
                tracing::info!(%error, "ending the lease");
            }
        }
    }

    /// A worker has seen the token of a newer grant, so there is one, whether
    /// or not the state service can be asked about it.
    pub(super) fn deposed(&self, block: BlockId) {
        tracing::info!(%block, "a newer grant commands: standing down");
        self.stand_down(block);
        self.sync_wanted.notify_one();
    }

    pub(super) fn stand_down(&self, block: BlockId) {
        let core = self.cores.borrow_mut().remove(&block);
        if core.is_some_and(|c| !c.shard.is_part()) {
            self.lease.set(None);
        }
        self.set_share();
    }
}
