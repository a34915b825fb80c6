//! Answers that go out piece by piece, bounded in number and in their rate all
//! together.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io::{Error, Result};
use std::ops::Range;
use std::os::unix::fs::FileExt;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use sorrelhinge_protocol::types::Time;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::clock;

/// Bytes that go out at a time: between two of them anything else of the agent
/// has its turn.
const SEND_BYTES: u64 = 128 << 10;
/// A wait that is shorter is left to the next piece: timers go by milliseconds,
/// and one for each piece would bound an upload far below any rate.
const MIN_WAIT_S: f64 = 0.002;
/// Who takes less than this, bytes a second, doesn't keep a slot.
pub const MIN_RATE_BYTES_PER_S: f64 = 1e6;
/// A body that comes piece by piece, its length known.
pub struct Pieces {
    from: mpsc::Receiver<Result<Bytes>>,
    left: u64,
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        self.from
            .poll_recv(context)
            .map(|task_name| match task_name {
                Some(Ok(bytes)) => {
                    self.left = self.left.saturating_sub(bytes.len() as u64);
                    Some(Ok(Frame::data(bytes)))
                }
                Some(Err(error)) => Some(Err(error)),
                // Half a body must not look like a whole one.
                None if self.left > 0 => Some(Err(Error::other("cut short"))),
                None => None,
            })
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }
}

/// The bound on what goes out, for all uploads together.
#[derive(Debug)]
pub struct Rate {
    bytes_per_s: f64,
    free: Time,
}

impl Rate {
    /// A bound of so many bytes a second, with nothing on its way yet.
    pub fn new(bytes_per_s: f64) -> Self {
        Self {
            bytes_per_s,
            free: Time(0.0),
        }
    }

    /// How many seconds so many bytes have to wait, if they come now.
    pub fn wait(&mut self, bytes: u64, now: Time) -> f64 {
        let begin = Time(self.free.0.max(now.0));
        self.free = begin.after(bytes as f64 / self.bytes_per_s);
        begin.since(now)
    }
}

/// One of a bounded number, given back when it is dropped.
pub(crate) struct Slot(Rc<Cell<usize>>);

impl Slot {
    /// Takes one, if any is free.
    pub(crate) fn take(free: &Rc<Cell<usize>>) -> Option<Self> {
        free.set(free.get().checked_sub(1)?);
        Some(Self(free.clone()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.set(self.0.get() + 1);
    }
}

/// Where the bytes of an answer are.
pub(crate) enum ByteBody {
    /// All of these.
    Memory(Bytes),
    /// Those of a file, from this one on.
    File { file: Arc<File>, from: u64 },
}

impl ByteBody {
    /// So many bytes, `offset` behind the first of the answer.
    async fn read(&self, offset: u64, size: u64) -> Result<Bytes> {
        match self {
            Self::Memory(all) => Ok(all.slice(offset as usize..(offset + size) as usize)),
            Self::File { file, from } => {
                let (file, at) = (file.clone(), from + offset);
                let read = tokio::task::spawn_blocking(move || {
                    let mut buffer = vec![0; size as usize];
                    file.read_exact_at(&mut buffer, at)?;
                    Ok(Bytes::from(buffer))
                });
                read.await.unwrap_or_else(|e| Err(Error::other(e)))
            }
        }
    }
}

/// An answer that goes out piece by piece.
pub(crate) struct Upload {
    pub(crate) bytes: ByteBody,
    /// How many bytes it has.
    pub(crate) length: u64,
    /// What all uploads share.
    pub(crate) rate: Rc<RefCell<Rate>>,
    /// How long whoever takes it may keep it waiting, all in all.
    pub(crate) patience: Duration,
    /// Held until it is over.
    pub(crate) slot: Slot,
}

impl Upload {
    /// Sends it from a routine of its own, as the rate allows; the body that it is.
    pub(crate) fn start(self) -> Pieces {
        let (to, from) = mpsc::channel(1);
        let left = self.length;
        spawn_local(self.send(to));
        Pieces { from, left }
    }

    async fn send(self, to: mpsc::Sender<Result<Bytes>>) {
        let _slot = self.slot;
        let mut blocked = Duration::ZERO;
        let mut sent = 0;
        while sent < self.length {
            let size = SEND_BYTES.min(self.length - sent);
            let wait = self.rate.borrow_mut().wait(size, clock::now());
            if wait > MIN_WAIT_S {
                sleep(Duration::from_secs_f64(wait)).await;
            }
            let task_name = self.bytes.read(sent, size).await;
            let failed = task_name.is_err();
            // Who doesn't take what is sent must not keep the slot.
            let left = self.patience.saturating_sub(blocked);
            let before = Instant::now();
            match timeout(left, to.send(task_name)).await {
                Ok(Ok(())) if !failed => {}
                _ => return,
            }
            blocked += before.elapsed();
            sent += size;
        }
    }
}

/// The bytes that a `Range` names of so many. One range only; none if there are no
/// such bytes.
pub fn span(range: &str, of: u64) -> Option<Range<u64>> {
    let (from, to) = range.strip_prefix("bytes=")?.split_once('-')?;
    let number = |text: &str| text.parse::<u64>().ok();
    let (from, to) = match (from, to) {
        ("", last) => (of.saturating_sub(number(last)?), of),
        (from, "") => (number(from)?, of),
        (from, to) => (number(from)?, number(to)?.checked_add(1)?.min(of)),
    };
    (from < to).then_some(from..to)
}
