//! What the owner of the block knows and decides, without I/O: time, reports
//! and outcomes come in, transactions, commands and cloud calls go out.

mod aims;
mod batch;
mod calendar;
mod calendar_needs;
mod commands;
mod delegated_tasks;
mod deleted_machines;
mod demand;
mod dispatch;
mod failures;
mod fleet_log;
mod job_changes;
mod lanes;
mod largest_jobs;
mod link;
mod links;
mod load;
mod machine_list;
mod moving;
mod overflow;
mod placement_limits;
mod placing;
mod record;
mod recorded_job;
mod renting;
mod reports;
mod reservation_refresh;
mod reservation_supply;
mod reservation_usage;
mod rollout_refresh;
mod scale_in;
mod scaling;
mod scaling_state;
mod served;
mod shard_freeze;
mod shard_quota;
mod sharing;
mod staging;
mod topology_history;
mod unlinked;
mod waves;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use sorrelhinge_blocks::largest_jobs::Largest;
use sorrelhinge_blocks::served::{Served, Sort};
use sorrelhinge_blocks::shard::Shard;
use sorrelhinge_topology::drain::Drain;

pub use self::calendar::WindowStep;
use self::deleted_machines::DeletedMachines;
use self::link::Link;
pub use self::load::{RecoveryInput, ShardGrant};
pub use self::scaling::ScalingDecision;
pub use self::sharing::Places;
use super::pending::{ChunkId, Pending};
use crate::config::Config;
use crate::sched::{ClusterState, Pass};
use crate::state::record::{ChunkRecord, JobRecord};
use crate::state::Txn;
use crate::types::{Image, JobId, MachineId, MachineType, Revision, Time, TypeName, Zone};
use crate::worker::Orders;

/// Where a report came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The worker's own reporting.
    Beat,
    /// The same, taken by another controller that was asked to.
    Homed,
    /// The same, passed on by another controller: it can't reach this one.
    Passed,
    /// The answer to a direct command.
    Direct,
}

/// A machine that is on its way.
#[derive(Clone, Debug)]
struct Coming {
    kind: TypeName,
    zone: Zone,
    spot: bool,
    since: Time,
}

/// A transaction under way, with what it records.
#[derive(Debug)]
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    /// Chunks under keys of their own; none: deleted.
    chunks: Vec<(ChunkId, Option<ChunkRecord>)>,
    /// Jobs' own records: completed ones, and those that hold their claims.
    jobs: Vec<(JobId, JobRecord)>,
    /// An image's wave.
    wave: Option<staging::Step>,
}

/// Direct commands to send.
#[derive(Debug)]
pub struct Dispatch {
    /// To which machine.
    pub machine: MachineId,
    /// Where it is.
    pub addr: SocketAddr,
    /// What to send.
    pub orders: Orders,
}

/// The block owner's knowledge.
pub struct Core {
    cfg: Rc<Config>,
    /// The jobs, machines and shares.
    pub cluster_state: ClusterState,
    /// The grant's number and the revision that wrote it.
    pub grant: u64,
    grant_stamp: Revision,
    /// Which block it is.
    pub shard: Shard,
    /// It is handed on: nothing more is claimed, and what is under way settles.
    frozen_since: Option<Time>,
    /// Room that others' tasks may take, and what was left to others.
    sharing: sharing::Sharing,
    places: Places,
    served: Served,
    largest_jobs: Largest,
    last_served: Time,
    /// Who starved when that was last told.
    starved: BTreeSet<Sort>,
    types: HashMap<TypeName, Rc<MachineType>>,
    links: BTreeMap<MachineId, Link>,
    coming: BTreeMap<MachineId, Coming>,
    pending: Pending,
    /// Images that machines ran before this owner knew them.
    ran_before: HashMap<MachineId, Vec<(Image, f64)>>,
    /// Machines that commands may have to go to, the most important first.
    active: BTreeSet<(u8, MachineId)>,
    /// The takeover was a moment ago.
    young: bool,
    /// Nothing was placed yet; not all machines were heard.
    idle_yet: bool,
    unheard_yet: bool,
    /// Machines to try again at a time, in milliseconds.
    retries: BTreeSet<(u64, MachineId)>,
    /// Machines where room appeared, and the one that was walked last.
    touched: BTreeSet<MachineId>,
    walked: MachineId,
    /// What walks share, and since when.
    pass: Option<(Time, Pass)>,
    flying: usize,
    /// What came of late, and what was asked of the cloud.
    scaling: scaling_state::ScalingState,
    /// Until then silence tells nothing.
    deaf_until: Time,
    /// No task is started after this; no bound until one is told.
    starts_until: Time,
    /// Machines on which starts were due since.
    starts_withheld: BTreeSet<MachineId>,
    missing: BTreeMap<MachineId, u32>,
    /// A machine list was read under this grant.
    listed: bool,
    /// Deleted machines that a late list, or a late copy of a report, may still
    /// show.
    deleted: BTreeMap<MachineId, Time>,
    /// Those to note for later owners, and those that earlier ones noted.
    deleted_machines: DeletedMachines,
    gone_before: BTreeSet<MachineId>,
    started: Time,
    /// The time of day when it started, in milliseconds.
    started_ms: u64,
    /// Windows of the release calendar.
    windows: calendar::Windows,
    /// What operators drain.
    drains: Vec<Drain>,
    /// Images that go from machine to machine.
    staging: staging::Staging,
    /// Where machines were lost and came up of late.
    topology_history: topology_history::TopologyHistory,
    /// Jobs that lost a claim: a gang among them may have to start anew.
    gangs: BTreeSet<JobId>,
    last_repair: Option<Time>,
    /// When each job that waits was last spoken of in the log.
    told: BTreeMap<JobId, Time>,
    /// The state service has its smaller limits (`state.next`).
    limits_fell: bool,
    /// Until then each change has a transaction of its own.
    alone_until: Time,
    /// Changes that were rejected alone, until when they wait.
    rejected: BTreeMap<ChunkId, Time>,
    /// Work arrived or room appeared: walk all machines.
    pub walk_all: bool,
    last_look: Time,
}

/// For how long after a takeover machines are asked by what is on them.
const YOUNG_S: f64 = 60.0;
const KILL_AGAIN_S: f64 = 2.0;
/// Direct commands under way at a time.
pub const MOST_FLYING: usize = 48;
/// How often all machines are looked at for what only time changes.
const LOOK_S: f64 = 1.0;

impl Core {
    /// Regular work: look at what only time changes, and place.
    pub fn tick(&mut self, now: Time) {
        let due = ((now.0 * 1000.0) as u64 + 1, MachineId::from(""));
        let later = self.retries.split_off(&due);
        let retries = std::mem::replace(&mut self.retries, later);
        for (_, id) in retries {
            self.wake(&id);
        }
        self.young = now.since(self.started) < YOUNG_S;
        if now.since(self.last_look) >= LOOK_S {
            self.last_look = now;
            self.cluster_state.look_at_dues(now);
            let wall_ms = self.wall_ms(now);
            self.cluster_state
                .look_at_lanes(&self.cfg.lanes, now, wall_ms);
            self.cluster_state.look_at_idle(now);
            self.look_at_drains(now);
            self.look_at_waves(now);
            self.tell_served(now);
            if self.unheard_yet {
                self.look_who_is_heard(now);
            }
            let ids: Vec<MachineId> = self.links.keys().cloned().collect();
            for id in ids {
                self.refresh_machine(&id, now);
            }
        }
        self.wake_staged(now);
        self.settle_gangs(now);
        self.move_on(now);
        self.walk_all = true;
        self.place(now);
    }
}
