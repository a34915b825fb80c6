//! Local view of a job: its record and the records of its chunks.

use std::collections::BTreeMap;

use sorrelhinge_priority_lanes::place;

use super::record::{encoded_bytes, ChunkRecord, JobRecord, Phase};
use super::versioned::Versioned;
use crate::types::Revision;

/// Recorded state of a job and its tasks.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Record of the job.
    pub record: Versioned<JobRecord>,
    /// Chunks that have a key of their own. An absent chunk has no progress.
    pub chunks: BTreeMap<u32, Versioned<ChunkRecord>>,
    /// Place of the job in its lane, if the job is in one: the revision of the first write of
    /// its record, as far as this controller knows it (see [`place::known`]).
    pub place: Revision,
}

impl JobEntry {
    /// Returns the job's record for its next write, with its place if the job is `in_lane`.
    /// The place thus costs no change of its own. Every write of a job that is not over must
    /// start from this record: a write of the bare record would move the job's place to the
    /// revision of that write.
    pub fn rewritten(&self, in_lane: bool) -> JobRecord {
        let recorded = &self.record.value;
        JobRecord {
            place: place::to_write(in_lane, recorded.place, self.place),
            ..recorded.clone()
        }
    }

    /// Returns the claims that the job's record holds. Claims under a key of their own take
    /// precedence: they were moved there because the record was too large to be written
    /// again.
    pub fn inline(&self) -> Option<&ChunkRecord> {
        let inline = self.record.value.inline.as_ref();
        inline.filter(|_| !self.chunks.contains_key(&0))
    }

    /// Returns the writes that cancel the job if values have at most `value_bytes`: its
    /// record, and its claims under a key of their own if record and claims together are too
    /// large. If the description alone is too large, the record keeps only the part of it
    /// that counts the resources of the job's tasks until they have ended.
    pub fn cancelled(&self, in_lane: bool, value_bytes: usize) -> Cancellation {
        let fits = |r: &JobRecord| encoded_bytes(r) <= value_bytes;
        let mut record = JobRecord {
            phase: Phase::Cancelled,
            inline: self.inline().cloned(),
            ..self.rewritten(in_lane)
        };
        if fits(&record) {
            let claims = None;
            return Cancellation { record, claims };
        }
        let claims = record.inline.take();
        if !fits(&record) {
            record.spec = record.spec.map(|spec| Box::new(spec.trimmed()));
            record.waits = None;
        }
        Cancellation { record, claims }
    }

    /// Returns a chunk from the job's record or from its own key.
    pub fn chunk(&self, chunk: u32) -> Option<&ChunkRecord> {
        match self.inline() {
            Some(inline) => Some(inline).filter(|_| chunk == 0),
            None => self.chunks.get(&chunk).map(|c| &c.value),
        }
    }

    /// Returns all chunks that have progress.
    pub fn all_chunks(&self) -> impl Iterator<Item = (u32, &ChunkRecord)> {
        let inline = self.inline().map(|c| (0, c));
        inline
            .into_iter()
            .chain(self.chunks.iter().map(|(&n, c)| (n, &c.value)))
    }
}

/// Writes that cancel a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancellation {
    /// Record of the cancelled job.
    pub record: JobRecord,
    /// Claims of the job, if they are moved to a key of their own.
    pub claims: Option<ChunkRecord>,
}

/// State of a job as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Phase of the job: a job that needs a cancelled job counts as cancelled.
    pub phase: Phase,
    /// Number of completed tasks.
    pub done: u32,
    /// Number of claimed tasks.
    pub running: u32,
}
