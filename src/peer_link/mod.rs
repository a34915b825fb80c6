//! Messages between controllers, over one connection each way: hints that
//! something is new in the state service, and requests passed on for users and workers
//! that can't reach the controller that has to answer them. Nothing is decided
//! from a hint, and an answer that is passed on was given by the controller
//! entitled to give it; a lost message costs time only.
//!
//! This file has the lines to all others ([`Peers`]); `line` one of them, `listening` the
//! messages that come in, `message` and `forwarded_heartbeat` the layouts.

mod forwarded_heartbeat;
mod line;
mod listening;
mod message;

use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use zerocopy::IntoBytes;

use self::forwarded_heartbeat::MAX_HEARTBEATS_PER_MESSAGE;
pub use self::forwarded_heartbeat::{ForwardedHeartbeat, HeartbeatNotice};
use self::line::Line;
pub use self::listening::{listen, Answering, PeerRequestHandler};
use self::message::MAX_TEXT_BYTES;
pub use self::message::{
    Header, Kind, Message, MessageHead, PeerAnnouncement, LIMITS_FELL, POLLS, SHARDS,
};
use crate::types::{NodeId, Revision};

/// How long an answer may take: a worker waits 4 s for two of them.
const ANSWER: Duration = Duration::from_millis(1400);
/// The same for a heartbeat of a worker that was offloaded to this controller: there is one
/// hop.
const ANSWER_HEARTBEAT: Duration = Duration::from_millis(3000);
/// An answer to a request that was passed on: HTTP status and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub text: Vec<u8>,
}

impl Answered {
    /// A status without a body.
    pub fn empty(status: u16) -> Self {
        let text = Vec::new();
        Self { status, text }
    }
}

/// The lines to all other controllers.
#[derive(Default)]
pub struct Peers {
    lines: HashMap<NodeId, Line>,
    newest: Cell<Revision>,
    /// What this controller last announced of itself.
    announcement: Cell<PeerAnnouncement>,
    limits_fell: Cell<bool>,
    /// This controller's name.
    name: String,
    /// How many requests were passed on, which numbers them.
    requests: Cell<u64>,
}

impl Peers {
    /// Keeps a line to each of `others` until cancelled.
    pub fn start(name: &NodeId, others: impl Iterator<Item = (NodeId, SocketAddr)>) -> Rc<Self> {
        let mut peers = Self {
            name: name.to_string(),
            ..Self::default()
        };
        for (node, address) in others {
            peers.lines.insert(node, Line::start(address));
        }
        Rc::new(peers)
    }

    /// Tells all others of `revision`.
    pub fn announce(&self, revision: Revision) {
        if revision <= self.newest.get() {
            return;
        }
        self.newest.set(revision);
        self.hint();
    }

    /// Announces this controller's state to all others, and whether it knows that the limits
    /// of the state service fell.
    pub fn announce_self(&self, announcement: PeerAnnouncement, limits_fell: bool) {
        self.announcement.set(announcement);
        self.limits_fell.set(limits_fell);
        self.hint();
    }

    fn hint(&self) {
        let fell = if self.limits_fell.get() {
            LIMITS_FELL
        } else {
            0
        };
        for line in self.lines.values().filter(|l| l.connected()) {
            // A hint that finds the queue full is replaced by the next one.
            line.send(Message {
                number: self.newest.get().0,
                status: self.announcement.get().encode(),
                flags: SHARDS | POLLS | fell,
                ..Message::new(Kind::Hint, self.name.clone().into_bytes())
            });
        }
    }

    /// Controllers that can be reached now.
    pub fn reachable(&self) -> impl Iterator<Item = &NodeId> {
        self.lines
            .iter()
            .filter(|(_, l)| l.open())
            .map(|(node, _)| node)
    }

    /// Sends another controller a message about shards. What finds the queue full is lost.
    pub fn share(&self, node: &NodeId, kind: Kind, text: Vec<u8>) {
        if let Some(line) = self.lines.get(node).filter(|l| l.connected()) {
            line.send(Message::new(kind, text));
        }
    }

    /// Notifies the owner of machines that their heartbeats were answered here. What finds no
    /// free capacity is lost: the next heartbeat of each goes to the owner itself in time.
    pub fn heartbeats_announced(&self, owner: &NodeId, machines: &[ForwardedHeartbeat]) {
        let Some(line) = self.lines.get(owner).filter(|l| l.connected()) else {
            return;
        };
        for batch in machines.chunks(MAX_HEARTBEATS_PER_MESSAGE) {
            line.send(Message {
                waits: true,
                ..Message::new(Kind::ForwardedHeartbeats, batch.as_bytes().to_vec())
            });
        }
    }

    /// Passes a request on; none if no answer came.
    pub async fn forward(&self, node: &NodeId, kind: Kind, text: Vec<u8>) -> Option<Answered> {
        let patience = match kind {
            Kind::Adopted => ANSWER_HEARTBEAT,
            _ => ANSWER,
        };
        self.forward_within(node, kind, text, patience).await
    }

    /// The same, with so much time for the answer. A line that gives none is not used for
    /// some time.
    pub async fn forward_within(
        &self,
        node: &NodeId,
        kind: Kind,
        text: Vec<u8>,
        patience: Duration,
    ) -> Option<Answered> {
        let line = self.lines.get(node).filter(|l| l.open())?;
        if text.len() > MAX_TEXT_BYTES {
            return None;
        }
        let number = self.requests.get() + 1;
        self.requests.set(number);
        let message = Message {
            number,
            waits: kind == Kind::Adopted,
            ..Message::new(kind, text)
        };
        let answered = line.ask(message, patience).await;
        if answered.is_none() {
            line.back_off(kind);
        }
        answered
    }
}
