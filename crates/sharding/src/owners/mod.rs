//! Choice of each shard's owner, and of the shard that moves next.
//!
//! A shard moves between controllers in named steps. Each step is one conditional write or none:
//!
//! | step | who | what |
//! | --- | --- | --- |
//! | offered | the leader | names the new owner in the shard's record |
//! | frozen | the old owner | stops claims in the shard, and waits until operations in flight settle |
//! | handed | the old owner | writes the new owner into the record, with the next fencing token |
//! | confirmed | the new owner | raises its fencing token machine by machine; the token counts on a machine only then |
//! | taken back | the leader | clears the offer, because the new owner is not alive or the move takes too long |
//!
//! The next leader reads from the shard's record which step a move has reached. Liveness of a
//! controller proves nothing. A wrong grant only costs time, because the shard's record guards
//! claims and its number guards commands.

mod situation;

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{NodeId, Time};

use self::situation::{ShardMove, Situation};
use crate::shard::ShardId;

/// A live controller, as the state service records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Number of the controller's process. A process that replaces it after a restart owns
    /// no shard.
    pub run: u64,
}

/// A shard, as the state service records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedShard {
    /// Controller that owns the shard.
    pub owner: NodeId,
    /// Number of the owner's process that was granted the shard.
    pub run: u64,
    /// Controller that the leader offers the shard to, if any.
    pub to: Option<NodeId>,
    /// Controller that an operator pinned the shard to. The leader moves the shard to this
    /// controller, and never moves it away for balance.
    pub pin: Option<NodeId>,
}

/// The leader's next change to the owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Grants the shard to the controller, because the shard's owner is no longer alive.
    Grant(ShardId, NodeId),
    /// Offers the shard to another controller than its owner.
    Offer(ShardId, NodeId),
    /// Clears the offer of the shard.
    TakeBack(ShardId),
}

/// Time after which the leader clears an offer, in seconds. The old owner waits less than
/// this until operations in flight settle.
const OFFER_TIMEOUT_S: f64 = 8.0;
/// Time that a controller must have been alive before the leader offers shards to it, in
/// seconds.
const MEMBERSHIP_SETTLED_S: f64 = 3.0;
/// Minimum time between two moves that only balance shards, in seconds.
const BALANCE_INTERVAL_S: f64 = 1.0;

/// A live controller, with the time since which the leader has seen it alive.
#[derive(Debug)]
struct Seen {
    run: u64,
    since: Time,
}

/// A recorded offer, with the time since which the leader has seen it.
#[derive(Debug)]
struct SeenOffer {
    to: NodeId,
    since: Time,
}

/// The leader's memory between its decisions. All of it may be lost, because the next
/// leader starts from the records.
#[derive(Debug, Default)]
pub struct Owners {
    /// Live controllers, each with the number of its process.
    seen: BTreeMap<NodeId, Seen>,
    /// Offers that are recorded now, by the shard that each offers.
    offers: BTreeMap<ShardId, SeenOffer>,
    /// Time at which the leader last moved a shard for balance or because moves are forced.
    moved: Option<Time>,
}

/// Preferences of the operators for the owners of the shards.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardPreference {
    /// Controller that all shards move to, because they are to become one shard again.
    pub gather: Option<NodeId>,
    /// Interval in seconds at which one shard moves even if no other reason to move it
    /// exists, so that moves are exercised all the time.
    pub move_every_s: Option<f64>,
}

impl Owners {
    /// Returns the leader's next step, or `None` if no step is due.
    pub fn next(
        &mut self,
        shards: &BTreeMap<ShardId, RecordedShard>,
        alive: &BTreeMap<NodeId, Member>,
        preference: &ShardPreference,
        now: Time,
    ) -> Option<Step> {
        self.record_members(alive, now);
        self.record_offers(shards, now);
        let situation = Situation::new(shards, alive, now);
        if let Some(shard) = situation.unowned() {
            return Some(Step::Grant(shard, situation.new_owner(shard)?));
        }
        if let Some(shard) = self.expired_offer(&situation) {
            return Some(Step::TakeBack(shard));
        }
        if !self.offers.is_empty() {
            return None;
        }
        if let Some(gather) = preference
            .gather
            .as_ref()
            .filter(|g| alive.contains_key(*g))
        {
            return situation.gather_to(gather);
        }
        if let Some(step) = situation.move_to_pin() {
            return Some(step);
        }
        self.balance(&situation, preference)
    }

