//! A job's record: what its user described, how far its tasks are, what it waits for.

use serde::{Deserialize, Serialize};
use sorrelhinge_pipelines::graph::{JobFacts, Recorded};
use sorrelhinge_pipelines::urgency::Urgency;

use super::chunk_record::{chunk_size_of, claim_bytes, ChunkRecord, CLAIM_BYTES, OWN_BYTES};
use crate::types::{CompatibilityExtension, JobId, JobSpec, Priority, Revision, TypeName};

/// A job's phase, as far as it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Accepted, not over.
    #[serde(rename = "l")]
    Live,
    /// All tasks done. Final.
    #[serde(rename = "d")]
    Done,
    /// Cancelled by its user. Final.
    #[serde(rename = "c")]
    Cancelled,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Its phase.
    #[serde(rename = "p")]
    pub phase: Phase,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Tasks in a chunk, fixed when the job was accepted.
    #[serde(rename = "k")]
    pub chunk: u32,
    /// When it was accepted, in milliseconds of the time of day.
    #[serde(rename = "t")]
    pub accepted_ms: u64,
    /// The job itself. Kept once cancelled, for what its tasks still take of
    /// the team's limit; dropped once done.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Box<JobSpec>>,
    /// All tasks' claims and results, of a job small enough to keep them here:
    /// its claims then cost no key of their own, and no deletion.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub inline: Option<ChunkRecord>,
    /// Its place in its lane: the revision of this record's first write. None
    /// until it is written again, and for jobs in no lane; a version that does
    /// not know it drops it. See [`JobEntry::place`](super::view::JobEntry).
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub place: Option<Revision>,
    /// The jobs that it needs, if it needs any. Written once.
    #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
    pub waits: Option<Box<WaitsRecord>>,
    /// When all its tasks were done, in milliseconds of the time of day: what waits for it
    /// is ready since then. None: not done, or recorded by a version that did not say. A
    /// job that names such a one was submitted later, so it counts as ready since its own
    /// submission.
    #[serde(rename = "e", default, skip_serializing_if = "Option::is_none")]
    pub done_ms: Option<u64>,
}

/// What a job waits for, and the parts of its description that are kept from versions that
/// don't know it: they read a job that fits no machine type, so they answer for it and
/// cancel it, yet never start it too early.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitsRecord {
    /// The jobs that it needs.
    #[serde(rename = "n")]
    pub needs: Vec<JobId>,
    /// The machine types that are allowed, as [`JobSpec::types`] would be.
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<TypeName>>,
    /// As [`JobSpec::extension`] would be.
    #[serde(rename = "x", default, skip_serializing_if = "Option::is_none")]
    pub extension: Option<Box<CompatibilityExtension>>,
}

/// A job that its user submits.
#[derive(Clone, Debug, PartialEq)]
pub struct NewJob {
    /// The job itself.
    pub spec: JobSpec,
    /// The jobs that it needs, each once.
    pub needs: Vec<JobId>,
}

impl From<JobSpec> for NewJob {
    /// A job that needs no other.
    fn from(spec: JobSpec) -> Self {
        let needs = Vec::new();
        Self { spec, needs }
    }
}

/// Bytes of a value as it is written.
pub fn encoded_bytes<T: Serialize>(value: &T) -> usize {
    serde_json::to_vec(value).map_or(usize::MAX, |text| text.len())
}

/// Beside its estimated run a job of a pipeline takes about so long until the next one
/// starts, in seconds: its start, its image, its result.
const STAGE_OVERHEAD_S: f64 = 4.0;

impl JobRecord {
    /// A job that was just accepted. Values have at most `value_bytes`.
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
            // The revision is known only once this is written.
            place: None,
            waits: None,
            done_ms: None,
        };
        record.wait_for(needs);
        let taken = encoded_bytes(&record);
        if record.tasks <= chunk_size(value_bytes.saturating_sub(taken)).min(chunk) {
            record.inline = Some(ChunkRecord::new());
        }
        record
    }

    /// Whether it can be written, now and with all its claims, if values have at most
    /// `value_bytes`. One that can't must not be accepted: the state service refuses it.
    pub fn fits(&self, value_bytes: usize) -> bool {
        let Ok(record) = serde_json::to_vec(self) else {
            return false;
        };
        let spec = self.description();
        let claim = spec.as_ref().map_or(CLAIM_BYTES, claim_bytes);
        let claims = self.inline.as_ref().map_or(0, |_| self.tasks as usize);
        record.len() + OWN_BYTES + claims * claim <= value_bytes
    }

    /// Keeps the job from versions that don't know what it needs.
    fn wait_for(&mut self, needs: Vec<JobId>) {
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

    /// The job as its user described it, if its description is kept.
    pub fn description(&self) -> Option<JobSpec> {
        let mut spec = (**self.spec.as_ref()?).clone();
        if let Some(waits) = &self.waits {
            spec.types = waits.types.clone();
            spec.extension = waits.extension.clone();
        }
        Some(spec.without_extension())
    }

    /// The jobs that it needs.
    pub fn needs(&self) -> &[JobId] {
        self.waits.as_ref().map_or(&[], |waits| &waits.needs)
    }

    /// What it says for the graph of jobs that wait for each other.
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

    /// The record of the same job once it is done.
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
