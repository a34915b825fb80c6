//! Heartbeats and their answers on the line (PROTOCOL, "Workers -> controller nodes").

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use sorrelhinge_protocol::worker::Heartbeat;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::timeout;

use super::{Agent, MAX_BODY_BYTES};
use crate::client::RequestError;
use crate::clock;
use crate::core::{Answer, ANSWER_TIMEOUT_S};
use crate::settings::Controller;

/// A connection that requests go out on.
pub(super) type Line = SendRequest<Full<Bytes>>;

/// The body of a 421.
#[derive(Deserialize)]
struct Foreman {
    foreman: Option<String>,
}

impl Agent {
    /// Sends a heartbeat to a controller, and has the core act on the outcome.
    pub(super) async fn send(self: Rc<Self>, target: usize, heartbeat: Heartbeat) {
        let sent = self.core.borrow().sent();
        let answered = self.exchange(target, &heartbeat);
        let answer = timeout(Duration::from_secs_f64(ANSWER_TIMEOUT_S), answered).await;
        let answer = answer.unwrap_or_else(|_| {
            self.lines.borrow_mut().remove(&target);
            Answer::None
        });
        let Some(sent) = sent else { return };
        let actions = self.core.borrow_mut().answered(sent, answer, clock::now());
        self.do_all(actions);
    }

    /// Sends a heartbeat over the open connection, or a new one, and reads the answer.
    async fn exchange(&self, target: usize, heartbeat: &Heartbeat) -> Answer {
        let Some(controller) = self.settings.controllers.get(target) else {
            return Answer::None;
        };
        let Some(mut line) = self.line_to(target, controller).await else {
            return Answer::None;
        };
        let Ok(body) = serde_json::to_vec(heartbeat) else {
            return Answer::None;
        };
        let request = Request::post("/agent/beat")
            .header("host", controller.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return Answer::None;
        };
        let Ok(response) = line.send_request(request).await else {
            return Answer::None;
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let Ok(body) = body.map(|collected| collected.to_bytes()) else {
            return Answer::None;
        };
        if status == 200 {
            self.lines.borrow_mut().insert(target, line);
        }
        read_answer(controller, status, &body)
    }

    /// The connection to a controller: the one that is open, or a new one.
    async fn line_to(&self, target: usize, controller: &Controller) -> Option<Line> {
        let line = self.lines.borrow_mut().remove(&target);
        if let Some(line) = line.filter(SendRequest::is_ready) {
            return Some(line);
        }
        match connect(controller.address).await {
            Ok(line) => Some(line),
            Err(error) => {
                tracing::debug!(controller = %controller.node, %error, "controller unreachable");
                None
            }
        }
    }
}

/// What a controller's answer means.
fn read_answer(controller: &Controller, status: u16, body: &[u8]) -> Answer {
    match status {
        200 => match serde_json::from_slice(body) {
            Ok(reply) => Answer::Reply(reply),
            // Without a fencing token it is dropped.
            Err(error) => {
                tracing::error!(controller = %controller.node, %error, "malformed answer");
                Answer::None
            }
        },
        421 => {
            let named = serde_json::from_slice::<Foreman>(body);
            Answer::Elsewhere(named.ok().and_then(|f| f.foreman))
        }
        _ => Answer::None,
    }
}

/// A new connection to a controller or an agent.
pub(super) async fn connect(to: SocketAddr) -> Result<Line, RequestError> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let (line, connection) = handshake(TokioIo::new(stream)).await?;
    spawn_local(connection);
    Ok(line)
}
