//! What other agents and an origin answer over HTTP.

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::Response;

use crate::checksums;
use crate::sources::Outcome;

/// A body of so many bytes at the most.
pub(super) async fn body_of(response: Response<Incoming>, max: usize) -> Result<Bytes, Outcome> {
    let body = Limited::new(response.into_body(), max);
    let body = body.collect().await.map_err(|_| Outcome::Failed)?;
    Ok(body.to_bytes())
}

/// The body of a 200, or what another status means.
pub(super) async fn whole_body(response: Response<Incoming>) -> Result<Bytes, Outcome> {
    let after = response.headers().get("retry-after");
    let after = after.and_then(|a| a.to_str().ok()?.parse::<u32>().ok());
    match response.status().as_u16() {
        200 => body_of(response, checksums::MAX_FILE_BYTES).await,
        404 => Err(Outcome::Nothing),
        403 | 409 | 416 => Err(Outcome::Wrong),
        429 | 503 => Err(Outcome::NotYet(f64::from(after.unwrap_or(1)))),
        _ => Err(Outcome::Failed),
    }
}
