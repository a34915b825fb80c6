//! The line to one other controller: a connection that is made again whenever it fails, and
//! the requests that wait for their answers on it.

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

use super::message::{Kind, Message};
use super::Answered;

/// Messages that wait to be sent to one controller: the heartbeats of a whole fleet may
/// come while a line stands still. A place takes no memory until there is a message.
const MAX_PENDING_REQUESTS: usize = 10_000;
/// For how long a line that gave no answer is not used for requests.
const LINE_BACKOFF: Duration = Duration::from_secs(5);
/// The same where only heartbeats wait too long, as their owner has too many of
/// them, or a poll did.
const HEARTBEAT_LINE_BACKOFF: Duration = Duration::from_millis(700);
/// Heartbeats and their answers wait so long for others to be sent with: one packet then
/// takes many, and it is the packets that cost most.
const LINGER: Duration = Duration::from_millis(30);
/// For a connection to another controller.
const CONNECT: Duration = Duration::from_secs(1);
/// After a connection that failed or could not be made.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);
/// A connection that takes nothing for so long has failed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
/// Most messages in one packet.
const MAX_MESSAGES_PER_PACKET: usize = 64;
/// How much is read of a connection at a time, in bytes.
pub(super) const READ_BUFFER_BYTES: usize = 32 << 10;

/// What a line's task and those who use the line share.
#[derive(Default)]
struct LineState {
    /// Requests that wait for their answers, by their numbers.
    waiting: RefCell<HashMap<u64, oneshot::Sender<Answered>>>,
    connected: Cell<bool>,
}

/// The line to another controller.
pub(super) struct Line {
    /// Messages that wait to be sent.
    out: mpsc::Sender<Message>,
    state: Rc<LineState>,
    unused_until: Cell<Option<Instant>>,
}

impl Line {
    /// Keeps a line to the controller at `address` until cancelled.
    pub(super) fn start(address: SocketAddr) -> Self {
        let (out, messages) = mpsc::channel(MAX_PENDING_REQUESTS);
        let state = Rc::<LineState>::default();
        spawn_local(keep(address, messages, state.clone()));
        Self {
            out,
            state,
            unused_until: Cell::new(None),
        }
    }

    /// Sends a message that asks for no answer. One that finds the queue full is lost.
    pub(super) fn send(&self, message: Message) {
        let _ = self.out.try_send(message);
    }

    /// Whether it is connected; messages that ask for no answer need no more.
    pub(super) fn connected(&self) -> bool {
        self.state.connected.get()
    }

    /// Whether requests go over it.
    pub(super) fn open(&self) -> bool {
        let unused_until = self.unused_until.get();
        self.connected() && unused_until.is_none_or(|t| Instant::now() >= t)
    }

    /// Sends a request and waits for its answer.
    pub(super) async fn ask(&self, message: Message, patience: Duration) -> Option<Answered> {
        let number = message.number;
        let (answer, answered) = oneshot::channel();
        self.state.waiting.borrow_mut().insert(number, answer);
        let received = match self.out.try_send(message) {
            Ok(()) => timeout(patience, answered).await.ok().and_then(Result::ok),
            Err(_) => None,
        };
        self.state.waiting.borrow_mut().remove(&number);
        received
    }

    /// A request of this kind was not answered: others are not sent this way for some time.
    pub(super) fn back_off(&self, kind: Kind) {
        let unused_for = match kind {
            // A poll may have had next to no time left.
            Kind::Adopted | Kind::Poll => HEARTBEAT_LINE_BACKOFF,
            _ => LINE_BACKOFF,
        };
        self.unused_until.set(Some(Instant::now() + unused_for));
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
    let receive = take_answers(BufReader::with_capacity(READ_BUFFER_BYTES, from), state);
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
}

/// Hands answers to the requests that wait for them, until the connection fails or brings anything else.
async fn take_answers(mut from: BufReader<OwnedReadHalf>, state: &LineState) {
    while let Some(message) = Message::read(&mut from).await {
        if message.kind != Kind::Answer {
            return;
        }
        if let Some(answer) = state.waiting.borrow_mut().remove(&message.number) {
            // The request may have timed out.
            let _ = answer.send(Answered {
                status: message.status,
                text: message.text,
            });
        }
    }
}

/// Sends messages until the connection fails or there will be no more.
pub(super) async fn send_together(to: &mut OwnedWriteHalf, messages: &mut mpsc::Receiver<Message>) {
    let mut batch = Vec::new();
    while messages
        .recv_many(&mut batch, MAX_MESSAGES_PER_PACKET)
        .await
        > 0
    {
        if batch.iter().all(|m| m.waits) && batch.len() < MAX_MESSAGES_PER_PACKET {
            sleep(LINGER).await;
            fill_batch(&mut batch, messages);
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

/// Adds what waits by now, up to a full batch.
fn fill_batch(batch: &mut Vec<Message>, messages: &mut mpsc::Receiver<Message>) {
    while batch.len() < MAX_MESSAGES_PER_PACKET {
        let Ok(message) = messages.try_recv() else {
            return;
        };
        batch.push(message);
    }
}
