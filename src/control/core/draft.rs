//! A transaction under construction: its conditions, its changes and the records that they
//! write.
//!
//! Invariant: every transaction is conditional on the grant. Each change of a job is conditional
//! on the job's record. Each change of a chunk is conditional on the records of the job and of
//! the chunk.

use std::collections::BTreeSet;

use super::rollout_records::{DueStep, Step};
use crate::state::record::ChunkId;
use crate::state::record::{chunk_key, job_key, ChunkRecord, JobRecord};
use crate::state::view::JobEntry;
use crate::state::{Change, Condition, Transaction};
use crate::types::{JobId, Revision};

/// Approximate limit of the bytes of a transaction's values.
const MAX_VALUE_BYTES: usize = 48 << 10;
/// Approximate bytes of a change that writes a job, without the claims.
const JOB_CHANGE_OVERHEAD_BYTES: usize = 400;
/// Approximate bytes of a change that writes a chunk, without the claims.
const CHUNK_CHANGE_OVERHEAD_BYTES: usize = 200;

/// Record update that a pending write results in.
pub(super) enum RecordUpdate {
    /// No update, because the record is up to date or nobody needs it.
    Nothing,
    /// The job's record, with all its claims if it stores them inline.
    Job(JobRecord),
    /// A chunk of the job's tasks, recorded under its own key.
    Chunk {
        /// Number of the chunk in its job.
        chunk: u32,
        /// New record of the chunk. `None` deletes the chunk.
        record: Option<ChunkRecord>,
    },
    /// The job's record without claims, and the claims under a key of their own.
    Moved {
        /// Record of the job, without claims.
        job: JobRecord,
        /// Claims of the job's first chunk.
        claims: ChunkRecord,
    },
}

impl RecordUpdate {
    /// Returns the number of changes that the update adds to the transaction.
    fn changes(&self) -> usize {
        match self {
            Self::Nothing => 0,
            Self::Job(_) | Self::Chunk { .. } => 1,
            Self::Moved { .. } => 2,
        }
    }
}

/// A transaction in flight, with the records that it writes.
#[derive(Debug)]
pub struct Batch {
    /// Conditions and changes that are sent to the state service.
    pub transaction: Transaction,
    /// Chunks that are written or deleted under keys of their own.
    pub(super) chunks: Vec<ChunkWrite>,
    /// Written job records: those of completed jobs, and those with inline claims.
    pub(super) jobs: Vec<JobWrite>,
    /// Write or deletion of an image rollout's record, if the transaction contains one.
    pub(super) rollout: Option<Step>,
}

/// Write or deletion of a chunk under its own key.
#[derive(Debug)]
pub(super) struct ChunkWrite {
    pub(super) chunk: ChunkId,
    /// New record of the chunk. `None` deletes the chunk.
    pub(super) record: Option<ChunkRecord>,
}

/// Write of a job's own record.
#[derive(Debug)]
pub(super) struct JobWrite {
    pub(super) job: JobId,
    pub(super) record: JobRecord,
}

impl Batch {
    /// Returns the written chunks. A job's own record counts as the job's first chunk.
    pub(super) fn written_keys(&self) -> BTreeSet<ChunkId> {
        let jobs = self.jobs.iter().map(|write| ChunkId::new(&write.job, 0));
        let chunks = self.chunks.iter().map(|write| write.chunk.clone());
        jobs.chain(chunks).collect()
    }
}

/// Limits on the size of a transaction.
pub(super) struct DraftBounds {
    /// Maximum number of changes in the transaction.
    pub(super) max_ops: usize,
    /// Whether each change gets a transaction of its own.
    pub(super) single_change: bool,
}

/// A transaction under construction.
pub(super) struct Draft {
    batch: Batch,
    /// Jobs whose records are among the conditions.
    guarded_jobs: BTreeSet<JobId>,
    /// Jobs whose records the transaction writes.
    written_jobs: BTreeSet<JobId>,
    /// Approximate bytes of the values that the transaction writes.
    bytes: usize,
    bounds: DraftBounds,
}

