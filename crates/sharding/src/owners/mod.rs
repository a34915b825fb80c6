//! Who owns which shard, and which one moves next.
//!
//! A move has named steps, each one conditional write or none:
//!
//! | step | who | what |
//! | --- | --- | --- |
//! | offered | the leader | names the taker in the shard's record |
//! | frozen | the giver | claims nothing more there, and lets what is under way settle |
//! | handed | the giver | writes the taker as owner, with the next number |
//! | confirmed | the taker | its fencing token is raised machine by machine; only then it counts on one |
//! | taken back | the leader | clears the offer: the taker does not live any more, or it takes too long |
//!
//! Whoever leads next reads from the record which step a move is at. Nothing is
//! proved by who is alive: a grant that was wrong costs time only, as claims are
//! guarded by the shard's record and commands by its number.

mod situation;

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{NodeId, Time};

use self::situation::{Pair, Situation};
use crate::shard::ShardId;

/// A controller that lives, as the state service has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its process: one that was restarted owns nothing.
    pub run: u64,
}

/// A shard, as recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedShard {
    /// Its owner, and the process that was granted it.
    pub owner: NodeId,
    /// That process.
    pub run: u64,
    /// To whom it is offered.
    pub to: Option<NodeId>,
    /// The controller that an operator pinned it to: it is moved there, and not away for balance.
    pub pin: Option<NodeId>,
}

/// What the leader does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Grants a shard whose owner does not live any more.
    Grant(ShardId, NodeId),
    /// Offers a shard to another controller.
    Offer(ShardId, NodeId),
    /// Clears an offer.
    TakeBack(ShardId),
}

/// How long an offer may stand, in seconds: the giver lets what is under way
/// settle for less than that.
const OFFER_TIMEOUT_S: f64 = 8.0;
/// A controller is offered shards once it has lived for so long, in seconds.
const MEMBERSHIP_SETTLED_S: f64 = 3.0;
/// Between two moves that only balance, in seconds.
const BALANCE_INTERVAL_S: f64 = 1.0;

/// A controller as the leader has seen it alive.
#[derive(Debug)]
struct Seen {
    run: u64,
    since: Time,
}

/// An offer as the leader has seen it recorded.
#[derive(Debug)]
struct SeenOffer {
    to: NodeId,
    since: Time,
}

/// What the leader remembers between its decisions. All of it can be lost: the
/// next leader begins with what is recorded.
#[derive(Debug, Default)]
pub struct Owners {
    /// Each controller that lives, by the process that it is.
    seen: BTreeMap<NodeId, Seen>,
    /// Each offer that stands.
    offers: BTreeMap<ShardId, SeenOffer>,
    /// When a shard was last moved for balance, or because moves are forced.
    moved: Option<Time>,
}

/// How the operators want the shards to be owned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ShardPreference {
    /// All shards are to go to this controller, as there is to be one again.
    pub gather: Option<NodeId>,
    /// A shard moves so often, in seconds, even if nothing asks for it, so that
    /// moves are tried all the time.
    pub move_every_s: Option<f64>,
}

impl Owners {
    /// The next step, if any is due.
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

    /// Notes who lives, and since when. One that was restarted begins anew.
    fn record_members(&mut self, alive: &BTreeMap<NodeId, Member>, now: Time) {
        self.seen
            .retain(|node, seen| alive.get(node).is_some_and(|member| member.run == seen.run));
        for (node, member) in alive {
            let run = member.run;
            let seen = Seen { run, since: now };
            self.seen.entry(node.clone()).or_insert(seen);
        }
    }

    /// Notes which offers stand, and since when.
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

    /// The first offer whose taker does not live any more, or that has stood for too long.
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

    /// Whether a controller has lived long enough to be offered shards.
    fn is_settled(&self, node: &NodeId, now: Time) -> bool {
        let seen = self.seen.get(node);
        seen.is_some_and(|seen| now.since(seen.since) >= MEMBERSHIP_SETTLED_S)
    }

    /// A move for balance, or one that is forced, unless one was made just now.
    fn balance(&mut self, situation: &Situation<'_>, preference: &ShardPreference) -> Option<Step> {
        let now = situation.now;
        let quiet_s = self.moved.map_or(f64::INFINITY, |moved| now.since(moved));
        if quiet_s < BALANCE_INTERVAL_S {
            return None;
        }
        let least = situation.fewest(|node| self.is_settled(node, now))?;
        let Pair { giver, taker } = match situation.max() {
            Some(max) if max.shards >= least.shards + 2 => Pair {
                giver: max.node,
                taker: least.node,
            },
            _ => self.forced_pair(situation, preference.move_every_s, quiet_s)?,
        };
        let shard = self.shard_in_turn(situation, &giver)?;
        if giver == taker {
            return None;
        }
        self.moved = Some(now);
        Some(Step::Offer(shard, taker))
    }

    /// Where nothing is to balance: the owner of one shard in turn gives, if moves
    /// are forced and the last is long enough ago.
    fn forced_pair(
        &self,
        situation: &Situation<'_>,
        every_s: Option<f64>,
        quiet_s: f64,
    ) -> Option<Pair> {
        let (shards, now) = (situation.shards, situation.now);
        let forced = every_s.is_some_and(|s| quiet_s >= s && situation.alive.len() > 1);
        let turn = (now.0 / every_s.unwrap_or(1.0).max(1.0)) as usize;
        let shard = shards.keys().nth(turn % shards.len().max(1));
        let giver = &shards.get(shard.filter(|_| forced)?)?.owner;
        let taker = situation.fewest(|node| node != giver && self.is_settled(node, now))?;
        Some(Pair {
            giver: giver.clone(),
            taker: taker.node,
        })
    }

    /// The shard that its owner gives: one in turn of those not pinned to it.
    fn shard_in_turn(&self, situation: &Situation<'_>, giver: &NodeId) -> Option<ShardId> {
        let turn = self.moved.map_or(0, |moved| moved.0 as usize);
        let own: Vec<ShardId> = situation
            .shards
            .iter()
            .filter(|(_, recorded)| {
                recorded.owner == *giver && recorded.pin.as_ref() != Some(giver)
            })
            .map(|(shard, _)| *shard)
            .collect();
        own.get(turn % own.len().max(1)).copied()
    }
}

/// How many shards there should be: never more than controllers that live, and
/// no more than the records can number.
pub fn how_many(least: u32, controllers: usize) -> u32 {
    let max = u32::try_from(controllers).unwrap_or(1);
    least.clamp(1, max.clamp(1, crate::shard::MAX_SHARDS))
}
