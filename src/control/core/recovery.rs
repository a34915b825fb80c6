//! Taking up a grant: everything that is recorded of the shard goes into the
//! cluster state.

use std::rc::Rc;

use sorrelhinge_sharding::largest_jobs::Largest;
use sorrelhinge_sharding::shard::ShardScope;
use sorrelhinge_topology::Topology;

use super::agent_table::AgentTable;
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
use super::task_delegation::{self, Places};
use super::tombstones::MachineTombstones;
use super::topology_history::TopologyHistory;
use super::topology_repair::RepairSchedule;
use super::waiting_log::WaitingLog;
use super::{image_distribution, reservations, Core};
use crate::config::Config;
use crate::control::write_queue::Pending;
use crate::scheduler::{ClusterState, Team};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, FencingToken, JobId, MachineType, Revision, Time};

/// What an owner starts from, besides its grant.
pub struct RecoveryInput<'a> {
    /// Settings.
    pub cfg: Rc<Config>,
    /// The cloud's machine types; none are known: the owner waits for them.
    pub types: &'a [MachineType],
    /// What is recorded, at least up to the grant.
    pub view: &'a View,
    /// The operators' topology file.
    pub topology: Option<Rc<Topology>>,
    /// Now, on this process's clock.
    pub now: Time,
    /// The time of day, in milliseconds.
    pub wall_ms: u64,
}

/// A grant as it is recorded.
#[derive(Clone, Copy, Debug)]
pub struct ShardGrant {
    /// The machines and jobs that it is for.
    pub scope: ShardScope,
    /// Its number, which the fencing tokens of its commands begin with.
    pub number: u64,
    /// The revision that wrote it.
    pub revision: Revision,
}

impl ShardGrant {
    /// The grant of all machines.
    pub fn whole(number: u64, revision: Revision) -> Self {
        Self {
            scope: ShardScope::WHOLE,
            number,
            revision,
        }
    }
}

impl Core {
    /// Takes up a grant: everything recorded of its scope is on the cluster state,
    /// and every claim counts until a report that carries the new fencing token says
    /// otherwise. `places` is where machines of all shards are; of the grant of all
    /// machines it is empty.
    pub fn load(input: &RecoveryInput, grant: ShardGrant, places: Places) -> Self {
        let (view, now, wall_ms) = (input.view, input.now, input.wall_ms);
        let mut core = Self::without_records(input, grant, places);
        core.set_up_cluster(input);
        core.recover_arrivals(view, now, wall_ms);
        core.recover_jobs(view, now, wall_ms);
        core.refresh_windows(view, wall_ms as i64, now);
        // Else nobody would go ahead after a takeover until the first look, and the
        // order would be that of the acceptors' clocks.
        core.cluster_state
            .refresh_lanes(&core.cfg.lanes, now, wall_ms);
        core
    }

    /// An owner that knows no job and no machine yet.
    fn without_records(input: &RecoveryInput, grant: ShardGrant, places: Places) -> Self {
        let (view, now, scope) = (input.view, input.now, grant.scope);
        let image_distribution =
            image_distribution::ImageDistribution::load(&input.cfg, scope, view);
        Self {
            cfg: input.cfg.clone(),
            cluster_state: ClusterState::new(teams(&input.cfg)),
            grant: grant.number,
            grant_revision: grant.revision,
            scope,
            freeze: HandoverFreeze::default(),
            sharing: task_delegation::Sharing::default(),
            places,
            served_log: ServedLog::new(now),
            largest_jobs: Largest::default(),
            types: MachineTypes::default(),
            agents: AgentTable::default(),
            inventory: CloudInventory::default(),
            pending: Pending::default(),
            failover: Failover::begin(now, input.wall_ms, view.history.images()),
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

    /// Machine types, zones, topology, drains and limits.
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

    /// Jobs that arrived of late. Of several shards each places an equal part of what
    /// comes.
    fn recover_arrivals(&mut self, view: &View, now: Time, wall_ms: u64) {
        let ShardScope { shard, of } = self.scope;
        let all = view.history.arrivals().enumerate();
        let part = all.filter(|(n, _)| *n as u32 % of == shard.0);
        for (_, arrival) in part {
            let age_s = wall_ms.saturating_sub(arrival.accepted_ms) as f64 / 1000.0;
            self.arrived(&arrival.spec, Time(now.0 - age_s));
        }
    }

    /// Jobs that this scope homes or has claims of, by their names.
    fn recover_jobs(&mut self, view: &View, now: Time, wall_ms: u64) {
        let mut jobs: Vec<&JobId> = view.jobs().map(|(id, _)| id).collect();
        jobs.sort();
        for id in jobs {
            self.add_job(view, id, now, wall_ms);
        }
    }

    /// The grant's lowest fencing token.
    pub(super) fn base_fencing_token(&self) -> FencingToken {
        FencingToken::of_grant(self.grant)
    }

    /// Takes up a job if this scope homes it or has claims of it.
    pub(super) fn add_job(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let claimed_here = |entry: &JobEntry| self.claims_here(entry);
        if self.scope.homes(id) || view.job(id).is_some_and(claimed_here) {
            self.add_known(view, id, now, wall_ms);
        }
    }
}

/// The teams with their whole limits. Of several shards each has its part of them, see
/// `refresh_quotas`.
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
