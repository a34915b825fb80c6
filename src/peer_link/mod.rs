//! What controllers tell each other, over one connection each way: hints that
//! something is new in the state service, and requests passed on for somebody
//! who can't reach the controller that has to answer them. Nothing is decided
//! from a hint, and an answer that is passed on was given by the controller
//! entitled to give it; a lost message costs time only.

mod listening;
mod message;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};
use zerocopy::IntoBytes;

pub use self::listening::{listen, Answering, PeerRequestHandler};
pub use self::message::{
    ForwardedHeartbeat, Header, Kind, Message, PeerAnnouncement, LIMITS_FELL, POLLS, SHARDS,
};
use self::message::{MAX_HEARTBEATS_PER_MESSAGE, MAX_TEXT_BYTES};
use crate::types::{NodeId, Revision};

/// Messages that wait to be sent to one controller: the heartbeats of a whole fleet may
/// come while a line stands still. A place takes no memory until there is a message.
const MAX_PENDING_REQUESTS: usize = 10_000;
/// How long an answer may take: a worker waits 4 s for two of them.
const ANSWER: Duration = Duration::from_millis(1400);
/// The same for a report that a worker was sent here with: there is one hop.
const ANSWER_HEARTBEAT: Duration = Duration::from_millis(3000);
/// For how long a line that gave no answer is not used for requests.
const DOUBTED: Duration = Duration::from_secs(5);
/// The same where only heartbeats wait too long, as their owner has too many of
/// them, or a poll did.
const DOUBTED_HEARTBEAT: Duration = Duration::from_millis(700);
/// Heartbeats and their answers wait so long for company: one packet then takes
/// many, and it is the packets that cost most.
const LINGER: Duration = Duration::from_millis(30);
/// For a connection to another controller.
const CONNECT: Duration = Duration::from_secs(1);
/// After a connection that failed or could not be made.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// A connection that takes nothing for so long has failed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most messages in one packet.
const TOGETHER: usize = 64;
/// What is read of a connection at a time.
const BUFFER: usize = 32 << 10;

/// An answer to a request that was passed on: HTTP status and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answered {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub text: Vec<u8>,
}

impl Answered {
    /// A status alone, which says all.
    pub fn empty(status: u16) -> Self {
        let text = Vec::new();
        Self { status, text }
    }
}

/// What a line's task and those who use the line share.
#[derive(Default)]
struct LineState {
    /// Who waits for which answer, by the request's number.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answered>>>,
    connected: Cell<bool>,
}

/// The line to another controller.
struct Line {
    out: mpsc::Sender<Message>,
    state: Rc<LineState>,
    doubted_until: Cell<Option<Instant>>,
}

impl Line {
    /// Whether it is connected; messages that ask for no answer need no more.
    fn connected(&self) -> bool {
        self.state.connected.get()
    }

    /// Whether requests go over it.
    fn open(&self) -> bool {
        let suspected_one_way = self.doubted_until.get();
        self.connected() && suspected_one_way.is_none_or(|t| Instant::now() >= t)
    }

    /// Sends a request and waits for its answer.
    async fn ask(&self, message: Message, patience: Duration) -> Option<Answered> {
        let number = message.number;
        let (tell, told) = oneshot::channel();
        self.state.waiting.borrow_mut().insert(number, tell);
        let answered = match self.out.try_send(message) {
            Ok(()) => timeout(patience, told).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        self.state.waiting.borrow_mut().remove(&number);
        answered
    }

    /// A request of this kind was not answered: others are not sent this way for some time.
    fn doubt(&self, kind: Kind) {
        let suspected_one_way = match kind {
            // A poll may have had next to no time left.
            Kind::Adopted | Kind::Poll => DOUBTED_HEARTBEAT,
            _ => DOUBTED,
        };
        self.doubted_until
            .set(Some(Instant::now() + suspected_one_way));
    }
}

/// The lines to all other controllers.
#[derive(Default)]
pub struct Peers {
    lines: HashMap<NodeId, Line>,
    newest: Cell<Revision>,
    /// What is said of this controller, and its name.
    announcement: Cell<PeerAnnouncement>,
    limits_fell: Cell<bool>,
    name: String,
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
            let (out, messages) = mpsc::channel(MAX_PENDING_REQUESTS);
            let state = Rc::<LineState>::default();
            spawn_local(keep(address, messages, state.clone()));
            let line = Line {
                out,
                state,
                doubted_until: Cell::new(None),
            };
            peers.lines.insert(node, line);
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

