//! Connections that users and workers hold here: who may hold one, who is read
//! next, and how each ends. What is decided is in `sorrelhinge-overload`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::Duration;

use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sorrelhinge_overload::admission::{AdmissionQueue, Class};
use sorrelhinge_overload::sockets::{ConnId, Limits, Opened, Sockets};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep, timeout, Instant};

use crate::api;
use crate::control::Node;
use crate::types::Time;

/// How many may read in one turn of the runtime.
const PER_TURN: usize = 24;
/// Nobody waits for an answer for longer, in seconds (PROTOCOL: workers wait 4,
/// users 2 for a poll and 5 for a submission).
const PATIENCE_S: f64 = 4.5;
/// A connection that is to end is given so long for what it is at.
const END: Duration = Duration::from_secs(1);
/// An idle connection ends after this time.
const IDLE: Duration = Duration::from_secs(60);
/// How many at a time are told that there is no room.
const MOST_TURNED_AWAY: usize = 32;

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
    Granted,
    Late,
}

/// All connections of users and workers.
pub struct Connections {
    sockets: RefCell<Sockets>,
    admission: RefCell<AdmissionQueue<Rc<Pass>>>,
    somebody_waits: Notify,
    ends: RefCell<HashMap<ConnId, Rc<Notify>>>,
    next: Cell<u64>,
    turned_away: Cell<usize>,
    late: Cell<u64>,
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
            turned_away: Cell::new(0),
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

    /// Whether there is no room for more workers.
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

    /// Lets those who wait read, a few in each turn of the runtime.
    async fn take_turns(self: Rc<Self>) {
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
}

/// Closes the books on a connection, however it ends.
struct Open(Conn);

impl Drop for Open {
    fn drop(&mut self) {
        let Conn { id, all, .. } = &self.0;
        all.sockets.borrow_mut().closed(*id);
        all.ends.borrow_mut().remove(id);
    }
}

/// A stream that is read only with a pass.
struct Gated {
    stream: TcpStream,
    conn: Conn,
    pass: Option<Rc<Pass>>,
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

/// Serves connections until cancelled.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let all = node.connections().clone();
    spawn_local(all.clone().take_turns());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "accept");
                sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let id = ConnId(all.next.get());
        all.next.set(id.0 + 1);
        let opened = all.sockets.borrow_mut().opened(id, all.now());
        match opened {
            Opened::Taken => {}
            Opened::InPlaceOf(other) => {
                if let Some(end) = all.ends.borrow().get(&other) {
                    end.notify_one();
                }
            }
            Opened::Full => {
                // The others wait to be accepted, which a load balancer sees.
                while all.turned_away.get() >= MOST_TURNED_AWAY {
                    sleep(Duration::from_millis(20)).await;
                }
                spawn_local(turn_away(all.clone(), stream));
                continue;
            }
        }
        let end = Rc::new(Notify::new());
        all.ends.borrow_mut().insert(id, end.clone());
        let open = Open(Conn {
            id,
            all: all.clone(),
            class: Rc::new(Cell::new(Class::New)),
        });
        spawn_local(attend(node.clone(), open, stream, end));
    }
}

/// Answers one connection until either side ends it, or it is to end.
async fn attend(node: Rc<Node>, open: Open, stream: TcpStream, end: Rc<Notify>) {
    let _ = stream.set_nodelay(true);
    let conn = open.0.clone();
    let gated = Gated {
        stream,
        conn: conn.clone(),
        pass: None,
    };
    let service = service_fn(move |request| {
        let (node, conn) = (node.clone(), conn.clone());
        async move {
            let mut response = api::answer(&node, &conn, request).await;
            let stays = conn
                .all
                .sockets
                .borrow_mut()
                .answered(conn.id, conn.all.now());
            if !stays {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut connection = pin!(hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        // Also ends connections on which nothing is asked any more.
        .header_read_timeout(IDLE)
        .max_buf_size(128 << 10)
        .serve_connection(TokioIo::new(gated), service));
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = end.notified() => {
            connection.as_mut().graceful_shutdown();
            let Ok(result) = timeout(END, connection).await else { return };
            result
        }
    };
    if let Err(error) = result {
        tracing::debug!(%error, "connection");
    }
}

/// Tells somebody for whom there is no room to come back.
fn turn_away(all: Rc<Connections>, mut stream: TcpStream) -> impl Future<Output = ()> {
    const WHY: &str = "{\"error\":\"no room for a connection now\"}";
    // Counted, not written down: it was two too few once, users got half a
    // JSON object, and nobody saw it before the sockets ran out.
    let told = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{WHY}",
        WHY.len()
    );
    all.turned_away.set(all.turned_away.get() + 1);
    async move {
        // What was sent is read, or the answer would be lost with it.
        let mut asked = [0; 2048];
        let _ = timeout(Duration::from_millis(300), stream.read(&mut asked)).await;
        let _ = timeout(
            Duration::from_millis(300),
            stream.write_all(told.as_bytes()),
        )
        .await;
        let _ = stream.shutdown().await;
        all.turned_away.set(all.turned_away.get() - 1);
    }
}
