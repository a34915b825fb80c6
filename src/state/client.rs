//! Client of the state service: transactions, reads, watches and leases (PROTOCOL,
//! "Controller nodes -> state service"). It paces requests and changes by two budgets and learns from refusals how
//! many changes the service takes.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use serde::de::DeserializeOwned;
use sorrelhinge_overload::state_limits::ChangeRate;
use sorrelhinge_protocol::state::{
    Change, Condition, Events, Item, LeaseCreated, Page, RevisionBody, Transaction,
};
use tokio::time::Instant;

use super::budget::{Budget, RequestPriority};
use super::error::{ErrorReply, RefusedCause, StateError, TransactionOutcome, UnknownCause};
use super::record;
use crate::config::StateLimits;
use crate::http::{CallError, Limits, Pool};
use crate::types::{LeaseId, Revision, Time};

/// For a connection to the service.
const CONNECT: Duration = Duration::from_millis(800);
/// For the answer to a transaction, and to a watch beyond the time that it was asked to wait.
const TXN_TIMEOUT: Duration = Duration::from_millis(1500);
/// For the answer that grants a lease.
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// For the answer to the renewal or the end of a lease.
const LEASE_CHANGE_TIMEOUT: Duration = Duration::from_millis(800);
/// For a page of keys.
const PAGE_TIMEOUT: Duration = Duration::from_secs(3);
/// A page of keys waits so long for the budget.
const PAGE_PATIENCE: Duration = Duration::from_secs(5);

/// What the service says, with status 400, of a lease that it does not know (PROTOCOL).
const NO_SUCH_LEASE: &str = "no such lease";

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

/// A request, as far as all kinds of them have it in common.
struct StateRequest<'a> {
    method: Method,
    path: &'a str,
    body: Bytes,
    urgency: RequestPriority,
    /// For the answer, once there is a connection.
    timeout: Duration,
}

/// The service's answer, unless it says that it takes nothing now.
struct StateReply {
    status: u16,
    body: Bytes,
}

impl StateReply {
    /// Reads the body of an answer with status 200; no other is expected.
    fn read<T: DeserializeOwned>(&self) -> Result<T, StateError> {
        if self.status != 200 {
            return Err(self.unexpected());
        }
        serde_json::from_slice(&self.body)
            .map_err(|error| StateError::Refused(RefusedCause::Malformed(error)))
    }

    fn unexpected(&self) -> StateError {
        StateError::Refused(RefusedCause::Status(self.status))
    }

    /// The revision in the answer to a transaction.
    fn revision(&self) -> Result<Revision, StateError> {
        serde_json::from_slice::<RevisionBody>(&self.body)
            .map(|l| l.store_revision)
            .map_err(|error| StateError::Unknown(UnknownCause::Malformed(error)))
    }

    fn names_no_lease(&self) -> bool {
        String::from_utf8_lossy(&self.body).contains(NO_SUCH_LEASE)
    }
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

    /// Carries out a transaction. If all controllers together ask too much of
    /// the service, it is tried again as long as `urgency` allows.
    pub async fn transact(
        &self,
        transaction: &Transaction,
        urgency: RequestPriority,
    ) -> Result<TransactionOutcome, StateError> {
        let reply = self.send_transaction(transaction, urgency).await?;
        match reply.status {
            200 => Ok(TransactionOutcome::Done(reply.revision()?)),
            409 => Ok(TransactionOutcome::Failed(reply.revision()?)),
            400 if reply.names_no_lease() => Err(StateError::LeaseEnded),
            400 => Err(self.rejected(transaction, &reply)),
            status => Err(StateError::Refused(RefusedCause::Reply(ErrorReply::new(
                status,
                &reply.body,
            )))),
        }
    }

    /// Sends a transaction until the service does not refuse it for its rate of changes any
    /// more, or the time is over.
    async fn send_transaction(
        &self,
        transaction: &Transaction,
        urgency: RequestPriority,
    ) -> Result<StateReply, StateError> {
        let cost = transaction.changes.len() as f64;
        let body = serde_json::to_vec(transaction)
            .map_err(|error| StateError::Refused(RefusedCause::Encode(error)))?;
        let body = Bytes::from(body);
        let end = match urgency {
            RequestPriority::First => Instant::now(),
            RequestPriority::Within(patience) => Instant::now() + patience,
        };
        loop {
            self.take_changes(cost, urgency, end).await?;
            let request = StateRequest {
                method: Method::POST,
                path: "/txn",
                body: body.clone(),
                urgency,
                timeout: TXN_TIMEOUT,
            };
            match self.call(request).await {
                Err(StateError::TooMany) => {
                    self.refused_for_rate();
                    if Instant::now() >= end {
                        return Err(StateError::TooMany);
                    }
                    self.writes.drain();
                }
                result => return result,
            }
        }
    }