impl Draft {
    /// Returns an empty draft that is conditional on the grant.
    pub(super) fn new(grant_key: String, grant_revision: Revision, bounds: DraftBounds) -> Self {
        let guard = Condition {
            key: grant_key,
            mod_revision: grant_revision,
        };
        Self {
            batch: Batch {
                transaction: Transaction {
                    conditions: vec![guard],
                    changes: Vec::new(),
                },
                chunks: Vec::new(),
                jobs: Vec::new(),
                rollout: None,
            },
            guarded_jobs: BTreeSet::new(),
            written_jobs: BTreeSet::new(),
            bytes: 0,
            bounds,
        }
    }

    /// Returns the number of changes in the transaction.
    fn len(&self) -> usize {
        self.batch.transaction.changes.len()
    }

    /// Returns whether one more change may be added to the transaction.
    pub(super) fn accepts_change(&self) -> bool {
        self.len() < self.bounds.max_ops && !(self.bounds.single_change && self.len() > 0)
    }

    /// Returns whether another pending write may be added to the transaction.
    pub(super) fn accepts_more(&self) -> bool {
        self.accepts_change() && self.bytes <= MAX_VALUE_BYTES
    }

    /// Returns whether all changes of a record update may be added to the transaction.
    pub(super) fn fits(&self, update: &RecordUpdate) -> bool {
        self.len() + update.changes() <= self.bounds.max_ops
    }

    /// Returns whether the transaction writes a job's record.
    pub(super) fn writes_job(&self, id: &JobId) -> bool {
        self.written_jobs.contains(id)
    }

    /// Adds the write or deletion of an image rollout's record to the transaction.
    pub(super) fn add_rollout(&mut self, due: DueStep) {
        self.batch.transaction.conditions.push(due.condition);
        self.batch.transaction.changes.push(due.change);
        self.batch.rollout = Some(due.step);
    }

    /// Adds a change to the transaction, but no condition.
    pub(super) fn add_change(&mut self, change: Change) {
        self.batch.transaction.changes.push(change);
    }

    /// Returns the transaction, or `None` if it has no changes.
    pub(super) fn finish(self) -> Option<Batch> {
        (self.len() > 0).then_some(self.batch)
    }

    /// Adds the changes of a record update, conditional on the job's record.
    pub(super) fn add(&mut self, id: &JobId, entry: &JobEntry, update: RecordUpdate) {
        match update {
            RecordUpdate::Nothing => return,
            RecordUpdate::Job(record) => self.add_job(id, record),
            RecordUpdate::Chunk { chunk, record } => self.add_chunk(id, entry, chunk, record),
            RecordUpdate::Moved { job, claims } => {
                self.add_job(id, job);
                self.add_chunk(id, entry, 0, Some(claims));
            }
        }
        if self.guarded_jobs.insert(id.clone()) {
            self.batch.transaction.conditions.push(Condition {
                key: job_key(id),
                mod_revision: entry.record.mod_revision,
            });
        }
    }

    /// Adds the write of a job's own record.
    fn add_job(&mut self, id: &JobId, record: JobRecord) {
        let claims = record.inline.as_ref().map_or(0, ChunkRecord::weight);
        self.bytes += JOB_CHANGE_OVERHEAD_BYTES + claims;
        let change = Change::write(job_key(id), &record, None);
        self.batch.transaction.changes.push(change);
        self.written_jobs.insert(id.clone());
        let job = id.clone();
        self.batch.jobs.push(JobWrite { job, record });
    }

    /// Adds the write of a chunk, conditional on the chunk's present record. `None` deletes the
    /// chunk.
    fn add_chunk(&mut self, id: &JobId, entry: &JobEntry, chunk: u32, keep: Option<ChunkRecord>) {
        self.bytes += CHUNK_CHANGE_OVERHEAD_BYTES + keep.as_ref().map_or(0, ChunkRecord::weight);
        let key = chunk_key(id, chunk);
        let mod_revision = entry
            .chunks
            .get(&chunk)
            .map_or(Revision(0), |c| c.mod_revision);
        let change = match &keep {
            Some(record) => Change::write(key.clone(), record, None),
            None => Change::Delete {
                delete: key.clone(),
            },
        };
        self.batch
            .transaction
            .conditions
            .push(Condition { key, mod_revision });
        self.batch.transaction.changes.push(change);
        self.batch.chunks.push(ChunkWrite {
            chunk: ChunkId::new(id, chunk),
            record: keep,
        });
    }
}
