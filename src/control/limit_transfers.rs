//! Parts of team limits, given to a block that lacks them. Which and how much is
//! decided in [`sorrelhinge_blocks::slices`].

use std::time::Duration;

use sorrelhinge_blocks::shard::BlockId;
use sorrelhinge_blocks::slices::{next_transfer, Need};
use tokio::time::sleep;

use super::Node;
use crate::state::record::{block_key, slice_key, SliceRecord};
use crate::state::{Change, Outcome, Txn, Urgency, When};

/// A block gives part of its limits away so often at the most.
pub(super) const GIVE_EVERY: Duration = Duration::from_millis(1500);

impl Node {
    /// What each block has and wants of each team's limit, as far as known.
    fn all_needs(&self) -> Option<Vec<Vec<Need>>> {
        let view = self.store.view();
        (0..view.block_count())
            .map(|b| {
                let block = BlockId(b);
                let slices = &view.slices.get(&block)?.value;
                let needs = self.shards.needs_of(block)?;
                let team = |t: &crate::config::TeamConfig| {
                    let need = needs.teams.iter().find(|(name, _)| **name == *t.name);
                    Need {
                        slice: slices.of(&t.name),
                        ..need.map(|(_, n)| *n).unwrap_or_default()
                    }
                };
                Some(self.cfg.teams.iter().map(team).collect())
            })
            .collect()
    }

    /// Gives parts of limits that are not used here to a block that lacks them.
    pub(super) async fn give_parts(&self) {
        let Some(needs) = self.all_needs() else {
            return;
        };
        let blocks: Vec<BlockId> = self.shards.ids();
        for block in blocks {
            let Some(transfer) = next_transfer(block, &needs) else {
                continue;
            };
            let txn = {
                let view = self.store.view();
                let mut cores = self.shards.owned_mut();
                let Some(core) = cores.get_mut(block).filter(|c| !c.is_frozen()) else {
                    continue;
                };
                let held = (
                    view.blocks.get(&block),
                    view.slices.get(&block),
                    view.slices.get(&transfer.to),
                );
                let (Some(grant), Some(mine), Some(theirs)) = held else {
                    continue;
                };
                if grant.value.number != core.grant {
                    continue;
                }
                // What was claimed since the needs were told stays covered.
                let used = core.needs();
                let fits = transfer.amounts.iter().zip(&self.cfg.teams).enumerate();
                let fits = fits
                    .map(|(i, (give, t))| (mine.value.of(&t.name) - *give, used[i].used))
                    .all(|(left, used)| used.fits_team(left));
                if !fits {
                    continue;
                }
                // Lowered before the change is sent: while its outcome is not
                // known, it counts as used on both sides.
                core.giving(transfer.amounts.clone(), &view);
                let part = |record: &SliceRecord, sign: i64| {
                    let teams = self.cfg.teams.iter().zip(&transfer.amounts);
                    SliceRecord::new(teams.map(|(t, give)| {
                        (t.name.to_string(), record.of(&t.name) + give.times(sign))
                    }))
                };
                Txn {
                    when: vec![
                        When {
                            key: block_key(block),
                            stamp: grant.stamp,
                        },
                        When {
                            key: slice_key(block),
                            stamp: mine.stamp,
                        },
                        When {
                            key: slice_key(transfer.to),
                            stamp: theirs.stamp,
                        },
                    ],
                    apply: vec![
                        Change::write(slice_key(block), &part(&mine.value, -1), None),
                        Change::write(slice_key(transfer.to), &part(&theirs.value, 1), None),
                    ],
                }
            };
            let patience = Urgency::Within(Duration::from_millis(1500));
            let outcome = loop {
                match self.state.txn(&txn, patience).await {
                    Ok(outcome) => break outcome,
                    // Sent again with the same conditions: whichever try is
                    // carried out, the others fail.
                    Err(error) => {
                        tracing::debug!(%error, "giving part of the limits");
                        sleep(Duration::from_millis(200)).await;
                    }
                }
                if !self.shards.owns(block) {
                    return;
                }
            };
            let revision = match outcome {
                Outcome::Done(revision) | Outcome::Failed(revision) => revision,
            };
            self.peers.announce(revision);
            while self.store.view().ledger < revision {
                if !self.fresh().await {
                    sleep(Duration::from_millis(100)).await;
                }
            }
            let view = self.store.view();
            if let Some(core) = self.shards.owned_mut().get_mut(block) {
                core.giving(Vec::new(), &view);
            }
        }
    }
}
