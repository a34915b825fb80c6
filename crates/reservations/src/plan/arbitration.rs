//! Division of capacity among windows that together need more than is available.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::Amount;

/// Capacity that a window needs at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct CapacityRequest {
    /// Name of the window that needs the capacity.
    pub name: String,
    /// Team of the window, whose guarantee and limit apply.
    pub team: String,
    /// Resources that one task of the window needs.
    pub each: Amount,
    /// Number of tasks for which the window needs capacity.
    pub tasks: u32,
}

/// Capacity that all windows of a team together may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamFreeCapacity {
    /// Guarantee of the team, minus what the team's tasks outside of windows use.
    pub guarantee: Amount,
    /// Limit of the team, minus what the team's tasks outside of windows use.
    pub limit: Amount,
}

/// Capacity that a window gets from the arbitration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CapacityShare {
    /// Name of the window that gets the capacity.
    pub name: String,
    /// Number of tasks for which the window gets capacity.
    pub tasks: u32,
    /// Name of a window that was served before and has the missing capacity. `None` if this
    /// window gets all that it needs or no other window has the missing capacity.
    pub gives_way_to: Option<String>,
}

/// Divides capacity among windows that need it at the same time. Returns the shares in the
/// order of `requests`. The first pass serves all windows, by name, within the guarantees of
/// their teams. The second pass serves the rest, by name. `pool` is the total capacity of the
/// machines that can be rented, if that is known to be short. Memory counts in `pool` but
/// not in the limits of teams.
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

/// State of an arbitration: the remaining capacity, and the shares so far.
struct Arbitration<'a> {
    requests: &'a [CapacityRequest],
    teams: BTreeMap<String, TeamFreeCapacity>,
    pool: Option<Amount>,
    /// Share of each request, at the same index as in `requests`.
    shares: Vec<CapacityShare>,
    /// Indexes of the requests that got capacity, in the order in which they were served. If
    /// another request gets too little, the last suitable index names the rival window.
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

    /// Gives request `i` as much capacity as fits. If `guaranteed`, the team's guarantee
    /// applies. If not, the team's limit applies, and the share also names the window that
    /// has the missing capacity.
    fn serve(&mut self, i: usize, guaranteed: bool) {
        let request = &self.requests[i];
        let team = self.teams.entry(request.team.clone()).or_default();
        let fit = fitting_tasks(request, team, guaranteed, self.pool);
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
            self.shares[i].gives_way_to = self.served_before(i, fit.all < fit.by_team);
        }
    }

    /// Returns the name of the window that was served last with capacity that request `i`
    /// lacks. If `short_pool`, that can be any other window. If not, it is a window of the
    /// same team.
    fn served_before(&self, i: usize, short_pool: bool) -> Option<String> {
        let team = &self.requests[i].team;
        let is_rival =
            |other: &&usize| **other != i && (short_pool || self.requests[**other].team == *team);
        let rival = self.served.iter().rev().find(is_rival)?;
        Some(self.requests[*rival].name.clone())
    }
}

/// Number of a window's tasks that fit into the remaining capacity.
struct Fit {
    /// Number of tasks that fit into both the team's free capacity and the pool.
    all: u32,
    /// Number of tasks that fit into the team's free capacity, without regard to the pool.
    by_team: u32,
}

/// Returns how many tasks of a window fit. If `guaranteed`, the team's guarantee also limits
/// the result.
fn fitting_tasks(
    request: &CapacityRequest,
    free_capacity: &TeamFreeCapacity,
    guaranteed: bool,
    pool: Option<Amount>,
) -> Fit {
    // Limits and guarantees of teams don't include memory, so it counts as unlimited here.
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
