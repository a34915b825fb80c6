//! HTTP/1.1 calls with time limits. Errors distinguish requests that were certainly not
//! carried out from requests that may have been.

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

/// Reason why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection was established, so the request was certainly not carried out.
    #[error("not connected: {0}")]
    NotSent(#[source] TransportError),
    /// The request may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(#[source] TransportError),
}

/// Failure below the level of HTTP answers.
#[derive(Debug, thiserror::Error)]
pub enum TransportError {
    /// The time limit passed.
    #[error(transparent)]
    Timeout(#[from] Elapsed),
    /// No connection was established.
    #[error(transparent)]
    Connect(#[from] std::io::Error),
    /// The method, path and address do not form a valid request.
    #[error(transparent)]
    Request(#[from] hyper::http::Error),
    /// The connection failed, or the received data is not HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The answer's body is incomplete or longer than 64 MiB.
    #[error(transparent)]
    Body(Box<dyn std::error::Error + Send + Sync>),
}

/// Time limits of a call.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Time limit for establishing the connection.
    pub connect: Duration,
    /// Time limit for the whole answer once there is a connection.
    pub answer: Duration,
}

/// Answer to a call.
#[derive(Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Complete body of the answer.
    pub body: Bytes,
}

/// Maximum size in bytes of the body of an answer.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Maximum number of idle connections that a pool keeps open.
const MAX_IDLE_CONNECTIONS: usize = 4;

type Sender = SendRequest<Full<Bytes>>;

/// Opens a connection. A local task drives the connection, and ends when the sender is
/// dropped or the peer closes the connection.
async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender, TransportError> {
    let stream = timeout(limit, TcpStream::connect(address)).await??;
    // A small request must not wait for the acknowledgement of an earlier packet.
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

/// Sends a request within a time limit. Does not send an invalid request.
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

/// Makes one call over a connection of its own. If the connection cannot be established,
/// nothing was sent and nothing can arrive late.
///
/// # Errors
///
/// There was no connection, no answer in time, or an answer that is not HTTP.
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

/// Pool of open connections to one address.
pub struct Pool {
    address: SocketAddr,
    idle: RefCell<Vec<Sender>>,
}

impl Pool {
    /// Returns an empty pool for one address.
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

    /// Makes one call over an idle connection, or over a new one if none is idle. A
    /// connection that fails makes the pool drop its idle connections, because they lead to
    /// the same peer.
    ///
    /// # Errors
    ///
    /// There was no connection, no answer in time, or an answer that is not HTTP.
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
