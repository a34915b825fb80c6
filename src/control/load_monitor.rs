//! Measures the load of this controller and applies the resulting limits. The
//! `sorrelhinge-overload` crate makes the decisions.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_overload::fleet_limit::{shard_limit, FleetLimit};
use sorrelhinge_overload::heartbeat_offload::{HeartbeatLoad, HeartbeatOffload};
use sorrelhinge_overload::pressure::{Level, Pressure, Resource, Sample};
use sorrelhinge_overload::relief::Relief;
use tokio::time::{sleep, Instant};

use super::core::Core;
use super::load_counts::Counts;
use super::load_log::{LoadLog, MIN_ELAPSED_S};
use super::Node;
use crate::peer_link;
use crate::types::{MachineId, NodeId, Time};

/// Interval between two samples of the load.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum time that claims may wait to be recorded, in seconds. The limit on claims
/// follows from this time and the write rate.
const MAX_CLAIM_WAIT_S: f64 = 2.5;
/// Lateness of the sampling timer that does not count as a wait of requests, in seconds.
const TIMER_LATENESS_S: f64 = 0.02;

/// Load of this controller, and the limits that follow from it.
#[derive(Default)]
pub struct Load {
    /// Counters of requests, and of the periodic scans of the whole fleet.
    pub counts: Counts,
    /// Time that requests waited to be read, as measured at the last sample of the load, in
    /// seconds.
    wait_s: Cell<f64>,
    pressure: RefCell<Pressure>,
    fleet_limit: RefCell<FleetLimit>,
    heartbeat_offload: RefCell<HeartbeatOffload>,
    relief: RefCell<Relief>,
}

impl Load {
    /// Returns the level of requests that the controller sheds now.
    pub fn level(&self) -> Level {
        self.pressure.borrow().level()
    }

    /// Returns the maximum number of machines, or `None` if there is no limit.
    pub fn max_machines(&self) -> Option<usize> {
        self.fleet_limit.borrow().max()
    }

    /// Returns how long requests waited to be read at the last sample of the load, in seconds.
    pub(super) fn wait_s(&self) -> f64 {
        self.wait_s.get()
    }

    /// Returns whether a resource, such as CPU time or sockets, is short.
    fn binds(&self, resource: Resource) -> bool {
        self.pressure.borrow().binds(resource)
    }

    /// Returns the names of the resources that are short, separated by commas.
    pub(super) fn binding_resources(&self) -> String {
        let pressure = self.pressure.borrow();
        let names: Vec<&str> = pressure.binding().map(Resource::name).collect();
        names.join(",")
    }

    /// Returns the share of workers that heartbeat to other controllers, from 0 to 1.
    pub(super) fn offload_share(&self) -> f64 {
        self.heartbeat_offload.borrow().share()
    }

    /// Returns whether other controllers are asked to answer heartbeats that report nothing
    /// new.
    pub(super) fn asks_for_relief(&self) -> bool {
        self.relief.borrow().asked()
    }

    /// Starts a new owner with the share of workers that its predecessor had offloaded.
    fn start_with_offload_share(&self, share: f64) {
        *self.heartbeat_offload.borrow_mut() = HeartbeatOffload::from_share(share);
    }

    /// Returns the controller of `helpers` that a worker is to heartbeat to. Returns `None`
    /// if the worker is not among the offloaded ones.
    fn helper_for<'a>(&self, machine: &MachineId, helpers: &'a [NodeId]) -> Option<&'a NodeId> {
        self.heartbeat_offload
            .borrow()
            .home(machine, helpers.iter())
    }

    /// Applies a sample of the load. Returns true if the shedding level has changed.
    fn take_sample(&self, sample: Sample, now: Time) -> bool {
        self.wait_s.set(sample.wait_s.max(0.0));
        self.pressure.borrow_mut().take(sample, now)
    }

    /// Applies the heartbeat load of an owner of shards. Returns the maximum number of machines.
    fn update_owner_limits(&self, load: HeartbeatLoad, now: Time) -> Option<usize> {
        let mut heartbeat_offload = self.heartbeat_offload.borrow_mut();
        heartbeat_offload.take(load, now);
        let all_offloaded = heartbeat_offload.share() >= 1.0;
        let mut relief = self.relief.borrow_mut();
        relief.take(all_offloaded, load.wait_s, now);
        // Offload to the other controllers before limiting the fleet.
        let helpers_exhausted = load.helpers == 0 || all_offloaded;
        let overloaded = self.binds(Resource::Processor) && helpers_exhausted;
        let mut fleet_limit = self.fleet_limit.borrow_mut();
        fleet_limit.take(load.machines, load.wait_s, overloaded, now);
        fleet_limit.max()
    }
}

impl Node {
    /// Handles a status announcement of another controller.
    pub fn receive_peer_status(
        &self,
        node: &NodeId,
        announcement: peer_link::PeerAnnouncement,
        flags: u16,
    ) {
        let known = self.cfg.others.iter().any(|o| o.node == *node);
        if known {
            self.peer_statuses.record(node, announcement, flags);
            if flags & peer_link::LIMITS_FELL != 0 && self.state.note_lower_limits() {
                tracing::info!(by = %node, "store write rate lowered on the hint of another controller");
                self.update_rate_limits();
            }
        }
    }

