//! This shard's part of the teams' quotas, and the demand of its teams.

use sorrelhinge_sharding::slices::Need;

use super::Core;
use crate::config::TeamConfig;
use crate::scheduler::{Team, TeamLimits};
use crate::state::view::View;
use crate::types::Amount;

/// Limit and guarantee of a team for one resource in this shard, in thousandths like [`Amount`].
struct ResourcePart {
    limit: i64,
    guarantee: i64,
}

impl Core {
    /// Applies this shard's recorded part of the limits, less the amounts that are being
    /// transferred to other shards. Guarantees are divided in the same proportion.
    pub fn refresh_quotas(&mut self, view: &View) {
        if !self.scope.is_part() {
            return;
        }
        let record = view.slices.get(&self.scope.shard).map(|s| &s.value);
        let given = &self.delegations.quota_in_flight;
        let shards = i64::from(self.scope.of.max(1));
        let teams = self.cfg.teams.iter().enumerate();
        let parts = teams.map(|(i, team)| {
            let recorded = record.map_or(Amount::default(), |r| r.of(&team.name));
            let given = given.get(i).copied().unwrap_or_default();
            team_part(team, recorded, given, shards)
        });
        let parts: Vec<TeamLimits> = parts.collect();
        let current = self.cluster_state.teams().iter().map(Team::limits);
        if !current.eq(parts.iter().copied()) {
            self.cluster_state.set_limits(parts.into_iter());
            self.placement_queue.request_full_walk();
        }
    }

    /// Returns what each team uses in this shard and what its pending work needs. `slice`, the
    /// shard's part of the team's quota, stays 0. A caller that needs this part reads it from the
    /// quota records.
    pub fn needs(&self) -> Vec<Need> {
        let teams = self
            .cluster_state
            .teams()
            .iter()
            .zip(self.cluster_state.demands());
        teams
            .map(|(t, waits)| Need {
                slice: Amount::default(),
                used: t.used,
                waits: *waits,
            })
            .collect()
    }

    /// Lowers the limits before a part of them is transferred to another shard. An empty `given`
    /// restores the recorded limits.
    pub fn reserve_outgoing_quota(&mut self, given: Vec<Amount>, view: &View) {
        self.delegations.quota_in_flight = given;
        self.refresh_quotas(view);
    }
}

/// Returns a team's part of its limit from the record, less the amount that is being
/// transferred. The guarantee is divided in the same proportion. RAM has no limit.
fn team_part(team: &TeamConfig, recorded: Amount, given: Amount, shards: i64) -> TeamLimits {
    // A missing limit is not divided, whatever amounts the record states.
    let part = |recorded: i64, given: i64, total_limit: i64, guarantee: i64| {
        if total_limit == Amount::NO_LIMIT {
            return ResourcePart {
                limit: total_limit,
                guarantee: guarantee / shards,
            };
        }
        let share = i128::from(recorded.max(0)) * i128::from(guarantee);
        ResourcePart {
            limit: recorded - given,
            guarantee: (share / i128::from(total_limit.max(1))) as i64,
        }
    };
    let cpu = part(recorded.cpu, given.cpu, team.limit.cpu, team.guarantee.cpu);
    let gpu = part(recorded.gpu, given.gpu, team.limit.gpu, team.guarantee.gpu);
    TeamLimits {
        limit: Amount {
            cpu: cpu.limit,
            gpu: gpu.limit,
            ram: 0,
        },
        guarantee: Amount {
            cpu: cpu.guarantee,
            gpu: gpu.guarantee,
            ram: team.guarantee.ram,
        },
    }
}
