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
use tokio::time::timeout;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection came about, so the request was certainly not carried out.
    #[error("not connected: {0}")]
    NotSent(String),
    /// The request may have been carried out, or may still be.
    #[error("no answer: {0}")]
    Unknown(String),
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

const MOST_BYTES: usize = 64 << 20;
const MOST_IDLE: usize = 4;

type Sender = SendRequest<Full<Bytes>>;

async fn connect(address: SocketAddr, limit: Duration) -> Result<Sender, CallError> {
    let not_sent = |e: &dyn std::fmt::Display| CallError::NotSent(e.to_string());
    let stream = timeout(limit, TcpStream::connect(address))
        .await
        .map_err(|e| not_sent(&e))?
        .map_err(|e| not_sent(&e))?;
    // Small requests must not wait for an earlier packet's acknowledgement.
    stream.set_nodelay(true).map_err(|e| not_sent(&e))?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| not_sent(&e))?;
    tokio::task::spawn_local(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%address, %error, "connection ended");
        }
    });
    Ok(sender)
}

async fn exchange(
    sender: &mut Sender,
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limit: Duration,
) -> Result<Answer, CallError> {
    let unknown = |e: &dyn std::fmt::Display| CallError::Unknown(e.to_string());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(body))
        .map_err(|e| CallError::NotSent(e.to_string()))?;
    timeout(limit, async {
        let response = sender
            .send_request(request)
            .await
            .map_err(|e| unknown(&e))?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MOST_BYTES)
            .collect()
            .await
            .map_err(|e| unknown(&e))?
            .to_bytes();
        Ok(Answer { status, body })
    })
    .await
    .map_err(|e| unknown(&e))?
}

/// One call over a connection of its own. If that can't be made, nothing was
/// sent, and nothing can arrive late.
pub async fn call_once(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
    limits: Limits,
) -> Result<Answer, CallError> {
    let mut sender = connect(address, limits.connect).await?;
    exchange(&mut sender, address, method, path, body, limits.answer).await
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
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limits: Limits,
    ) -> Result<Answer, CallError> {
        let mut sender = match self.take_idle() {
            Some(sender) => sender,
            None => connect(self.address, limits.connect).await?,
        };
        let result = exchange(&mut sender, self.address, method, path, body, limits.answer).await;
        let mut idle = self.idle.borrow_mut();
        if result.is_err() {
            idle.clear();
        } else if idle.len() < MOST_IDLE {
            idle.push(sender);
        }
        result
    }
}
