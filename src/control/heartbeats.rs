//! Workers' heartbeats: taken as the owner, or passed on.

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

/// While others are served for this long, requests are passed on to them.
const FORWARD_AFTER: Duration = Duration::from_millis(300);

/// What came of a heartbeat for an owned shard.
enum HeartbeatOutcome {
    /// It is an old one: nothing was taken.
    Copy,
    /// Its worker has the fencing token of a newer grant.
    Superseded,
    /// It was taken, with the answer; none: only the records could tell it.
    Taken(Option<Reply>),
}

impl Node {
    /// Takes a worker's heartbeat, `body` as it came.
    pub async fn heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat, body: &[u8]) -> HeartbeatReply {
        // A copy that came late: nobody waits for its answer, and what it says was
        // said before. It moved machines to other controllers, and was passed on as
        // a sign of life.
        if !self.heartbeat_routing.is_new(heartbeat, self.now()) {
            return HeartbeatReply::Unavailable;
        }
        if self.dismisses_worker(&heartbeat.machine) {
            return HeartbeatReply::Unavailable;
        }
        if let Some(home) = self.home_of(&heartbeat.machine) {
            return HeartbeatReply::Elsewhere(home);
        }
        match self.own_heartbeat(heartbeat, Source::Heartbeat) {
            HeartbeatReply::Elsewhere(owner) if self.accepts_heartbeats_for(&owner) => {
                self.heartbeat_for(owner, heartbeat, body).await
            }
            HeartbeatReply::Elsewhere(owner) => {
                self.heartbeat_elsewhere(heartbeat, owner, body).await
            }
            // While nobody owns the machines, nobody's tasks are to end for it.
            HeartbeatReply::Unavailable => self
                .renewed(heartbeat)
                .unwrap_or(HeartbeatReply::Unavailable),
            other => other,
        }
    }

    /// Whether a worker is sent away, as this controller is alone and certainly owns
    /// nothing any more: it finds the next owner before its lease ends.
    fn dismisses_worker(&self, machine: &MachineId) -> bool {
        let owns = self.leadership.is_exclusive();
        if owns || !self.peer_contact().is_isolated() {
            return false;
        }
        let lease_s = self.cfg.lease_s;
        self.heartbeat_routing
            .dismisses(machine, lease_s, self.now())
    }

    /// Who is still there besides the workers.
    pub(super) fn peer_contact(&self) -> PeerContact {
        let last = self.peer_statuses.last_received_at();
        let silence = last.map_or_else(|| self.epoch.elapsed(), |at| at.elapsed());
        PeerContact {
            others: !self.cfg.others.is_empty(),
            peers_silent_s: silence.as_secs_f64(),
            unserved_s: self.store_silence().as_secs_f64(),
        }
    }

    /// A heartbeat for another controller: its sender is told so. If it comes
    /// back soon it can't reach that one, and its heartbeat is passed on: its
    /// tasks must not end with its lease because two zones are apart. It is
    /// told again now and then, as the way may be open.
    pub(super) async fn heartbeat_elsewhere(
        &self,
        heartbeat: &Heartbeat,
        owner: NodeId,
        body: &[u8],
    ) -> HeartbeatReply {
        let back = Duration::from_secs_f64(self.cfg.lease_s / 2.0);
        let routing = &self.heartbeat_routing;
        if routing.redirect(&heartbeat.machine, &owner, back) == Redirect::SendToOwner {
            return HeartbeatReply::Elsewhere(owner);
        }
        let passed = self.forward_heartbeat(&owner, body, true).await;
        match passed.filter(|answered| answered.status == 200) {
            Some(answered) => HeartbeatReply::Passed(answered),
            None => self
                .renewed(heartbeat)
                .unwrap_or(HeartbeatReply::Elsewhere(owner)),
        }
    }

    /// Passes a heartbeat on to the owner, or if `via`, and if that can't be
    /// reached from here either, to one that may reach it: where two of three
    /// zones are apart, the third has a way.
    pub(super) async fn forward_heartbeat(
        &self,
        owner: &NodeId,
        body: &[u8],
        via: bool,
    ) -> Option<peer_link::Answered> {
        let direct = self
            .peers
            .forward(owner, peer_link::Kind::Heartbeat, body.to_vec());
        if let Some(answered) = direct.await {
            return Some(answered);
        }
        if !via {
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
        // Not one that shares this controller's place, if there is another.
        others.sort_by_key(|n| (zone_of(n).is_none_or(|z| z == self.cfg.zone), n.clone()));
        let other = others.first()?;
        self.peers
            .forward(other, peer_link::Kind::Via, body.to_vec())
            .await
    }

    /// Takes a report that another controller could not pass on to the owner.
    pub async fn passed_via(self: &Rc<Self>, heartbeat: &Heartbeat, body: &[u8]) -> HeartbeatReply {
        match self.own_heartbeat(heartbeat, Source::Passed) {
            HeartbeatReply::Elsewhere(owner) => self
                .forward_heartbeat(&owner, body, false)
                .await
                .map_or(HeartbeatReply::Unavailable, HeartbeatReply::Passed),
            other => other,
        }
    }

    /// Whether the state service serves others and not this controller.
    pub fn cut_off(&self) -> bool {
        self.store.lags_for(FORWARD_AFTER) && self.store_silence() >= FORWARD_AFTER
    }

    /// Whether a submission or cancellation that could not be decided here is passed
    /// on. Hints tell that others are served only when something changes: while
    /// nothing did, whoever the state service refused alone turned all of them away,
    /// so a failed request is reason enough, unless nobody else could help just now.
    pub fn forwards(&self) -> bool {
        let others_may = self.admission.may_forward_changes();
        self.cut_off() || self.state.fails() && others_may
    }

    /// Passes a submission or cancellation on to a controller that may be served.
    pub async fn forward(&self, kind: peer_link::Kind, text: &[u8]) -> Option<peer_link::Answered> {
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

    /// Takes a worker's heartbeat as the shard's owner.
    pub fn own_heartbeat(self: &Rc<Self>, heartbeat: &Heartbeat, source: Source) -> HeartbeatReply {
        let shard = self.shard_of(&heartbeat.machine);
        let outcome = {
            let mut cores = self.shards.owned_mut();
            let core = cores.get_mut(shard);
            core.map(|core| self.take_heartbeat(core, heartbeat, source))
        };
        match outcome {
            Some(HeartbeatOutcome::Copy) => HeartbeatReply::Unavailable,
            Some(HeartbeatOutcome::Superseded) => {
                self.superseded(shard);
                HeartbeatReply::Unavailable
            }
            Some(HeartbeatOutcome::Taken(reply)) => {
                self.drive();
                reply.map_or(HeartbeatReply::Unavailable, HeartbeatReply::Reply)
            }
            None => match self.owner_of(shard) {
                Some(owner) if owner != self.cfg.node => HeartbeatReply::Elsewhere(owner),
                _ => HeartbeatReply::Unavailable,
            },
        }
    }

    /// Takes a heartbeat for an owned shard, and answers it if that is safe.
    fn take_heartbeat(
        &self,
        core: &mut Core,
        heartbeat: &Heartbeat,
        source: Source,
    ) -> HeartbeatOutcome {
        let now = self.now();
        // Before it can depose, and without an answer, which would have commands
        // that nobody takes count as sent.
        if core.is_copy(heartbeat) && heartbeat.fencing_token.grant() <= core.grant {
            return HeartbeatOutcome::Copy;
        }
        // A heartbeat of one that hears nothing shows no way to the workers: while
        // none heard this owner, its heartbeats kept it one.
        let is_reachable = core.is_reachable(&heartbeat.machine);
        match source {
            Source::Heartbeat | Source::Direct if is_reachable => self.leadership.worker_reached(),
            Source::Heartbeat | Source::Direct => {}
            Source::Adopted | Source::Passed => self.leadership.heartbeat_relayed(now),
        }
        if !core.heartbeat(heartbeat, source, now) {
            return HeartbeatOutcome::Superseded;
        }
        if !self.knows_all_cancellations() {
            return HeartbeatOutcome::Taken(None);
        }
        if self.paces.due(Duty::Walk, now) {
            self.timed(Duty::Walk, || core.walk(&heartbeat.machine, now));
        }
        HeartbeatOutcome::Taken(Some(core.answer(heartbeat, &self.store.view(), now)))
    }
}
