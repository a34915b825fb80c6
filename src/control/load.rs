//! What this controller is asked for, what it serves, and which resource
//! binds; what follows is decided in `sorrelhinge-overload`.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_overload::fleet_limit::FleetLimit;
use sorrelhinge_overload::pressure::{Level, Pressure, Resource, Sample};
use sorrelhinge_overload::renewal::Relief;
use sorrelhinge_overload::report_offload::{ReportLoad, ReportOffload};
use tokio::time::{sleep, Instant};

use super::core::Core;
use super::Node;
use crate::peer;
use crate::types::{MachineId, NodeId};

/// How often it is measured.
const LOAD_SAMPLE_INTERVAL: Duration = Duration::from_millis(500);
/// Claims may wait for so long to be recorded, in seconds, before no more are
/// made.
const CLAIMS_S: f64 = 2.5;
/// How often it is told in the log.
const LOG: Duration = Duration::from_secs(10);

/// Counts since the last line in the log.
#[derive(Default)]
pub struct Counts {
    /// Workers' reports.
    pub reports: Cell<u64>,
    /// Reports that other controllers took for this one.
    pub homed: Cell<u64>,
    /// Submissions.
    pub submissions: Cell<u64>,
    /// Polls.
    pub polls: Cell<u64>,
    /// Cancellations.
    pub cancellations: Cell<u64>,
    /// Seconds that duties over the whole fleet took.
    pub spent: Cell<f64>,
    /// Leases renewed for owners that were short of time, or not there.
    pub renewed: Cell<u64>,
    /// The longest that a duty over the whole fleet took, in seconds.
    pub longest: Cell<f64>,
    /// Answered with 503 because of the load.
    pub shed: Cell<u64>,
}

/// One more.
pub fn count(cell: &Cell<u64>) {
    cell.set(cell.get() + 1);
}

/// What is known of the load.
#[derive(Default)]
pub struct Load {
    /// What is asked for.
    pub counts: Counts,
    /// How long requests wait to be read, in seconds, when last measured.
    pub wait_s: Cell<f64>,
    pressure: RefCell<Pressure>,
    fleet_limit: RefCell<FleetLimit>,
    report_offload: RefCell<ReportOffload>,
    relief: RefCell<Relief>,
}

impl Load {
    /// What is shed now.
    pub fn level(&self) -> Level {
        self.pressure.borrow().level()
    }

    /// How many machines there may be.
    pub fn most_machines(&self) -> Option<usize> {
        self.fleet_limit.borrow().most()
    }
}

impl Node {
    /// Another controller said how it stands.
    pub fn stands(&self, node: &NodeId, standing: peer::Standing, flags: u16) {
        let known = self.cfg.others.iter().any(|o| o.node == *node);
        if known {
            self.peer_statuses.record(node, standing, flags);
            if flags & peer::LIMITS_FELL != 0 && self.state.told_limits_fell() {
                tracing::info!(by = %node, "the state service takes fewer changes, says another controller");
                self.set_share();
            }
        }
    }

    /// Controllers that take reports for this one; if `room`, only those that
    /// have room for more workers. Who is crowded goes on with those it has: if
    /// they all came back here, this one would be crowded and send them again.
    fn helpers(&self, room: bool) -> Vec<NodeId> {
        let mut helpers: Vec<NodeId> = self
            .peers
            .reachable()
            .filter(|n| {
                let s = self.peer_statuses.standing_of(n);
                s.helps && !(room && s.crowded)
            })
            .cloned()
            .collect();
        helpers.sort();
        helpers
    }

    fn tell_standing(&self) {
        let leading = !self.shards.is_empty();
        let share = if leading {
            (self.load.report_offload.borrow().share() * 1000.0).round() as u16
        } else {
            0
        };
        let standing = peer::Standing {
            helps: true,
            crowded: self.connections.crowded(),
            relief: leading && self.load.relief.borrow().asked(),
            share,
        };
        let limits_fell = self.state.limits_fell();
        if limits_fell {
            // It may have been seen since the last time.
            self.set_share();
        }
        self.peers.tell(standing, limits_fell);
    }

    /// A new owner goes on where the last one was.
    pub(super) fn inherit_spread(&self) {
        let share = self.peer_statuses.greatest_share();
        *self.load.report_offload.borrow_mut() =
            ReportOffload::from_share(f64::from(share) / 1000.0);
    }

    /// Whether a report that came here is taken for its owner.
    pub(super) fn takes_for(&self, owner: &NodeId) -> bool {
        self.peer_statuses.standing_of(owner).share > 0
    }