    /// Records the live controllers and when each was first seen. A controller that
    /// restarted counts as new.
    fn record_members(&mut self, alive: &BTreeMap<NodeId, Member>, now: Time) {
        self.seen
            .retain(|node, seen| alive.get(node).is_some_and(|member| member.run == seen.run));
        for (node, member) in alive {
            let run = member.run;
            let seen = Seen { run, since: now };
            self.seen.entry(node.clone()).or_insert(seen);
        }
    }

    /// Records the current offers and when each was first seen.
    fn record_offers(&mut self, shards: &BTreeMap<ShardId, RecordedShard>, now: Time) {
        self.offers.retain(|shard, offer| {
            shards
                .get(shard)
                .is_some_and(|recorded| recorded.to.as_ref() == Some(&offer.to))
        });
        for (shard, recorded) in shards {
            if let Some(to) = recorded.to.clone() {
                let offer = SeenOffer { to, since: now };
                self.offers.entry(*shard).or_insert(offer);
            }
        }
    }

    /// Returns the first shard whose offer has timed out or names a controller that is no
    /// longer alive.
    fn expired_offer(&self, situation: &Situation<'_>) -> Option<ShardId> {
        let expired = |offer: &SeenOffer| {
            !situation.alive.contains_key(&offer.to)
                || situation.now.since(offer.since) > OFFER_TIMEOUT_S
        };
        let mut offers = self.offers.iter();
        offers
            .find(|(_, offer)| expired(offer))
            .map(|(shard, _)| *shard)
    }

    /// Returns whether a controller has been alive long enough to be offered shards.
    fn is_settled(&self, node: &NodeId, now: Time) -> bool {
        let seen = self.seen.get(node);
        seen.is_some_and(|seen| now.since(seen.since) >= MEMBERSHIP_SETTLED_S)
    }

    /// Returns an offer that balances the shards or that is forced, or `None` if the last
    /// such move was less than [`BALANCE_INTERVAL_S`] ago.
    fn balance(&mut self, situation: &Situation<'_>, preference: &ShardPreference) -> Option<Step> {
        let now = situation.now;
        let quiet_s = self.moved.map_or(f64::INFINITY, |moved| now.since(moved));
        if quiet_s < BALANCE_INTERVAL_S {
            return None;
        }
        let least = situation.fewest(|node| self.is_settled(node, now))?;
        let ShardMove {
            old_owner,
            new_owner,
        } = match situation.max() {
            Some(max) if max.shards >= least.shards + 2 => ShardMove {
                old_owner: max.node,
                new_owner: least.node,
            },
            _ => self.forced_pair(situation, preference.move_every_s, quiet_s)?,
        };
        let shard = self.shard_in_turn(situation, &old_owner)?;
        if old_owner == new_owner {
            return None;
        }
        self.moved = Some(now);
        Some(Step::Offer(shard, new_owner))
    }

    /// Returns the forced move of one shard in rotation, from its owner to another
    /// controller, if moves are forced and the last move is long enough ago. Used when the
    /// shards are balanced.
    fn forced_pair(
        &self,
        situation: &Situation<'_>,
        every_s: Option<f64>,
        quiet_s: f64,
    ) -> Option<ShardMove> {
        let (shards, now) = (situation.shards, situation.now);
        let forced = every_s.is_some_and(|s| quiet_s >= s && situation.alive.len() > 1);
        let turn = (now.0 / every_s.unwrap_or(1.0).max(1.0)) as usize;
        let shard = shards.keys().nth(turn % shards.len().max(1));
        let old_owner = &shards.get(shard.filter(|_| forced)?)?.owner;
        let new_owner = situation.fewest(|node| node != old_owner && self.is_settled(node, now))?;
        Some(ShardMove {
            old_owner: old_owner.clone(),
            new_owner: new_owner.node,
        })
    }

    /// Returns the shard that its owner gives away: one in rotation of the owner's shards
    /// that are not pinned to it.
    fn shard_in_turn(&self, situation: &Situation<'_>, old_owner: &NodeId) -> Option<ShardId> {
        let turn = self.moved.map_or(0, |moved| moved.0 as usize);
        let own: Vec<ShardId> = situation
            .shards
            .iter()
            .filter(|(_, recorded)| {
                recorded.owner == *old_owner && recorded.pin.as_ref() != Some(old_owner)
            })
            .map(|(shard, _)| *shard)
            .collect();
        own.get(turn % own.len().max(1)).copied()
    }
}

/// Returns the number of shards that the cluster should have: `least`, but never more than
/// the live controllers and never more than [`MAX_SHARDS`](crate::shard::MAX_SHARDS), which
/// the records can number.
pub fn how_many(least: u32, controllers: usize) -> u32 {
    let max = u32::try_from(controllers).unwrap_or(1);
    least.clamp(1, max.clamp(1, crate::shard::MAX_SHARDS))
}
