//! Asking controllers over HTTP: each in turn, until one decides.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use clap::Args;
use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::error::{AskError, CliError};
use crate::http::{call_once, Answer, Limits};

/// For one controller's answer.
const LIMITS: Limits = Limits {
    connect: Duration::from_secs(2),
    answer: Duration::from_secs(10),
};
/// How often all are asked: the one that owns the machines may just be changing.
const ROUNDS: u32 = 3;
/// Between two rounds.
const ROUND_PAUSE: Duration = Duration::from_secs(1);

/// Controllers to ask.
#[derive(Args, Debug)]
pub struct Controllers {
    /// A controller's address; several are tried in turn.
    #[arg(
        long = "controller",
        value_name = "ADDRESS",
        default_value = "127.0.0.1:8080"
    )]
    controllers: Vec<SocketAddr>,
}

/// The body of a refusal.
#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

/// What all controllers are asked.
struct OperatorRequest<'a> {
    method: Method,
    path: &'a str,
    body: Bytes,
}

impl Controllers {
    /// Asks for what is at `path`.
    pub(super) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CliError> {
        let request = OperatorRequest {
            method: Method::GET,
            path,
            body: Bytes::new(),
        };
        Ok(self.ask(&request).await?)
    }

    /// Asks for a change, described by `body`.
    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &impl Serialize,
    ) -> Result<T, CliError> {
        let request = OperatorRequest {
            method: Method::POST,
            path,
            body: serde_json::to_vec(body)?.into(),
        };
        Ok(self.ask(&request).await?)
    }

    /// Asks the controllers in turn until one decides.
    async fn ask<T: DeserializeOwned>(&self, request: &OperatorRequest<'_>) -> Result<T, AskError> {
        let mut last = AskError::NoController;
        for round in 0..ROUNDS {
            if round > 0 {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
            for address in &self.controllers {
                match request.ask(*address).await {
                    Err(error) if error.may_pass() => last = error,
                    decided => return decided,
                }
            }
        }
        Err(last)
    }
}

impl OperatorRequest<'_> {
    /// Asks one controller.
    async fn ask<T: DeserializeOwned>(&self, address: SocketAddr) -> Result<T, AskError> {
        let body = self.body.clone();
        let answer = call_once(address, self.method.clone(), self.path, body, LIMITS)
            .await
            .map_err(|source| AskError::NoAnswer { address, source })?;
        if answer.status.as_u16() != 200 {
            return Err(refusal(address, &answer));
        }
        serde_json::from_slice(&answer.body)
            .map_err(|source| AskError::Malformed { address, source })
    }
}

/// What a controller says that does not do what it is asked.
fn refusal(address: SocketAddr, answer: &Answer) -> AskError {
    let why = match serde_json::from_slice::<ErrorBody>(&answer.body) {
        Ok(body) => body.error,
        Err(_) => String::from_utf8_lossy(&answer.body).into_owned(),
    };
    AskError::Refused {
        address,
        status: answer.status.as_u16(),
        why,
    }
}
