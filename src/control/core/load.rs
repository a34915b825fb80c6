//! Taking up a grant: everything that is recorded of the block goes into the
//! cluster state.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_blocks::largest_jobs::Largest;
use sorrelhinge_blocks::served::Served;
use sorrelhinge_blocks::shard::Shard;
use sorrelhinge_topology::Topology;

use super::deleted_machines::DeletedMachines;
use super::scaling_state::ScalingState;
use super::sharing::{self, Places};
use super::topology_history::TopologyHistory;
use super::{calendar, staging, Core};
use crate::config::Config;
use crate::control::pending::Pending;
use crate::sched::{ClusterState, Team};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, JobId, MachineId, MachineType, Revision, Time, Token};

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
            served: Served::default(),
            largest_jobs: Largest::default(),
            last_served: now,
            starved: BTreeSet::new(),
            types: HashMap::new(),
            links: BTreeMap::new(),
            coming: BTreeMap::new(),
            pending: Pending::default(),
            ran_before: view.history.images(),
            active: BTreeSet::new(),
            young: true,
            idle_yet: true,
            unheard_yet: true,
            retries: BTreeSet::new(),
            touched: BTreeSet::new(),
            walked: MachineId::from(""),
            pass: None,
            flying: 0,
            scaling: ScalingState::new(now),
            deaf_until: now,
            starts_until: Time(f64::INFINITY),
            starts_withheld: BTreeSet::new(),
            missing: BTreeMap::new(),
            listed: false,
            deleted: BTreeMap::new(),
            deleted_machines: DeletedMachines::load(view, shard),
            gone_before: view
                .gone
                .values()
                .flat_map(|held| held.value.machines.iter().cloned())
                .collect(),
            started: now,
            started_ms: wall_ms,
            windows: calendar::Windows::default(),
            drains: Vec::new(),
            staging,
            topology_history: TopologyHistory::default(),
            gangs: BTreeSet::new(),
            last_repair: None,
            told: BTreeMap::new(),
            limits_fell: false,
            alone_until: now,
            rejected: BTreeMap::new(),
            walk_all: true,
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
