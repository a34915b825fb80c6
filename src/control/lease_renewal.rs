//! Leases renewed for an owner that has no time; what may be answered so is
//! decided in `sorrelhinge_lease_safety::renewal`.

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

/// How often an owner learns of heartbeats that were answered in its place.
const HEARTBEAT_NOTICE_INTERVAL: Duration = Duration::from_millis(500);

impl Node {
    /// Whether this controller's view of the records is new enough to answer
    /// workers without the state service: beyond this, a job may have been
    /// cancelled elsewhere, and leases must be able to end its tasks in time
    /// (`sorrelhinge_lease_safety::freshness`). Asked before each answer, for a heartbeat
    /// that has come.
    pub(super) fn knows_all_cancellations(&self) -> bool {
        let (lease_s, cancel_s) = (self.cfg.lease_s, self.cfg.cancel_s);
        let freshness = self.store.freshness();
        self.store.view().loaded && freshness.may_answer_workers(self.now(), lease_s, cancel_s)
    }

    /// Until when tasks may be started by this controller's view of the records.
    pub(super) fn starts_until(&self) -> Time {
        let (lease_s, cancel_s) = (self.cfg.lease_s, self.cfg.cancel_s);
        self.store.freshness().allow_starts_until(lease_s, cancel_s)
    }

    /// Whether a worker's lease may be renewed without its machine's owner. The answer
    /// carries the fencing token that the worker has, so it commands nothing and fences nobody.
    fn renewed_for_owner(&self, heartbeat: &Heartbeat) -> bool {
        self.knows_all_cancellations() && may_renew_for_owner(&self.store.view(), heartbeat)
    }

    /// The answer that only renews the lease, if that may be given.
    pub(super) fn renewed(&self, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        self.renewed_for_owner(heartbeat).then(|| {
            load_counts::count(&self.load.counts.renewed);
            HeartbeatReply::Reply(Reply {
                fencing_token: heartbeat.fencing_token,
                commands: Vec::new(),
            })
        })
    }

    /// Takes a heartbeat for `owner`, who asked for it: hands it on, or, if it
    /// tells nothing new and the owner is short of time, answers it. An owner
    /// that does not answer in time costs no lease.
    pub(super) async fn heartbeat_for(
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
            if let Some(reply) = self.answer_for_owner(&owner, heartbeat) {
                return reply;
            }
        }
        let kind = peer_link::Kind::Adopted;
        let taken = self.peers.forward(&owner, kind, body.to_vec()).await;
        match taken.filter(|a| a.status == 200) {
            Some(answered) => {
                routing.answered_by_owner(&heartbeat.machine, content, self.now());
                HeartbeatReply::Passed(answered)
            }
            // Not sent to the owner, which would have all come at once; and a
            // 503 would have them go round the controllers.
            None => self
                .renewed(heartbeat)
                .unwrap_or(HeartbeatReply::Unavailable),
        }
    }

    /// Renews a worker's lease in its owner's place, who learns of it by the next
    /// announcement; none if that may not be done.
    fn answer_for_owner(&self, owner: &NodeId, heartbeat: &Heartbeat) -> Option<HeartbeatReply> {
        let announced = ForwardedHeartbeat::new(
            &heartbeat.machine,
            heartbeat.incarnation,
            heartbeat.sequence,
        )?;
        let reply = self.renewed(heartbeat)?;
        self.heartbeat_routing
            .answered_for(owner.clone(), announced);
        Some(reply)
    }

    /// Announces to owners the heartbeats that were answered in their place.
    pub(super) async fn announce_heartbeats(self: Rc<Self>) {
        loop {
            sleep(HEARTBEAT_NOTICE_INTERVAL).await;
            for (owner, heartbeats) in self.heartbeat_routing.take_answered_for() {
                self.peers.heartbeats_announced(&owner, &heartbeats);
            }
        }
    }

    /// Another controller answered heartbeats of this one's machines, which had nothing
    /// new to report.
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