    /// Returns the reachable controllers that take heartbeats for this one. With
    /// `free_capacity`, returns only those that can take more workers. A crowded helper
    /// keeps its workers: if they all came back here, this controller would be crowded and
    /// would redirect them again.
    fn helpers(&self, free_capacity: bool) -> Vec<NodeId> {
        let mut helpers: Vec<NodeId> = self
            .peers
            .reachable()
            .filter(|n| {
                let status = self.peer_statuses.peer_status_of(n);
                status.helps && !(free_capacity && status.crowded)
            })
            .cloned()
            .collect();
        helpers.sort();
        helpers
    }

    fn publish_peer_status(&self) {
        let owns_shards = !self.shards.is_empty();
        let share = if owns_shards {
            (self.load.offload_share() * 1000.0).round() as u16
        } else {
            0
        };
        let announcement = peer_link::PeerAnnouncement {
            helps: true,
            crowded: self.connections.crowded(),
            relief: owns_shards && self.load.asks_for_relief(),
            share,
        };
        let limits_fell = self.state.limits_fell();
        if limits_fell {
            // The state client may have detected lower limits since the last announcement.
            self.update_rate_limits();
        }
        self.peers.announce_self(announcement, limits_fell);
    }

    /// Starts a new owner with the share of offloaded workers that the last owner
    /// announced.
    pub(super) fn inherit_offload_share(&self) {
        let share = self.peer_statuses.max_offload_share();
        self.load
            .start_with_offload_share(f64::from(share) / 1000.0);
    }

    /// Returns whether this controller takes heartbeats for `owner`, which offloads
    /// workers.
    pub(super) fn accepts_heartbeats_for(&self, owner: &NodeId) -> bool {
        self.peer_statuses.peer_status_of(owner).share > 0
    }

    /// Returns the controller that a worker of an owned shard must heartbeat to instead.
    /// Returns `None` if it stays here.
    pub(super) fn offload_target(&self, machine: &MachineId) -> Option<NodeId> {
        if !self.owns(machine) || self.load.offload_share() == 0.0 {
            return None;
        }
        let helpers = self.helpers(true);
        let helper = self.load.helper_for(machine, &helpers)?;
        let redirected = self.heartbeat_routing.redirect_to_helper(machine, helper);
        redirected.then(|| helper.clone())
    }

    /// Samples the load periodically, and applies and logs the results.
    pub(super) async fn watch_load(self: Rc<Self>) {
        let mut last = Instant::now();
        let mut log = LoadLog::new();
        loop {
            sleep(LOAD_SAMPLE_INTERVAL).await;
            let elapsed_s = last.elapsed().as_secs_f64().max(MIN_ELAPSED_S);
            last = Instant::now();
            let now = self.now();
            self.check_peer_contact();
            let sample = self.sample_load(elapsed_s, now);
            let changed = self.load.take_sample(sample, now);
            self.limit_owned_shards(sample, now);
            self.publish_peer_status();
            if changed || log.is_due() {
                log.write(&self, sample);
            }
        }
    }

    /// Probes the state service while the other controllers are silent, and accepts workers
    /// again once the controller is no longer isolated.
    fn check_peer_contact(&self) {
        let peer_contact = self.peer_contact();
        if peer_contact.should_probe_state() {
            // A watch without changes delivers nothing for seconds, so silence alone proves
            // no outage.
            self.store.request_refresh();
        }
        if !peer_contact.is_isolated() {
            self.heartbeat_routing.clear_dismissed();
        }
    }

    /// Measures how long requests from users and workers, claims, and requests to the cloud wait,
    /// and how many sockets are in use. `elapsed_s` is the time since the last sample, in
    /// seconds.
    fn sample_load(&self, elapsed_s: f64, now: Time) -> Sample {
        Sample {
            // The timer of the samples waits for CPU time as requests do. So its delay beyond the
            // sampling interval counts as a wait of requests.
            wait_s: self
                .connections
                .wait_s()
                .max(elapsed_s - LOAD_SAMPLE_INTERVAL.as_secs_f64() - TIMER_LATENESS_S),
            sockets: self.connections.used(),
            change_wait_s: self
                .shards
                .owned()
                .values()
                .map(|c| c.next_claim_wait_s(now))
                .fold(0.0, f64::max),
            cloud_wait_s: self.cloud.wait_s(),
        }
    }

    /// Limits machines, placements and claims of the owned shards to what this controller
    /// can serve.
    fn limit_owned_shards(&self, sample: Sample, now: Time) {
        let mut cores = self.shards.owned_mut();
        if cores.is_empty() {
            return;
        }
        let heartbeat_load = HeartbeatLoad {
            machines: cores.values().map(Core::machine_count).sum(),
            free_capacity: self.connections.limits().workers,
            wait_s: sample.wait_s,
            helpers: self.helpers(false).len(),
        };
        let max = self.load.update_owner_limits(heartbeat_load, now);
        // The sockets of all controllers together limit the machines too.
        let here = cores.len();
        let shards = cores.first().map_or(1, |c| c.scope.of as usize);
        let sockets =
            heartbeat_load.free_capacity * (self.cfg.others.len() + 1) * here / shards.max(1);
        let max = max.unwrap_or(usize::MAX).min(sockets);
        let claims = (self.state.writes.rate() * MAX_CLAIM_WAIT_S) as usize / here;
        let processor_binds = self.load.binds(Resource::Processor);
        for c in cores.values_mut() {
            let own = c.machine_count();
            c.set_max_machines(Some(shard_limit(max, heartbeat_load.machines, own, here)));
            c.shed_placements(self.load.level() >= Level::Placements);
            c.set_max_claiming_jobs(claims.max(2 * self.cfg.state_limits.txn_ops));
            if processor_binds {
                c.ignore_silence(now);
            }
        }
    }
}
