//! What one decision of the leader looks at: shards as recorded, and controllers that live.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{NodeId, Time};

use super::{Member, RecordedShard, Step};
use crate::shard::ShardId;

/// What one decision looks at.
pub(super) struct Situation<'a> {
    pub(super) shards: &'a BTreeMap<ShardId, RecordedShard>,
    pub(super) alive: &'a BTreeMap<NodeId, Member>,
    /// How many shards each controller has, and will have once what is offered
    /// has moved.
    pub(super) counts: BTreeMap<&'a NodeId, usize>,
    pub(super) now: Time,
}

/// A controller, and how many shards it has.
pub(super) struct Load {
    pub(super) node: NodeId,
    pub(super) shards: usize,
}

/// From whom and to whom a shard moves.
pub(super) struct Pair {
    pub(super) giver: NodeId,
    pub(super) taker: NodeId,
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
            let owner = situation.living_taker(recorded).unwrap_or(&recorded.owner);
            let counted = situation.is_owned(recorded) || recorded.to.is_some();
            if let Some(count) = situation.counts.get_mut(owner) {
                *count += usize::from(counted);
            }
        }
        situation
    }

    /// Whether the process that was granted a shard lives.
    pub(super) fn is_owned(&self, recorded: &RecordedShard) -> bool {
        let member = self.alive.get(&recorded.owner);
        member.is_some_and(|member| member.run == recorded.run)
    }

    /// To whom a shard is offered, if that controller lives.
    pub(super) fn living_taker(&self, recorded: &'a RecordedShard) -> Option<&'a NodeId> {
        recorded
            .to
            .as_ref()
            .filter(|to| self.alive.contains_key(*to))
    }

    /// The first shard whose owner does not live any more.
    pub(super) fn unowned(&self) -> Option<ShardId> {
        let mut shards = self.shards.iter();
        shards
            .find(|(_, recorded)| !self.is_owned(recorded))
            .map(|(shard, _)| *shard)
    }

    /// Who is granted a shard whose owner does not live any more: the one it was offered to, if
    /// that lives, as it may know more; else whoever has the fewest.
    pub(super) fn new_owner(&self, shard: ShardId) -> Option<NodeId> {
        let taker = self.living_taker(self.shards.get(&shard)?).cloned();
        taker.or_else(|| Some(self.fewest(|_| true)?.node))
    }

    /// The controller with the fewest shards of those that may be chosen.
    pub(super) fn fewest(&self, may: impl Fn(&NodeId) -> bool) -> Option<Load> {
        let chosen = self.counts.iter().filter(|(node, _)| may(node));
        let least = chosen.min_by_key(|(node, shards)| (**shards, **node));
        least.map(Load::of)
    }

    /// The controller with the most shards.
    pub(super) fn max(&self) -> Option<Load> {
        let max = self
            .counts
            .iter()
            .max_by_key(|(node, shards)| (**shards, **node));
        max.map(Load::of)
    }

    /// The next shard that is not yet there where all are to go.
    pub(super) fn gather_to(&self, gather: &NodeId) -> Option<Step> {
        let mut shards = self.shards.iter();
        let away = shards.find(|(_, recorded)| recorded.owner != *gather);
        away.map(|(shard, _)| Step::Offer(*shard, gather.clone()))
    }

    /// The next shard that is not with the controller that it is pinned to, if that lives.
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
