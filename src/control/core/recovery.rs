//! Recovery when a controller takes a grant: loads all records of the shard into the cluster
//! state.

use std::rc::Rc;

use sorrelhinge_sharding::largest_jobs::Largest;
use sorrelhinge_sharding::shard::ShardScope;
use sorrelhinge_topology::Topology;

use super::agent_table::AgentTable;
use super::command_history::CommandHistory;
use super::command_queue::CommandQueue;
use super::drains::RecordedDrains;
use super::failover::Failover;
use super::gang_restarts::JobsToCheck;
use super::inventory::CloudInventory;
use super::machine_types::MachineTypes;
use super::placement_queue::PlacementQueue;
use super::rejected_changes::RejectedChanges;
use super::scaling_state::ScalingState;
use super::service_levels::ServedLog;
use super::shard_freeze::HandoverFreeze;
use super::silence::IgnoredSilence;
use super::start_permission::StartPermission;
use super::task_delegation::{self, MachineZones};
use super::tombstones::MachineTombstones;
use super::topology_history::TopologyHistory;
use super::topology_repair::RepairSchedule;
use super::waiting_log::WaitingLog;
use super::{image_distribution, reservations, Core};
use crate::config::Config;
use crate::control::write_queue::WriteQueue;
use crate::scheduler::{ClusterState, Team};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, FencingToken, JobId, MachineType, Revision, Time};

/// Input of a recovery, apart from the grant.
pub struct RecoveryInput<'a> {
    /// Settings of the controller. They stay the same while the grant is held.
    pub cfg: Rc<Config>,
    /// Machine types of the cloud. If the list is empty, the owner waits for them.
    pub types: &'a [MachineType],
    /// Records of the store, read at or after the revision that wrote the grant.
    pub view: &'a View,
    /// Topology file of the operators.
    pub topology: Option<Rc<Topology>>,
    /// Current time on this process's clock.
    pub now: Time,
    /// Time of day, in milliseconds.
    pub wall_ms: u64,
}

/// Shard grant as recorded.
#[derive(Clone, Copy, Debug)]
pub struct ShardGrant {
    /// Machines and jobs that the grant covers.
    pub scope: ShardScope,
    /// Number of the grant. The fencing tokens of its commands begin with it.
    pub number: u64,
    /// Store revision that wrote the grant.
    pub revision: Revision,
    /// Highest fencing token that this controller issued when it owned the shard by this grant
    /// before. `None` if it did not.
    pub issued: Option<FencingToken>,
}

impl ShardGrant {
    /// Returns a grant of all machines.
    pub fn whole(number: u64, revision: Revision) -> Self {
        Self {
            scope: ShardScope::WHOLE,
            number,
            revision,
            issued: None,
        }
    }

    /// Returns the first fencing token that commands carry. It is above all tokens of commands that
    /// this controller sent before, because their outcomes and starts are not known any more.
    fn first_fencing_token(&self) -> FencingToken {
        self.issued
            .map_or(FencingToken::of_grant(self.number), FencingToken::raised)
    }
}

impl Core {
    /// Builds the core of a new owner from the records of its scope. Every claim counts until a
    /// heartbeat that carries the new fencing token shows otherwise. `machine_zones` holds the zones
    /// of the machines of all shards. It is empty for the grant of all machines.
    pub fn recover(input: &RecoveryInput, grant: ShardGrant, machine_zones: MachineZones) -> Self {
        let (view, now, wall_ms) = (input.view, input.now, input.wall_ms);
        let mut core = Self::without_records(input, grant, machine_zones);
        core.set_up_cluster(input);
        core.recover_arrivals(view, now, wall_ms);
        core.recover_jobs(view, now, wall_ms);
        core.refresh_windows(view, wall_ms as i64, now);
        // Without this refresh no job would get ahead of others between a takeover and the
        // first rescan. The order would then follow the clocks of the controllers that accepted
        // the jobs.
        core.cluster_state
            .refresh_lanes(&core.cfg.lanes, now, wall_ms);
        core
    }

