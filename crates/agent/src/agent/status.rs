//! What an agent says of its machine, for whoever looks at it there.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, StatusCode};
use sorrelhinge_protocol::worker::Heartbeat;
use tokio::time::timeout;

use super::heartbeats::connect;
use super::MAX_BODY_BYTES;
use crate::client::RequestError;

/// How long an agent has to answer.
const STATUS_TIMEOUT: Duration = Duration::from_secs(5);

/// Why an agent's status is not known.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// It could not be asked, or its answer broke off.
    #[error("{listen}: {source}")]
    Request {
        /// Where the agent takes commands.
        listen: SocketAddr,
        /// Why.
        source: RequestError,
    },
    /// It answered with another status than 200.
    #[error("{listen}: status {status}: {body}")]
    Status {
        /// Where the agent takes commands.
        listen: SocketAddr,
        /// The answer's status.
        status: StatusCode,
        /// The answer's body.
        body: String,
    },
    /// What it answered is no heartbeat.
    #[error("{listen}: {source}")]
    Malformed {
        /// Where the agent takes commands.
        listen: SocketAddr,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// It gave no answer in time.
    #[error("{listen}: no answer")]
    NoAnswer {
        /// Where the agent takes commands.
        listen: SocketAddr,
    },
}

/// What an agent says of its machine, as a table.
///
/// # Errors
/// The agent does not answer, or not with a heartbeat.
pub async fn status(listen: SocketAddr) -> Result<String, StatusError> {
    let asked = timeout(STATUS_TIMEOUT, ask(listen)).await;
    let answer = asked
        .map_err(|_| StatusError::NoAnswer { listen })?
        .map_err(|source| StatusError::Request { listen, source })?;
    if answer.status() != StatusCode::OK {
        return Err(StatusError::Status {
            listen,
            status: answer.status(),
            body: String::from_utf8_lossy(answer.body()).into_owned(),
        });
    }
    let heartbeat = serde_json::from_slice(answer.body())
        .map_err(|source| StatusError::Malformed { listen, source })?;
    Ok(table(&heartbeat))
}

/// The agent's answer, whatever its status.
async fn ask(listen: SocketAddr) -> Result<Response<Bytes>, RequestError> {
    let mut line = connect(listen).await?;
    let request = Request::get("/status")
        .header("host", listen.to_string())
        .body(Full::new(Bytes::new()))?;
    let response = line.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await?;
    Ok(Response::from_parts(head, body.to_bytes()))
}

/// A heartbeat as a table, one line a task.
fn table(heartbeat: &Heartbeat) -> String {
    let mut text = format!(
        "{} ({}, {}): session {}, token {}, {} tasks\n",
        heartbeat.machine,
        heartbeat.machine_type,
        heartbeat.zone,
        heartbeat.incarnation,
        heartbeat.fencing_token,
        heartbeat.tasks.len()
    );
    for task in &heartbeat.tasks {
        let why = task
            .exit_reason
            .map_or(String::new(), |c| format!(" {c:?}"));
        text += &format!(
            "{:<32} {:>4} {:?}{why}\n",
            task.task_name, task.attempt, task.phase
        );
    }
    text
}
