//! Handles workers' heartbeats: processes them as the shard's owner, or redirects or
//! forwards them to the owner.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_sharding::isolation::PeerContact;

use super::core::{Core, Source};
use super::heartbeat_routing::Redirect;
use super::paces::Duty;
use super::{HeartbeatReply, Node};
use crate::agent_client::{Heartbeat, Reply};
use crate::peer_link;
use crate::types::{MachineId, NodeId};

/// Time for which the state service has to serve other controllers but not this one before this
/// controller forwards requests to them.
const FORWARD_AFTER: Duration = Duration::from_millis(300);

/// Outcome of a heartbeat for an owned shard.
enum HeartbeatOutcome {
    /// The heartbeat is a duplicate of an older one and was ignored.
    Duplicate,
    /// The worker has the fencing token of a newer grant.
    Superseded,
    /// The heartbeat was processed. The reply is `None` if the controller needs the latest
    /// records to answer.
    Processed(Option<Reply>),
}

impl Node {
    /// Handles a worker's heartbeat. `body` holds the request body as received, for
    /// forwarding.
    pub async fn handle_heartbeat(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
        body: &[u8],
    ) -> HeartbeatReply {
        // A late duplicate has no worker that waits for its reply, and its content was
        // reported before. Without this check duplicates moved machines to other
        // controllers, and were forwarded as a sign that the worker is alive.
        if !self.heartbeat_routing.is_new(heartbeat, self.now()) {
            return HeartbeatReply::Unavailable;
        }
        if self.dismisses_worker(&heartbeat.machine) {
            return HeartbeatReply::Unavailable;
        }
        if let Some(helper) = self.offload_target(&heartbeat.machine) {
            return HeartbeatReply::OtherOwner(helper);
        }
        match self.process_as_owner(heartbeat, Source::Heartbeat) {
            HeartbeatReply::OtherOwner(owner) if self.accepts_heartbeats_for(&owner) => {
                self.answer_for_owner(owner, heartbeat, body).await
            }
            HeartbeatReply::OtherOwner(owner) => {
                self.redirect_or_forward(heartbeat, owner, body).await
            }
            // While no controller owns the machines, their tasks must not end because a
            // lease expires.
            HeartbeatReply::Unavailable => self
                .renewal_reply(heartbeat)
                .unwrap_or(HeartbeatReply::Unavailable),
            other => other,
        }
    }

    /// Returns whether this controller refuses a worker because it is isolated and
    /// certainly owns no shard any more. The worker then finds the next owner before its
    /// lease expires.
    fn dismisses_worker(&self, machine: &MachineId) -> bool {
        let owns = self.leadership.is_exclusive();
        if owns || !self.peer_contact().is_isolated() {
            return false;
        }
        let lease_s = self.cfg.lease_s;
        self.heartbeat_routing
            .dismisses(machine, lease_s, self.now())
    }

    /// Returns how long the other controllers and the state service have been silent.
    pub(super) fn peer_contact(&self) -> PeerContact {
        let last = self.peer_statuses.last_received_at();
        let silence = last.map_or_else(|| self.epoch.elapsed(), |at| at.elapsed());
        PeerContact {
            others: !self.cfg.others.is_empty(),
            peers_silent_s: silence.as_secs_f64(),
            unserved_s: self.store_silence().as_secs_f64(),
        }
    }

    /// Handles a heartbeat for another controller. The worker is redirected to the owner.
    /// If the worker comes back soon, it can't reach the owner, so its heartbeat is
    /// forwarded: the worker's tasks must not end with its lease because two zones are
    /// partitioned. The worker is redirected again now and then, because the network path
    /// may be restored.
    pub(super) async fn redirect_or_forward(
        &self,
        heartbeat: &Heartbeat,
        owner: NodeId,
        body: &[u8],
    ) -> HeartbeatReply {
        let return_window = Duration::from_secs_f64(self.cfg.lease_s / 2.0);
        let routing = &self.heartbeat_routing;
        if routing.redirect(&heartbeat.machine, &owner, return_window) == Redirect::SendToOwner {
            return HeartbeatReply::OtherOwner(owner);
        }
        let forwarded = self.forward_heartbeat(&owner, body, true).await;
        match forwarded.filter(|answered| answered.status == 200) {
            Some(answered) => HeartbeatReply::Forwarded(answered),
            None => self
                .renewal_reply(heartbeat)
                .unwrap_or(HeartbeatReply::OtherOwner(owner)),
        }
    }

    /// Forwards a heartbeat to the owner. If this controller can't reach the owner and
    /// `allow_relay` is set, it sends the heartbeat to another controller that may reach
    /// the owner. If two of three zones are partitioned from each other, the third can
    /// still relay.
    pub(super) async fn forward_heartbeat(
        &self,
        owner: &NodeId,
        body: &[u8],
        allow_relay: bool,
    ) -> Option<peer_link::Answered> {
        let direct = self
            .peers
            .forward(owner, peer_link::Kind::Heartbeat, body.to_vec());
        if let Some(answered) = direct.await {
            return Some(answered);
        }
        if !allow_relay {
            return None;
        }
        let zone_of = |node: &NodeId| {
            let other = self.cfg.others.iter().find(|o| o.node == *node);
            other.map(|o| o.zone.clone())
        };
        let mut others: Vec<NodeId> = self
            .peers
            .reachable()
            .filter(|n| *n != owner)
            .cloned()
            .collect();
        // Prefer a controller in another zone.
        others.sort_by_key(|n| (zone_of(n).is_none_or(|z| z == self.cfg.zone), n.clone()));
        let other = others.first()?;
        self.peers
            .forward(other, peer_link::Kind::Via, body.to_vec())
            .await
    }

