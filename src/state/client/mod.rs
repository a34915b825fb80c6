//! Client of the state service: transactions, reads, watches and leases (PROTOCOL,
//! "Controller nodes -> state service"). It paces requests and changes by two budgets and
//! learns from refusals how many changes the service takes.
//!
//! This file has the client's state and the way of every request; `request` what is sent
//! and answered; `transactions`, `reads` and `leases` a kind of request each.

mod leases;
mod reads;
mod request;
mod transactions;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_overload::state_limits::ChangeRate;
use tokio::time::Instant;

pub use self::reads::StoreSnapshot;
use self::request::{StateReply, StateRequest};
use super::budget::{Budget, RequestPriority};
use super::error::{RefusedCause, StateError, UnknownCause};
use crate::config::StateLimits;
use crate::http::{CallError, Limits, Pool};

/// For a connection to the service.
const CONNECT: Duration = Duration::from_millis(800);

/// Client of the state service.
pub struct StateClient {
    pool: Pool,
    /// Requests.
    pub requests: Budget,
    /// Changes.
    pub writes: Budget,
    /// The last request that was sent came to nothing.
    failing: Cell<bool>,
    limits: StateLimits,
    change_rate: RefCell<ChangeRate>,
    begun: Instant,
}

impl StateClient {
    /// For the service at `address`; `rps` requests a second are this controller's share.
    pub fn new(address: SocketAddr, rps: f64, limits: StateLimits) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::new(address),
            requests: Budget::new(rps),
            writes: Budget::new(limits.write_rps),
            failing: Cell::new(false),
            limits,
            change_rate: RefCell::new(ChangeRate::new(limits.write_rps, limits.next_write_rps)),
            begun: Instant::now(),
        })
    }

    /// Changes a second that all controllers together may make, as far as is known.
    pub fn change_rate(&self) -> f64 {
        self.change_rate.borrow().in_force()
    }

    /// Whether the smaller limits (`state.next`) are known to be in force.
    pub fn limits_fell(&self) -> bool {
        self.change_rate.borrow().is_lowered()
    }

    /// Another controller knows that the smaller limits are in force. Returns whether that
    /// is new.
    pub fn note_lower_limits(&self) -> bool {
        self.change_rate.borrow_mut().lower()
    }

    /// Whether the service did not serve the last request that was sent to it. What
    /// is over this controller's share is not sent, and shows nothing of it.
    pub fn fails(&self) -> bool {
        self.failing.get()
    }

    /// Sends one request once its budget allows, and notes whether the service serves.
    async fn call(&self, request: StateRequest<'_>) -> Result<StateReply, StateError> {
        self.take_request(request.urgency).await?;
        let path = request.path;
        let result = self.exchange(request).await;
        self.failing.set(matches!(
            result,
            Err(StateError::Refused(_) | StateError::Unknown(_))
        ));
        if let Err(error) = &result {
            tracing::debug!(path, %error, "store request failed");
        }
        result
    }

    /// Takes one request from the budget, waiting for it as `urgency` allows.
    async fn take_request(&self, urgency: RequestPriority) -> Result<(), StateError> {
        match urgency {
            RequestPriority::First => self.requests.force(1.0),
            RequestPriority::Within(patience) => {
                if !self.requests.wait(1.0, patience).await {
                    return Err(StateError::Refused(RefusedCause::OverBudget));
                }
            }
        }
        Ok(())
    }

    /// Sends one request. Refusals that any request can meet are errors.
    async fn exchange(&self, request: StateRequest<'_>) -> Result<StateReply, StateError> {
        let limits = Limits {
            connect: CONNECT,
            answer: request.timeout,
        };
        let answer = self
            .pool
            .call(request.method, request.path, request.body, limits)
            .await?;
        match answer.status.as_u16() {
            429 => Err(StateError::TooMany),
            503 => Err(StateError::Refused(RefusedCause::Unavailable)),
            status => Ok(StateReply {
                status,
                body: answer.body,
            }),
        }
    }
}

impl From<CallError> for StateError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::NotSent(exit_reason) => Self::Refused(RefusedCause::NotSent(exit_reason)),
            CallError::Unknown(exit_reason) => Self::Unknown(UnknownCause::NoAnswer(exit_reason)),
        }
    }
}
