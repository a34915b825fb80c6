//! What the agent is asked: direct commands, its status, and parts of images
//! (PROTOCOL, "Controller nodes -> workers").

use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request};
use hyper_util::rt::{TokioIo, TokioTimer};
use sorrelhinge_protocol::worker::DirectCommands;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::{Agent, MAX_BODY_BYTES};
use crate::clock;
use crate::core::{CommandOutcome, Reaction};
use crate::peer_transfer;

/// How long the body of a command may take.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a connection may be idle before its next request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(60);
/// After a connection could not be taken, as where there are too many files open.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(50);

impl Agent {
    /// Carries out what a command came to, and answers it.
    fn outcome(self: &Rc<Self>, reaction: Reaction) -> peer_transfer::Answer {
        // What is answered is on disk before it is said.
        self.do_all(reaction.actions);
        match reaction.outcome {
            CommandOutcome::Heartbeat { taken, heartbeat } if !*self.failed.borrow() => {
                let body = serde_json::to_vec(&heartbeat).unwrap_or_default();
                peer_transfer::plain(if taken { 200 } else { 409 }, body)
            }
            CommandOutcome::Heartbeat { .. } => error(503, "the disk fails"),
            CommandOutcome::NotNow => error(503, "tasks are being killed"),
        }
    }

    /// The answer to any request: parts of images are handed on, all else is a command.
    async fn answer(
        self: &Rc<Self>,
        from: IpAddr,
        request: Request<Incoming>,
    ) -> peer_transfer::Answer {
        if let Some(image_server) = &self.image_server {
            if request.uri().path().starts_with("/images/") {
                let range = request.headers().get("range");
                // A range that can't be read is one that can't be had.
                let range = range.map(|r| r.to_str().unwrap_or_default());
                let (method, uri) = (request.method(), request.uri());
                return image_server.answer(from, method, uri, range).await;
            }
        }
        self.command(request).await
    }

    /// The answer to a request of a controller, or of whoever looks at the machine.
    async fn command(self: &Rc<Self>, request: Request<Incoming>) -> peer_transfer::Answer {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        match (method, path.as_str()) {
            (Method::GET, "/status") => {
                let reaction = self.core.borrow_mut().status(clock::now());
                self.outcome(reaction)
            }
            (Method::POST, "/orders") => {
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
                let body = match timeout(BODY_TIMEOUT, body).await {
                    Ok(Ok(body)) => body.to_bytes(),
                    _ => return error(400, "incomplete body"),
                };
                let commands: DirectCommands = match serde_json::from_slice(&body) {
                    Ok(commands) => commands,
                    Err(why) => return error(400, &why.to_string()),
                };
                let reaction = self.core.borrow_mut().commands(&commands, clock::now());
                self.outcome(reaction)
            }
            _ => error(404, "no such path"),
        }
    }
}

/// An answer that tells what is wrong.
fn error(status: u16, why: &str) -> peer_transfer::Answer {
    let body = serde_json::json!({ "error": why });
    peer_transfer::plain(status, body.to_string())
}

/// Takes connections, and answers what comes over them, for ever.
pub(super) async fn serve(agent: Rc<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let agent = agent.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let agent = agent.clone();
                async move { Ok::<_, Infallible>(agent.answer(from.ip(), request).await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection failed");
            }
        });
    }
}