    /// Handles a heartbeat that another controller could not forward to the owner itself.
    pub async fn handle_relayed_heartbeat(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
        body: &[u8],
    ) -> HeartbeatReply {
        match self.process_as_owner(heartbeat, Source::Forwarded) {
            HeartbeatReply::OtherOwner(owner) => self
                .forward_heartbeat(&owner, body, false)
                .await
                .map_or(HeartbeatReply::Unavailable, HeartbeatReply::Forwarded),
            other => other,
        }
    }

    /// Returns whether the state service serves other controllers but not this one.
    pub fn is_cut_off_from_store(&self) -> bool {
        self.store.has_lagged_for(FORWARD_AFTER) && self.store_silence() >= FORWARD_AFTER
    }

    /// Returns whether a submission or cancellation that could not be decided here is
    /// forwarded. Without changes of the records, hints don't show whether the state
    /// service serves other controllers. A controller that the state service refused alone
    /// then rejected every request. So a failed request to the state service is reason
    /// enough to forward, unless no other controller could help a moment ago.
    pub fn may_forward(&self) -> bool {
        let others_may = self.admission.may_forward_changes();
        self.is_cut_off_from_store() || self.state.fails() && others_may
    }

    /// Forwards a submission or cancellation to a controller that the state service may
    /// serve. Returns `None` if neither of the first two candidates decided it.
    pub async fn forward_change(
        &self,
        kind: peer_link::Kind,
        text: &[u8],
    ) -> Option<peer_link::Answered> {
        let leader = self.store.view().leader.value.clone().map(|l| l.node);
        let mut others: Vec<NodeId> = self.peers.reachable().cloned().collect();
        others.sort_by_key(|n| (Some(n) != leader.as_ref(), n.clone()));
        for other in others.iter().take(2) {
            let answered = self.peers.forward(other, kind, text.to_vec()).await;
            if let Some(answered) = answered.filter(|a| a.status != 503) {
                return Some(answered);
            }
        }
        self.admission.no_peer_decided_change();
        None
    }

    /// Processes a worker's heartbeat if this controller owns its shard. Otherwise returns
    /// the owner, if one is known.
    pub fn process_as_owner(
        self: &Rc<Self>,
        heartbeat: &Heartbeat,
        source: Source,
    ) -> HeartbeatReply {
        let shard = self.shard_of(&heartbeat.machine);
        let outcome = {
            let mut cores = self.shards.owned_mut();
            let core = cores.get_mut(shard);
            core.map(|core| self.process_heartbeat(core, heartbeat, source))
        };
        match outcome {
            Some(HeartbeatOutcome::Duplicate) => HeartbeatReply::Unavailable,
            Some(HeartbeatOutcome::Superseded) => {
                self.step_down_superseded(shard);
                HeartbeatReply::Unavailable
            }
            Some(HeartbeatOutcome::Processed(reply)) => {
                self.run_due_work();
                reply.map_or(HeartbeatReply::Unavailable, HeartbeatReply::Reply)
            }
            None => match self.owner_of(shard) {
                Some(owner) if owner != self.cfg.node => HeartbeatReply::OtherOwner(owner),
                _ => HeartbeatReply::Unavailable,
            },
        }
    }

    /// Processes a heartbeat for an owned shard, and answers it if that is safe.
    fn process_heartbeat(
        &self,
        core: &mut Core,
        heartbeat: &Heartbeat,
        source: Source,
    ) -> HeartbeatOutcome {
        let now = self.now();
        // Ignore a duplicate before it can make this owner step down. It gets no answer,
        // because commands in that answer would count as sent although no worker receives
        // them.
        if core.is_stale(heartbeat) && heartbeat.fencing_token.grant() <= core.grant {
            return HeartbeatOutcome::Duplicate;
        }
        // A heartbeat from a worker that receives nothing from this owner does not prove a
        // path to the workers. Such heartbeats used to keep a controller owner although it
        // reached no worker.
        let is_reachable = core.is_reachable(&heartbeat.machine);
        match source {
            Source::Heartbeat | Source::Direct if is_reachable => self.leadership.worker_reached(),
            Source::Heartbeat | Source::Direct => {}
            Source::Offloaded | Source::Forwarded => self.leadership.heartbeat_relayed(now),
        }
        if !core.heartbeat(heartbeat, source, now) {
            return HeartbeatOutcome::Superseded;
        }
        if !self.knows_all_cancellations() {
            return HeartbeatOutcome::Processed(None);
        }
        if self.paces.due(Duty::FillMachines, now) {
            self.run_timed_duty(Duty::FillMachines, || {
                core.place_on(&heartbeat.machine, now);
            });
        }
        let reply = core.answer(heartbeat, &self.store.view(), now);
        let view_age_s = self.store.freshness().age_s(now);
        tracing::debug!(machine = %heartbeat.machine, incarnation = %heartbeat.incarnation, sequence = %heartbeat.sequence, shown_token = %heartbeat.fencing_token, fencing_token = %reply.fencing_token, ?source, view_age_s, "heartbeat answered");
        HeartbeatOutcome::Processed(Some(reply))
    }
}
