//! Serving users and workers: accepting connections, and how each ends. How many may be
//! open and which is read next is in [`crate::connections`].

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use hyper::header::{HeaderValue, CONNECTION};
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::api;
use crate::connections::{Accepted, Connections, Gated};
use crate::control::Node;

/// A connection that is to end is given so long for what it is at.
const END: Duration = Duration::from_secs(1);
/// An idle connection ends after this time.
const IDLE: Duration = Duration::from_secs(60);
/// Connections that are rejected with 503 at a time.
const MAX_REJECTED_CONNECTIONS: usize = 32;
/// While so many are, no connection is accepted; after this time it is tried again.
const REJECTION_PAUSE: Duration = Duration::from_millis(20);
/// After a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// A client that is rejected has so long to send, and as long to receive.
const REJECTION_TIMEOUT: Duration = Duration::from_millis(300);
/// The most that is buffered of a connection, in bytes: two of the largest bodies.
const MAX_BUFFER: usize = 128 << 10;

/// Serves connections until cancelled. Each connection is a task of its own, which ends
/// with it and then counts as closed, as `Accepted::open` is dropped; all are cancelled with the set of
/// tasks that this one belongs to.
pub async fn serve(node: Rc<Node>, listener: TcpListener) {
    let all = node.connections().clone();
    spawn_local(all.clone().take_turns());
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::debug!(%error, "accepting a connection failed");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Some(accepted) = all.accepted() else {
            // The others wait to be accepted, which a load balancer sees.
            while all.rejected_connections() >= MAX_REJECTED_CONNECTIONS {
                sleep(REJECTION_PAUSE).await;
            }
            spawn_local(reject_connection(all.clone(), stream));
            continue;
        };
        spawn_local(attend(node.clone(), accepted, stream));
    }
}

/// Answers one connection until either side ends it, or it is to end.
async fn attend(node: Rc<Node>, accepted: Accepted, stream: TcpStream) {
    let Accepted { open, end } = accepted;
    let _ = stream.set_nodelay(true);
    let conn = open.conn().clone();
    let gated = Gated::new(stream, conn.clone());
    let service = service_fn(move |request| {
        let (node, conn) = (node.clone(), conn.clone());
        async move {
            let mut response = api::answer(&node, &conn, request).await;
            if !conn.answered() {
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
        .max_buf_size(MAX_BUFFER)
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
        tracing::debug!(%error, "connection failed");
    }
}

/// Rejects a connection: the client is to come back later.
fn reject_connection(all: Rc<Connections>, mut stream: TcpStream) -> impl Future<Output = ()> {
    const WHY: &str = "{\"error\":\"no room for a connection now\"}";
    // Counted, not written down: it was two too few once, users got half a
    // JSON object, and nobody saw it before the sockets ran out.
    let response = format!(
        "HTTP/1.1 503 Service Unavailable\r\nretry-after: 2\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{WHY}",
        WHY.len()
    );
    all.begin_rejection();
    async move {
        // What was sent is read, or the answer would be lost with it.
        let mut request = [0; 2048];
        let _ = timeout(REJECTION_TIMEOUT, stream.read(&mut request)).await;
        let _ = timeout(REJECTION_TIMEOUT, stream.write_all(response.as_bytes())).await;
        let _ = stream.shutdown().await;
        all.end_rejection();
    }
}