    /// Tells all others how this controller stands, and whether it knows that the limits
    /// of the state service fell.
    pub fn tell(&self, announcement: PeerAnnouncement, limits_fell: bool) {
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
            // A hint that finds no free capacity is replaced by the next one.
            let _ = line.out.try_send(Message {
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

    /// Tells another controller something about shards. What finds no free capacity is lost.
    pub fn share(&self, node: &NodeId, kind: Kind, text: Vec<u8>) {
        if let Some(line) = self.lines.get(node).filter(|l| l.connected()) {
            let _ = line.out.try_send(Message::new(kind, text));
        }
    }

    /// Tells the owner of machines that they were heard. What finds no free capacity is
    /// lost: the next heartbeat of each goes to the owner itself, by and by.
    pub fn heartbeats_announced(&self, owner: &NodeId, machines: &[ForwardedHeartbeat]) {
        let Some(line) = self.lines.get(owner).filter(|l| l.connected()) else {
            return;
        };
        for some in machines.chunks(MAX_HEARTBEATS_PER_MESSAGE) {
            let _ = line.out.try_send(Message {
                waits: true,
                ..Message::new(Kind::ForwardedHeartbeats, some.as_bytes().to_vec())
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
            line.doubt(kind);
        }
        answered
    }
}

/// Keeps a line connected until cancelled.
async fn keep(address: SocketAddr, mut messages: mpsc::Receiver<Message>, state: Rc<LineState>) {
    loop {
        let made = timeout(CONNECT, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = made {
            state.connected.set(true);
            exchange(stream, &mut messages, &state).await;
            state.connected.set(false);
            state.waiting.borrow_mut().clear();
        }
        sleep(RECONNECT_PAUSE).await;
    }
}

/// Sends messages and takes answers until the connection fails.
async fn exchange(stream: TcpStream, messages: &mut mpsc::Receiver<Message>, state: &LineState) {
    let _ = stream.set_nodelay(true);
    let (from, mut to) = stream.into_split();
    let send = send_together(&mut to, messages);
    let receive = take_answers(BufReader::with_capacity(BUFFER, from), state);
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
}

/// Hands answers to those who wait, until the connection fails or brings anything else.
async fn take_answers(mut from: BufReader<OwnedReadHalf>, state: &LineState) {
    while let Some(message) = Message::read(&mut from).await {
        if message.kind != Kind::Answer {
            return;
        }
        if let Some(tell) = state.waiting.borrow_mut().remove(&message.number) {
            // Whoever asked may have given up.
            let _ = tell.send(Answered {
                status: message.status,
                text: message.text,
            });
        }
    }
}

/// Sends messages until the connection fails or there will be no more.
async fn send_together(to: &mut OwnedWriteHalf, messages: &mut mpsc::Receiver<Message>) {
    let mut batch = Vec::new();
    while messages.recv_many(&mut batch, TOGETHER).await > 0 {
        if batch.iter().all(|m| m.waits) && batch.len() < TOGETHER {
            sleep(LINGER).await;
            while batch.len() < TOGETHER {
                let Ok(message) = messages.try_recv() else {
                    break;
                };
                batch.push(message);
            }
        }
        let bytes: Vec<u8> = batch
            .drain(..)
            .filter_map(|m| m.encode())
            .flatten()
            .collect();
        let sent = timeout(WRITE_TIMEOUT, to.write_all(&bytes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
