//! Division of the teams' limits among the shards.
//!
//! Each shard has a recorded part of each limit, called its slice. The slices add up to the
//! limit at every revision. The first division makes them so, and afterwards they change
//! only by a transaction that takes from one slice what it adds to another. The shard that
//! gives sends this transaction, after it has lowered the amount up to which it places
//! tasks. A transaction that is late, lost or sent twice therefore can't raise the total
//! use above the limit. The next owner of a shard finds that the claims there fit the
//! shard's slice, because each claim was guarded by the grant under which it was checked.

use sorrelhinge_protocol::types::Amount;

use crate::shard::ShardId;

/// A shard's slice of one team's limit, and its use and demand. Memory is not limited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Need {
    /// The shard's part of the team's limit.
    pub slice: Amount,
    /// Amount that the team's tasks have claimed in the shard.
    pub used: Amount,
    /// Amount that the team's pending tasks in the shard request.
    pub waits: Amount,
}

/// CPUs and GPUs, the two resources that team limits apply to.
type Pair = [i64; 2];

/// Returns the limited resources of an amount: CPUs and GPUs.
fn pair(amount: Amount) -> Pair {
    [amount.cpu, amount.gpu]
}

/// Returns the amount that has these CPUs and GPUs, and no memory.
fn amount([cpu, gpu]: Pair) -> Amount {
    Amount { cpu, gpu, ram: 0 }
}

/// Returns the first division of the limits, by shard and then by team. Each shard gets
/// what it uses and an equal part of the rest.
///
/// Returns `None` if a team seems to use more than its limit, for example while releases
/// wait to be recorded. Slices that add up to the limit would then be smaller than the use
/// in some shard, and claims in other shards would meanwhile exceed the limit.
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

/// Returns the slice that a shard should have of the sum of all slices. Each shard gets
/// what it uses, then what its pending tasks request as far as the rest allows, then an
/// equal part of what remains.
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

/// A part of a limit moves to another shard only if it is at least the limit divided by
/// this number, because each move costs two changes.
const MIN_TRANSFER_DIVISOR: i64 = 40;

/// A transfer of parts of the teams' limits to another shard.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitTransfer {
    /// Shard that receives the parts of the limits.
    pub to: ShardId,
    /// Part of each team's limit that moves, in the order of the teams.
    pub amounts: Vec<Amount>,
}

/// Returns the transfer that the shard `me` should make now, if any. `needs` lists each
/// shard's needs by shard number, then by team. A shard gives only what it does not use.
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
