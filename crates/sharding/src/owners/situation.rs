//! Input of one decision of the leader: the recorded shards and the live controllers.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{NodeId, Time};

use super::{Member, RecordedShard, Step};
use crate::shard::ShardId;

/// Input of one decision of the leader on shard owners.
pub(super) struct Situation<'a> {
    pub(super) shards: &'a BTreeMap<ShardId, RecordedShard>,
    pub(super) alive: &'a BTreeMap<NodeId, Member>,
    /// Number of shards that each live controller will own once all offered shards have
    /// moved.
    pub(super) counts: BTreeMap<&'a NodeId, usize>,
    pub(super) now: Time,
}

/// A controller, with the number of shards that it owns.
pub(super) struct Load {
    pub(super) node: NodeId,
    pub(super) shards: usize,
}

/// The controllers that a shard moves between.
pub(super) struct ShardMove {
    pub(super) old_owner: NodeId,
    pub(super) new_owner: NodeId,
}

impl<'a> Situation<'a> {
    pub(super) fn new(
        shards: &'a BTreeMap<ShardId, RecordedShard>,
        alive: &'a BTreeMap<NodeId, Member>,
        now: Time,
    ) -> Self {
        let counts = alive.keys().map(|node| (node, 0)).collect();
        let mut situation = Self {
            shards,
            alive,
            counts,
            now,
        };
        for recorded in shards.values() {
            let owner = situation
                .live_offer_target(recorded)
                .unwrap_or(&recorded.owner);
            let counted = situation.is_owned(recorded) || recorded.to.is_some();
            if let Some(count) = situation.counts.get_mut(owner) {
                *count += usize::from(counted);
            }
        }
        situation
    }

    /// Returns whether the controller process that was granted the shard is alive.
    pub(super) fn is_owned(&self, recorded: &RecordedShard) -> bool {
        let member = self.alive.get(&recorded.owner);
        member.is_some_and(|member| member.run == recorded.run)
    }

    /// Returns the controller that the shard is offered to, if that controller is alive.
    pub(super) fn live_offer_target(&self, recorded: &'a RecordedShard) -> Option<&'a NodeId> {
        recorded
            .to
            .as_ref()
            .filter(|to| self.alive.contains_key(*to))
    }

    /// Returns the first shard whose owner is no longer alive.
    pub(super) fn unowned(&self) -> Option<ShardId> {
        let mut shards = self.shards.iter();
        shards
            .find(|(_, recorded)| !self.is_owned(recorded))
            .map(|(shard, _)| *shard)
    }

    /// Returns the controller that is granted a shard whose owner is no longer alive. This
    /// is the controller that the shard was offered to, if alive, because it may know more;
    /// otherwise the controller with the fewest shards.
    pub(super) fn new_owner(&self, shard: ShardId) -> Option<NodeId> {
        let new_owner = self.live_offer_target(self.shards.get(&shard)?).cloned();
        new_owner.or_else(|| Some(self.fewest(|_| true)?.node))
    }

    /// Returns the controller with the fewest shards among those that `may` accepts.
    pub(super) fn fewest(&self, may: impl Fn(&NodeId) -> bool) -> Option<Load> {
        let chosen = self.counts.iter().filter(|(node, _)| may(node));
        let least = chosen.min_by_key(|(node, shards)| (**shards, **node));
        least.map(Load::of)
    }

    /// Returns the controller with the most shards.
    pub(super) fn max(&self) -> Option<Load> {
        let max = self
            .counts
            .iter()
            .max_by_key(|(node, shards)| (**shards, **node));
        max.map(Load::of)
    }

    /// Returns an offer to `gather` of the first shard that `gather` does not own yet.
    pub(super) fn gather_to(&self, gather: &NodeId) -> Option<Step> {
        let mut shards = self.shards.iter();
        let away = shards.find(|(_, recorded)| recorded.owner != *gather);
        away.map(|(shard, _)| Step::Offer(*shard, gather.clone()))
    }

    /// Returns an offer of the first shard that is pinned to a live controller other than
    /// its owner.
    pub(super) fn move_to_pin(&self) -> Option<Step> {
        self.shards.iter().find_map(|(shard, recorded)| {
            let there = recorded
                .pin
                .as_ref()
                .filter(|pin| self.alive.contains_key(*pin));
            let pin = there.filter(|pin| **pin != recorded.owner)?;
            Some(Step::Offer(*shard, pin.clone()))
        })
    }
}

impl Load {
    fn of((node, shards): (&&NodeId, &usize)) -> Self {
        Self {
            node: (*node).clone(),
            shards: *shards,
        }
    }
}
