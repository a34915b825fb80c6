//! Streams that are read in turns: each waits in the admission queue until it may be read.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::Conn;

/// A place in the admission queue.
#[derive(Default)]
pub(super) struct Pass {
    state: Cell<PassState>,
    waker: RefCell<Option<Waker>>,
}

#[derive(Clone, Copy, Default)]
pub(super) enum PassState {
    /// In the queue.
    #[default]
    Waits,
    /// The connection may be read once.
    Granted,
    /// Waited longer than any client waits for an answer; the connection ends.
    Late,
}

impl Pass {
    /// Ends the wait.
    pub(super) fn decide(&self, state: PassState) {
        self.state.set(state);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Has `waker` woken once it is decided.
    fn wake_by(&self, waker: &Waker) {
        self.waker.replace(Some(waker.clone()));
    }
}

impl Conn {
    /// Whether it may be read now.
    ///
    /// # Errors
    ///
    /// Its place in the queue, if it has to wait; `waker` is woken once that is decided.
    fn admit(&self, waker: &Waker) -> Result<(), Rc<Pass>> {
        let mut admission = self.all.admission.borrow_mut();
        if admission.try_admit() {
            return Ok(());
        }
        let pass = Rc::new(Pass::default());
        pass.wake_by(waker);
        admission.enqueue(self.class.get(), pass.clone(), self.all.now());
        drop(admission);
        self.all.read_requested.notify_one();
        Err(pass)
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
                    pass.wake_by(cx.waker());
                }
                return Poll::Pending;
            }
            Some(PassState::Late) => return Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Some(PassState::Granted) => self.pass = None,
            None => {
                ready!(self.stream.poll_read_ready(cx))?;
                if let Err(pass) = self.conn.admit(cx.waker()) {
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
