//! HTTP/1.1 calls with time limits, telling apart what was certainly not
//! carried out from what may have been.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::error::Elapsed;
use tokio::time::timeout;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came about, so the request was certainly not carried out.
    #[error("not connected: {0}")]
    NotSent(#[source] TransportError),
    /// The request may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(#[source] TransportError),
}

/// What failed below HTTP's own answers.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The time limit passed.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// No connection came about.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The method, path or address make no request.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or what came over it is not HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The answer's body did not come whole, or is longer than 64 MiB.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// A call's time limits.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// For the connection.
    pub connect: Duration,
    /// For the answer.
    pub answer: Duration,
}

/// An answer.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

/// The longest body of an answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Connections to one address that are kept open while nothing is asked.
const MAX_IDLE_CONNECTIONS: usize = 4;

type Sender = SendRequest<Full<Bytes>>;

/// Opens a connection. Its task ends with it: when the sender is dropped, or the other end
/// closes.
async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender, TransportError> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    // Small requests must not wait for an earlier packet's acknowledgement.
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection ended");
        }
    });
    Ok(sender)
}

fn request(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, TransportError> {
    Ok(Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))?)
}

/// Sends a request and reads the whole answer.
async fn send(
    sender: &mut Sender,
    request: Request<Full<Bytes>>,
) -> Result<Answer, TransportError> {
    let response = sender.send_request(request).await?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await
        .map_err(TransportError::Body)?
        .to_bytes();
    Ok(Answer { status, body })
}

/// Sends a request within a time limit; one that can't be made is not sent.
async fn exchange(
    sender: &mut Sender,
    request: Result<Request<Full<Bytes>>, TransportError>,
    limit: Duration,
) -> Result<Answer, CallError> {
    let request = request.map_err(CallError::NotSent)?;
    match timeout(limit, send(sender, request)).await {
        Ok(result) => result.map_err(CallError::Unknown),
        Err(elapsed) => Err(CallError::Unknown(elapsed.into())),
    }
}

/// One call over a connection of its own. If that can't be made, nothing was
/// sent, and nothing can arrive late.
///
/// # Errors
///
/// No connection, no answer in time, or one that is no HTTP.
pub async fn call_once(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limits: Limits,
) -> Result<Answer, CallError> {
    let mut sender = connect(address, limits.connect)
        .await
        .map_err(CallError::NotSent)?;
    let request = request(address, method, path, body);
    exchange(&mut sender, request, limits.answer).await
}

/// Calls over connections that stay open.
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Sender>>,
}

impl Pool {
    /// For one address.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: RefCell::default(),
        }
    }

    fn take_idle(&self) -> Option<Sender> {
        let mut idle = self.idle.borrow_mut();
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// One call. A connection that fails takes the idle ones with it: they
    /// lead to the same place.
    ///
    /// # Errors
    ///
    /// No connection, no answer in time, or one that is no HTTP.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Answer, CallError> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => connect(self.address, limits.connect)
                .await
                .map_err(CallError::NotSent)?,
        };
        let request = request(self.address, method, path, body);
        let result = exchange(&mut sender, request, limits.answer).await;
        let mut idle = self.idle.borrow_mut();
        if result.is_err() {
            idle.clear();
        } else if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(sender);
        }
        result
    }
}
