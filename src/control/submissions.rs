//! Users' requests: submissions, polls and cancellations.

use std::time::Duration;

use sorrelhinge_priority_lanes::shown::LanesShown;
use sorrelhinge_protocol::users::{read_job, PipelineStatus};

use super::drains::Refused;
use super::store_watch::FRESH_VIEW_TIMEOUT;
use super::submit_error::{InvalidJob, SubmitError, Submitted};
use super::{wall_ms, Node};
use crate::state::record::{chunk_key, job_key, JobRecord, NewJob, Phase};
use crate::state::view::{Cancellation, Summary, Versioned};
use crate::state::{
    Change, Condition, RequestPriority, StateError, Transaction, TransactionOutcome,
};
use crate::types::{JobId, JobSpec, Revision};

/// A user's write waits so long for its turn.
const WRITE_PATIENCE: Duration = Duration::from_millis(800);
/// How often a cancellation is tried while others write the job's record.
const CANCEL_ATTEMPTS: usize = 4;

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

    /// What a job in a pipeline waits for and inherits, by this controller's view.
    pub fn pipeline_status(&self, id: &JobId) -> Option<PipelineStatus> {
        self.store.view().pipeline_status(id)
    }

    /// Why a job waits, if this controller places it and knows.
    pub fn why_waits(&self, id: &JobId) -> Option<String> {
        let cores = self.shards.owned();
        let mut here = cores.values().filter(|c| c.scope.homes(id));
        here.find_map(|c| c.cluster_state.why_waits(id, self.now()))
    }

    /// The lanes of the shards that are owned here; none: nothing is.
    pub fn show_lanes(&self) -> Result<LanesShown, Refused> {
        let cores = self.shards.owned();
        let mut all: Option<LanesShown> = None;
        for c in cores.values() {
            let shown = c.show_lanes(self.now());
            let Some(sum) = &mut all else {
                all = Some(shown);
                continue;
            };
            for (sum, lane) in sum.lanes.iter_mut().zip(shown.lanes) {
                sum.cpus += lane.cpus;
                sum.of_cpus += lane.of_cpus;
                sum.waiting.extend(lane.waiting);
                sum.waiting.sort_by_key(|w| (!w.front, w.place));
            }
        }
        let leader = || self.store.view().leader.value.clone().map(|l| l.node);
        all.ok_or_else(|| leader().map_or(Refused::Unavailable, Refused::Elsewhere))
    }

    /// Whether a submission is taken although submissions are shed: one of a lane, in
    /// the lane's turn. Of all that come while they are shed, a lane has its part.
    pub fn jumps_the_queue(&self, body: &[u8]) -> bool {
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

    /// Whether a job is known to be over: that never changes.
    pub fn is_over(&self, id: &JobId) -> bool {
        let summary = self.store.view().summary(id);
        summary.is_some_and(|s| s.phase != Phase::Live)
    }

    /// What users see of a job, as of now; none if that can't be confirmed.
    pub async fn status(&self, id: &JobId) -> Option<Option<Summary>> {
        self.status_within(id, FRESH_VIEW_TIMEOUT).await
    }

    /// The same, for so long at the most.
    pub(super) async fn status_within(
        &self,
        id: &JobId,
        patience: Duration,
    ) -> Option<Option<Summary>> {
        {
            let view = self.store.view();
            if let Some(s) = view.summary(id).filter(|s| s.phase != Phase::Live) {
                return Some(Some(s));
            }
        }
        let fresh = self.fresh_within(patience).await;
        fresh.then(|| self.store.view().summary(id))
    }

    /// Takes a job, or what is wrong with its description: one that was accepted before is
    /// answered with its state even then.
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
                None => return Err(SubmitError::Unavailable),
                Some(Some(summary)) => return Ok(Submitted::Known(summary)),
                Some(None) => {}
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

    async fn write_job(
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

    async fn write_cancelled(
        &self,
        id: &JobId,
        mod_revision: Revision,
        cancellation: &Cancellation,
    ) -> Result<TransactionOutcome, StateError> {
        let Some(claims) = &cancellation.claims else {
            return self.write_job(id, mod_revision, &cancellation.record).await;
        };
        let (job, chunk) = (job_key(id), chunk_key(id, 0));
        let transaction = Transaction {
            conditions: vec![
                Condition {
                    key: job.clone(),
                    mod_revision,
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
            .transact(&transaction, RequestPriority::Within(WRITE_PATIENCE))
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
                Some(Some(summary)) => Ok(Submitted::Known(summary)),
                Some(None) | None => Err(SubmitError::Unavailable),
            },
            Err(error) => {
                tracing::debug!(job = %id, %error, "submission");
                Err(SubmitError::Unavailable)
            }
        }
    }

    /// Cancels a job. Some(None): there is no such job. None: not decided.
    pub async fn cancel(&self, id: &JobId) -> Option<Option<Phase>> {
        for _ in 0..CANCEL_ATTEMPTS {
            let Some(summary) = self.status(id).await? else {
                return Some(None);
            };
            if summary.phase != Phase::Live {
                return Some(Some(summary.phase));
            }
            let (mod_revision, cancellation) = {
                let view = self.store.view();
                let entry = view.job(id)?;
                let in_lane = self.cfg.in_lane(&entry.record.value);
                let value_bytes = self.cfg.state_limits.value_bytes;
                (
                    entry.record.mod_revision,
                    entry.cancelled(in_lane, value_bytes),
                )
            };
            match self.write_cancelled(id, mod_revision, &cancellation).await {
                Ok(TransactionOutcome::Done(revision)) => {
                    tracing::info!(job = %id, "cancelled");
                    if let Some(value) = cancellation.claims {
                        let mod_revision = revision;
                        let claims = Versioned {
                            mod_revision,
                            value,
                        };
                        self.store.put_chunk(id, 0, claims);
                    }
                    self.recorded(id, revision, cancellation.record);
                    return Some(Some(Phase::Cancelled));
                }
                // Done, or cancelled by another request, in the meantime.
                Ok(TransactionOutcome::Failed(_)) => {}
                Err(_) => return None,
            }
        }
        None
    }
}
