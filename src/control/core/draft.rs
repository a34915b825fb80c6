//! A transaction while it is put together: its conditions, its changes, and what it
//! records.
//!
//! Invariant: every transaction is on the condition of the grant, and each change of a
//! job or a chunk on the conditions of the job's record and of the chunk's.

use std::collections::BTreeSet;

use super::rollout_records::{DueStep, Step};
use crate::state::record::ChunkId;
use crate::state::record::{chunk_key, job_key, ChunkRecord, JobRecord};
use crate::state::view::JobEntry;
use crate::state::{Change, Condition, Transaction};
use crate::types::{JobId, Revision};

/// Bytes of a transaction's values, about.
const TXN_BYTES: usize = 48 << 10;
/// Bytes of the rest of a change that writes a job, and of one that writes a chunk, about.
const JOB_CHANGE_BYTES: usize = 400;
const CHUNK_CHANGE_BYTES: usize = 200;

/// What one entry of the queues comes to.
pub(super) enum Written {
    /// Nothing: the record says it already, or nobody needs it.
    Nothing,
    /// The job's record, with all its claims if it keeps them.
    Job(JobRecord),
    /// A chunk under its own key.
    Chunk {
        /// Which one.
        chunk: u32,
        /// None: it is deleted.
        record: Option<ChunkRecord>,
    },
    /// The job's record without its claims, and these under a key of their own.
    Moved {
        /// The job's record.
        job: JobRecord,
        /// Its claims.
        claims: ChunkRecord,
    },
}

impl Written {
    /// How many changes of the transaction it makes.
    fn changes(&self) -> usize {
        match self {
            Self::Nothing => 0,
            Self::Job(_) | Self::Chunk { .. } => 1,
            Self::Moved { .. } => 2,
        }
    }
}

/// A transaction under way, with what it records.
#[derive(Debug)]
pub struct Batch {
    /// The transaction.
    pub transaction: Transaction,
    /// Chunks under keys of their own.
    pub(super) chunks: Vec<ChunkWrite>,
    /// Jobs' own records: completed ones, and those that hold their claims.
    pub(super) jobs: Vec<JobWrite>,
    /// An image's rollout.
    pub(super) rollout: Option<Step>,
}

/// A chunk that a transaction writes under its own key.
#[derive(Debug)]
pub(super) struct ChunkWrite {
    pub(super) chunk: ChunkId,
    /// None: it is deleted.
    pub(super) record: Option<ChunkRecord>,
}

/// A job's own record that a transaction writes.
#[derive(Debug)]
pub(super) struct JobWrite {
    pub(super) job: JobId,
    pub(super) record: JobRecord,
}

impl Batch {
    /// What it records; a job's own record by the key of its first chunk.
    pub(super) fn written_keys(&self) -> BTreeSet<ChunkId> {
        let jobs = self.jobs.iter().map(|write| ChunkId::new(&write.job, 0));
        let chunks = self.chunks.iter().map(|write| write.chunk.clone());
        jobs.chain(chunks).collect()
    }
}

/// How large a transaction may be.
pub(super) struct DraftBounds {
    /// Most changes.
    pub(super) max_ops: usize,
    /// Each change has a transaction of its own now.
    pub(super) single_change: bool,
}

/// A transaction while it is put together.
pub(super) struct Draft {
    batch: Batch,
    /// Jobs whose records are among the conditions.
    guarded: BTreeSet<JobId>,
    /// Jobs whose records are written.
    written: BTreeSet<JobId>,
    /// Bytes of the values, about.
    bytes: usize,
    bounds: DraftBounds,
}

impl Draft {
    /// An empty one, on the condition of the grant.
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
            guarded: BTreeSet::new(),
            written: BTreeSet::new(),
            bytes: 0,
            bounds,
        }
    }

    /// How many changes it has.
    fn len(&self) -> usize {
        self.batch.transaction.changes.len()
    }

    /// Whether one more change may go into it.
    pub(super) fn takes_change(&self) -> bool {
        self.len() < self.bounds.max_ops && !(self.bounds.single_change && self.len() > 0)
    }

    /// Whether more of what waits to be recorded may go into it.
    pub(super) fn takes_more(&self) -> bool {
        self.takes_change() && self.bytes <= TXN_BYTES
    }

    /// Whether this may go into it in whole.
    pub(super) fn fits(&self, written: &Written) -> bool {
        self.len() + written.changes() <= self.bounds.max_ops
    }

    /// Whether a job's record is written by it.
    pub(super) fn writes_job(&self, id: &JobId) -> bool {
        self.written.contains(id)
    }

    /// Adds a step of an image's rollout.
    pub(super) fn add_rollout(&mut self, due: DueStep) {
        self.batch.transaction.conditions.push(due.conditions);
        self.batch.transaction.changes.push(due.change);
        self.batch.rollout = Some(due.step);
    }

    /// Adds a change that has no condition of its own.
    pub(super) fn add_change(&mut self, change: Change) {
        self.batch.transaction.changes.push(change);
    }

    /// The transaction; none: nothing is to be recorded.
    pub(super) fn finish(self) -> Option<Batch> {
        (self.len() > 0).then_some(self.batch)
    }

    /// Adds what one entry of the queues comes to, on the condition of its job's record.
    pub(super) fn add(&mut self, id: &JobId, entry: &JobEntry, written: Written) {
        match written {
            Written::Nothing => return,
            Written::Job(record) => self.add_job(id, record),
            Written::Chunk { chunk, record } => self.add_chunk(id, entry, chunk, record),
            Written::Moved { job, claims } => {
                self.add_job(id, job);
                self.add_chunk(id, entry, 0, Some(claims));
            }
        }
        if self.guarded.insert(id.clone()) {
            self.batch.transaction.conditions.push(Condition {
                key: job_key(id),
                mod_revision: entry.record.mod_revision,
            });
        }
    }

    /// Adds the writing of a job's own record.
    fn add_job(&mut self, id: &JobId, record: JobRecord) {
        let claims = record.inline.as_ref().map_or(0, ChunkRecord::weight);
        self.bytes += JOB_CHANGE_BYTES + claims;
        let change = Change::write(job_key(id), &record, None);
        self.batch.transaction.changes.push(change);
        self.written.insert(id.clone());
        let job = id.clone();
        self.batch.jobs.push(JobWrite { job, record });
    }

    /// Adds the writing of a chunk, on the condition of what is there; none: its deletion.
    fn add_chunk(&mut self, id: &JobId, entry: &JobEntry, chunk: u32, keep: Option<ChunkRecord>) {
        self.bytes += CHUNK_CHANGE_BYTES + keep.as_ref().map_or(0, ChunkRecord::weight);
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
