//! Changes of single records that operators ask for: each is planned by a fresh view and
//! written if the record is still the same, a few times while others are faster.

use std::time::Duration;

use super::operator_error::OperatorError;
use super::Node;
use crate::state::{Change, StateError, TransactionOutcome};
use crate::types::Revision;

/// How often a change is tried while others are faster.
const CHANGE_ATTEMPTS: usize = 4;

/// The write of one record.
pub(super) struct RecordWrite {
    /// The record's key.
    pub(super) key: String,
    /// The record's revision by which the write was planned; 0: there is no record.
    pub(super) mod_revision: Revision,
    /// The new record, or its deletion.
    pub(super) change: Change,
}

/// How a change is to be carried out, by the records as known now. `T` is what the caller
/// needs to know of it.
pub(super) enum ChangePlan<T> {
    /// Nothing is to be written: the records are so already.
    Unchanged(T),
    /// A record is to be written.
    Write {
        /// The write.
        write: RecordWrite,
        /// What is returned once it is recorded.
        outcome: T,
    },
}

impl Node {
    /// Carries out a change; answers once it is recorded. `plan` makes it anew for each
    /// attempt, `patience` is the time that one attempt may wait at the state service, and
    /// `failed` is told why the state service did not carry it out.
    pub(super) async fn change_for_operator<T>(
        &self,
        patience: Duration,
        plan: impl Fn() -> Result<ChangePlan<T>, OperatorError>,
        failed: impl FnOnce(StateError),
    ) -> Result<T, OperatorError> {
        for _ in 0..CHANGE_ATTEMPTS {
            if !self.fresh().await {
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
                // Another was faster.
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
