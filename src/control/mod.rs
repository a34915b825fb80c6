//! The controller: leader election, shard ownership, task claims and recovery. Only the
//! controller writes the records in the state service.
//!
//! [`Node`] consists of components that hold its state, one per module: `leadership` (the
//! lease), `store_view` (the local copy of the records), `shard_ownership` (owned shards),
//! `catalog` (machine types and the topology), `admission` (user requests), `heartbeat_routing`
//! (heartbeats of workers), `peer_statuses` (the other controllers), `paces` and `load` (how
//! much work the controller can do) and `wakeups` (signals between its loops). The other
//! modules implement the controller's duties and change state only through these components.

mod admission;
mod cancellations;
mod catalog;
mod cloud_duties;
pub mod core;
mod drains;
mod feasibility;
mod heartbeat_routing;
mod heartbeats;
mod lane_queries;
mod leader;
mod leadership;
pub mod lease_delegation;
mod lease_renewal;
pub mod load_counts;
mod load_log;
pub mod load_monitor;
mod operator_changes;
mod operator_error;
mod paces;
mod peer_statuses;
mod quota_transfers;
mod recording;
mod reservations;
mod resharding;
mod shard_demand;
mod shard_grants;
mod shard_merge;
mod shard_owner;
mod shard_owners;
mod shard_ownership;
mod shard_status;
mod status_queries;
mod store_rates;
mod store_view;
mod store_watch;
mod submissions;
mod submit_error;
mod wakeups;
pub mod write_queue;

use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use sorrelhinge_overload::sockets::Limits;
use sorrelhinge_topology::Topology;
use tokio::task::spawn_local;
use tokio::time::Instant;

use self::admission::RequestAdmission;
use self::catalog::Catalog;
use self::heartbeat_routing::HeartbeatRouting;
use self::leadership::Leadership;
use self::paces::Paces;
use self::peer_statuses::PeerStatuses;
use self::shard_ownership::ShardOwnership;
use self::store_view::StoreView;
use self::wakeups::Wakeups;
use crate::agent_client::Reply;
use crate::cloud::CloudClient;
use crate::config::Config;
use crate::connections::Connections;
use crate::peer_link::{self, Peers};
use crate::state::StateClient;
use crate::types::{NodeId, Time};

pub use cancellations::CancelOutcome;
pub use operator_error::{InvalidRequest, OperatorError};
pub use reservations::{unix_ms, CalendarChange};
pub use status_queries::{JobStatus, PollOutcome};
pub use submit_error::{Infeasible, InvalidJob, SubmitError, Submitted};

/// Outcome of a heartbeat that this controller received.
pub enum HeartbeatReply {
    /// This controller answers the heartbeat, as the owner of the shard or in place of the
    /// owner.
    Reply(Reply),
    /// The owner of the shard answered, and this controller forwards the answer.
    Forwarded(peer_link::Answered),
    /// The named controller owns the shard.
    OtherOwner(NodeId),
    /// The owner of the shard is unknown, or the answer depends on records that can't be read
    /// now.
    Unavailable,
}

/// One controller process: its settings, its connections and the components of its state. The
/// fields of each component are private, so only the component's module changes them.
pub struct Node {
    cfg: Rc<Config>,
    state: Rc<StateClient>,
    cloud: Rc<CloudClient>,
    peers: Rc<Peers>,
    connections: Rc<Connections>,
    /// Intervals between runs of the duties that scan the whole fleet.
    paces: Paces,
    /// Load monitor: the requests that arrive, and those that are shed.
    load: load_monitor::Load,
    /// Local copy of the records.
    store: StoreView,
    /// Shards that this controller owns, and hints about the shards of others.
    shards: ShardOwnership,
    /// Machine types that the cloud offers, and the topology.
    catalog: Catalog,
    /// Random number that distinguishes this run of the controller from its earlier runs.
    run: u64,
    /// Start of this run. Times are counted from this instant.
    epoch: Instant,
    /// Lease in the state service that entitles this controller to act as leader or shard
    /// owner.
    leadership: Leadership,
    /// Signals between the loops of the controller.
    wakeups: Wakeups,
    /// Controllers that the heartbeats of workers are sent to.
    heartbeat_routing: HeartbeatRouting,
    /// Last known status of each other controller.
    peer_statuses: PeerStatuses,
    /// Limits on the user requests that this controller accepts.
    admission: RequestAdmission,
}

/// Fraction of the cloud's request rate limit that one controller uses.
const CLOUD_RATE_USED: f64 = 0.8;

/// Returns the wall clock in milliseconds since 1970, or 0 if the clock is before 1970.
fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Node {
    /// Creates a controller without starting its loops.
    pub fn new(cfg: Rc<Config>, peers: Rc<Peers>, topology: Option<Rc<Topology>>) -> Rc<Self> {
        let state = StateClient::new(cfg.state, cfg.state_rps, cfg.state_limits);
        let cloud = CloudClient::new(cfg.cloud, cfg.cloud_rps * CLOUD_RATE_USED);
        let limits = Limits::of(
            cfg.max_sockets,
            cfg.others.len(),
            core::MAX_COMMANDS_IN_FLIGHT,
        );
        let node = Rc::new(Self {
            connections: Connections::new(limits),
            paces: Paces::default(),
            load: load_monitor::Load::default(),
            state,
            cloud,
            peers,
            store: StoreView::new(),
            shards: ShardOwnership::default(),
            catalog: Catalog::new(topology),
            run: rand::random(),
            epoch: Instant::now(),
            leadership: Leadership::new(),
            wakeups: Wakeups::default(),
            heartbeat_routing: HeartbeatRouting::default(),
            peer_statuses: PeerStatuses::default(),
            admission: RequestAdmission::new(),
            cfg,
        });
        node.update_rate_limits();
        node
    }

    /// Returns the settings that this controller was started with.
    pub fn config(&self) -> &Config {
        &self.cfg
    }

    /// Returns the connections of users and workers.
    pub fn connections(&self) -> &Rc<Connections> {
        &self.connections
    }

    /// Returns the load monitor of this controller.
    pub fn load(&self) -> &load_monitor::Load {
        &self.load
    }

    /// Returns the topology (failure domains and devices), or `None` if the feature is off.
    pub fn topology(&self) -> Option<Rc<Topology>> {
        self.catalog.topology()
    }

    /// Applies a new or changed topology file of the operator to all owned shards.
    pub fn set_topology(&self, topology: Rc<Topology>) {
        self.catalog.set_topology(topology.clone());
        for c in self.shards.owned_mut().values_mut() {
            c.set_topology(Some(topology.clone()), self.now());
        }
        self.wakeups.wake_owner();
    }

    /// Returns the seconds since this run began. This clock is monotonic, unlike the wall
    /// clock.
    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_secs_f64())
    }

    /// Starts all loops that run for the lifetime of the controller.
    pub fn start(self: &Rc<Self>) {
        spawn_local(self.clone().watch_store());
        spawn_local(self.clone().run_refreshes());
        spawn_local(self.clone().run_elections());
        spawn_local(self.clone().record_pending_writes());
        spawn_local(self.clone().run_placement());
        spawn_local(self.clone().run_autoscaler());
        spawn_local(self.clone().list_machines());
        spawn_local(self.clone().refresh_machine_types());
        spawn_local(self.clone().watch_load());
        spawn_local(self.clone().announce_heartbeats());
        spawn_local(self.clone().assign_shards());
        spawn_local(self.clone().publish_demand());
        spawn_local(self.clone().run_reservations());
    }
}
