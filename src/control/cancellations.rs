//! Cancels jobs on behalf of users.

use super::status_queries::JobStatus;
use super::submissions::USER_WRITE_TIMEOUT;
use super::Node;
use crate::state::record::{chunk_key, job_key, Phase};
use crate::state::view::{Cancellation, Versioned};
use crate::state::{
    Change, Condition, RequestPriority, StateError, Transaction, TransactionOutcome,
};
use crate::types::{JobId, Revision};

/// Maximum number of attempts to write a cancellation while other writers change the job's
/// record.
const CANCEL_ATTEMPTS: usize = 4;

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The job is cancelled, by this request or an earlier one.
    Cancelled,
    /// The job was done before the cancellation.
    Done,
    /// No job with this id is recorded.
    Absent,
    /// The cancellation could not be decided. Either the records can't be read or written
    /// now, or another writer changed the job's record at each attempt.
    Undecided,
}

/// Cancellation that is about to be written.
struct PlannedCancellation {
    /// Revision of the job's record that the cancellation replaces.
    mod_revision: Revision,
    cancellation: Cancellation,
}

impl Node {
    /// Cancels a job. Retries while other writers change the job's record.
    pub async fn cancel(&self, id: &JobId) -> CancelOutcome {
        for _ in 0..CANCEL_ATTEMPTS {
            let summary = match self.status(id).await {
                JobStatus::Recorded(summary) => summary,
                JobStatus::Absent => return CancelOutcome::Absent,
                JobStatus::Unconfirmed => return CancelOutcome::Undecided,
            };
            match summary.phase {
                Phase::Live => {}
                Phase::Done => return CancelOutcome::Done,
                Phase::Cancelled => return CancelOutcome::Cancelled,
            }
            let Some(planned) = self.plan_cancellation(id) else {
                return CancelOutcome::Undecided;
            };
            match self.write_cancelled(id, &planned).await {
                Ok(TransactionOutcome::Done(revision)) => {
                    tracing::info!(job = %id, "job cancelled");
                    self.cancellation_recorded(id, revision, planned.cancellation);
                    return CancelOutcome::Cancelled;
                }
                // The job was done or cancelled by another request in the meantime. The
                // next attempt reads its new state.
                Ok(TransactionOutcome::Failed(_)) => {}
                Err(_) => return CancelOutcome::Undecided,
            }
        }
        CancelOutcome::Undecided
    }

    /// Returns the records of a job that is cancelled now. Returns `None` if the view does
    /// not contain the job.
    fn plan_cancellation(&self, id: &JobId) -> Option<PlannedCancellation> {
        let view = self.store.view();
        let entry = view.job(id)?;
        let in_lane = self.cfg.in_lane(&entry.record.value);
        let value_bytes = self.cfg.state_limits.value_bytes;
        Some(PlannedCancellation {
            mod_revision: entry.record.mod_revision,
            cancellation: entry.cancelled(in_lane, value_bytes),
        })
    }

    /// Writes the records of a cancelled job, on condition that its record has not changed
    /// since the plan.
    async fn write_cancelled(
        &self,
        id: &JobId,
        planned: &PlannedCancellation,
    ) -> Result<TransactionOutcome, StateError> {
        let PlannedCancellation {
            mod_revision,
            cancellation,
        } = planned;
        let Some(claims) = &cancellation.claims else {
            let record = &cancellation.record;
            return self.write_job(id, *mod_revision, record).await;
        };
        let (job, chunk) = (job_key(id), chunk_key(id, 0));
        let transaction = Transaction {
            conditions: vec![
                Condition {
                    key: job.clone(),
                    mod_revision: *mod_revision,
                },
                Condition {
                    key: chunk.clone(),
                    mod_revision: Revision(0),
                },
            ],
            changes: vec![
                Change::write(job, &cancellation.record, None),
                Change::write(chunk, claims, None),
            ],
        };
        self.state
            .transact(&transaction, RequestPriority::Within(USER_WRITE_TIMEOUT))
            .await
    }

    /// Updates the local view after this controller recorded a cancellation, and announces the
    /// cancellation to the other controllers.
    fn cancellation_recorded(&self, id: &JobId, revision: Revision, cancellation: Cancellation) {
        if let Some(value) = cancellation.claims {
            let claims = Versioned {
                mod_revision: revision,
                value,
            };
            self.store.put_chunk(id, 0, claims);
        }
        self.recorded(id, revision, cancellation.record);
    }
}
