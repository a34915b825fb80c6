//! What the owner of the shard knows and decides, without I/O: time, heartbeats
//! and outcomes come in, transactions, commands and cloud calls go out.
//!
//! [`Core`] composes the owners of its state. Each is a struct in a module of its own
//! whose fields nothing else changes; the methods of `Core`, by subject in the other
//! modules, are the steps in which several of them take part:
//!
//! | state | owner | main users |
//! | --- | --- | --- |
//! | machines that commands are due to, commands in flight | `command_queue` | `dispatch`, `agents` |
//! | until when tasks may be started | `start_permission` | `commands` |
//! | machines to walk for free capacity, one by one or all | `placement_queue` | `placement` |
//! | time since the failover, what is open from it | `failover` | all |
//! | the cloud's machine list | `inventory` | `machine_list`, `scale_in`, `scale_out` |
//! | deleted machines | `tombstones`, `deleted_machines` | `machine_list`, `heartbeats` |
//! | the cloud's machine types | `machine_types` | `agents`, `objectives`, `scaling`, `reservation_supply` |
//! | the agents of all machines that are up | `agent_table` | all |
//! | a worker's last heartbeat, its fencing token and commands | `agent`, `direct_line` | `heartbeats`, `dispatch` |
//! | a transaction while it is put together | `draft` | `batch`, `outcomes` |
//! | jobs that arrived, requests to the cloud | `scaling_state`, `arrivals` | `demand`, `scale_in`, `scale_out` |
//! | losses and new machines by failure domain | `topology_history` | `agents`, `evictions`, `scaling` |
//! | drains as recorded | `drains` | `evictions`, `scale_out` |
//! | when the spread of services was last repaired | `topology_repair` | `evictions` |
//! | jobs among which may be broken gangs | `gang_restarts` | `job_changes`, `recorded_job` |
//! | whether the shard is frozen for its handover | `shard_freeze` | all that claims |
//! | until when silence means nothing | `silence` | `heartbeats`, `scaling` |
//! | when waiting jobs were last logged | `waiting_log` | `tick` |
//! | changes that were rejected | `rejected_changes` | `batch` |
//! | what the log says of who is served | `service_levels` | `placement`, `outcomes` |
//!
//! Invariants: no task is started before its claim is recorded; nothing is concluded
//! about a machine's tasks before one of its heartbeats carries the fencing token that fences all
//! earlier commands; the time of every step is handed in, and no clock is read.

mod active_rollout;
mod agent;
mod agent_table;
mod agents;
mod arrivals;
mod batch;
mod command_queue;
mod commands;
mod delegated_tasks;
mod deleted_machines;
mod demand;
mod direct_line;
mod dispatch;
mod draft;
mod drain_progress;
mod drains;
mod evictions;
mod failed_jobs;
mod failover;
mod failures;
mod fleet_log;
mod gang_restarts;
mod heartbeats;
mod image_distribution;
mod image_rollout;
mod inventory;
mod job_changes;
mod largest_jobs;
mod log_format;
mod machine_list;
mod machine_types;
mod objectives;
mod outcomes;
mod overflow;
mod placement;
mod placement_limits;
mod placement_queue;
mod priority_lanes;
mod recorded_job;
mod recovery;
mod rejected_changes;
mod reservation_demand;
mod reservation_refresh;
mod reservation_supply;
mod reservation_usage;
mod reservations;
mod rollout_records;
mod rollout_refresh;
mod scale_in;
mod scale_out;
mod scaling;
mod scaling_state;
mod seen_machine;
mod service_levels;
mod shard_freeze;
mod shard_quota;
mod silence;
mod start_permission;
mod task_attempt;
mod task_delegation;
mod tombstones;
mod topology_history;
mod topology_repair;
mod unknown_agent;
mod waiting_log;

use std::net::SocketAddr;
use std::rc::Rc;

use sorrelhinge_sharding::largest_jobs::Largest;
use sorrelhinge_sharding::shard::ShardScope;

use self::agent_table::AgentTable;
use self::command_queue::CommandQueue;
pub use self::command_queue::MAX_COMMANDS_IN_FLIGHT;
pub use self::draft::Batch;
use self::drains::RecordedDrains;
use self::failover::Failover;
use self::gang_restarts::JobsToCheck;
use self::inventory::CloudInventory;
use self::machine_types::MachineTypes;
use self::placement_queue::PlacementQueue;
pub use self::recovery::{RecoveryInput, ShardGrant};
use self::rejected_changes::RejectedChanges;
pub use self::reservations::WindowStep;
pub use self::scaling::ScalingDecision;
pub use self::scaling_state::MachineOffer;
use self::service_levels::ServedLog;
use self::shard_freeze::HandoverFreeze;
use self::silence::IgnoredSilence;
use self::start_permission::StartPermission;
pub use self::task_delegation::Places;
use self::tombstones::MachineTombstones;
use self::topology_repair::RepairSchedule;
use self::waiting_log::WaitingLog;
use super::write_queue::Pending;
use crate::agent_client::DirectCommands;
use crate::config::Config;
use crate::scheduler::ClusterState;
use crate::types::{MachineId, Revision, Time};

