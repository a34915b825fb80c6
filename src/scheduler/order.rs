//! Order of teams and jobs in a placement pass: priority lanes first, then by guarantee and
//! fair share (paper, section 4.2).

use std::collections::HashSet;

use super::shares::{water_fill, Standing};
use super::{ClusterState, Job};
use crate::types::{Amount, JobId, Time};

/// Shares of the total capacity that differ by less than this count as equal, because such
/// differences come from rounding.
const ROUNDING: f64 = 1e-9;

impl ClusterState {
    /// Returns every team's standing: how far it is below its guarantee and its fair share.
    pub fn standings(&self) -> Vec<Standing> {
        let capacity = self.capacity;
        let size = |a: Amount| {
            let part = |x: i64, of: i64| if of > 0 { x as f64 / of as f64 } else { 0.0 };
            part(a.cpu, capacity.cpu).max(part(a.gpu, capacity.gpu))
        };
        let minimum: Vec<f64> = self.teams.iter().map(|t| size(t.guarantee)).collect();
        let demand: Vec<f64> = self
            .teams
            .iter()
            .zip(&self.demand)
            .map(|(t, d)| size(t.used + *d).min(size(t.limit)))
            .collect();
        let fair = water_fill(1.0, &minimum, &demand);
        self.teams
            .iter()
            .enumerate()
            .map(|(i, t)| {
                let used = size(t.used);
                let short = minimum[i].min(demand[i]) - used;
                Standing {
                    below_guarantee: if short > ROUNDING {
                        short / minimum[i]
                    } else {
                        0.0
                    },
                    below_fair: fair[i] - used,
                }
            })
            .collect()
    }

    /// Returns the teams in the order in which a placement pass considers them.
    pub(super) fn team_order(&self) -> Vec<usize> {
        let standings = self.standings();
        let mut order: Vec<usize> = (0..self.teams.len()).collect();
        order.sort_by(|&a, &b| {
            let (sa, sb) = (standings[a], standings[b]);
            sb.below_guarantee
                .total_cmp(&sa.below_guarantee)
                .then(sb.below_fair.total_cmp(&sa.below_fair))
                .then(a.cmp(&b))
        });
        order
    }

    /// Returns the jobs that have a task to place, in the order of a placement pass: lane
    /// jobs that go ahead of all others, then the other jobs.
    pub(super) fn in_order(&self, now: Time) -> impl Iterator<Item = (&JobId, &Job)> {
        let first = self.lanes_first(now);
        let ahead: HashSet<&JobId> = first.iter().map(|first| first.id).collect();
        let others = self
            .in_order_without_lanes(now)
            .filter(move |(id, _)| !ahead.contains(id));
        let first = first.into_iter().map(|first| (first.id, first.job));
        first.chain(others)
    }

    /// Returns the jobs that have a task to place, in the order that would apply without
    /// lanes.
    fn in_order_without_lanes(&self, now: Time) -> impl Iterator<Item = (&JobId, &Job)> {
        self.team_order()
            .into_iter()
            .flat_map(move |team| {
                let queue = &self.queues[team];
                queue
                    .iter()
                    .filter_map(|p| Some((&p.id, self.jobs.get(&p.id)?)))
            })
            .filter(move |(_, job)| now >= job.hold_until)
    }
}
