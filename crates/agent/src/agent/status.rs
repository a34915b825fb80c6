//! What an agent says of its machine, for whoever looks at it there.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, StatusCode};
use sorrelhinge_protocol::worker::Report;
use tokio::time::timeout;

use super::reports::connect;
use super::MAX_BODY_BYTES;

/// Why an agent's status is not known.
#[derive(Debug, thiserror::Error)]
pub enum StatusError {
    /// It could not be asked, or what it answered could not be read.
    #[error("{0}: {1}")]
    Failed(SocketAddr, String),
    /// It gave no answer in time.
    #[error("{0}: no answer")]
    NoAnswer(SocketAddr),
}

/// What an agent says of its machine, as a table.
pub async fn status(listen: SocketAddr) -> Result<String, StatusError> {
    let report = match timeout(Duration::from_secs(5), ask(listen)).await {
        Ok(report) => report.map_err(|e| StatusError::Failed(listen, e))?,
        Err(_) => return Err(StatusError::NoAnswer(listen)),
    };
    Ok(table(&report))
}

async fn ask(listen: SocketAddr) -> Result<Report, String> {
    let mut line = connect(listen).await?;
    let request = Request::get("/status")
        .header("host", listen.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|e| e.to_string())?;
    let response = line
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
        .collect()
        .await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    if status != StatusCode::OK {
        return Err(format!(
            "status {status}: {}",
            String::from_utf8_lossy(&body)
        ));
    }
    serde_json::from_slice::<Report>(&body).map_err(|e| e.to_string())
}

fn table(report: &Report) -> String {
    let mut text = format!(
        "{} ({}, {}): session {}, token {}, {} tasks\n",
        report.machine,
        report.build,
        report.rack,
        report.shift,
        report.baton,
        report.pieces.len()
    );
    for task in &report.pieces {
        let why = task.cause.map_or(String::new(), |c| format!(" {c:?}"));
        text += &format!(
            "{:<32} {:>4} {:?}{why}\n",
            task.piece, task.attempt, task.phase
        );
    }
    text
}
