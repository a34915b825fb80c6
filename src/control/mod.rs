//! The controller: leadership, owned shards, claims and recovery. Only it writes the
//! records.
//!
//! [`Node`] composes the owners of its state, a module each: `leadership` (the lease),
//! `store_view` (the local copy of the records), `shard_ownership` (owned shards),
//! `catalog` (machine types, topology), `admission` (users' requests),
//! `heartbeat_routing` (workers' heartbeats), `peer_statuses` (the other controllers),
//! `paces` and `load` (how much it can do), `wakeups` (signals between its loops). The
//! other modules hold its duties, and change state only through these owners.

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
pub use reservations::{day_ms, CalendarAsked};
pub use status_queries::{JobStatus, Polled};
pub use submit_error::{Infeasible, InvalidJob, SubmitError, Submitted};

/// How a heartbeat is answered.
pub enum HeartbeatReply {
    /// The shard's owner answers.
    Reply(Reply),
    /// The shard's owner answered, and this controller passes it on.
    Passed(peer_link::Answered),
    /// Another controller owns the shard.
    Elsewhere(NodeId),
    /// Nobody is known to own the shard, or only the records could tell the answer.
    Unavailable,
}

/// One controller: its settings, its connections, and the owners of its state. Each
/// owner has private fields: only its module changes them.
pub struct Node {
    cfg: Rc<Config>,
    state: Rc<StateClient>,
    cloud: Rc<CloudClient>,
    peers: Rc<Peers>,
    connections: Rc<Connections>,
    /// How often duties over the whole fleet are done.
    paces: Paces,
    /// What it is asked for, and what is shed.
    load: load_monitor::Load,
    /// The records as known here.
    store: StoreView,
    /// The shards that this controller owns, and hints about the others.
    shards: ShardOwnership,
    /// Machine types and the topology.
    catalog: Catalog,
    /// Tells this run of the controller from its earlier ones.
    run: u64,
    /// When this run began: times are counted from here.
    epoch: Instant,
    /// The lease that its authority rests on.
    leadership: Leadership,
    /// Signals between its loops.
    wakeups: Wakeups,
    /// Where workers' heartbeats go.
    heartbeat_routing: HeartbeatRouting,
    /// How the other controllers stand.
    peer_statuses: PeerStatuses,
    /// Which requests of users are taken.
    admission: RequestAdmission,
}

/// The part of the requests that the cloud takes that a controller asks for.
const CLOUD_RATE_USED: f64 = 0.8;

/// Milliseconds since 1970 by the wall clock; 0 before that.
fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as u64)
}

impl Node {
    /// A controller that is not running yet.
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
        node.set_share();
        node
    }

    /// The settings.
    pub fn config(&self) -> &Config {
        &self.cfg
    }

    /// Connections of users and workers.
    pub fn connections(&self) -> &Rc<Connections> {
        &self.connections
    }

    /// What is known of the load.
    pub fn load(&self) -> &load_monitor::Load {
        &self.load
    }

    /// Failure domains and devices, if the feature is on.
    pub fn topology(&self) -> Option<Rc<Topology>> {
        self.catalog.topology()
    }

    /// Takes up the operator's file, new or changed.
    pub fn set_topology(&self, topology: Rc<Topology>) {
        self.catalog.set_topology(topology.clone());
        for c in self.shards.owned_mut().values_mut() {
            c.set_topology(Some(topology.clone()), self.now());
        }
        self.wakeups.wake_owner();
    }

    /// Seconds since this run began: monotonic, unlike the wall clock.
    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_secs_f64())
    }

    /// Starts all long-lived duties.
    pub fn start(self: &Rc<Self>) {
        spawn_local(self.clone().follow());
        spawn_local(self.clone().sync());
        spawn_local(self.clone().lead());
        spawn_local(self.clone().pump());
        spawn_local(self.clone().run_placement());
        spawn_local(self.clone().run_autoscaler());
        spawn_local(self.clone().list_machines());
        spawn_local(self.clone().learn_types());
        spawn_local(self.clone().watch_load());
        spawn_local(self.clone().announce_heartbeats());
        spawn_local(self.clone().assign_shards());
        spawn_local(self.clone().publish_demand());
        spawn_local(self.clone().run_reservations());
    }
}
