//! What controllers tell each other: hints that something is new in the state
//! service. Nothing is decided from them; a lost one costs time only.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};
use zerocopy::little_endian::{U16, U32, U64};
use zerocopy::{FromBytes, Immutable, IntoBytes, KnownLayout, Unaligned};

use crate::types::Revision;

const MAGIC: u32 = 0x6567_6e68;
const VERSION: u16 = 1;
const LENGTH: usize = std::mem::size_of::<Hint>();

/// A hint, as it goes over the wire: fixed layout, little-endian.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, FromBytes, IntoBytes, KnownLayout, Immutable, Unaligned,
)]
#[repr(C)]
pub struct Hint {
    magic: U32,
    version: U16,
    length: U16,
    /// The state service has reached this revision.
    revision: U64,
}

impl Hint {
    /// That the state service has reached `revision`.
    pub fn new(revision: Revision) -> Self {
        Self {
            magic: U32::new(MAGIC),
            version: U16::new(VERSION),
            length: U16::new(LENGTH as u16),
            revision: U64::new(revision.0),
        }
    }
    /// Reads a message; none if it is not one of this version.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let hint = Self::read_from_bytes(bytes).ok()?;
        let ours = hint.magic.get() == MAGIC
            && hint.version.get() == VERSION
            && usize::from(hint.length.get()) == LENGTH;
        ours.then_some(hint)
    }
    /// The revision.
    pub fn revision(&self) -> Revision {
        Revision(self.revision.get())
    }
}

/// The newest revision to tell others, and the signal that it rose.
#[derive(Default)]
pub struct Outbox {
    newest: std::cell::Cell<Revision>,
    risen: Notify,
}

impl Outbox {
    /// Tells all others of `revision`.
    pub fn announce(&self, revision: Revision) {
        if revision > self.newest.get() {
            self.newest.set(revision);
            self.risen.notify_waiters();
        }
    }
}

/// Keeps one controller told, over one connection, until cancelled.
pub async fn tell(address: SocketAddr, outbox: Rc<Outbox>) {
    loop {
        let connected = timeout(Duration::from_secs(1), TcpStream::connect(address)).await;
        if let Ok(Ok(mut stream)) = connected {
            let _ = stream.set_nodelay(true);
            let mut told = outbox.newest.get();
            loop {
                let risen = outbox.risen.notified();
                if outbox.newest.get() == told {
                    risen.await;
                }
                told = outbox.newest.get();
                let hint = Hint::new(told);
                let sent = timeout(Duration::from_secs(1), stream.write_all(hint.as_bytes())).await;
                if !matches!(sent, Ok(Ok(()))) {
                    break;
                }
            }
        }
        sleep(Duration::from_millis(500)).await;
    }
}

/// Takes hints from other controllers until cancelled.
pub async fn listen(listener: TcpListener, most: usize, heard: Rc<dyn Fn(Revision)>) {
    let open = Rc::new(());
    loop {
        let Ok((mut stream, _)) = listener.accept().await else {
            sleep(Duration::from_millis(100)).await;
            continue;
        };
        if Rc::strong_count(&open) > most {
            continue;
        }
        let heard = heard.clone();
        let held = open.clone();
        tokio::task::spawn_local(async move {
            let _held = held;
            let mut buffer = [0; LENGTH];
            // A silent connection ends: its other end may be long gone.
            while let Ok(Ok(_)) =
                timeout(Duration::from_secs(300), stream.read_exact(&mut buffer)).await
            {
                match Hint::parse(&buffer) {
                    Some(hint) => heard(hint.revision()),
                    None => return,
                }
            }
        });
    }
}
