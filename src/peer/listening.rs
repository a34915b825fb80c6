//! Messages from other controllers, and answers to them.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use super::message::{HeardOf, Kind, Message, Standing};
use super::{send_together, Answered, BUFFER};
use crate::types::{NodeId, Revision};

/// Requests passed on by one controller that are being answered here: the heartbeats of
/// a whole fleet may be. A place takes no memory until there is an answer.
const MOST_ANSWERING: usize = 10_000;
/// Reports that are handled without letting others have a turn.
const IN_A_TURN: usize = 12;

/// What is done with other controllers' messages.
pub trait Heard {
    /// The state service has reached a revision, and how the sender stands;
    /// its name is empty if it does not say.
    fn hint(&self, revision: Revision, from: &NodeId, standing: Standing, flags: u16);
    /// Answers a worker's report that another controller took for this one.
    fn homed(&self, text: &[u8]) -> Answered;
    /// Machines whose reports another controller answered for this one.
    fn heard(&self, machines: &[HeardOf]);
    /// What another owner of a block tells.
    fn share(&self, kind: Kind, text: &[u8]);
    /// Answers a request that was passed on.
    fn answer(self: Rc<Self>, kind: Kind, text: Vec<u8>)
        -> Pin<Box<dyn Future<Output = Answered>>>;
}

/// Takes messages from other controllers until cancelled.
pub async fn listen<H: Heard + 'static>(listener: TcpListener, most: usize, heard: Rc<H>) {
    let open = Rc::new(());
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        if Rc::strong_count(&open) > most {
            continue;
        }
        let _ = stream.set_nodelay(true);
        let (heard, held) = (heard.clone(), open.clone());
        tokio::task::spawn_local(async move {
            let _held = held;
            hear(stream, heard).await;
        });
    }
}

async fn hear<H: Heard + 'static>(stream: TcpStream, heard: Rc<H>) {
    let (from, mut to) = stream.into_split();
    let mut from = BufReader::with_capacity(BUFFER, from);
    let (out, mut answers) = mpsc::channel::<Message>(MOST_ANSWERING);
    let receive = async {
        let mut in_a_turn = 0;
        // A silent connection ends: its other end may be long gone.
        while let Ok(Some(message)) =
            timeout(Duration::from_secs(300), Message::read(&mut from)).await
        {
            match message.kind {
                Kind::Hint => {
                    let name = String::from_utf8_lossy(&message.text);
                    let standing = Standing::parse(message.status);
                    let from = NodeId::from(&*name);
                    heard.hint(Revision(message.number), &from, standing, message.flags);
                }
                Kind::Answer => return,
                Kind::Heard => {
                    // Of another length it is not what this version knows.
                    heard.heard(HeardOf::parse(&message.text).unwrap_or_default());
                }
                kind @ (Kind::Needs | Kind::Rented | Kind::Left) => {
                    heard.share(kind, &message.text);
                }
                Kind::Homed => {
                    let Ok(place) = out.clone().try_reserve_owned() else {
                        continue;
                    };
                    let answered = heard.homed(&message.text);
                    place.send(message.answer(answered));
                    // They come in batches, and others wait.
                    in_a_turn += 1;
                    if in_a_turn % IN_A_TURN == 0 {
                        yield_now().await;
                    }
                }
                kind => {
                    // Each holds a place for its answer; without one it is not
                    // taken, and the other end's patience ends.
                    let Ok(place) = out.clone().try_reserve_owned() else {
                        continue;
                    };
                    let heard = heard.clone();
                    tokio::task::spawn_local(async move {
                        let mut message = message;
                        let text = std::mem::take(&mut message.text);
                        let answered = heard.answer(kind, text).await;
                        place.send(message.answer(answered));
                    });
                }
            }
        }
    };
    let send = send_together(&mut to, &mut answers);
    tokio::select! {
        () = receive => {}
        () = send => {}
    }
}
