//! The books on connections that users and workers hold here: who may hold one and
//! who is read next. What is decided is in `sorrelhinge-overload`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};

use sorrelhinge_overload::admission::{AdmissionQueue, Class};
use sorrelhinge_overload::sockets::{ConnId, Limits, Opened, Sockets};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::types::Time;

/// How many may read in one turn of the runtime.
const PER_TURN: usize = 24;
/// Nobody waits for an answer for longer, in seconds (PROTOCOL: workers wait 4,
/// users 2 for a poll and 5 for a submission).
const PATIENCE_S: f64 = 4.5;

/// A place in the admission queue.
#[derive(Default)]
struct Pass {
    state: Cell<PassState>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Default)]
enum PassState {
    #[default]
    Waits,
    /// May read once.
    Granted,
    /// Waited longer than anybody waits for an answer; the connection ends.
    Late,
}

/// All connections of users and workers.
pub struct Connections {
    sockets: RefCell<Sockets>,
    admission: RefCell<AdmissionQueue<Rc<Pass>>>,
    /// Wakes [`Connections::take_turns`].
    somebody_waits: Notify,
    /// By which each open connection is told to end.
    ends: RefCell<HashMap<ConnId, Rc<Notify>>>,
    /// The next connection's id.
    next: Cell<u64>,
    /// Those that are being told that there is no free capacity.
    rejected_connections: Cell<usize>,
    /// Those that waited in vain so far.
    late: Cell<u64>,
    /// From when on [`Time`] is counted here.
    epoch: Instant,
}

impl Connections {
    /// None yet.
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            sockets: RefCell::new(Sockets::new(limits)),
            admission: RefCell::new(AdmissionQueue::new(PER_TURN, PATIENCE_S)),
            somebody_waits: Notify::new(),
            ends: RefCell::default(),
            next: Cell::new(0),
            rejected_connections: Cell::new(0),
            late: Cell::new(0),
            epoch: Instant::now(),
        })
    }

    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_secs_f64())
    }

    /// The part of the sockets that is in use.
    pub fn used(&self) -> f64 {
        self.sockets.borrow().used()
    }

    /// How many may be open.
    pub fn limits(&self) -> Limits {
        self.sockets.borrow().limits()
    }

    /// Whether there is no free capacity for more workers.
    pub fn crowded(&self) -> bool {
        let sockets = self.sockets.borrow();
        sockets.open() > sockets.limits().workers
    }

    /// How many are open: in all, and by workers.
    pub fn open(&self) -> (usize, usize) {
        let sockets = self.sockets.borrow();
        (sockets.open(), sockets.workers())
    }

    /// How many waited in vain so far.
    pub fn late(&self) -> u64 {
        self.late.get()
    }

    /// How long the longest has waited to be read, in seconds.
    pub fn wait_s(&self) -> f64 {
        self.admission.borrow().longest_s(self.now())
    }

    /// A connection was accepted: its books are opened. None if there is no free capacity.
    pub(crate) fn accepted(self: &Rc<Self>) -> Option<Accepted> {
        let id = ConnId(self.next.get());
        self.next.set(id.0 + 1);
        let opened = self.sockets.borrow_mut().opened(id, self.now());
        match opened {
            Opened::Taken => {}
            Opened::InPlaceOf(other) => {
                if let Some(end) = self.ends.borrow().get(&other) {
                    end.notify_one();
                }
            }
            Opened::Full => return None,
        }
        let end = Rc::new(Notify::new());
        self.ends.borrow_mut().insert(id, end.clone());
        let open = Open(Conn {
            id,
            all: self.clone(),
            class: Rc::new(Cell::new(Class::New)),
        });
        Some(Accepted { open, end })
    }

    /// How many are being told that there is no free capacity.
    pub(crate) fn rejected_connections(&self) -> usize {
        self.rejected_connections.get()
    }

    /// One more is being told that there is no free capacity.
    pub(crate) fn begin_turning_away(&self) {
        self.rejected_connections
            .set(self.rejected_connections.get() + 1);
    }

    /// One was told that there is no free capacity.
    pub(crate) fn end_turning_away(&self) {
        self.rejected_connections
            .set(self.rejected_connections.get() - 1);
    }

    /// Lets those who wait read, a few in each turn of the runtime.
    pub(crate) async fn take_turns(self: Rc<Self>) {
        loop {
            self.somebody_waits.notified().await;
            loop {
                let admission = self.admission.borrow_mut().admit_next(self.now());
                self.late
                    .set(self.late.get() + admission.expired.len() as u64);
                let told = [
                    (admission.admitted, PassState::Granted),
                    (admission.expired, PassState::Late),
                ];
                for (passes, state) in told {
                    for pass in passes {
                        pass.state.set(state);
                        if let Some(waker) = pass.waker.take() {
                            waker.wake();
                        }
                    }
                }
                if self.admission.borrow().waiting() == 0 {
                    break;
                }
                yield_now().await;
            }
        }
    }
}

/// One connection, for those who answer on it.
#[derive(Clone)]
pub struct Conn {
    id: ConnId,
    all: Rc<Connections>,
    class: Rc<Cell<Class>>,
}

impl Conn {
    /// A whole request came.
    pub fn asked(&self, class: Class) {
        self.class.set(class);
        self.all.sockets.borrow_mut().asked(self.id, class);
    }

    /// A request was answered. False if the connection is to end with that.
    pub(crate) fn answered(&self) -> bool {
        let now = self.all.now();
        self.all.sockets.borrow_mut().answered(self.id, now)
    }
}

/// A connection that was accepted.
pub(crate) struct Accepted {
    /// Its books.
    pub(crate) open: Open,
    /// Tells it to end, when another takes its place.
    pub(crate) end: Rc<Notify>,
}

/// Closes the books on a connection, however it ends.
pub(crate) struct Open(Conn);

impl Open {
    /// The connection, for those who answer on it.
    pub(crate) fn conn(&self) -> &Conn {
        &self.0
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let Conn { id, all, .. } = &self.0;
        all.sockets.borrow_mut().closed(*id);
        all.ends.borrow_mut().remove(id);
    }
}

/// A stream that is read only with a pass.
pub(crate) struct Gated {
    stream: TcpStream,
    conn: Conn,
    pass: Option<Rc<Pass>>,
}

impl Gated {
    /// The stream of a connection.
    pub(crate) fn new(stream: TcpStream, conn: Conn) -> Self {
        Self {
            stream,
            conn,
            pass: None,
        }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        match self.pass.as_ref().map(|p| p.state.get()) {
            Some(PassState::Waits) => {
                if let Some(pass) = &self.pass {
                    pass.waker.replace(Some(cx.waker().clone()));
                }
                return Poll::Pending;
            }
            Some(PassState::Late) => return Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Some(PassState::Granted) => self.pass = None,
            None => {
                ready!(self.stream.poll_read_ready(cx))?;
                let all = &self.conn.all;
                let mut admission = all.admission.borrow_mut();
                if !admission.try_admit() {
                    let pass = Rc::new(Pass::default());
                    pass.waker.replace(Some(cx.waker().clone()));
                    admission.enqueue(self.conn.class.get(), pass.clone(), all.now());
                    drop(admission);
                    all.somebody_waits.notify_one();
                    self.pass = Some(pass);
                    return Poll::Pending;
                }
            }
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
