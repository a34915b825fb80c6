//! Taking up a grant: everything that is recorded of the block goes into the
//! cluster state.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_blocks::largest_jobs::Largest;
use sorrelhinge_blocks::shard::Shard;
use sorrelhinge_overload::fleet_limit::ClaimRate;
use sorrelhinge_topology::renting::Memory;
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::Topology;

use super::command_queue::CommandQueue;
use super::failover::Failover;
use super::inventory::CloudInventory;
use super::machine_types::MachineTypes;
use super::placement_queue::PlacementQueue;
use super::rejected_changes::RejectedChanges;
use super::served::ServedLog;
use super::sharing::{self, Places};
use super::start_permission::StartPermission;
use super::tombstones::MachineTombstones;
use super::{calendar, staging, Core};
use crate::config::Config;
use crate::control::pending::Pending;
use crate::sched::{ClusterState, Team};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, JobId, MachineType, Revision, Time, Token};

impl Core {
    /// Takes up the grant of all machines.
    pub fn load(
        cfg: Rc<Config>,
        types: &[MachineType],
        view: &View,
        grant: (u64, Revision),
        topology: Option<Rc<Topology>>,
        now: Time,
        wall_ms: u64,
    ) -> Self {
        Self::load_block(
            cfg,
            types,
            view,
            (Shard::WHOLE, grant, Places::default()),
            topology,
            now,
            wall_ms,
        )
    }

    /// Takes up the grant of a block: everything recorded of it is on the cluster state,
    /// and every claim counts until a report that carries the new token says
    /// otherwise.
    pub fn load_block(
        cfg: Rc<Config>,
        types: &[MachineType],
        view: &View,
        (shard, (grant, grant_stamp), places): (Shard, (u64, Revision), Places),
        topology: Option<Rc<Topology>>,
        now: Time,
        wall_ms: u64,
    ) -> Self {
        let teams = cfg
            .teams
            .iter()
            .map(|t| Team {
                name: t.name.clone(),
                guarantee: t.guarantee,
                // Of one block that holds all machines; of several each has
                // its part, see `look_at_limits`.
                limit: t.limit,
                used: Amount::default(),
                held_back: Amount::default(),
            })
            .collect();
        let staging = staging::Staging::load(&cfg, shard, view);
        let mut core = Self {
            cfg,
            cluster_state: ClusterState::new(teams),
            grant,
            grant_stamp,
            shard,
            frozen_since: None,
            sharing: sharing::Sharing::default(),
            places,
            served_log: ServedLog::new(now),
            largest_jobs: Largest::default(),
            types: MachineTypes::default(),
            links: BTreeMap::new(),
            inventory: CloudInventory::default(),
            pending: Pending::default(),
            failover: Failover::begin(now, wall_ms, view.history.images()),
            command_queue: CommandQueue::default(),
            placement_queue: PlacementQueue::default(),
            refused: HashMap::new(),
            rentals: 0,
            renting: 0,
            most_machines: None,
            claim_rate: ClaimRate::default(),
            claimed_cpu: 0,
            deaf_until: now,
            start_permission: StartPermission::unbounded(),
            arrivals: BTreeMap::new(),
            tombstones: MachineTombstones::load(view, shard),
            windows: calendar::Windows::default(),
            drains: Vec::new(),
            staging,
            stability: Stability::default(),
            memory: Memory::default(),
            gangs: BTreeSet::new(),
            last_repair: None,
            told: BTreeMap::new(),
            rejected_changes: RejectedChanges::none(now),
            walk_all: true,
            last_fleet: now,
            last_plan: now,
            last_look: now,
        };
        let others = core.cfg.others.iter().map(|o| o.zone.clone());
        core.cluster_state.staged_gb = core.cfg.tuning.staging_least_gb;
        core.cluster_state.served = others.chain([core.cfg.zone.clone()]).collect();
        core.set_types(types);
        core.cluster_state.set_topology(topology, |_| None);
        core.set_drains(view, now);
        core.look_at_limits(view);
        // Of several blocks each places an equal part of what comes.
        let part = view.history.arrivals().enumerate();
        let part = part.filter(|(n, _)| *n as u32 % shard.of == shard.block.0);
        for (_, (accepted_ms, spec)) in part {
            let age = wall_ms.saturating_sub(*accepted_ms) as f64 / 1000.0;
            core.arrived(spec, Time(now.0 - age));
        }
        let mut jobs: Vec<&JobId> = view.jobs().map(|(id, _)| id).collect();
        jobs.sort();
        for id in jobs {
            core.add_job(view, id, now, wall_ms);
        }
        core.look_at_windows(view, wall_ms as i64, now);
        // Else nobody would go ahead after a takeover until the first look, and the
        // order would be that of the acceptors' clocks.
        core.cluster_state
            .look_at_lanes(&core.cfg.lanes, now, wall_ms);
        core
    }

    /// The grant's lowest token.
    pub(super) fn base_token(&self) -> Token {
        Token::of_grant(self.grant)
    }

    pub(super) fn add_job(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let claimed_here = |entry: &JobEntry| self.claims_here(entry);
        if self.shard.homes(id) || view.job(id).is_some_and(claimed_here) {
            self.add_known(view, id, now, wall_ms);
        }
    }
}
