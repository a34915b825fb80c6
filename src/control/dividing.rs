//! From one block to several, and back.

use sorrelhinge_blocks::owners::how_many;
use sorrelhinge_blocks::shard::{BlockId, Shard};
use sorrelhinge_blocks::slices::divide;

use super::core::{Core, RecoveryInput, ShardGrant};
use super::{wall_ms, Node};
use crate::state::record::{
    block_key, member_key, slice_key, BlockRecord, Fence, GrantRecord, MapRecord, MemberRecord,
    SliceRecord, GRANT, LEADER, MAP,
};
use crate::state::{Change, Outcome, StateError, Txn, Urgency, When};
use crate::types::{Amount, Revision, Term, Time};

/// The machines are divided only by a leader that has led for so long, in
/// seconds, and again only so long after that failed.
const DIVIDE_AFTER_S: f64 = 1.0;

impl Node {
    /// The other controllers all know that there may be several blocks.
    fn all_know_blocks(&self) -> bool {
        self.others_known().len() == self.cfg.others.len()
    }

    /// From one block to several: this controller owns all of them at first. Its
    /// core is frozen until nothing is under way; then each block's part of the
    /// limits is what it uses, and an equal part of the rest.
    pub(super) async fn divide_machines(&self, again: &mut Option<Time>) {
        let of = how_many(self.cfg.tuning.blocks_least, self.cfg.others.len() + 1);
        let now = self.now();
        // With a topology one core must see all places.
        if of < 2 || self.topology().is_some() || !self.all_know_blocks() {
            // Also if that has changed since it was frozen.
            if let Some(core) = self.cores.borrow_mut().values_mut().next() {
                core.thaw();
            }
            return;
        }
        let due = *again.get_or_insert(now.after(DIVIDE_AFTER_S));
        let grant = {
            let mut cores = self.cores.borrow_mut();
            let Some(core) = cores.values_mut().next().filter(|_| now >= due) else {
                return;
            };
            if core.holds_gangs() {
                return;
            }
            core.freeze(now);
            if !core.settled(now) {
                return;
            }
            let zones = core.zones().map(|(id, zone)| (id.clone(), zone.clone()));
            self.places.borrow_mut().extend(zones);
            core.grant
        };
        if let Err(why) = self.divide_now(of, grant).await {
            tracing::info!(why, "the machines stay one block for now");
            *again = Some(self.now().after(5.0));
            if let Some(core) = self.cores.borrow_mut().values_mut().next() {
                core.thaw();
            }
        }
    }

