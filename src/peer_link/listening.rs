//! Messages from other controllers, and answers to them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout};

use super::line::{send_together, READ_BUFFER_BYTES};
use super::message::{Kind, Message, PeerAnnouncement};
use super::Answered;
use super::ForwardedHeartbeat;
use crate::types::{NodeId, Revision};

/// Requests passed on by one controller that are being answered here: the heartbeats of
/// a whole fleet may be. A place takes no memory until there is an answer.
const MAX_REQUESTS_IN_PROGRESS: usize = 10_000;
/// Heartbeats that are handled without letting others have a turn.
const HEARTBEATS_PER_TURN: usize = 12;
/// A silent connection ends: its other end may have failed.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(300);
/// After a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// An answer that is on its way.
pub type Answering = Pin<Box<dyn Future<Output = Answered>>>;

/// What is done with other controllers' messages.
pub trait PeerRequestHandler {
    /// The state service has reached a revision, and what the sender announces of itself;
    /// its name is empty if it does not say.
    fn hint(&self, revision: Revision, from: &NodeId, announcement: PeerAnnouncement, flags: u16);
    /// Answers a worker's heartbeat that another controller took for this one.
    fn homed(&self, text: &[u8]) -> Answered;
    /// Machines whose heartbeats another controller answered for this one.
    fn heartbeats_announced(&self, machines: &[ForwardedHeartbeat]);
    /// A message of another owner of a shard.
    fn share(&self, kind: Kind, text: &[u8]);
    /// Answers a request that was passed on.
    fn answer(self: Rc<Self>, kind: Kind, text: Vec<u8>) -> Answering;
}

/// Takes messages from other controllers until cancelled, over `max` connections at a
/// time; those beyond are closed at once.
pub async fn listen<H: PeerRequestHandler + 'static>(
    listener: TcpListener,
    max: usize,
    handler: Rc<H>,
) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if Rc::strong_count(&open) > max {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (handler, counted) = (handler.clone(), open.clone());
        spawn_local(async move {
            let _counted = counted;
            serve_connection(stream, handler).await;
        });
    }
}

/// Takes one connection's messages, and sends answers to them, until either fails. Requests
/// that are being answered then go on, and their answers are lost.
async fn serve_connection<H: PeerRequestHandler + 'static>(stream: TcpStream, handler: Rc<H>) {
    let (from, mut to) = stream.into_split();
    let (out, mut answers) = mpsc::channel::<Message>(MAX_REQUESTS_IN_PROGRESS);
    let inbound = Inbound {
        handler,
        out,
        in_a_turn: 0,
    };
    let receive = inbound.receive(BufReader::with_capacity(READ_BUFFER_BYTES, from));
    let send = send_together(&mut to, &mut answers);
    tokio::select! {
        () = receive => {}
        () = send => {}
    }
}

/// One connection's messages, on their way to those who handle them.
struct Inbound<H> {
    handler: Rc<H>,
    /// Answers, to be sent back.
    out: mpsc::Sender<Message>,
    /// Heartbeats that were handled, modulo [`HEARTBEATS_PER_TURN`] to give others a turn.
    in_a_turn: usize,
}

impl<H: PeerRequestHandler + 'static> Inbound<H> {
    async fn receive(mut self, mut from: BufReader<OwnedReadHalf>) {
        while let Ok(Some(message)) = timeout(SILENCE_TIMEOUT, Message::read(&mut from)).await {
            if !self.take(message).await {
                return;
            }
        }
    }

    /// Handles one message. False if the connection is to end: nobody sends answers here.
    async fn take(&mut self, message: Message) -> bool {
        match message.kind {
            Kind::Answer => return false,
            Kind::Hint => self.hint(&message),
            // Of another length it is not what this version knows.
            Kind::ForwardedHeartbeats => {
                let machines = ForwardedHeartbeat::parse(&message.text).unwrap_or_default();
                self.handler.heartbeats_announced(machines);
            }
            kind @ (Kind::Needs | Kind::Rented | Kind::Left) => {
                self.handler.share(kind, &message.text);
            }
            Kind::Adopted => self.heartbeat(&message).await,
            Kind::Heartbeat | Kind::Via | Kind::Submit | Kind::Withdraw | Kind::Poll => {
                self.request(message);
            }
        }
        true
    }

    fn hint(&self, message: &Message) {
        let name = String::from_utf8_lossy(&message.text);
        let announcement = PeerAnnouncement::parse(message.status);
        let from = NodeId::from(&*name);
        self.handler
            .hint(Revision(message.number), &from, announcement, message.flags);
    }

    /// Answers a heartbeat at once; without a place for the answer it is not taken.
    async fn heartbeat(&mut self, message: &Message) {
        let Ok(place) = self.out.clone().try_reserve_owned() else {
            return;
        };
        let answered = self.handler.homed(&message.text);
        place.send(message.answer(answered));
        // They come in batches, and others wait.
        self.in_a_turn += 1;
        if self.in_a_turn % HEARTBEATS_PER_TURN == 0 {
            yield_now().await;
        }
    }

    /// Has a request answered by a task of its own. Each reserves a place for its answer;
    /// without one it is not taken, and the other end times out. The task is not
    /// cancelled with the connection: a request that was begun is carried out.
    fn request(&self, mut message: Message) {
        let Ok(place) = self.out.clone().try_reserve_owned() else {
            return;
        };
        let handler = self.handler.clone();
        spawn_local(async move {
            let text = std::mem::take(&mut message.text);
            let answered = handler.answer(message.kind, text).await;
            place.send(message.answer(answered));
        });
    }
}
