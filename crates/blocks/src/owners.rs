//! Who owns which block, and which one moves next.
//!
//! A move has named steps, each one conditional write or none:
//!
//! | step | who | what |
//! | --- | --- | --- |
//! | offered | the leader | names the taker in the block's record |
//! | frozen | the giver | claims nothing more there, and lets what is under way settle |
//! | handed | the giver | writes the taker as owner, with the next number |
//! | confirmed | the taker | its token is raised machine by machine; only then it counts on one |
//! | taken back | the leader | clears the offer: the taker is gone, or it takes too long |
//!
//! Whoever leads next reads from the record which step a move is at. Nothing is
//! proved by who is alive: a grant that was wrong costs time only, as claims are
//! guarded by the block's record and commands by its number.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{NodeId, Time};

use crate::shard::BlockId;

/// A controller that lives, as the state service has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its process: one that was restarted owns nothing.
    pub run: u64,
}

/// A block, as recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its owner, and the process that was granted it.
    pub owner: NodeId,
    /// That process.
    pub run: u64,
    /// To whom it is offered.
    pub to: Option<NodeId>,
    /// Where an operator wants it: it is moved there, and not away for balance.
    pub pin: Option<NodeId>,
}

/// What the leader does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Grants a block whose owner is gone.
    Grant(BlockId, NodeId),
    /// Offers a block to another controller.
    Offer(BlockId, NodeId),
    /// Clears an offer.
    TakeBack(BlockId),
}

/// How long an offer may stand, in seconds: the giver lets what is under way
/// settle for less than that.
const OFFER_TIMEOUT_S: f64 = 8.0;
/// A controller is offered blocks once it has lived for so long, in seconds.
const MEMBERSHIP_SETTLED_S: f64 = 3.0;
/// Between two moves that only balance, in seconds.
const BALANCE_INTERVAL_S: f64 = 1.0;

/// What the leader remembers between its decisions. All of it can be lost: the
/// next leader begins with what is recorded.
#[derive(Debug, Default)]
pub struct Owners {
    /// Since when each controller has been seen alive, with its process.
    seen: BTreeMap<NodeId, (u64, Time)>,
    /// Since when each offer has been seen.
    offers: BTreeMap<BlockId, (NodeId, Time)>,
    moved: Option<Time>,
}

/// What the operators want of the blocks, beside that all are owned.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Wish {
    /// All blocks are to go to this controller, as there is to be one again.
    pub gather: Option<NodeId>,
    /// A block moves so often, in seconds, even if nothing asks for it, so that
    /// moves are tried all the time.
    pub move_every_s: Option<f64>,
}

impl Owners {
    /// The next step, if any is due.
    pub fn next(
        &mut self,
        blocks: &BTreeMap<BlockId, Held>,
        alive: &BTreeMap<NodeId, Member>,
        wish: &Wish,
        now: Time,
    ) -> Option<Step> {
        self.seen
            .retain(|node, (run, _)| alive.get(node).is_some_and(|m| m.run == *run));
        for (node, member) in alive {
            self.seen.entry(node.clone()).or_insert((member.run, now));
        }
        self.offers
            .retain(|b, (to, _)| blocks.get(b).is_some_and(|h| h.to.as_ref() == Some(to)));
        for (block, held) in blocks {
            if let Some(to) = &held.to {
                self.offers.entry(*block).or_insert((to.clone(), now));
            }
        }
        let lives = |held: &Held| alive.get(&held.owner).is_some_and(|m| m.run == held.run);
        // How many blocks each has, and will have once what is offered moved.
        let mut count: BTreeMap<&NodeId, usize> = alive.keys().map(|n| (n, 0)).collect();
        for held in blocks.values() {
            let owner = held.to.as_ref().filter(|to| alive.contains_key(*to));
            let owner = owner.unwrap_or(&held.owner);
            if let Some(n) = count.get_mut(owner) {
                *n += usize::from(lives(held) || held.to.is_some());
            }
        }
        let fewest = |but: Option<&NodeId>, settled: bool| {
            count
                .iter()
                .filter(|(n, _)| Some(**n) != but)
                .filter(|(n, _)| {
                    let since = self.seen.get(**n).map(|(_, t)| *t);
                    !settled || since.is_some_and(|t| now.since(t) >= MEMBERSHIP_SETTLED_S)
                })
                .min_by_key(|(n, c)| (**c, (**n).clone()))
                .map(|(n, c)| ((*n).clone(), *c))
        };
        for (block, held) in blocks {
            if !lives(held) {
                // The one it was offered to, if that lives: it may know more.
                let to = held.to.as_ref().filter(|to| alive.contains_key(*to));
                let to = to.cloned().or_else(|| Some(fewest(None, false)?.0));
                return Some(Step::Grant(*block, to?));
            }
        }
        for (block, (to, since)) in &self.offers {
            if !alive.contains_key(to) || now.since(*since) > OFFER_TIMEOUT_S {
                return Some(Step::TakeBack(*block));
            }
        }
        if !self.offers.is_empty() {
            return None;
        }
        if let Some(gather) = wish.gather.as_ref().filter(|g| alive.contains_key(*g)) {
            let away = blocks.iter().find(|(_, h)| h.owner != *gather);
            return away.map(|(block, _)| Step::Offer(*block, gather.clone()));
        }
        for (block, held) in blocks {
            let there = held.pin.as_ref().filter(|pin| alive.contains_key(*pin));
            if let Some(pin) = there.filter(|pin| **pin != held.owner) {
                return Some(Step::Offer(*block, pin.clone()));
            }
        }
        let quiet_s = self.moved.map_or(f64::INFINITY, |t| now.since(t));
        if quiet_s < BALANCE_INTERVAL_S {
            return None;
        }
        let (least, has) = fewest(None, true)?;
        let most = count.iter().max_by_key(|(n, c)| (**c, (**n).clone()));
        let (from, least) = match most {
            Some((most, c)) if *c >= has + 2 => ((*most).clone(), least),
            _ => {
                // Nothing to balance; one in turn, if moves are forced.
                let every_s = wish.move_every_s;
                let forced = every_s.is_some_and(|s| quiet_s >= s && alive.len() > 1);
                let turn = (now.0 / every_s.unwrap_or(1.0).max(1.0)) as usize;
                let block = blocks.keys().nth(turn % blocks.len().max(1));
                let from = &blocks.get(block.filter(|_| forced)?)?.owner;
                (from.clone(), fewest(Some(from), true)?.0)
            }
        };
        let turn = self.moved.map_or(0, |t| t.0 as usize);
        let own: BTreeSet<BlockId> = blocks
            .iter()
            .filter(|(_, h)| h.owner == from && h.pin.as_ref() != Some(&from))
            .map(|(b, _)| *b)
            .collect();
        let block = own.iter().nth(turn % own.len().max(1)).copied()?;
        if from == least {
            return None;
        }
        self.moved = Some(now);
        Some(Step::Offer(block, least))
    }
}

/// How many blocks there should be: never more than controllers that live, and
/// that all can be told apart in the records.
pub fn how_many(least: u32, controllers: usize) -> u32 {
    let most = u32::try_from(controllers).unwrap_or(1);
    least.clamp(1, most.clamp(1, crate::shard::MAX_BLOCKS))
}
