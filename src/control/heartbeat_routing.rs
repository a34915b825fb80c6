//! Where a worker's heartbeat goes: which heartbeats are copies, which workers heartbeat to
//! another controller than the one that they know, and which answers were given for an
//! owner that has no time.

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

/// For how long a worker's heartbeats are passed on before it is told again whom
/// to heartbeat to.
const FORWARDING_PERIOD: Duration = Duration::from_secs(45);
/// Workers remembered as told whom to heartbeat to.
const MAX_REDIRECTED_AGENTS: usize = 8192;
/// A worker that was sent elsewhere and came back is kept for so long.
const RETURN_WINDOW: Duration = Duration::from_secs(30);

/// A worker that was told which controller to heartbeat to.
struct RedirectedAgent {
    to: NodeId,
    last: Instant,
    /// It came back, as it can't reach that one: its heartbeats are passed on.
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

/// What is done with a report that belongs to another controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Redirect {
    /// Its sender is told whom to heartbeat to.
    SendToOwner,
    /// It was told and came back: the heartbeat is passed on.
    Forward,
}

/// What is remembered of workers that heartbeat here, whoever owns their machines.
#[derive(Default)]
pub(super) struct HeartbeatRouting {
    /// The newest heartbeat of each machine, so that copies are known.
    newest: RefCell<HeartbeatOrder>,
    redirected_agents: RefCell<HashMap<MachineId, RedirectedAgent>>,
    /// Workers that were sent away as this controller is alone.
    dismissed_workers: RefCell<DismissedWorkers>,
    /// What owners were told, and which heartbeats need not be told to them.
    renewals: RefCell<Renewals>,
    /// Machines that were answered for their owners, who don't know of it yet.
    heartbeats_for_owners: RefCell<HashMap<NodeId, Vec<ForwardedHeartbeat>>>,
}

impl HeartbeatRouting {
    /// Whether a heartbeat is newer than all others of its machine; it is the newest then.
    pub(super) fn is_new(&self, heartbeat: &Heartbeat, now: Time) -> bool {
        let mut newest = self.newest.borrow_mut();
        newest.is_new(
            &heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequence,
            now,
        )
    }

    /// Whether a worker is refused so that it looks for another controller; not again
    /// within its lease of `lease_s` seconds.
    pub(super) fn dismisses(&self, machine: &MachineId, lease_s: f64, now: Time) -> bool {
        let mut dismissed = self.dismissed_workers.borrow_mut();
        dismissed.refuses(machine, lease_s, now)
    }

    /// Forgets whom it dismissed, as this controller is not alone any more.
    pub(super) fn forget_dismissed(&self) {
        self.dismissed_workers.borrow_mut().clear();
    }

    /// Sends a worker of this controller's to `home`; false if it was sent elsewhere and
    /// has come back, and is kept.
    pub(super) fn sends_home(&self, machine: &MachineId, home: &NodeId) -> bool {
        let now = Instant::now();
        let mut redirected_agents = self.redirected_agents.borrow_mut();
        evict_expired(&mut redirected_agents, now, RETURN_WINDOW);
        let came_back = redirected_agents
            .get(machine)
            .is_some_and(|s| now.duration_since(s.last) < RETURN_WINDOW);
        if !came_back {
            redirected_agents.insert(machine.clone(), RedirectedAgent::new(home.clone(), now));
        }
        !came_back
    }

    /// What is done with a heartbeat for `owner`. Its sender is told to go there; one that
    /// is `back` within that time can't reach it. It is told again after `FORWARDING_PERIOD`, as
    /// the way may be open by then.
    pub(super) fn redirect(&self, machine: &MachineId, owner: &NodeId, back: Duration) -> Redirect {
        let now = Instant::now();
        let mut redirected_agents = self.redirected_agents.borrow_mut();
        evict_expired(&mut redirected_agents, now, back);
        let known = redirected_agents
            .get_mut(machine)
            .filter(|s| s.to == *owner && now.duration_since(s.last) < back);
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

    /// Whether a heartbeat goes to its owner or, if that asked for `relief` and the heartbeat
    /// tells nothing new, is answered for it. `heartbeat_s`: seconds between heartbeats.
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

    /// The owner answered a heartbeat.
    pub(super) fn answered_by_owner(
        &self,
        machine: &MachineId,
        content: HeartbeatContent,
        now: Time,
    ) {
        let mut renewals = self.renewals.borrow_mut();
        renewals.answered(machine, content, now);
    }

    /// A heartbeat was answered for its owner, who is to be told.
    pub(super) fn answered_for(&self, owner: NodeId, heartbeat: ForwardedHeartbeat) {
        let mut by_owner = self.heartbeats_for_owners.borrow_mut();
        by_owner.entry(owner).or_default().push(heartbeat);
    }

    /// What owners are to be told since the last call.
    pub(super) fn take_answered_for(&self) -> HashMap<NodeId, Vec<ForwardedHeartbeat>> {
        self.heartbeats_for_owners.take()
    }
}

/// Forgets workers that were not sent anywhere for `kept`, once there are too many.
fn evict_expired(
    redirected_agents: &mut HashMap<MachineId, RedirectedAgent>,
    now: Instant,
    kept: Duration,
) {
    if redirected_agents.len() >= MAX_REDIRECTED_AGENTS {
        redirected_agents.retain(|_, s| now.duration_since(s.last) < kept);
    }
}
