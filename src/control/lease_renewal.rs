//! Renews leases of workers in place of an overloaded owner. The rules for such answers are in
//! `sorrelhinge_lease_safety::renewal`.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_lease_safety::renewal::{HeartbeatContent, Route};
use tokio::time::sleep;

use super::lease_delegation::may_renew_for_owner;
use super::{load_counts, HeartbeatReply, Node};
use crate::agent_client::{Heartbeat, Reply};
use crate::peer_link;
use crate::peer_link::ForwardedHeartbeat;
use crate::types::{NodeId, Time};

/// Interval at which owners are notified of heartbeats that were answered in their place.
const HEARTBEAT_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    /// Returns whether this controller's view of the records is recent enough to answer workers
    /// without the state service. A job may have been cancelled through another controller since an
    /// older view was read. Its tasks must then end in time as their leases expire
    /// (`sorrelhinge_lease_safety::freshness`). Callers check this before each answer, after the
    /// heartbeat has arrived.
    pub(super) fn knows_all_cancellations(&self) -> bool {
        let (lease_s, cancel_s) = (self.cfg.lease_s, self.cfg.cancel_s);
        let freshness = self.store.freshness();
        self.store.view().loaded && freshness.may_answer_workers(self.now(), lease_s, cancel_s)
    }

    /// Returns the time until which this controller's view of the records allows task starts.
    pub(super) fn starts_allowed_until(&self) -> Time {
        let (lease_s, cancel_s) = (self.cfg.lease_s, self.cfg.cancel_s);
        self.store.freshness().allow_starts_until(lease_s, cancel_s)
    }

    /// Returns whether the lease of a worker may be renewed without the machine's owner. The
    /// answer carries the worker's own fencing token, so it contains no commands and fences no
    /// controller.
    fn may_renew(&self, heartbeat: &Heartbeat) -> bool {
        self.knows_all_cancellations() && may_renew_for_owner(&self.store.view(), heartbeat)
    }

    /// Returns the answer that only renews the lease, or `None` if the lease may not be renewed
    /// here.
    pub(super) fn renewal_reply(&self, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        self.may_renew(heartbeat).then(|| {
            load_counts::increment(&self.load.counts.renewed);
            HeartbeatReply::Reply(Reply {
                fencing_token: heartbeat.fencing_token,
                commands: Vec::new(),
            })
        })
    }

    /// Handles a heartbeat in place of `owner`, at that owner's request. Forwards the
    /// heartbeat, or answers it if it reports nothing new and the owner is overloaded. An owner
    /// that does not answer in time does not cause the lease to expire.
    pub(super) async fn answer_for_owner(
        &self,
        owner: NodeId,
        heartbeat: &Heartbeat,
        body: &[u8],
    ) -> HeartbeatReply {
        let content = HeartbeatContent::of(heartbeat);
        let relief = self.peer_statuses.peer_status_of(&owner).relief;
        let routing = &self.heartbeat_routing;
        let route = routing.route(
            &heartbeat.machine,
            content,
            relief,
            self.cfg.heartbeat_s,
            self.now(),
        );
        if route == Route::Renew {
            if let Some(reply) = self.renew_for_owner(&owner, heartbeat) {
                return reply;
            }
        }
        let kind = peer_link::Kind::Adopted;
        let taken = self.peers.forward(&owner, kind, body.to_vec()).await;
        match taken.filter(|a| a.status == 200) {
            Some(answered) => {
                routing.answered_by_owner(&heartbeat.machine, content, self.now());
                HeartbeatReply::Forwarded(answered)
            }
            // The worker is not redirected to the owner, because all such heartbeats would then
            // reach the owner at once. A 503 would make workers try one controller after the
            // other.
            None => self
                .renewal_reply(heartbeat)
                .unwrap_or(HeartbeatReply::Unavailable),
        }
    }

    /// Renews a worker's lease in place of the owner, which is notified by the next
    /// announcement. Returns `None` if the lease may not be renewed here.
    fn renew_for_owner(&self, owner: &NodeId, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let announced = ForwardedHeartbeat::new(
            &heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequence,
        )?;
        let reply = self.renewal_reply(heartbeat)?;
        self.heartbeat_routing
            .answered_for(owner.clone(), announced);
        Some(reply)
    }

    /// Notifies owners of heartbeats that were answered in their place.
    pub(super) async fn announce_heartbeats(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_NOTICE_INTERVAL).await;
            for (owner, heartbeats) in self.heartbeat_routing.take_answered_for() {
                self.peers.heartbeats_announced(&owner, &heartbeats);
            }
        }
    }

    /// Records that another controller answered heartbeats of machines that this controller
    /// owns. These heartbeats reported nothing new.
    pub fn heartbeats_announced(&self, machines: &[ForwardedHeartbeat]) {
        let now = self.now();
        let mut cores = self.shards.owned_mut();
        for notice in machines.iter().filter_map(ForwardedHeartbeat::read) {
            if let Some(c) = cores.get_mut(self.shard_of(&notice.machine)) {
                c.relayed_contact(&notice.machine, notice.incarnation, notice.sequence, now);
            }
        }
    }
}