/// Where a heartbeat came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The worker's own reporting.
    Heartbeat,
    /// The same, taken by another controller that was asked to.
    Adopted,
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
    pub commands: DirectCommands,
}

/// The shard owner's knowledge.
pub struct Core {
    /// Settings; they don't change while the grant is held.
    cfg: Rc<Config>,
    /// The jobs, machines and shares.
    pub cluster_state: ClusterState,
    /// The grant's number and the revision that wrote it.
    pub grant: u64,
    grant_revision: Revision,
    /// Which shard it is.
    pub scope: ShardScope,
    /// It is handed on: nothing more is claimed, and what is under way settles.
    freeze: HandoverFreeze,
    /// Capacity that others' tasks may take, and what was left to others.
    sharing: task_delegation::Sharing,
    /// Zones of all shards' machines.
    places: Places,
    /// What classes and teams got, for the log.
    served_log: ServedLog,
    /// The largest jobs of each class, for the log.
    largest_jobs: Largest,
    /// The cloud's machine types.
    types: MachineTypes,
    /// The agents of all machines that are up.
    agents: AgentTable,
    /// What the cloud's machine lists show.
    inventory: CloudInventory,
    /// What waits to be recorded.
    pending: Pending,
    /// The time since the grant was taken up, and what is still open from then.
    failover: Failover,
    /// Machines that commands may have to go to.
    command_queue: CommandQueue,
    /// Machines where tasks may find a place now.
    placement_queue: PlacementQueue,
    /// Jobs that arrived of late, and requests to the cloud.
    scaling: scaling_state::ScalingState,
    /// For how long silence means nothing: requests waited too long to be read.
    ignored_silence: IgnoredSilence,
    /// Until when tasks may be started.
    start_permission: StartPermission,
    /// Deleted machines, which late lists and heartbeats may still show.
    tombstones: MachineTombstones,
    /// Windows of the release calendar.
    windows: reservations::Windows,
    /// What operators drain.
    drains: RecordedDrains,
    /// Images that go from machine to machine.
    image_distribution: image_distribution::ImageDistribution,
    /// Where machines were lost and came up of late.
    topology_history: topology_history::TopologyHistory,
    /// Jobs that lost a claim: a gang among them may have to start anew.
    gangs_to_check: JobsToCheck,
    /// When tasks were last moved to repair their spread.
    repair_schedule: RepairSchedule,
    /// When each job that waits was last logged.
    waiting_log: WaitingLog,
    /// What follows from rejected transactions for the next ones.
    rejected_changes: RejectedChanges,
    /// When all was last looked at that only time changes.
    last_rescan: Time,
}

/// How often all machines are looked at for what only time changes.
const RESCAN_INTERVAL_S: f64 = 1.0;

impl Core {
    /// Regular work: look at what only time changes, and place.
    pub fn tick(&mut self, now: Time) {
        for id in self.command_queue.take_due_retries(now) {
            self.wake(&id);
        }
        self.failover.tick(now);
        if now.since(self.last_rescan) >= RESCAN_INTERVAL_S {
            self.last_rescan = now;
            self.rescan(now);
        }
        self.wake_staged(now);
        self.restart_broken_gangs(now);
        self.continue_moves(now);
        self.log_waiting_jobs(now);
        self.placement_queue.request_full_walk();
        self.place(now);
    }

    /// The time of day in milliseconds, by the clock that was read at the start.
    fn wall_ms(&self, now: Time) -> u64 {
        self.failover.wall_ms(now)
    }

    /// Brings all up to date that only time changes.
    fn rescan(&mut self, now: Time) {
        self.cluster_state.refresh_due_times(now);
        let wall_ms = self.wall_ms(now);
        self.cluster_state
            .refresh_lanes(&self.cfg.lanes, now, wall_ms);
        self.cluster_state.refresh_idle_capacity(now);
        self.refresh_drains(now);
        self.refresh_rollouts(now);
        self.log_service_levels(now);
        if self.failover.awaits_heartbeats() {
            self.log_recovery_time(now);
        }
        let ids: Vec<MachineId> = self.agents.ids().cloned().collect();
        for id in ids {
            self.refresh_machine(&id, now);
        }
    }
}
