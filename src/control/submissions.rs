//! Users' submissions: whether one is taken, and its record.

use std::time::Duration;

use sorrelhinge_protocol::users::read_job;

use super::status_queries::JobStatus;
use super::submit_error::{InvalidJob, SubmitError, Submitted};
use super::{wall_ms, Node};
use crate::state::record::{job_key, JobRecord, NewJob};
use crate::state::view::Versioned;
use crate::state::{Change, StateError, TransactionOutcome};
use crate::types::{JobId, JobSpec, Revision};

/// A user's write waits so long for its turn at the state service.
pub(super) const WRITE_PATIENCE: Duration = Duration::from_millis(800);

impl Node {
    /// Devices that a class needs are written into each of its jobs, so that
    /// what a claim may hold does not change with the operator's file.
    fn with_class_devices(&self, mut spec: JobSpec) -> JobSpec {
        let Some(topology) = self.catalog.topology() else {
            return spec;
        };
        for class in topology.class_placement_rules(&spec.class) {
            for device in &class.devices {
                let own = &mut spec.placement.get_or_insert_default().devices;
                match own.iter_mut().find(|d| d.kind == device.kind) {
                    Some(known) => {
                        known.count = known.count.max(device.count);
                        known.must |= device.must;
                    }
                    None => own.push(device.clone()),
                }
            }
        }
        spec
    }

    /// The record of a submitted job, if it can run as far as it depends on no other job.
    fn candidate(&self, new: NewJob) -> Result<JobRecord, SubmitError> {
        let spec = self.with_class_devices(new.spec);
        let new = NewJob { spec, ..new };
        let record = self.new_record(&new)?;
        self.check_feasible(&new.spec)?;
        Ok(record)
    }

    /// The record of a job that is accepted now. One that would be over the state
    /// service's limit of a value makes the job malformed: it was answered 503 again and
    /// again, as its write was refused.
    fn new_record(&self, new: &NewJob) -> Result<JobRecord, InvalidJob> {
        let value_bytes = self.cfg.state_limits.value_bytes;
        let record = JobRecord::accepted(new.clone(), wall_ms(), value_bytes);
        if record.fits(value_bytes) {
            Ok(record)
        } else {
            Err(InvalidJob::NamesTooLong)
        }
    }

    /// Whether a submission is taken although submissions are shed: one of a lane, in
    /// the lane's turn. Of all that come while they are shed, a lane has its part.
    pub fn takes_lane_turn(&self, body: &[u8]) -> bool {
        let lanes = &self.cfg.lanes;
        if lanes.is_empty() {
            // Not even parsed: nothing costs less.
            return false;
        }
        let spec = serde_json::from_slice(body).ok();
        let spec = spec.and_then(|value| read_job(value).ok());
        let lane = spec.and_then(|s| lanes.of(&s.class, s.priority, s.deadline_s.is_some()));
        self.admission.takes_lane_turn(lanes, lane)
    }

    /// Takes a job, or what is wrong with its description: one that was accepted before is
    /// answered with its state even then.
    ///
    /// # Errors
    ///
    /// The description is not valid, the job can never run, or that can't be decided now.
    pub async fn submit(
        &self,
        id: &JobId,
        new: Result<NewJob, InvalidJob>,
    ) -> Result<Submitted, SubmitError> {
        let candidate = new
            .map_err(SubmitError::from)
            .and_then(|new| self.candidate(new));
        let known = self.store.view().job(id).is_some();
        let refused = match &candidate {
            Ok(record) => self.check_dependencies(id, record.needs()).is_err(),
            Err(_) => true,
        };
        if known || refused {
            // A job that is known is never refused, so look before refusing; the same read
            // shows a job that it needs and that was accepted elsewhere a moment ago.
            match self.status(id).await {
                JobStatus::Recorded(summary) => return Ok(Submitted::Known(summary)),
                JobStatus::Absent => {}
                JobStatus::Unconfirmed => return Err(SubmitError::Unavailable),
            }
        }
        let record = candidate?;
        self.check_dependencies(id, record.needs())?;
        if !self.admission.has_free_capacity_for_submission() || !self.store.view().loaded {
            return Err(SubmitError::Unavailable);
        }
        self.admission.begin_submission();
        let result = self.accept(id, record).await;
        self.admission.end_submission();
        result
    }

    /// A job's record was written by this controller: it and the others see it.
    pub(super) fn recorded(&self, id: &JobId, revision: Revision, record: JobRecord) {
        let record = Versioned {
            mod_revision: revision,
            value: record,
        };
        self.store.put_job(id, record);
        self.peers.announce(revision);
        self.view_changed();
    }

    /// Writes a job's record, if it is still as of `mod_revision`.
    pub(super) async fn write_job(
        &self,
        id: &JobId,
        mod_revision: Revision,
        record: &JobRecord,
    ) -> Result<TransactionOutcome, StateError> {
        let change = Change::write(job_key(id), record, None);
        self.state
            .change(job_key(id), mod_revision, change, WRITE_PATIENCE)
            .await
    }

    /// Records a new job.
    async fn accept(&self, id: &JobId, record: JobRecord) -> Result<Submitted, SubmitError> {
        match self.write_job(id, Revision(0), &record).await {
            Ok(TransactionOutcome::Done(revision)) => {
                self.recorded(id, revision, record);
                // It may need a job that is cancelled, and is cancelled with it then.
                let summary = self.store.view().summary(id);
                let summary = summary.ok_or(SubmitError::Unavailable)?;
                Ok(Submitted::Accepted(summary))
            }
            // Another request was faster.
            Ok(TransactionOutcome::Failed(_)) => match self.status(id).await {
                JobStatus::Recorded(summary) => Ok(Submitted::Known(summary)),
                JobStatus::Absent | JobStatus::Unconfirmed => Err(SubmitError::Unavailable),
            },
            Err(error) => {
                tracing::debug!(job = %id, %error, "submission not recorded");
                Err(SubmitError::Unavailable)
            }
        }
    }
}
