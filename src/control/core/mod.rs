//! Scheduling core of a shard owner, without I/O. Callers pass in the time, heartbeats and
//! outcomes. The core returns transactions, commands and cloud calls.
//!
//! [`Core`] composes structs that each own one part of its state. Each struct is in a module of its
//! own, and no other code changes its fields. The methods of `Core` involve several of these
//! structs. They are in the other modules, sorted by subject:
//!
//! | state | owner | main users |
//! | --- | --- | --- |
//! | commands sent last | `command_history` | `commands` |
//! | machines to contact, commands in flight | `command_queue` | `dispatch`, `agents` |
//! | time until which the owner may start tasks | `start_permission` | `commands` |
//! | machines to scan for free capacity, one by one or all | `placement_queue` | `placement` |
//! | time since the failover, recovery steps still pending | `failover` | all |
//! | the cloud's machine list | `inventory` | `machine_list`, `scale_in`, `scale_out` |
//! | deleted machines | `tombstones`, `deleted_machines` | `machine_list`, `heartbeats` |
//! | the cloud's machine types | `machine_types` | `agents`, `objectives`, `scaling`, `reservation_supply` |
//! | agents of all machines that are up | `agent_table` | all |
//! | an agent's last heartbeat, its fencing token and commands | `agent`, `direct_line` | `heartbeats`, `dispatch` |
//! | a transaction while it is built | `draft` | `batch`, `outcomes` |
//! | recent job arrivals, requests to the cloud | `scaling_state`, `arrivals` | `demand`, `scale_in`, `scale_out` |
//! | lost and new machines by failure domain | `topology_history` | `agents`, `evictions`, `scaling` |
//! | recorded drains | `drains` | `evictions`, `scale_out` |
//! | time of the last repair of the spread of services | `topology_repair` | `evictions` |
//! | jobs to check for broken gangs | `gang_restarts` | `job_changes`, `recorded_job` |
//! | whether the shard is frozen for its handover | `shard_freeze` | all that claim |
//! | time until which the owner ignores silent machines | `silence` | `heartbeats`, `scaling` |
//! | time at which each waiting job was last logged | `waiting_log` | `tick` |
//! | rejected changes | `rejected_changes` | `batch` |
//! | service levels for the log | `service_levels` | `placement`, `outcomes` |
//!
//! Invariants: The owner starts no task before its claim is recorded. It concludes nothing
//! about a machine's tasks before one of the machine's heartbeats carries the fencing token
//! that fences all earlier commands. Each step gets the time as an argument, and no step reads
//! a clock.

mod active_rollout;
mod agent;
mod agent_table;
mod agents;
mod arrivals;
mod batch;
mod command_history;
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
mod forgets;
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
use self::command_history::CommandHistory;
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
pub use self::task_delegation::MachineZones;
use self::tombstones::MachineTombstones;
use self::topology_repair::RepairSchedule;
use self::waiting_log::WaitingLog;
use super::write_queue::WriteQueue;
use crate::agent_client::DirectCommands;
use crate::config::Config;
use crate::scheduler::ClusterState;
use crate::types::{FencingToken, MachineId, Revision, Time};

/// Path by which a heartbeat reached this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The agent sent the heartbeat to this controller.
    Heartbeat,
    /// Another controller received the heartbeat and forwarded it here. Under load, this owner asks
    /// other controllers to receive heartbeats in its place.
    Offloaded,
    /// Another controller forwarded the heartbeat because the agent can't reach this one.
    Forwarded,
    /// The heartbeat is the answer to a direct command.
    Direct,
}

/// Direct commands to send to one machine.
#[derive(Debug)]
pub struct Dispatch {
    /// Machine whose agent receives the commands.
    pub machine: MachineId,
    /// Address on which the agent listens.
    pub addr: SocketAddr,
    /// Commands with the fencing token and the incarnation that they are for.
    pub commands: DirectCommands,
}

