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
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{sleep, timeout, Instant};
use zerocopy::IntoBytes;

pub use self::listening::{listen, Heard};
pub use self::message::{Header, HeardOf, Kind, Message, Standing, BLOCKS, LIMITS_FELL, POLLS};
use self::message::{HEARD_TOGETHER, MOST_TEXT};
use crate::types::{NodeId, Revision};

/// Messages that wait to be sent to one controller: the heartbeats of a whole fleet may
/// come while a line stands still. A place takes no memory until there is a message.
const MOST_WAITING: usize = 10_000;
/// How long an answer may take: a worker waits 4 s for two of them.
const ANSWER: Duration = Duration::from_millis(1400);
/// The same for a report that a worker was sent here with: there is one hop.
const ANSWER_REPORT: Duration = Duration::from_millis(3000);
/// For how long a line that gave no answer is not used for requests.
const DOUBTED: Duration = Duration::from_secs(5);
/// The same where only reports wait too long, as their owner has too many of
/// them, or a poll did.
const DOUBTED_REPORT: Duration = Duration::from_millis(700);
/// Reports and their answers wait so long for company: one packet then takes
/// many, and it is the packets that cost most.
const LINGER: Duration = Duration::from_millis(30);
/// Most messages in one packet.
const TOGETHER: usize = 64;
/// What is read of a connection at a time.
const BUFFER: usize = 32 << 10;

/// An answer to a request that was passed on: HTTP status and body.
pub type Answered = (u16, Vec<u8>);

/// The line to another controller.
struct Line {
    out: mpsc::Sender<Message>,
    waiting: Rc<RefCell<HashMap<u64, oneshot::Sender<Answered>>>>,
    connected: Rc<Cell<bool>>,
    doubted_until: Cell<Option<Instant>>,
}

impl Line {
    fn open(&self) -> bool {
        let doubted = self.doubted_until.get();
        self.connected.get() && doubted.is_none_or(|t| Instant::now() >= t)
    }
}

/// The lines to all other controllers.
#[derive(Default)]
pub struct Peers {
    lines: HashMap<NodeId, Line>,
    newest: Cell<Revision>,
    /// What is said of this controller, and its name.
    standing: Cell<Standing>,
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
            let (out, messages) = mpsc::channel(MOST_WAITING);
            let line = Line {
                out,
                waiting: Rc::default(),
                connected: Rc::default(),
                doubted_until: Cell::new(None),
            };
            tokio::task::spawn_local(keep(
                address,
                messages,
                line.waiting.clone(),
                line.connected.clone(),
            ));
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
    pub fn tell(&self, standing: Standing, limits_fell: bool) {
        self.standing.set(standing);
        self.limits_fell.set(limits_fell);
        self.hint();
    }

    fn hint(&self) {
        let fell = match self.limits_fell.get() {
            true => LIMITS_FELL,
            false => 0,
        };
        for line in self.lines.values().filter(|l| l.connected.get()) {
            // A hint that finds no room is replaced by the next one.
            let _ = line.out.try_send(Message {
                number: self.newest.get().0,
                status: self.standing.get().encode(),
                flags: BLOCKS | POLLS | fell,
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

    /// Tells another controller something about blocks. What finds no room is lost.
    pub fn share(&self, node: &NodeId, kind: Kind, text: Vec<u8>) {
        if let Some(line) = self.lines.get(node).filter(|l| l.connected.get()) {
            let _ = line.out.try_send(Message::new(kind, text));
        }
    }

    /// Tells the owner of machines that they were heard. What finds no room is
    /// lost: the next report of each goes to the owner itself, by and by.
    pub fn heard(&self, owner: &NodeId, machines: &[HeardOf]) {
        let Some(line) = self.lines.get(owner).filter(|l| l.connected.get()) else {
            return;
        };
        for some in machines.chunks(HEARD_TOGETHER) {
            let _ = line.out.try_send(Message {
                waits: true,
                ..Message::new(Kind::Heard, some.as_bytes().to_vec())
            });
        }
    }

    /// Passes a request on; none if no answer came.
    pub async fn pass_on(&self, node: &NodeId, kind: Kind, text: Vec<u8>) -> Option<Answered> {
        let patience = match kind {
            Kind::Homed => ANSWER_REPORT,
            _ => ANSWER,
        };
        self.pass_on_within(node, kind, text, patience).await
    }

    /// The same, with so much time for the answer.
    pub async fn pass_on_within(
        &self,
        node: &NodeId,
        kind: Kind,
        text: Vec<u8>,
        patience: Duration,
    ) -> Option<Answered> {
        let line = self.lines.get(node).filter(|l| l.open())?;
        if text.len() > MOST_TEXT {
            return None;
        }
        let number = self.requests.get() + 1;
        self.requests.set(number);
        let (tell, told) = oneshot::channel();
        line.waiting.borrow_mut().insert(number, tell);
        let message = Message {
            number,
            waits: kind == Kind::Homed,
            ..Message::new(kind, text)
        };
        let answered = match line.out.try_send(message) {
            Ok(()) => timeout(patience, told).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        line.waiting.borrow_mut().remove(&number);
        if answered.is_none() {
            let doubted = match kind {
                // A poll may have had next to no time left.
                Kind::Homed | Kind::Poll => DOUBTED_REPORT,
                _ => DOUBTED,
            };
            line.doubted_until.set(Some(Instant::now() + doubted));
        }
        answered
    }
}

async fn keep(
    address: SocketAddr,
    mut messages: mpsc::Receiver<Message>,
    waiting: Rc<RefCell<HashMap<u64, oneshot::Sender<Answered>>>>,
    connected: Rc<Cell<bool>>,
) {
    loop {
        let made = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = made {
            let _ = stream.set_nodelay(true);
            let (from, mut to) = stream.into_split();
            let mut from = BufReader::with_capacity(BUFFER, from);
            connected.set(true);
            let send = send_together(&mut to, &mut messages);
            let receive = async {
                while let Some(message) = Message::read(&mut from).await {
                    if message.kind != Kind::Answer {
                        return;
                    }
                    if let Some(tell) = waiting.borrow_mut().remove(&message.number) {
                        // Whoever asked may have given up.
                        let _ = tell.send((message.status, message.text));
                    }
                }
            };
            tokio::select! {
                () = send => {}
                () = receive => {}
            }
            connected.set(false);
            waiting.borrow_mut().clear();
        }
        sleep(Duration::from_millis(500)).await;
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
        let sent = timeout(Duration::from_secs(2), to.write_all(&bytes)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
