//! Client of the state service for transactions, reads, watches and leases (PROTOCOL,
//! "Controller nodes -> state service"). Two budgets pace its requests and its changes. The
//! client lowers its rate of changes when refusals show that the service takes fewer changes.
//!
//! This file has the client's state and the common path of all requests. Module `request` has
//! the types of requests and answers; `transactions`, `reads` and `leases` each have one kind
//! of request.

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

/// Time limit for connecting to the service.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);

/// Client of the state service.
pub struct StateClient {
    pool: Pool,
    /// Budget of requests.
    pub requests: Budget,
    /// Budget of changes: each written or deleted key costs one.
    pub writes: Budget,
    /// Whether the service did not serve the last request that was sent.
    failing: Cell<bool>,
    limits: StateLimits,
    change_rate: RefCell<ChangeRate>,
    created_at: Instant,
}

impl StateClient {
    /// Returns a client of the service at `address`. This controller's share of the request
    /// rate is `rps` requests per second.
    pub fn new(address: SocketAddr, rps: f64, limits: StateLimits) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::new(address),
            requests: Budget::new(rps),
            writes: Budget::new(limits.write_rps),
            failing: Cell::new(false),
            limits,
            change_rate: RefCell::new(ChangeRate::new(limits.write_rps, limits.next_write_rps)),
            created_at: Instant::now(),
        })
    }

    /// Returns how many changes per second all controllers together may make, as far as this
    /// controller knows.
    pub fn change_rate(&self) -> f64 {
        self.change_rate.borrow().in_force()
    }

    /// Returns whether this controller knows that the smaller limits (`state.next`) are in
    /// force.
    pub fn limits_fell(&self) -> bool {
        self.change_rate.borrow().is_lowered()
    }

    /// Records that another controller found the smaller limits in force. Returns whether
    /// this controller did not know it yet.
    pub fn note_lower_limits(&self) -> bool {
        self.change_rate.borrow_mut().lower()
    }

    /// Returns whether the service did not serve the last request that was sent. Requests
    /// over this controller's share are not sent, so they do not count.
    pub fn fails(&self) -> bool {
        self.failing.get()
    }

    /// Sends one request once the budget allows it, and records whether the service served
    /// it.
    async fn call(&self, request: StateRequest<'_>) -> Result<StateReply, StateError> {
        self.take_request(request.priority).await?;
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

    /// Takes one request from the budget, waiting for it as `priority` allows.
    async fn take_request(&self, priority: RequestPriority) -> Result<(), StateError> {
        match priority {
            RequestPriority::First => self.requests.force_take(1.0),
            RequestPriority::Within(max_wait) => {
                if !self.requests.wait(1.0, max_wait).await {
                    return Err(StateError::Refused(RefusedCause::OverBudget));
                }
            }
        }
        Ok(())
    }

    /// Sends one request. Returns an error for a refusal that any request can get.
    async fn exchange(&self, request: StateRequest<'_>) -> Result<StateReply, StateError> {
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
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
            CallError::NotSent(cause) => Self::Refused(RefusedCause::NotSent(cause)),
            CallError::Unknown(cause) => Self::Unknown(UnknownCause::NoAnswer(cause)),
        }
    }
}
