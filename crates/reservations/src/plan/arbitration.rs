//! Which windows give way where they need more at the same time than there is.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::Amount;

/// What a window needs at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRequest {
    /// The window.
    pub name: String,
    /// Its team.
    pub team: String,
    /// What a task takes.
    pub each: Amount,
    /// For how many tasks.
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
pub struct CapacityShare {
    /// The window.
    pub name: String,
    /// For how many tasks.
    pub tasks: u32,
    /// Where that is less than it needs: a window that came first.
    pub gives_way_to: Option<String>,
}

/// Divides capacity among windows that need it at the same time, in the order of
/// `requests`: first what lies within a team's guarantee, by name, then the rest, by
/// name. `pool` is all that machines can be had for, where that is known to be short;
/// memory counts there, not in limits.
pub fn arbitrate(
    requests: &[CapacityRequest],
    teams: &BTreeMap<String, TeamFreeCapacity>,
    pool: Option<Amount>,
) -> Vec<CapacityShare> {
    let mut by_name: Vec<usize> = (0..requests.len()).collect();
    by_name.sort_by(|a, b| requests[*a].name.cmp(&requests[*b].name));
    let mut arbitration = Arbitration::new(requests, teams, pool);
    for guaranteed in [true, false] {
        for &i in &by_name {
            arbitration.serve(i, guaranteed);
        }
    }
    arbitration.shares
}

/// What is left to divide, and what was given so far.
struct Arbitration<'a> {
    requests: &'a [CapacityRequest],
    teams: BTreeMap<String, TeamFreeCapacity>,
    pool: Option<Amount>,
    /// By place in `requests`.
    shares: Vec<CapacityShare>,
    /// Requests that got something, in order; of what is short the last one is named.
    served: Vec<usize>,
}

impl<'a> Arbitration<'a> {
    fn new(
        requests: &'a [CapacityRequest],
        teams: &BTreeMap<String, TeamFreeCapacity>,
        pool: Option<Amount>,
    ) -> Self {
        let shares = requests.iter().map(|request| CapacityShare {
            name: request.name.clone(),
            tasks: 0,
            gives_way_to: None,
        });
        Self {
            requests,
            teams: teams.clone(),
            pool,
            shares: shares.collect(),
            served: Vec::new(),
        }
    }

    /// Gives request `i` as much as fits: within its team's guarantee if `guaranteed`,
    /// else within its limit, and then says which window has what it lacks.
    fn serve(&mut self, i: usize, guaranteed: bool) {
        let request = &self.requests[i];
        let team = self.teams.entry(request.team.clone()).or_default();
        let fit = fits(request, team, guaranteed, self.pool);
        let tasks = fit.all.min(request.tasks - self.shares[i].tasks);
        if tasks > 0 {
            let amount = request.each.times(i64::from(tasks));
            team.guarantee -= amount;
            team.limit -= amount;
            self.pool = self.pool.map(|pool| pool - amount);
            self.shares[i].tasks += tasks;
            self.served.push(i);
        }
        if !guaranteed && self.shares[i].tasks < request.tasks {
            self.shares[i].gives_way_to = self.rival(i, fit.all < fit.by_team);
        }
    }

    /// The window that was served last with what request `i` lacks: of the pool, if that
    /// is short, or of its team's capacity.
    fn rival(&self, i: usize, short_pool: bool) -> Option<String> {
        let team = &self.requests[i].team;
        let is_rival =
            |other: &&usize| **other != i && (short_pool || self.requests[**other].team == *team);
        let rival = self.served.iter().rev().find(is_rival)?;
        Some(self.requests[*rival].name.clone())
    }
}

/// How many tasks of a window fit.
struct Fit {
    /// Into its team's free capacity and into what there is.
    all: u32,
    /// Into its team's free capacity.
    by_team: u32,
}

/// How many tasks of a window fit. `guaranteed`: within its team's guarantee.
fn fits(
    request: &CapacityRequest,
    free_capacity: &TeamFreeCapacity,
    guaranteed: bool,
    pool: Option<Amount>,
) -> Fit {
    // Memory is in no team's limit.
    let of_team = |amount: Amount| Amount {
        ram: i64::MAX,
        ..amount
    };
    let mut by_team = request.each.how_many(of_team(free_capacity.limit));
    if guaranteed {
        by_team = by_team.min(request.each.how_many(of_team(free_capacity.guarantee)));
    }
    let all = match pool {
        Some(pool) => by_team.min(request.each.how_many(pool)),
        None => by_team,
    };
    Fit { all, by_team }
}
