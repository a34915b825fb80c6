//! Each shard's part of the teams' limits.
//!
//! The parts are recorded and add up to the limit, at every revision: they are
//! made so, and only ever change by a transaction that takes from one what it
//! adds to another. It is the giver who sends it, after it has lowered what it
//! places up to; so a transaction that is late, lost or sent twice can't make the
//! sum of what is used pass the limit. Whoever owns a shard next finds that what
//! is claimed there fits its part, as each claim was guarded by the grant under
//! which it was checked.

use sorrelhinge_protocol::types::Amount;

use crate::shard::ShardId;

/// What a shard has and needs of one team's limit. Memory is not limited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// Its part.
    pub slice: Amount,
    /// What is claimed.
    pub used: Amount,
    /// What waits to be placed.
    pub waits: Amount,
}

/// CPUs and GPUs: what is limited.
type Pair = [i64; 2];

/// What limits are divided by: CPUs and GPUs.
fn pair(amount: Amount) -> Pair {
    [amount.cpu, amount.gpu]
}

/// The amount of a pair.
fn amount([cpu, gpu]: Pair) -> Amount {
    Amount { cpu, gpu, ram: 0 }
}

/// The first division: to each shard what it uses, and an equal part of the
/// rest. Outer index: shard; inner: team. None if more seems to be used than a
/// limit allows, as when releases wait to be recorded: parts that add up to the
/// limit would then be less than what is used somewhere, and what is claimed
/// elsewhere meanwhile would be too much.
pub fn divide(limits: &[Amount], used: &[Vec<Amount>]) -> Option<Vec<Vec<Amount>>> {
    let shards = used.len().max(1) as i64;
    for (team, limit) in limits.iter().enumerate() {
        let all = used.iter().fold(Amount::default(), |sum, u| sum + u[team]);
        if !all.fits_team(*limit) {
            return None;
        }
    }
    let part = |shard: usize, team: usize| {
        let limit = pair(limits[team]);
        let mine = pair(used[shard][team]);
        let mut part = [0; 2];
        for i in 0..2 {
            let all: i64 = used.iter().map(|u| pair(u[team])[i]).sum();
            let rest = limit[i] - all;
            part[i] = mine[i] + rest / shards + i64::from((shard as i64) < rest % shards);
        }
        amount(part)
    };
    let parts = |shard| (0..limits.len()).map(|team| part(shard, team)).collect();
    Some((0..used.len()).map(parts).collect())
}

/// The part that a shard should have of what all have together: what it uses,
/// and of the rest what it needs; beyond that an equal part.
fn target(needs: &[Need], of: usize, i: usize) -> i64 {
    let sum = |f: &dyn Fn(&Need) -> i64| needs.iter().map(f).sum::<i64>();
    let used = |n: &Need| pair(n.used)[i];
    let waits = |n: &Need| pair(n.waits)[i].max(0);
    let rest = (sum(&|n| pair(n.slice)[i]) - sum(&used)).max(0);
    let requested = sum(&waits);
    let (mine, n) = (&needs[of], needs.len().max(1) as i64);
    if requested <= rest {
        used(mine) + waits(mine) + (rest - requested) / n
    } else {
        let share = i128::from(rest) * i128::from(waits(mine)) / i128::from(requested.max(1));
        used(mine) + share as i64
    }
}

/// A part of a limit moves only if it is at least this part of the limit: each
/// move costs two changes.
const MIN_TRANSFER_DIVISOR: i64 = 40;

/// What a shard gives to another: to which, and how much of each team's limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitTransfer {
    /// To whom.
    pub to: ShardId,
    /// Of each team's limit, in the order of the teams.
    pub amounts: Vec<Amount>,
}

/// What the shard `me` should give away now. `needs`: of every shard, by number
/// and team. Only what it does not use can go.
pub fn next_transfer(me: ShardId, needs: &[Vec<Need>]) -> Option<LimitTransfer> {
    let teams = needs.first()?.len();
    let mine = needs.get(me.0 as usize)?;
    let mut best: Option<(f64, LimitTransfer)> = None;
    for to in (0..needs.len()).filter(|b| *b != me.0 as usize) {
        let mut weight = 0.0;
        let mut amounts = Vec::with_capacity(teams);
        for team in 0..teams {
            let column: Vec<Need> = needs.iter().map(|n| n[team]).collect();
            let mut give = [0; 2];
            for (i, give) in give.iter_mut().enumerate() {
                let all: i64 = column.iter().map(|n| pair(n.slice)[i]).sum();
                let slice = pair(mine[team].slice)[i];
                let excess = slice - target(&column, me.0 as usize, i);
                let lacks = target(&column, to, i) - pair(column[to].slice)[i];
                let free = slice - pair(mine[team].used)[i];
                let max = excess.min(lacks).min(free);
                if max > 0 && max >= all / MIN_TRANSFER_DIVISOR {
                    *give = max;
                    weight += max as f64 / all.max(1) as f64;
                }
            }
            amounts.push(amount(give));
        }
        let better = best.as_ref().is_none_or(|(w, _)| weight > *w);
        if weight > 0.0 && better {
            let to = ShardId(to as u32);
            best = Some((weight, LimitTransfer { to, amounts }));
        }
    }
    best.map(|(_, transfer)| transfer)
}
