//! Who gives way where windows want more at the same time than there is.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::Amount;

/// What a window wants at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The window.
    pub name: String,
    /// Its team.
    pub team: String,
    /// What a task takes.
    pub each: Amount,
    /// How many tasks' room.
    pub tasks: u32,
}

/// What a team's windows may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamFreeCapacity {
    /// Its guarantee, less what its work outside of windows uses.
    pub guarantee: Amount,
    /// Its limit, less the same.
    pub limit: Amount,
}

/// What a window gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    /// The window.
    pub name: String,
    /// How many tasks' room.
    pub tasks: u32,
    /// Where that is less than it wants: a window that came first.
    pub gives_way_to: Option<String>,
}

/// Divides what windows want at the same time, in the order of `wants`: first
/// what lies within a team's guarantee, by name, then the rest, by name. `pool`
/// is all that machines can be had for, where that is known to be short;
/// memory counts there, not in limits.
pub fn arbitrate(
    wants: &[Want],
    teams: &BTreeMap<String, TeamFreeCapacity>,
    pool: Option<Amount>,
) -> Vec<Got> {
    let mut by_name: Vec<usize> = (0..wants.len()).collect();
    by_name.sort_by(|a, b| wants[*a].name.cmp(&wants[*b].name));
    let mut teams = teams.clone();
    let mut pool = pool;
    let mut got: Vec<Got> = wants
        .iter()
        .map(|want| Got {
            name: want.name.clone(),
            tasks: 0,
            gives_way_to: None,
        })
        .collect();
    // Who took something, in order; the last who took of what is short is named.
    let mut taken: Vec<usize> = Vec::new();
    for guaranteed in [true, false] {
        for &i in &by_name {
            let want = &wants[i];
            let free_capacity = teams.entry(want.team.clone()).or_default();
            let fit = fits(want, free_capacity, guaranteed, pool);
            let takes = fit.all.min(want.tasks - got[i].tasks);
            if takes > 0 {
                let amount = want.each.times(i64::from(takes));
                free_capacity.guarantee -= amount;
                free_capacity.limit -= amount;
                pool = pool.map(|pool| pool - amount);
                got[i].tasks += takes;
                taken.push(i);
            }
            if !guaranteed && got[i].tasks < want.tasks {
                let short_pool = fit.all < fit.by_team;
                got[i].gives_way_to = rival(wants, i, short_pool, &taken);
            }
        }
    }
    got
}

/// How many tasks of a window fit.
struct Fit {
    /// Into its team's room and into what there is.
    all: u32,
    /// Into its team's room alone.
    by_team: u32,
}

/// How many tasks of a window fit. `guaranteed`: within its team's guarantee.
fn fits(
    want: &Want,
    free_capacity: &TeamFreeCapacity,
    guaranteed: bool,
    pool: Option<Amount>,
) -> Fit {
    // Memory is in no team's limit.
    let of_team = |amount: Amount| Amount {
        ram: i64::MAX,
        ..amount
    };
    let mut by_team = want.each.how_many(of_team(free_capacity.limit));
    if guaranteed {
        by_team = by_team.min(want.each.how_many(of_team(free_capacity.guarantee)));
    }
    let all = match pool {
        Some(pool) => by_team.min(want.each.how_many(pool)),
        None => by_team,
    };
    Fit { all, by_team }
}

/// The window that took last of what `wants[i]` lacks: of the pool, if that is
/// short, or of its team's room.
fn rival(wants: &[Want], i: usize, short_pool: bool, taken: &[usize]) -> Option<String> {
    let rival =
        |other: &&usize| **other != i && (short_pool || wants[**other].team == wants[i].team);
    let rival = taken.iter().rev().find(rival)?;
    Some(wants[*rival].name.clone())
}
