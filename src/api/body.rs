//! Reading a request's body, within bounds of size and time.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

/// The largest body of a request, in bytes (PROTOCOL).
const MAX_BODY_BYTES: usize = 64 << 10;
/// Of a body that is larger so many more bytes are read and thrown away.
const MAX_DISCARDED_BYTES: usize = 8 << 20;
/// A body that has not come within this time is not waited for.
const BODY_PATIENCE: Duration = Duration::from_secs(10);

/// Why a request's body can't be taken.
#[derive(Debug, thiserror::Error)]
pub(super) enum BodyError {
    /// It is larger than [`MAX_BODY_BYTES`].
    #[error("body over 64 KiB")]
    TooLarge,
    /// It ended before its end, or took too long.
    #[error("incomplete body")]
    Incomplete,
}

/// Reads a request's body.
pub(super) async fn read_body(body: Incoming) -> Result<Bytes, BodyError> {
    let read = timeout(BODY_PATIENCE, collect(body)).await;
    read.unwrap_or(Err(BodyError::Incomplete))
}

/// Reads a request's body. The rest of one that is too large is read, too, as far as
/// [`MAX_DISCARDED_BYTES`] goes: a connection that ends with something unread is reset, and
/// the answer is lost with it.
async fn collect(mut body: Incoming) -> Result<Bytes, BodyError> {
    match Limited::new(&mut body, MAX_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            discard(&mut body).await;
            Err(BodyError::TooLarge)
        }
        Err(_) => Err(BodyError::Incomplete),
    }
}

/// Reads what is left of a body, within a bound.
async fn discard(body: &mut Incoming) {
    let mut discarded = 0;
    while discarded < MAX_DISCARDED_BYTES {
        let Some(Ok(frame)) = body.frame().await else {
            return;
        };
        discarded += frame.data_ref().map_or(0, Bytes::len);
    }
}
