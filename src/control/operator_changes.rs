//! Changes of single records on request of operators. Each change is planned from a fresh view
//! and written if the record is still the same. A change that loses against a concurrent writer
//! is planned again, a few times.

use std::time::Duration;

use super::operator_error::OperatorError;
use super::Node;
use crate::state::{Change, StateError, TransactionOutcome};
use crate::types::Revision;

/// Attempts to write a change while concurrent writers are faster.
const CHANGE_ATTEMPTS: usize = 4;

/// Conditional write of one record.
pub(super) struct RecordWrite {
    /// Key of the record in the state service.
    pub(super) key: String,
    /// Revision of the record that the write was planned from, or 0 if there was no record.
    pub(super) mod_revision: Revision,
    /// New value of the record, or its deletion.
    pub(super) change: Change,
}

/// Plan of a change, based on the records as known now. `T` is the result for the caller.
pub(super) enum ChangePlan<T> {
    /// The records already are as requested, so nothing is written.
    Unchanged(T),
    /// The change needs one write.
    Write {
        /// Write that carries out the change.
        write: RecordWrite,
        /// Result for the caller once the write is recorded.
        outcome: T,
    },
}

impl Node {
    /// Carries out a change, and returns once it is recorded. `plan` creates the change anew for
    /// each attempt. `patience` limits the time that one attempt waits for the rate limit of the
    /// state service. `failed` receives the error if the state service did not carry out the
    /// change.
    pub(super) async fn change_for_operator<T>(
        &self,
        patience: Duration,
        plan: impl Fn() -> Result<ChangePlan<T>, OperatorError>,
        failed: impl FnOnce(StateError),
    ) -> Result<T, OperatorError> {
        for _ in 0..CHANGE_ATTEMPTS {
            if !self.refresh_view().await {
                return Err(OperatorError::Unavailable);
            }
            let (write, outcome) = match plan()? {
                ChangePlan::Unchanged(outcome) => return Ok(outcome),
                ChangePlan::Write { write, outcome } => (write, outcome),
            };
            let RecordWrite {
                key,
                mod_revision,
                change,
            } = write;
            match self.state.change(key, mod_revision, change, patience).await {
                Ok(TransactionOutcome::Done(revision)) => {
                    self.peers.announce(revision);
                    return Ok(outcome);
                }
                // A concurrent writer was faster: plan the change again.
                Ok(TransactionOutcome::Failed(_)) => {}
                Err(error) => {
                    failed(error);
                    return Err(OperatorError::Unavailable);
                }
            }
        }
        Err(OperatorError::Unavailable)
    }
}
