//! Routing of workers' heartbeats. This module detects duplicate heartbeats, remembers
//! which workers were redirected to another controller, and keeps the heartbeats that were
//! answered on behalf of an overloaded owner.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use sorrelhinge_lease_safety::heartbeat_order::HeartbeatOrder;
use sorrelhinge_lease_safety::renewal::{HeartbeatContent, Renewals, Route};
use sorrelhinge_sharding::isolation::DismissedWorkers;
use tokio::time::Instant;

use crate::agent_client::Heartbeat;
use crate::peer_link::ForwardedHeartbeat;
use crate::types::{MachineId, NodeId, Time};

/// Time for which a worker's heartbeats are forwarded before the worker is redirected
/// again.
const FORWARDING_PERIOD: Duration = Duration::from_secs(45);
/// Number of remembered redirected workers above which old entries are evicted.
const MAX_REDIRECTED_AGENTS: usize = 8192;
/// Time after a redirect within which a worker that comes back is not redirected again to a helper,
/// a controller that takes heartbeats for this one.
const RETURN_WINDOW: Duration = Duration::from_secs(30);

/// Worker that was redirected to another controller.
struct RedirectedAgent {
    to: NodeId,
    last: Instant,
    /// Start of forwarding. The worker came back because it can't reach `to`, so its
    /// heartbeats are forwarded.
    forwarding_since: Option<Instant>,
}

impl RedirectedAgent {
    fn new(to: NodeId, now: Instant) -> Self {
        Self {
            to,
            last: now,
            forwarding_since: None,
        }
    }
}

/// Action for a heartbeat that belongs to another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Redirect {
    /// The reply names the owner, and the worker heartbeats there from now on.
    SendToOwner,
    /// The worker was redirected and came back, so this controller forwards the heartbeat
    /// to the owner.
    Forward,
}

/// State about workers that heartbeat to this controller, whoever owns their machines.
#[derive(Default)]
pub(super) struct HeartbeatRouting {
    /// Newest heartbeat of each machine, by which duplicates are detected.
    newest: RefCell<HeartbeatOrder>,
    redirected_agents: RefCell<HashMap<MachineId, RedirectedAgent>>,
    /// Workers that this controller refused while it was isolated.
    dismissed_workers: RefCell<DismissedWorkers>,
    /// Last heartbeat of each machine that its owner answered. It decides which later
    /// heartbeats need not reach the owner.
    renewals: RefCell<Renewals>,
    /// Heartbeats that were answered on behalf of their owners and are not yet sent to
    /// them.
    heartbeats_for_owners: RefCell<HashMap<NodeId, Vec<ForwardedHeartbeat>>>,
}

impl HeartbeatRouting {
    /// Returns whether a heartbeat is newer than all earlier ones of its machine, and if so
    /// records it as the newest.
    pub(super) fn is_new(&self, heartbeat: &Heartbeat, now: Time) -> bool {
        let mut newest = self.newest.borrow_mut();
        newest.is_new(
            &heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequence,
            now,
        )
    }

    /// Returns whether an isolated controller refuses a worker, so that the worker looks
    /// for another controller. A worker is not refused again within its lease of `lease_s`
    /// seconds.
    pub(super) fn dismisses(&self, machine: &MachineId, lease_s: f64, now: Time) -> bool {
        let mut dismissed = self.dismissed_workers.borrow_mut();
        dismissed.refuses(machine, lease_s, now)
    }

    /// Clears the refused workers once this controller is no longer isolated.
    pub(super) fn clear_dismissed(&self) {
        self.dismissed_workers.borrow_mut().clear();
    }

    /// Redirects a worker of this controller to `helper`, a controller that takes heartbeats for
    /// this one. Returns false if the worker was redirected lately and has come back; this
    /// controller then keeps its heartbeats.
    pub(super) fn redirect_to_helper(&self, machine: &MachineId, helper: &NodeId) -> bool {
        let now = Instant::now();
        let mut redirected_agents = self.redirected_agents.borrow_mut();
        evict_expired(&mut redirected_agents, now, RETURN_WINDOW);
        let came_back = redirected_agents
            .get(machine)
            .is_some_and(|s| now.duration_since(s.last) < RETURN_WINDOW);
        if !came_back {
            redirected_agents.insert(machine.clone(), RedirectedAgent::new(helper.clone(), now));
        }
        !came_back
    }

    /// Decides what to do with a heartbeat for `owner`. The first time, the worker is
    /// redirected to the owner. A worker that comes back within `return_window` can't reach
    /// the owner, so its heartbeats are forwarded. After `FORWARDING_PERIOD` the worker is
    /// redirected again, because the network path may be restored by then.
    pub(super) fn redirect(
        &self,
        machine: &MachineId,
        owner: &NodeId,
        return_window: Duration,
    ) -> Redirect {
        let now = Instant::now();
        let mut redirected_agents = self.redirected_agents.borrow_mut();
        evict_expired(&mut redirected_agents, now, return_window);
        let known = redirected_agents
            .get_mut(machine)
            .filter(|s| s.to == *owner && now.duration_since(s.last) < return_window);
        if let Some(known) = known {
            known.last = now;
            let since = *known.forwarding_since.get_or_insert(now);
            if now.duration_since(since) < FORWARDING_PERIOD {
                return Redirect::Forward;
            }
        }
        redirected_agents.insert(machine.clone(), RedirectedAgent::new(owner.clone(), now));
        Redirect::SendToOwner
    }

    /// Returns whether a heartbeat goes to its owner or is answered on the owner's behalf.
    /// It is answered here if the owner asked for `relief` and the heartbeat reports
    /// nothing new. `heartbeat_s` is the number of seconds between heartbeats.
    pub(super) fn route(
        &self,
        machine: &MachineId,
        content: HeartbeatContent,
        relief: bool,
        heartbeat_s: f64,
        now: Time,
    ) -> Route {
        let mut renewals = self.renewals.borrow_mut();
        renewals.route(machine, content, relief, heartbeat_s, now)
    }

    /// Records that the owner answered a heartbeat.
    pub(super) fn answered_by_owner(
        &self,
        machine: &MachineId,
        content: HeartbeatContent,
        now: Time,
    ) {
        let mut renewals = self.renewals.borrow_mut();
        renewals.answered(machine, content, now);
    }

    /// Queues a heartbeat that was answered on behalf of its owner, to be sent to the
    /// owner.
    pub(super) fn answered_for(&self, owner: NodeId, heartbeat: ForwardedHeartbeat) {
        let mut by_owner = self.heartbeats_for_owners.borrow_mut();
        by_owner.entry(owner).or_default().push(heartbeat);
    }

    /// Removes and returns the heartbeats that were queued for each owner since the last
    /// call.
    pub(super) fn take_answered_for(&self) -> HashMap<NodeId, Vec<ForwardedHeartbeat>> {
        self.heartbeats_for_owners.take()
    }
}

/// Evicts workers whose last redirect is at least `max_age` ago, once too many are
/// remembered.
fn evict_expired(
    redirected_agents: &mut HashMap<MachineId, RedirectedAgent>,
    now: Instant,
    max_age: Duration,
) {
    if redirected_agents.len() >= MAX_REDIRECTED_AGENTS {
        redirected_agents.retain(|_, s| now.duration_since(s.last) < max_age);
    }
}
