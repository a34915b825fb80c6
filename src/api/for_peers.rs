//! What other controllers ask this one to answer or to take note of.

use std::rc::Rc;

use http_body_util::BodyExt;

use super::reply::{refuse, Reply};
use super::{agent, jobs};
use crate::agent_client::Heartbeat;
use crate::control::core::Source;
use crate::control::load_counts::increment;
use crate::control::{HeartbeatReply, Node};
use crate::peer_link::{self, Answered, Answering, PeerRequestHandler};
use crate::types::{NodeId, Revision};

/// What other controllers ask this one to answer.
pub struct ForPeers(Rc<Node>);

impl ForPeers {
    /// Asked of `node`.
    pub fn new(node: Rc<Node>) -> Self {
        Self(node)
    }
}

impl PeerRequestHandler for ForPeers {
    fn hint(
        &self,
        revision: Revision,
        from: &NodeId,
        announcement: peer_link::PeerAnnouncement,
        flags: u16,
    ) {
        self.0.revision_announced(revision);
        self.0.receive_peer_status(from, announcement, flags);
    }

    fn homed(&self, text: &[u8]) -> Answered {
        let reply = match serde_json::from_slice::<Heartbeat>(text) {
            Ok(heartbeat) => {
                increment(&self.0.load().counts.offloaded_heartbeats);
                self.0.process_as_owner(&heartbeat, Source::Offloaded)
            }
            Err(_) => return Answered::empty(400),
        };
        match reply {
            HeartbeatReply::Reply(answer) => match serde_json::to_vec(&answer) {
                Ok(text) => Answered { status: 200, text },
                Err(_) => Answered::empty(503),
            },
            HeartbeatReply::Forwarded(answered) => answered,
            HeartbeatReply::OtherOwner(_) => Answered::empty(421),
            HeartbeatReply::Unavailable => Answered::empty(503),
        }
    }

    fn share(&self, kind: peer_link::Kind, text: &[u8]) {
        self.0.receive_peer_message(kind, text);
    }

    fn heartbeats_announced(&self, machines: &[peer_link::ForwardedHeartbeat]) {
        self.0.heartbeats_announced(machines);
    }

    fn answer(self: Rc<Self>, kind: peer_link::Kind, text: Vec<u8>) -> Answering {
        Box::pin(async move { answered(self.answer_here(kind, &text).await).await })
    }
}

impl ForPeers {
    async fn answer_here(&self, kind: peer_link::Kind, text: &[u8]) -> Reply {
        let node = &self.0;
        match kind {
            peer_link::Kind::Submit => jobs::submit(node, text).await,
            peer_link::Kind::Withdraw => jobs::withdraw(node, &String::from_utf8_lossy(text)).await,
            peer_link::Kind::Poll => {
                jobs::answer_peer_poll(node, &String::from_utf8_lossy(text)).await
            }
            peer_link::Kind::Heartbeat => match serde_json::from_slice::<Heartbeat>(text) {
                Ok(heartbeat) => {
                    agent::heartbeat_response(node.process_as_owner(&heartbeat, Source::Forwarded))
                }
                Err(_) => refuse(400, "malformed heartbeat"),
            },
            peer_link::Kind::Via => match serde_json::from_slice::<Heartbeat>(text) {
                Ok(heartbeat) => {
                    agent::heartbeat_response(node.handle_relayed_heartbeat(&heartbeat, text).await)
                }
                Err(_) => refuse(400, "malformed heartbeat"),
            },
            peer_link::Kind::Hint
            | peer_link::Kind::Answer
            | peer_link::Kind::Adopted
            | peer_link::Kind::ForwardedHeartbeats
            | peer_link::Kind::Needs
            | peer_link::Kind::Rented
            | peer_link::Kind::Left => refuse(400, "not a request"),
        }
    }
}

/// An answer as it goes back to the controller that passed the request on.
async fn answered(reply: Reply) -> Answered {
    let status = reply.status().as_u16();
    let text = match reply.into_body().collect().await {
        Ok(body) => body.to_bytes().to_vec(),
        Err(never) => match never {},
    };
    Answered { status, text }
}