    async fn divide_now(&self, of: u32, grant: u64) -> Result<(), String> {
        if !self.fresh().await {
            return Err("the state service can't be asked".into());
        }
        let (now, wall) = (self.now(), wall_ms());
        let shards = (0..of).map(|b| Shard {
            block: BlockId(b),
            of,
        });
        let (slices, stamp, term) = {
            let view = self.view.borrow();
            let input = RecoveryInput {
                cfg: self.cfg.clone(),
                types: &self.types.borrow(),
                view: &view,
                topology: None,
                now,
                wall_ms: wall,
            };
            let used: Vec<Vec<Amount>> = shards
                .map(|shard| {
                    let grant = ShardGrant {
                        shard,
                        number: grant,
                        revision: Revision(0),
                    };
                    let core = Core::load(&input, grant, self.places.clone());
                    core.needs().iter().map(|n| n.used).collect()
                })
                .collect();
            let limits: Vec<Amount> = self.cfg.teams.iter().map(|t| t.limit).collect();
            let slices = divide(&limits, &used).ok_or("releases wait to be recorded")?;
            (slices, view.grant.stamp, view.grant.value.term)
        };
        let guard = When {
            key: GRANT.into(),
            stamp,
        };
        let names = || self.cfg.teams.iter().map(|t| t.name.to_string());
        let parts = slices.into_iter().enumerate().map(|(b, part)| {
            let record = SliceRecord::new(names().zip(part));
            Change::write(slice_key(BlockId(b as u32)), &record, None)
        });
        let first = Txn {
            when: vec![guard.clone()],
            apply: parts.collect(),
        };
        let at = match self.state.txn(&first, Urgency::First).await {
            Ok(Outcome::Done(revision)) => revision,
            other => return Err(format!("parts of the limits: {other:?}")),
        };
        let Some(lease) = self.lease.get() else {
            return Err("the lease ended".into());
        };
        let mut when = vec![guard];
        let map = MapRecord {
            version: MapRecord::VERSION,
            blocks: of,
        };
        let fence = Fence {
            version: 2,
            blocks: of,
        };
        let member = MemberRecord { run: self.run };
        let mut apply = vec![
            Change::write(MAP.into(), &map, None),
            Change::write(GRANT.into(), &fence, None),
            Change::write(member_key(&self.cfg.node), &member, Some(lease)),
        ];
        for block in (0..of).map(BlockId) {
            when.push(When {
                key: slice_key(block),
                stamp: at,
            });
            let record = BlockRecord {
                version: BlockRecord::VERSION,
                owner: self.cfg.node.clone(),
                run: self.run,
                term,
                number: grant + 1 + u64::from(block.0),
                to: None,
                pin: None,
            };
            apply.push(Change::write(block_key(block), &record, None));
        }
        match self.state.txn(&Txn { when, apply }, Urgency::First).await {
            Ok(Outcome::Done(revision)) => {
                tracing::info!(blocks = of, "the machines are divided");
                self.peers.announce(revision);
                self.fresh().await;
                Ok(())
            }
            // If it was carried out after all, the view tells.
            other => Err(format!("blocks: {other:?}")),
        }
    }

    /// From several blocks to one, once this controller owns all of them and
    /// nothing is under way: its grant is above all of theirs.
    pub(super) async fn unite_machines(&self, of: u32) {
        let now = self.now();
        let (txn, grant) = {
            let view = self.view.borrow();
            let mut cores = self.cores.borrow_mut();
            let whole = (0..of).all(|b| {
                let held = view.blocks.get(&BlockId(b));
                let core = cores.get(&BlockId(b));
                let held = held.filter(|h| h.value.to.is_none());
                held.zip(core)
                    .is_some_and(|(h, c)| h.value.number == c.grant)
            });
            if !whole {
                return;
            }
            for c in cores.values_mut() {
                c.freeze(now);
            }
            if !cores.values().all(|c| c.settled(now)) {
                return;
            }
            let term = view.leader.value.as_ref().map_or(Term(0), |l| l.term);
            let grant = GrantRecord {
                owner: Some(self.cfg.node.clone()),
                term,
                number: view.newest_grant() + 1,
            };
            let map = MapRecord {
                version: MapRecord::VERSION,
                blocks: 1,
            };
            let mut when = vec![When {
                key: LEADER.into(),
                stamp: view.leader.stamp,
            }];
            let mut apply = vec![
                Change::write(MAP.into(), &map, None),
                Change::write(GRANT.into(), &grant, None),
            ];
            for (block, held) in &view.blocks {
                when.push(When {
                    key: block_key(*block),
                    stamp: held.stamp,
                });
                apply.push(Change::Delete {
                    delete: block_key(*block),
                });
            }
            (Txn { when, apply }, grant)
        };
        match self.state.txn(&txn, Urgency::First).await {
            Ok(Outcome::Done(revision)) => {
                tracing::info!("the machines are one block again");
                self.peers.announce(revision);
                self.take_over(grant, revision).await;
            }
            // If it was carried out after all, nobody owns the block: the lease
            // ends, and whoever leads next takes it.
            Err(StateError::Unknown(_)) => self.lease.set(None),
            other => {
                tracing::info!(?other, "uniting the blocks");
                self.fresh().await;
                for c in self.cores.borrow_mut().values_mut() {
                    c.thaw();
                }
            }
        }
    }
}
