//! What the owner of the block knows and decides, without I/O: time, reports
//! and outcomes come in, transactions, commands and cloud calls go out.
//!
//! [`Core`] composes the owners of its state. Each is a struct in a module of its own
//! whose fields nothing else changes; the methods of `Core`, by subject in the other
//! modules, are the steps in which several of them take part:
//!
//! | state | owner | main users |
//! | --- | --- | --- |
//! | machines that commands are due to, commands in flight | `command_queue` | `dispatch`, `links` |
//! | until when tasks may be started | `start_permission` | `commands` |
//! | machines on which room appeared | `placement_queue` | `placing` |
//! | time since the failover, what is open from it | `failover` | all |
//! | the cloud's machine list | `inventory` | `machine_list`, `renting` |
//! | machines that are gone | `tombstones`, `deleted_machines` | `machine_list`, `reports` |
//! | the cloud's machine types | `machine_types` | `links`, `aims`, `renting` |
//! | a worker's last report, its token and commands | `link`, `direct_line` | `reports`, `dispatch` |
//! | a transaction while it is put together | `draft` | `batch`, `record` |
//! | changes that were rejected | `rejected_changes` | `batch` |
//! | what the log says of who is served | `served` | `placing`, `record` |
//!
//! Invariants: no task is started before its claim is recorded; nothing is concluded
//! about a machine's tasks before one of its reports carries the token that fences all
//! earlier commands; the time of every step is handed in, and no clock is read.

mod aims;
mod batch;
mod calendar;
mod calendar_needs;
mod command_queue;
mod commands;
mod deleted_machines;
mod direct_line;
mod dispatch;
mod draft;
mod failed_jobs;
mod failover;
mod failures;
mod inventory;
mod job_changes;
mod lanes;
mod largest_jobs;
mod link;
mod links;
mod load;
mod log_format;
mod machine_list;
mod machine_types;
mod moving;
mod placement_queue;
mod placing;
mod record;
mod recorded_job;
mod rejected_changes;
mod renting;
mod reports;
mod served;
mod sharing;
mod staging;
mod start_permission;
mod tombstones;
mod unlinked;
mod waves;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use sorrelhinge_blocks::largest_jobs::Largest;
use sorrelhinge_blocks::shard::Shard;
use sorrelhinge_overload::fleet_limit::ClaimRate;
use sorrelhinge_topology::drain::Drain;
use sorrelhinge_topology::renting::Memory;
use sorrelhinge_topology::repair::Stability;

use self::aims::{ArrivalSort, Arrivals};
pub use self::calendar::WindowStep;
use self::command_queue::CommandQueue;
pub use self::command_queue::MOST_FLYING;
pub use self::draft::Batch;
use self::failover::Failover;
use self::inventory::CloudInventory;
use self::link::Link;
use self::machine_types::MachineTypes;
use self::placement_queue::PlacementQueue;
use self::rejected_changes::RejectedChanges;
use self::served::ServedLog;
pub use self::sharing::Places;
use self::start_permission::StartPermission;
use self::tombstones::MachineTombstones;
use super::pending::Pending;
use crate::config::Config;
use crate::sched::ClusterState;
use crate::types::{JobId, MachineId, Revision, Time, TypeName, Zone};
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
    /// Settings; they don't change while the grant is held.
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
    /// Zones of all blocks' machines.
    places: Places,
    /// What classes and teams got, for the log.
    served_log: ServedLog,
    /// The largest jobs of each class, for the log.
    largest_jobs: Largest,
    /// The cloud's machine types.
    types: MachineTypes,
    /// The lines to the workers of all machines that are up.
    links: BTreeMap<MachineId, Link>,
    /// What the cloud's machine lists tell.
    inventory: CloudInventory,
    /// What waits to be recorded.
    pending: Pending,
    /// The time since the grant was taken up, and what is still open from then.
    failover: Failover,
    /// Machines that commands may have to go to.
    command_queue: CommandQueue,
    /// Machines where tasks may find a place now.
    placement_queue: PlacementQueue,
    refused: HashMap<(TypeName, Zone, bool), Time>,
    rentals: u64,
    renting: u32,
    /// How many machines can be served, if that was found to be a bound.
    most_machines: Option<usize>,
    /// What is claimed a second, and since that was last looked at.
    claim_rate: ClaimRate,
    claimed_cpu: i64,
    /// Until then silence tells nothing: requests waited too long to be read.
    deaf_until: Time,
    /// Until when tasks may be started.
    start_permission: StartPermission,
    /// Jobs that came of late.
    arrivals: BTreeMap<ArrivalSort, Arrivals>,
    /// Machines that are gone, which late lists and reports may still show.
    tombstones: MachineTombstones,
    /// Windows of the release calendar.
    windows: calendar::Windows,
    /// What operators drain.
    drains: Vec<Drain>,
    /// Images that go from machine to machine.
    staging: staging::Staging,
    /// Domains that lost machines of late.
    stability: Stability,
    /// Where machines came up of late.
    memory: Memory,
    /// Jobs that lost a claim: a gang among them may have to start anew.
    gangs: BTreeSet<JobId>,
    last_repair: Option<Time>,
    /// When each job that waits was last spoken of in the log.
    told: BTreeMap<JobId, Time>,
    /// What rejected transactions tell about the next ones.
    rejected_changes: RejectedChanges,
    /// Work arrived or room appeared: walk all machines.
    pub walk_all: bool,
    last_fleet: Time,
    last_plan: Time,
    /// When all machines were last looked at.
    last_look: Time,
}

/// How often all machines are looked at for what only time changes.
const LOOK_S: f64 = 1.0;

impl Core {
    /// Regular work: look at what only time changes, and place.
    pub fn tick(&mut self, now: Time) {
        for id in self.command_queue.take_due_retries(now) {
            self.wake(&id);
        }
        self.failover.tick(now);
        if now.since(self.last_look) >= LOOK_S {
            self.last_look = now;
            self.look_at_all(now);
        }
        self.wake_staged(now);
        self.settle_gangs(now);
        self.move_on(now);
        self.walk_all = true;
        self.place(now);
    }

    /// Looks at all that only time changes.
    fn look_at_all(&mut self, now: Time) {
        self.cluster_state.look_at_dues(now);
        let wall_ms = self.wall_ms(now);
        self.cluster_state
            .look_at_lanes(&self.cfg.lanes, now, wall_ms);
        self.cluster_state.look_at_idle(now);
        self.look_at_drains(now);
        self.look_at_waves(now);
        self.tell_served(now);
        if self.failover.awaits_heartbeats() {
            self.look_who_is_heard(now);
        }
        let ids: Vec<MachineId> = self.links.keys().cloned().collect();
        for id in ids {
            self.refresh_machine(&id, now);
        }
    }
}