    /// The controller that a worker of ours is to report to instead.
    pub(super) fn home_of(&self, machine: &MachineId) -> Option<NodeId> {
        if !self.owns(machine) || self.load.report_offload.borrow().share() == 0.0 {
            return None;
        }
        let helpers = self.helpers(true);
        let home = self
            .load
            .report_offload
            .borrow()
            .home(machine, helpers.iter())?
            .clone();
        let sent = self.heartbeat_routing.sends_home(machine, &home);
        sent.then_some(home)
    }

    /// Measures the load again and again.
    pub(super) async fn watch_load(self: Rc<Self>) {
        let mut last = Instant::now();
        let mut logged = Instant::now();
        let mut late_before = 0;
        loop {
            sleep(LOAD_SAMPLE_INTERVAL).await;
            let passed = last.elapsed().as_secs_f64().max(1e-3);
            last = Instant::now();
            let now = self.now();
            let peer_contact = self.peer_contact();
            if peer_contact.should_probe_state() {
                // A quiet watch says nothing for seconds.
                self.store.request_refresh();
            }
            if !peer_contact.is_isolated() {
                self.heartbeat_routing.forget_dismissed();
            }
            let sample = Sample {
                // A timer that fires late waited like a request.
                wait_s: self
                    .connections
                    .wait_s()
                    .max(passed - LOAD_SAMPLE_INTERVAL.as_secs_f64() - 0.02),
                sockets: self.connections.used(),
                change_wait_s: self
                    .shards
                    .owned()
                    .values()
                    .map(|c| c.claims_wait(now))
                    .fold(0.0, f64::max),
                cloud_wait_s: self.cloud.wait_s(),
            };
            self.load.wait_s.set(sample.wait_s.max(0.0));
            let changed = self.load.pressure.borrow_mut().take(sample, now);
            let binds = self.load.pressure.borrow().binds(Resource::Processor);
            let mut cores = self.shards.owned_mut();
            if !cores.is_empty() {
                let machines: usize = cores.values().map(Core::machines).sum();
                let mut report_offload = self.load.report_offload.borrow_mut();
                let report_load = ReportLoad {
                    machines,
                    room: self.connections.limits().workers,
                    wait_s: sample.wait_s,
                    helpers: self.helpers(false).len(),
                };
                report_offload.take(report_load, now);
                let mut relief = self.load.relief.borrow_mut();
                relief.take(report_offload.share() >= 1.0, sample.wait_s, now);
                // The others' help comes first.
                let helpers_exhausted = report_load.helpers == 0 || report_offload.share() >= 1.0;
                let mut fleet_limit = self.load.fleet_limit.borrow_mut();
                fleet_limit.take(machines, sample.wait_s, binds && helpers_exhausted, now);
                // Nor more than all controllers together have sockets for.
                let here = cores.len();
                let blocks = cores.first().map_or(1, |c| c.shard.of as usize);
                let sockets = report_load.room * (self.cfg.others.len() + 1) * here / blocks.max(1);
                let most = fleet_limit.most().unwrap_or(usize::MAX).min(sockets);
                let claims = (self.state.writes.rate() * CLAIMS_S) as usize / here;
                for c in cores.values_mut() {
                    c.set_most_machines(Some(most / here));
                    c.shed_placements(self.load.level() >= Level::Placements);
                    c.set_most_claiming(claims.max(2 * self.cfg.state_limits.txn_ops));
                    if binds {
                        c.hears_badly(now);
                    }
                }
            }
            drop(cores);
            self.tell_standing();
            if changed || logged.elapsed() >= LOG {
                let over = logged.elapsed().as_secs_f64().max(1e-3);
                logged = Instant::now();
                let pressure = self.load.pressure.borrow();
                let binding: Vec<&str> = pressure.binding().map(Resource::name).collect();
                let rate = |cell: &Cell<u64>| (cell.replace(0) as f64 / over * 10.0).round() / 10.0;
                let counts = &self.load.counts;
                let late = self.connections.late();
                let (connections, workers) = self.connections.open();
                tracing::info!(
                    wait_s = (sample.wait_s * 100.0).round() / 100.0,
                    change_wait_s = (sample.change_wait_s * 10.0).round() / 10.0,
                    connections,
                    workers,
                    reports = rate(&counts.reports),
                    homed = rate(&counts.homed),
                    submissions = rate(&counts.submissions),
                    polls = rate(&counts.polls),
                    cancellations = rate(&counts.cancellations),
                    renewed = rate(&counts.renewed),
                    shed = rate(&counts.shed),
                    duties = (counts.spent.replace(0.0) / over * 100.0).round() / 100.0,
                    longest_s = (counts.longest.replace(0.0) * 100.0).round() / 100.0,
                    late = late - late_before,
                    spread = self.load.report_offload.borrow().share(),
                    relief = self.load.relief.borrow().asked(),
                    most_machines = self.load.most_machines(),
                    binding = binding.join(","),
                    shedding = pressure.level().name(),
                    "load"
                );
                late_before = late;
            }
        }
    }
}
