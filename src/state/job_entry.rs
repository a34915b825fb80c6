//! A job with its tasks as recorded, in the local view.

use std::collections::BTreeMap;

use sorrelhinge_priority_lanes::place;

use super::record::{encoded_bytes, ChunkRecord, JobRecord, Phase};
use super::versioned::Versioned;
use crate::types::Revision;

/// A job and its tasks, as recorded.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The job's record.
    pub record: Versioned<JobRecord>,
    /// Its chunks; one that is absent has no progress.
    pub chunks: BTreeMap<u32, Versioned<ChunkRecord>>,
    /// Its place in its lane, if it is in one: the revision of its first write,
    /// as far as it is known here, see [`place::known`].
    pub place: Revision,
}

impl JobEntry {
    /// The job's record as it is to be written again, to be changed further: with
    /// its place, if it is `in_lane`. So the place costs no change of its own.
    /// Every write of a job that is not over begins with this one: one that began
    /// with the bare record would move the job back to its own revision.
    pub fn rewritten(&self, in_lane: bool) -> JobRecord {
        let recorded = &self.record.value;
        JobRecord {
            place: place::to_write(in_lane, recorded.place, self.place),
            ..recorded.clone()
        }
    }

    /// The claims that the job's own record keeps. Claims under a key of their own go
    /// before them: they were moved there as the record was too large to be written again.
    pub fn inline(&self) -> Option<&ChunkRecord> {
        let inline = self.record.value.inline.as_ref();
        inline.filter(|_| !self.chunks.contains_key(&0))
    }

    /// The writes that cancel the job, made for values of `value_bytes`: its record, and
    /// its claims under a key of their own if both are too large together. A record whose
    /// description alone is too large keeps what its tasks take until they have ended.
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

    /// A chunk, in the job's own record or under its own key.
    pub fn chunk(&self, chunk: u32) -> Option<&ChunkRecord> {
        match self.inline() {
            Some(inline) => Some(inline).filter(|_| chunk == 0),
            None => self.chunks.get(&chunk).map(|c| &c.value),
        }
    }

    /// All chunks that have progress.
    pub fn all_chunks(&self) -> impl Iterator<Item = (u32, &ChunkRecord)> {
        let inline = self.inline().map(|c| (0, c));
        inline
            .into_iter()
            .chain(self.chunks.iter().map(|(&n, c)| (n, &c.value)))
    }
}

/// What cancels a job.
#[derive(Clone, Debug, PartialEq)]
pub struct Cancellation {
    /// Its record.
    pub record: JobRecord,
    /// Its claims, if they are moved to a key of their own.
    pub claims: Option<ChunkRecord>,
}

/// What users see of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Phase in the record.
    pub phase: Phase,
    /// Done tasks.
    pub done: u32,
    /// Claimed tasks.
    pub running: u32,
}
