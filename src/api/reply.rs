//! Answers over HTTP: a status and a JSON object. Each with status 503 says when to ask
//! again (PROTOCOL).

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use serde_json::{json, Value};

use crate::peer_link::Answered;

/// An answer.
pub(crate) type Reply = Response<Full<Bytes>>;

/// An answer of this status and body.
pub(super) fn reply(status: u16, body: Value) -> Reply {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or_default();
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if status == 503 {
        headers.insert(RETRY_AFTER, HeaderValue::from_static("1"));
    }
    response
}

/// Not now, but after so many seconds.
pub(super) fn later(seconds: u32, why: &str) -> Reply {
    let mut response = refuse(503, why);
    let headers = response.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// A refusal that says why.
pub(super) fn refuse(status: u16, why: &str) -> Reply {
    reply(status, json!({ "error": why }))
}

/// An answer that another controller gave.
pub(super) fn passed(answered: Answered) -> Reply {
    let mut response = reply(answered.status, Value::Null);
    *response.body_mut() = Full::new(Bytes::from(answered.text));
    response
}
