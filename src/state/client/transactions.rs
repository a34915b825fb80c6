//! Compare-and-swap transactions on several keys, paced by the budget of changes.

use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use sorrelhinge_protocol::state::{Change, Condition, Transaction};
use tokio::time::Instant;

use super::super::budget::RequestPriority;
use super::super::error::{ErrorReply, RefusedCause, StateError, TransactionOutcome};
use super::request::{StateReply, StateRequest};
use super::StateClient;
use crate::types::{Revision, Time};

/// Time limit for the answer to a transaction.
const TXN_TIMEOUT: Duration = Duration::from_millis(1500);

impl StateClient {
    /// Commits a transaction. If the service refuses it because all controllers together make
    /// too many changes, the client retries it as long as `priority` allows.
    ///
    /// # Errors
    ///
    /// The store rejected the transaction, or its outcome is unknown and it may still be
    /// committed.
    pub async fn transact(
        &self,
        transaction: &Transaction,
        priority: RequestPriority,
    ) -> Result<TransactionOutcome, StateError> {
        let reply = self.send_transaction(transaction, priority).await?;
        match reply.status {
            200 => Ok(TransactionOutcome::Done(reply.revision()?)),
            409 => Ok(TransactionOutcome::Failed(reply.revision()?)),
            400 if reply.names_unknown_lease() => Err(StateError::LeaseEnded),
            400 => Err(self.rejection(transaction, &reply)),
            status => Err(StateError::Refused(RefusedCause::Reply(ErrorReply::new(
                status,
                &reply.body,
            )))),
        }
    }

    /// Sends a transaction, and retries it until the service no longer refuses it for the
    /// rate of changes or `priority` allows no more time.
    async fn send_transaction(
        &self,
        transaction: &Transaction,
        priority: RequestPriority,
    ) -> Result<StateReply, StateError> {
        let cost = transaction.changes.len() as f64;
        let body = serde_json::to_vec(transaction)
            .map_err(|error| StateError::Refused(RefusedCause::Encode(error)))?;
        let body = Bytes::from(body);
        let deadline = match priority {
            RequestPriority::First => Instant::now(),
            RequestPriority::Within(max_wait) => Instant::now() + max_wait,
        };
        loop {
            self.take_changes(cost, priority, deadline).await?;
            let request = StateRequest {
                method: Method::POST,
                path: "/txn",
                body: body.clone(),
                priority,
                timeout: TXN_TIMEOUT,
            };
            match self.call(request).await {
                Err(StateError::TooMany) => {
                    self.note_rate_refusal();
                    if Instant::now() >= deadline {
                        return Err(StateError::TooMany);
                    }
                    self.writes.empty();
                }
                result => return result,
            }
        }
    }

    /// Takes `cost` changes from the budget, waiting for them until `deadline`.
    async fn take_changes(
        &self,
        cost: f64,
        priority: RequestPriority,
        deadline: Instant,
    ) -> Result<(), StateError> {
        match priority {
            RequestPriority::First => self.writes.force_take(cost),
            RequestPriority::Within(_) => {
                let remaining = deadline.saturating_duration_since(Instant::now());
                if !self.writes.wait(cost, remaining).await {
                    return Err(StateError::Refused(RefusedCause::OverBudget));
                }
            }
        }
        Ok(())
    }

    /// Records that the service refused a transaction for the rate of changes, and lowers the
    /// rate if such refusals go on.
    fn note_rate_refusal(&self) {
        let now = Time(self.created_at.elapsed().as_secs_f64());
        if self.change_rate.borrow_mut().refused(now) {
            tracing::info!("store write rate lowered; refusals go on");
        }
    }

    /// Returns the error for a transaction that the service rejected. A rejected transaction
    /// that only the larger limits allow shows that the smaller limits are in force now.
    fn rejection(&self, transaction: &Transaction, reply: &StateReply) -> StateError {
        let size = |change: &Change| match change {
            Change::Write { value, .. } => value.get().len(),
            Change::Delete { .. } => 0,
        };
        let largest = transaction.changes.iter().map(size).max().unwrap_or(0);
        let exceeds_lower_limits =
            largest > self.limits.value_bytes || transaction.changes.len() > self.limits.txn_ops;
        if exceeds_lower_limits && self.change_rate.borrow_mut().lower() {
            tracing::info!(largest, "store value limit lowered");
        }
        StateError::Rejected(ErrorReply::new(reply.status, &reply.body))
    }

    /// Changes one key if its version is still `mod_revision`.
    ///
    /// # Errors
    ///
    /// The same as for [`StateClient::transact`].
    pub async fn change(
        &self,
        key: String,
        mod_revision: Revision,
        change: Change,
        max_wait: Duration,
    ) -> Result<TransactionOutcome, StateError> {
        let transaction = Transaction {
            conditions: vec![Condition { key, mod_revision }],
            changes: vec![change],
        };
        self.transact(&transaction, RequestPriority::Within(max_wait))
            .await
    }
}