    /// Returns a core without jobs or machines.
    fn without_records(
        input: &RecoveryInput,
        grant: ShardGrant,
        machine_zones: MachineZones,
    ) -> Self {
        let (view, now, scope) = (input.view, input.now, grant.scope);
        let image_distribution =
            image_distribution::ImageDistribution::load(&input.cfg, scope, view);
        Self {
            cfg: input.cfg.clone(),
            cluster_state: ClusterState::new(teams(&input.cfg)),
            grant: grant.number,
            grant_revision: grant.revision,
            first_fencing_token: grant.first_fencing_token(),
            scope,
            freeze: HandoverFreeze::default(),
            delegations: task_delegation::Delegations::default(),
            machine_zones,
            served_log: ServedLog::new(now),
            largest_jobs: Largest::default(),
            types: MachineTypes::default(),
            agents: AgentTable::default(),
            inventory: CloudInventory::default(),
            write_queue: WriteQueue::default(),
            failover: Failover::begin(now, input.wall_ms, view.history.images()),
            command_history: CommandHistory::default(),
            command_queue: CommandQueue::default(),
            placement_queue: PlacementQueue::default(),
            scaling: ScalingState::new(now),
            ignored_silence: IgnoredSilence::none(now),
            start_permission: StartPermission::unbounded(),
            tombstones: MachineTombstones::load(view, scope),
            windows: reservations::Windows::default(),
            drains: RecordedDrains::default(),
            image_distribution,
            topology_history: TopologyHistory::default(),
            gangs_to_check: JobsToCheck::default(),
            repair_schedule: RepairSchedule::default(),
            waiting_log: WaitingLog::default(),
            rejected_changes: RejectedChanges::new(now),
            last_rescan: now,
        }
    }

    /// Sets machine types, zones, topology, drains and limits.
    fn set_up_cluster(&mut self, input: &RecoveryInput) {
        let others = self.cfg.others.iter().map(|o| o.zone.clone());
        self.cluster_state.staged_gb = self.cfg.tuning.staging_least_gb;
        self.cluster_state.served = others.chain([self.cfg.zone.clone()]).collect();
        self.set_types(input.types);
        self.cluster_state
            .set_topology(input.topology.clone(), |_| None);
        self.set_drains(input.view, input.now);
        self.refresh_quotas(input.view);
    }

    /// Adds recent job arrivals. If there are several shards, each places an equal part of new
    /// jobs.
    fn recover_arrivals(&mut self, view: &View, now: Time, wall_ms: u64) {
        let ShardScope { shard, of } = self.scope;
        let all = view.history.arrivals().enumerate();
        let part = all.filter(|(n, _)| *n as u32 % of == shard.0);
        for (_, arrival) in part {
            let age_s = wall_ms.saturating_sub(arrival.accepted_ms) as f64 / 1000.0;
            self.arrived(&arrival.spec, Time(now.0 - age_s));
        }
    }

    /// Adds the jobs that this shard places or has claims of, in the order of their names.
    fn recover_jobs(&mut self, view: &View, now: Time, wall_ms: u64) {
        let mut jobs: Vec<&JobId> = view.jobs().map(|(id, _)| id).collect();
        jobs.sort();
        for id in jobs {
            self.add_job(view, id, now, wall_ms);
        }
    }

    /// Returns the lowest fencing token of this owner's commands.
    pub(super) fn base_fencing_token(&self) -> FencingToken {
        self.first_fencing_token
    }

    /// Returns the highest fencing token of this owner's commands.
    pub fn highest_fencing_token(&self) -> FencingToken {
        let agents = self.agents.highest_fencing_token();
        agents.unwrap_or(self.first_fencing_token)
    }

    /// Adds a job if this shard places the job or has claims of its tasks.
    pub(super) fn add_job(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let claimed_here = |entry: &JobEntry| self.has_claims_in_shard(entry);
        if self.scope.homes(id) || view.job(id).is_some_and(claimed_here) {
            self.load_job(view, id, now, wall_ms);
        }
    }
}

/// Returns the teams with their whole limits. If there are several shards, each has a part of
/// the limits; see `refresh_quotas`.
fn teams(cfg: &Config) -> Vec<Team> {
    cfg.teams
        .iter()
        .map(|t| Team {
            name: t.name.clone(),
            guarantee: t.guarantee,
            limit: t.limit,
            used: Amount::default(),
            held_back: Amount::default(),
        })
        .collect()
}
