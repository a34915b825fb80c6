//! This shard's part of the teams' limits, and what its teams need of them.

use sorrelhinge_sharding::slices::Need;

use super::Core;
use crate::config::TeamConfig;
use crate::scheduler::{Team, TeamLimits};
use crate::state::view::View;
use crate::types::Amount;

/// A team's limit and guarantee of one resource in this shard, in thousandths, as
/// amounts are.
struct ResourcePart {
    limit: i64,
    guarantee: i64,
}

impl Core {
    /// Takes up this shard's part of the limits, as recorded, less what is being
    /// given away. Guarantees are divided in the same proportion.
    pub fn refresh_quotas(&mut self, view: &View) {
        if !self.scope.is_part() {
            return;
        }
        let record = view.slices.get(&self.scope.shard).map(|s| &s.value);
        let given = &self.sharing.given;
        let shards = i64::from(self.scope.of.max(1));
        let teams = self.cfg.teams.iter().enumerate();
        let parts = teams.map(|(i, team)| {
            let recorded = record.map_or(Amount::default(), |r| r.of(&team.name));
            let given = given.get(i).copied().unwrap_or_default();
            team_part(team, recorded, given, shards)
        });
        let parts: Vec<TeamLimits> = parts.collect();
        let now = self.cluster_state.teams().iter().map(Team::limits);
        if !now.eq(parts.iter().copied()) {
            self.cluster_state.set_limits(parts.into_iter());
            self.placement_queue.request_full_walk();
        }
    }

    /// What each team uses here, and what of it waits; the recorded part is
    /// not among it.
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

    /// Lowers what is placed up to, before a part of the limits is given away;
    /// nothing given: takes up what is recorded.
    pub fn giving(&mut self, given: Vec<Amount>, view: &View) {
        self.sharing.given = given;
        self.refresh_quotas(view);
    }
}

/// A team's part of its limit, by the record, less what is being given
/// away; its guarantee in the same proportion. RAM has no limit.
fn team_part(team: &TeamConfig, recorded: Amount, given: Amount, shards: i64) -> TeamLimits {
    // Of no limit there are no parts, whatever is recorded.
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