    /// Takes `cost` changes from the budget, waiting for them until `end`.
    async fn take_changes(
        &self,
        cost: f64,
        urgency: RequestPriority,
        end: Instant,
    ) -> Result<(), StateError> {
        match urgency {
            RequestPriority::First => self.writes.force(cost),
            RequestPriority::Within(_) => {
                let left = end.saturating_duration_since(Instant::now());
                if !self.writes.wait(cost, left).await {
                    return Err(StateError::Refused(RefusedCause::OverBudget));
                }
            }
        }
        Ok(())
    }

    /// The service refused a transaction as one change too many.
    fn refused_for_rate(&self) {
        let now = Time(self.begun.elapsed().as_secs_f64());
        if self.change_rate.borrow_mut().refused(now) {
            tracing::info!("store write rate lowered; refusals go on");
        }
    }

    /// The service rejected a transaction. If only the larger limits allow it, that shows
    /// that they are over.
    fn rejected(&self, transaction: &Transaction, reply: &StateReply) -> StateError {
        let size = |change: &Change| match change {
            Change::Write { value, .. } => value.get().len(),
            Change::Delete { .. } => 0,
        };
        let largest = transaction.changes.iter().map(size).max().unwrap_or(0);
        let beyond =
            largest > self.limits.value_bytes || transaction.changes.len() > self.limits.txn_ops;
        if beyond && self.change_rate.borrow_mut().lower() {
            tracing::info!(largest, "store value limit lowered");
        }
        StateError::Rejected(ErrorReply::new(reply.status, &reply.body))
    }

    /// Changes one key, if it still has this version.
    pub async fn change(
        &self,
        key: String,
        mod_revision: Revision,
        change: Change,
        patience: Duration,
    ) -> Result<TransactionOutcome, StateError> {
        let transaction = Transaction {
            conditions: vec![Condition { key, mod_revision }],
            changes: vec![change],
        };
        self.transact(&transaction, RequestPriority::Within(patience))
            .await
    }

    /// Changes under [`record::ROOT`] after `since`, waiting up to `wait` for one.
    pub async fn follow(
        &self,
        since: Revision,
        wait: Duration,
        urgency: RequestPriority,
    ) -> Result<Events, StateError> {
        let path = format!(
            "/follow?under={}&since={since}&block_ms={}",
            record::ROOT,
            wait.as_millis()
        );
        let request = StateRequest {
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            urgency,
            timeout: wait + TXN_TIMEOUT,
        };
        let reply = self.call(request).await?;
        match reply.status {
            410 => Err(StateError::TooOld),
            _ => reply.read(),
        }
    }

    /// All keys under [`record::ROOT`], with a revision from which following
    /// misses nothing.
    pub async fn read_all(&self) -> Result<(Revision, Vec<Item>), StateError> {
        let mut all: Vec<Item> = Vec::new();
        let mut first: Option<Revision> = None;
        loop {
            let page = self.read_page(all.last()).await?;
            // Pages are of different moments: changes after the first one are
            // followed again, which does no harm.
            let store_revision = *first.get_or_insert(page.store_revision);
            let more = page.truncated && !page.items.is_empty();
            all.extend(page.items);
            if !more {
                return Ok((store_revision, all));
            }
        }
    }

    /// The keys after `last`, as many as one answer has.
    async fn read_page(&self, last: Option<&Item>) -> Result<Page, StateError> {
        let since = last.map_or(String::new(), |i| format!("&since={}", i.key));
        let path = format!("/keys?under={}{since}&most=1000", record::ROOT);
        let request = StateRequest {
            method: Method::GET,
            path: &path,
            body: Bytes::new(),
            urgency: RequestPriority::Within(PAGE_PATIENCE),
            timeout: PAGE_TIMEOUT,
        };
        self.call(request).await?.read()
    }

    /// A new lease, which ends `life` after it was last renewed.
    pub async fn lease(&self, life: Duration) -> Result<LeaseId, StateError> {
        let request = StateRequest {
            method: Method::POST,
            path: "/leases",
            body: format!("{{\"life_ms\":{}}}", life.as_millis()).into(),
            urgency: RequestPriority::First,
            timeout: LEASE_TIMEOUT,
        };
        let lease: LeaseCreated = self.call(request).await?.read()?;
        Ok(lease.lease)
    }

    /// Ends a lease, and what is attached to it, at once.
    pub async fn end(&self, lease: LeaseId) -> Result<(), StateError> {
        let request = StateRequest {
            method: Method::DELETE,
            path: &format!("/leases/{lease}"),
            body: Bytes::new(),
            urgency: RequestPriority::First,
            timeout: LEASE_CHANGE_TIMEOUT,
        };
        self.call(request).await.map(|_| ())
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: LeaseId) -> Result<(), StateError> {
        let request = StateRequest {
            method: Method::POST,
            path: &format!("/leases/{lease}/renew"),
            body: Bytes::new(),
            urgency: RequestPriority::First,
            timeout: LEASE_CHANGE_TIMEOUT,
        };
        let reply = self.call(request).await?;
        match reply.status {
            200 => Ok(()),
            404 => Err(StateError::LeaseEnded),
            _ => Err(reply.unexpected()),
        }
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
            tracing::debug!(path, %error, "state call");
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