/// State of a shard owner, from which it places tasks and commands agents.
pub struct Core {
    /// Settings of this controller. The settings don't change while this owner holds the grant.
    cfg: Rc<Config>,
    /// Jobs, machines and team shares of this shard.
    pub cluster_state: ClusterState,
    /// Number of the grant. Fencing tokens of this owner begin with it.
    pub grant: u64,
    /// Revision of the state service at which the grant was written.
    grant_revision: Revision,
    /// Lowest fencing token of this owner's commands.
    first_fencing_token: FencingToken,
    /// Shard that the grant is for.
    pub scope: ShardScope,
    /// Freeze of the shard before its handover to another owner. While the shard is frozen, the
    /// owner claims no more tasks. The handover waits for writes and commands in flight.
    freeze: HandoverFreeze,
    /// Tasks delegated to other shards or accepted from them, and quota that is being transferred
    /// to other shards.
    delegations: task_delegation::Delegations,
    /// Zone of each machine, for the machines of all shards.
    machine_zones: MachineZones,
    /// Service levels of job classes and teams, for the log.
    served_log: ServedLog,
    /// Largest jobs of each job class, for the log.
    largest_jobs: Largest,
    types: MachineTypes,
    /// Agents of all machines that are up.
    agents: AgentTable,
    /// Machines in the cloud's lists that have not reported, and machines that are missing from the
    /// lists.
    inventory: CloudInventory,
    /// Writes of claims, results and finished jobs that wait to be recorded in the state service.
    write_queue: WriteQueue,
    /// Time since this owner took the grant, and the recovery steps that are still pending.
    failover: Failover,
    /// Commands that were sent last, for the log.
    command_history: CommandHistory,
    /// Queue of machines whose agents may need direct commands.
    command_queue: CommandQueue,
    /// Machines that may have free capacity for tasks.
    placement_queue: PlacementQueue,
    /// Recent job arrivals, and requests to the cloud.
    scaling: scaling_state::ScalingState,
    /// Time until which the owner ignores silent machines because requests waited too long to
    /// be read.
    ignored_silence: IgnoredSilence,
    /// Time until which the owner may start tasks.
    start_permission: StartPermission,
    /// Deleted machines, which late lists and heartbeats may still show.
    tombstones: MachineTombstones,
    /// Windows of the reservation calendar.
    windows: reservations::Windows,
    /// Drains that operators requested.
    drains: RecordedDrains,
    /// Images that machines copy from each other.
    image_distribution: image_distribution::ImageDistribution,
    /// Failure domains in which machines were recently lost or came up.
    topology_history: topology_history::TopologyHistory,
    /// Jobs that lost a claim. A gang among them may need a restart.
    gangs_to_check: JobsToCheck,
    /// Time at which tasks were last moved to repair their spread.
    repair_schedule: RepairSchedule,
    /// Time at which the log last gave the reason for each job's wait.
    waiting_log: WaitingLog,
    /// Changes that the state service rejected, and how they affect the next transactions.
    rejected_changes: RejectedChanges,
    /// Time of the last rescan. A rescan updates the state that the passage of time alone changes.
    last_rescan: Time,
}

/// Interval of the rescan, in seconds. The rescan updates the state that the passage of time alone
/// changes.
const RESCAN_INTERVAL_S: f64 = 1.0;

impl Core {
    /// Runs the periodic work: updates the state that the passage of time alone changes, and places
    /// tasks.
    pub fn tick(&mut self, now: Time) {
        for id in self.command_queue.take_due_retries(now) {
            self.queue_contact(&id);
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

    /// Returns the time of day in milliseconds. The owner reads the wall clock once, when it
    /// takes the grant.
    fn wall_ms(&self, now: Time) -> u64 {
        self.failover.wall_ms(now)
    }

    /// Updates all state that the passage of time alone changes.
    fn rescan(&mut self, now: Time) {
        self.cluster_state.refresh_due_times(now);
        let wall_ms = self.wall_ms(now);
        self.cluster_state
            .refresh_lanes(&self.cfg.lanes, now, wall_ms);
        self.cluster_state.refresh_idle_capacity(now);
        self.cluster_state.extend_tests(now);
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
