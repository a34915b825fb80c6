//! Record of a job: its description, the progress of its tasks, and the jobs that it depends
//! on.

use serde::{Deserialize, Serialize};
use sorrelhinge_pipelines::graph::{JobFacts, Recorded};
use sorrelhinge_pipelines::urgency::Urgency;

use super::chunk_record::{chunk_size_of, claim_bytes, ChunkRecord, CLAIM_BYTES, RESERVED_BYTES};
use crate::types::{CompatibilityExtension, JobId, JobSpec, Priority, Revision, TypeName};

/// Recorded phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The job is accepted and not over.
    #[serde(rename = "l")]
    Live,
    /// All tasks are done. This phase is final.
    #[serde(rename = "d")]
    Done,
    /// The user cancelled the job. This phase is final.
    #[serde(rename = "c")]
    Cancelled,
}

/// Stored record of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Phase of the job.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Number of tasks in a chunk. The value is fixed when the job is accepted.
    #[serde(rename = "k")]
    pub chunk: u32,
    /// Wall-clock time at which the job was accepted, in milliseconds.
    #[serde(rename = "t")]
    pub accepted_ms: u64,
    /// Description of the job. A cancelled job keeps it because its running tasks still count
    /// against the team's limit. A completed job drops it.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Box<JobSpec>>,
    /// Claims and results of all tasks, if the job is small enough to keep them in its
    /// record. The claims then need no key of their own, and no deletion.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub inline: Option<ChunkRecord>,
    /// Place of the job in its lane: the revision of the first write of this record. The
    /// value is `None` until the record is written again, and for a job in no lane. A version
    /// that does not know this field drops it. See
    /// [`JobEntry::place`](super::view::JobEntry).
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Revision>,
    /// Dependencies of the job, if it has any. The field is written once.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub waits: Option<Box<WaitsRecord>>,
    /// Wall-clock time at which all tasks were done, in milliseconds. Jobs that depend on
    /// this job are ready since then. The value is `None` if the job is not done, or if a
    /// version without this field recorded it. A job that depends on such a job was submitted
    /// later, so it counts as ready since its own submission.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub done_ms: Option<u64>,
}

/// Dependencies of a job, and the parts of its description that are hidden from versions
/// without dependencies. Those versions read a job that fits no machine type: they answer
/// queries for it and cancel it, but never start it too early.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitsRecord {
    /// Jobs that this job depends on.
    #[serde(rename = "n")]
    pub needs: Vec<JobId>,
    /// Allowed machine types, which replace [`JobSpec::types`].
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    /// Extension of the description, which replaces [`JobSpec::extension`].
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub extension: Option<Box<CompatibilityExtension>>,
}

/// Job that a user submits.
#[derive(Clone, Debug, PartialEq)]
pub struct NewJob {
    /// Description of the job.
    pub spec: JobSpec,
    /// Jobs that this job depends on, each listed once.
    pub needs: Vec<JobId>,
}

impl From<JobSpec> for NewJob {
    /// Returns a job without dependencies.
    fn from(spec: JobSpec) -> Self {
        let needs = Vec::new();
        Self { spec, needs }
    }
}

/// Returns the size of a value in bytes as it is written.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |text| text.len())
}

/// Approximate time in seconds, beyond the estimated run, until the next job of a pipeline
/// starts: it covers the start of the job, its image and its result.
const STAGE_OVERHEAD_S: f64 = 4.0;

impl JobRecord {
    /// Returns the record of a job that was just accepted. Values have at most `value_bytes`.
    pub fn accepted(new: impl Into<NewJob>, accepted_ms: u64, value_bytes: usize) -> Self {
        let NewJob { spec, needs } = new.into();
        let claim_bytes = claim_bytes(&spec);
        let chunk_size = |bytes: usize| chunk_size_of(bytes, claim_bytes);
        let chunk = chunk_size(value_bytes);
        let mut record = Self {
            phase: Phase::Live,
            tasks: spec.tasks,
            chunk,
            accepted_ms,
            spec: Some(Box::new(spec.with_extension())),
            inline: None,
            // The revision is unknown until this record is written.
            place: None,
            waits: None,
            done_ms: None,
        };
        record.set_dependencies(needs);
        let taken = encoded_bytes(&record);
        if record.tasks <= chunk_size(value_bytes.saturating_sub(taken)).min(chunk) {
            record.inline = Some(ChunkRecord::new());
        }
        record
    }

    /// Returns whether the record can be written, now and later with all its claims, if
    /// values have at most `value_bytes`. A job whose record does not fit must not be
    /// accepted, because the state service refuses the record.
    pub fn fits(&self, value_bytes: usize) -> bool {
        let Ok(record) = serde_json::to_vec(self) else {
            return false;
        };
        let spec = self.description();
        let claim = spec.as_ref().map_or(CLAIM_BYTES, claim_bytes);
        let claims = self.inline.as_ref().map_or(0, |_| self.tasks as usize);
        record.len() + RESERVED_BYTES + claims * claim <= value_bytes
    }

    /// Sets the dependencies, and hides the job from versions that do not know them.
    fn set_dependencies(&mut self, needs: Vec<JobId>) {
        let Some(spec) = self.spec.as_mut().filter(|_| !needs.is_empty()) else {
            return;
        };
        self.waits = Some(Box::new(WaitsRecord {
            needs,
            types: spec.types.take(),
            extension: spec.extension.take(),
        }));
        spec.mark_incompatible();
    }

    /// Returns the job as its user described it, if the record still has the description.
    pub fn description(&self) -> Option<JobSpec> {
        let mut spec = (**self.spec.as_ref()?).clone();
        if let Some(waits) = &self.waits {
            spec.types = waits.types.clone();
            spec.extension = waits.extension.clone();
        }
        Some(spec.without_extension())
    }

    /// Returns the jobs that this job depends on.
    pub fn needs(&self) -> &[JobId] {
        self.waits.as_ref().map_or(&[], |waits| &waits.needs)
    }

    /// Returns the facts about the job that the dependency graph needs.
    pub fn facts(&self) -> JobFacts {
        let milli = |seconds: f64| (seconds * 1000.0) as i64;
        let spec = self.spec.as_deref();
        let due_s = spec.and_then(|s| s.deadline_s);
        JobFacts {
            recorded: match self.phase {
                Phase::Live => Recorded::Open,
                Phase::Cancelled => Recorded::Cancelled,
                Phase::Done => Recorded::Done {
                    since_ms: self.done_ms.unwrap_or(0),
                },
            },
            needs: self.needs().to_vec(),
            urgency: Urgency {
                priority: spec.map_or(Priority::Idle, |s| s.priority),
                finish_ms: due_s.map(|s| (self.accepted_ms as i64).saturating_add(milli(s))),
            },
            run_ms: spec.map_or(0, |s| milli(s.estimate_s + STAGE_OVERHEAD_S)),
        }
    }

    /// Returns the record of the same job once it is done.
    pub fn done(&self, done_ms: u64) -> Self {
        Self {
            phase: Phase::Done,
            spec: None,
            inline: None,
            place: None,
            waits: None,
            done_ms: Some(done_ms),
            ..self.clone()
        }
    }
}
