//! Accepts or refuses users' submissions, and writes the records of accepted jobs.

use std::time::Duration;

use sorrelhinge_protocol::users::read_job;

use super::status_queries::JobStatus;
use super::submit_error::{InvalidJob, SubmitError, Submitted};
use super::{wall_ms, Node};
use crate::state::record::{job_key, JobRecord, NewJob};
use crate::state::view::Versioned;
use crate::state::{Change, StateError, TransactionOutcome};
use crate::types::{JobId, JobSpec, Revision};

/// Maximum time that a user's write waits for the write budget of the state service.
pub(super) const USER_WRITE_TIMEOUT: Duration = Duration::from_millis(800);

impl Node {
    /// Adds the devices that the job's class needs to the job itself, so that the devices
    /// which a claim may hold don't change with the operator's topology file.
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

    /// Returns the record of a submitted job if the job can run, leaving aside the jobs
    /// that it depends on.
    fn candidate(&self, new: NewJob) -> Result<JobRecord, SubmitError> {
        let spec = self.with_class_devices(new.spec);
        let new = NewJob { spec, ..new };
        let record = self.new_record(&new)?;
        self.check_feasible(&new.spec)?;
        Ok(record)
    }

    /// Returns the record of a job that is accepted now. A job whose record would exceed
    /// the state service's limit of a value is malformed: without this check its users got
    /// 503 again and again, because the state service refused the write.
    fn new_record(&self, new: &NewJob) -> Result<JobRecord, InvalidJob> {
        let value_bytes = self.cfg.state_limits.value_bytes;
        let record = JobRecord::accepted(new.clone(), wall_ms(), value_bytes);
        if record.fits(value_bytes) {
            Ok(record)
        } else {
            Err(InvalidJob::NamesTooLong)
        }
    }

    /// Returns whether a submission is admitted although the controller sheds submissions.
    /// A lane has a share of all submissions that arrive meanwhile, and a job of that lane
    /// is admitted in the lane's turn.
    pub fn admits_by_lane_turn(&self, body: &[u8]) -> bool {
        let lanes = &self.cfg.lanes;
        if lanes.is_empty() {
            // Without lanes the body is not even parsed, which is the cheapest way to
            // refuse.
            return false;
        }
        let spec = serde_json::from_slice(body).ok();
        let spec = spec.and_then(|value| read_job(value).ok());
        let lane = spec.and_then(|s| lanes.of(&s.class, s.priority, s.deadline_s.is_some()));
        self.admission.admits_by_lane_turn(lanes, lane)
    }

    /// Accepts a job, or refuses it with the reason. A job that was accepted before is
    /// answered with its state, even if `new` is an error now.
    ///
    /// # Errors
    ///
    /// Returns an error if the description is invalid, the job can never run, or the
    /// controller can't decide now.
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
            // A recorded job is never refused, so read the records before refusing. The
            // same read also shows a dependency that another controller accepted a moment
            // ago.
            match self.status(id).await {
                JobStatus::Recorded(summary) => return Ok(Submitted::Known(summary)),
                JobStatus::Absent => {}
                JobStatus::Unconfirmed => return Err(SubmitError::Unavailable),
            }
        }
        let record = candidate?;
        self.check_dependencies(id, record.needs())?;
        if !self.store.view().loaded {
            return Err(SubmitError::Unavailable);
        }
        let in_flight = self.admission.begin_submission();
        let _in_flight = in_flight.ok_or(SubmitError::Unavailable)?;
        self.accept(id, record).await
    }

    /// Applies a job's record that this controller has written to the local view, and
    /// announces it to the other controllers.
    pub(super) fn recorded(&self, id: &JobId, revision: Revision, record: JobRecord) {
        let record = Versioned {
            mod_revision: revision,
            value: record,
        };
        self.store.put_job(id, record);
        self.peers.announce(revision);
        self.view_changed();
    }

    /// Writes a job's record, on condition that its revision is still `mod_revision`.
    pub(super) async fn write_job(
        &self,
        id: &JobId,
        mod_revision: Revision,
        record: &JobRecord,
    ) -> Result<TransactionOutcome, StateError> {
        let change = Change::write(job_key(id), record, None);
        self.state
            .change(job_key(id), mod_revision, change, USER_WRITE_TIMEOUT)
            .await
    }

    /// Writes the record of a new job.
    async fn accept(&self, id: &JobId, record: JobRecord) -> Result<Submitted, SubmitError> {
        match self.write_job(id, Revision(0), &record).await {
            Ok(TransactionOutcome::Done(revision)) => {
                self.recorded(id, revision, record);
                // The job may depend on a cancelled job, and is then cancelled with it.
                let summary = self.store.view().summary(id);
                let summary = summary.ok_or(SubmitError::Unavailable)?;
                Ok(Submitted::Accepted(summary))
            }
            // Another request recorded the job first.
            Ok(TransactionOutcome::Failed(_)) => match self.status(id).await {
                JobStatus::Recorded(summary) => Ok(Submitted::Known(summary)),
                JobStatus::Absent | JobStatus::Unconfirmed => Err(SubmitError::Unavailable),
            },
            Err(error) => {
                tracing::debug!(job = %id, %error, "submission write failed");
                Err(SubmitError::Unavailable)
            }
        }
    }
}
