//! The next transaction: which changes go into it, in which form and size.
//!
//! Every transaction is guarded by the grant, the jobs' records and the chunks. Values are
//! made for the smaller limits of the state service (`state.next`) from the start. A
//! record that an earlier version wrote by the larger ones has its claims moved to keys of
//! their own, in one transaction and in a form that every version reads.

use std::collections::BTreeSet;

use super::{Batch, Core};
use crate::control::pending::{ChunkId, Due, Haste};
use crate::state::record::{chunk_key, encoded_bytes, job_key, ChunkRecord, JobRecord, Phase};
use crate::state::view::{JobEntry, View};
use crate::state::{Change, Txn, When};
use crate::types::{JobId, Revision, Time};

/// Bytes of a transaction's values, about.
const TXN_BYTES: usize = 48 << 10;
/// Bytes of the rest of a change that writes a job, and of one that writes a chunk, about.
const JOB_CHANGE_BYTES: usize = 400;
const CHUNK_CHANGE_BYTES: usize = 200;
/// After a transaction that the state service rejected, each change is tried alone for so
/// long, in seconds: what is wrong with one must not stop the others.
const ALONE_S: f64 = 10.0;
/// A change that was rejected alone is tried again after so long, in seconds.
const REJECTED_S: f64 = 20.0;

/// What one entry of the queues comes to.
enum Written {
    /// Nothing: the record says it already, or nobody needs it.
    Nothing,
    /// The job's record, with all its claims if it keeps them.
    Job(JobRecord),
    /// A chunk under its own key; none: it is deleted.
    Chunk(u32, Option<ChunkRecord>),
    /// The job's record without its claims, and these under a key of their own.
    Moved(JobRecord, ChunkRecord),
}

impl Written {
    fn changes(&self) -> usize {
        match self {
            Self::Nothing => 0,
            Self::Job(_) | Self::Chunk(..) => 1,
            Self::Moved(..) => 2,
        }
    }
}

/// A transaction while it is put together.
struct Draft {
    batch: Batch,
    /// Jobs whose records are among the conditions.
    guarded: BTreeSet<JobId>,
    /// Jobs whose records are written.
    written: BTreeSet<JobId>,
    bytes: usize,
}

impl Draft {
    fn new(grant_key: String, grant_stamp: Revision) -> Self {
        let guard = When {
            key: grant_key,
            stamp: grant_stamp,
        };
        Self {
            batch: Batch {
                txn: Txn {
                    when: vec![guard],
                    apply: Vec::new(),
                },
                chunks: Vec::new(),
                jobs: Vec::new(),
                wave: None,
            },
            guarded: BTreeSet::new(),
            written: BTreeSet::new(),
            bytes: 0,
        }
    }

    fn len(&self) -> usize {
        self.batch.txn.apply.len()
    }

    fn add(&mut self, id: &JobId, entry: &JobEntry, written: Written) {
        match written {
            Written::Nothing => return,
            Written::Job(record) => self.add_job(id, record),
            Written::Chunk(chunk, keep) => self.add_chunk(id, entry, chunk, keep),
            Written::Moved(record, chunk) => {
                self.add_job(id, record);
                self.add_chunk(id, entry, 0, Some(chunk));
            }
        }
        if self.guarded.insert(id.clone()) {
            self.batch.txn.when.push(When {
                key: job_key(id),
                stamp: entry.record.stamp,
            });
        }
    }

    fn add_job(&mut self, id: &JobId, record: JobRecord) {
        let claims = record.inline.as_ref().map_or(0, ChunkRecord::weight);
        self.bytes += JOB_CHANGE_BYTES + claims;
        let change = Change::write(job_key(id), &record, None);
        self.batch.txn.apply.push(change);
        self.written.insert(id.clone());
        self.batch.jobs.push((id.clone(), record));
    }

    fn add_chunk(&mut self, id: &JobId, entry: &JobEntry, chunk: u32, keep: Option<ChunkRecord>) {
        self.bytes += CHUNK_CHANGE_BYTES + keep.as_ref().map_or(0, ChunkRecord::weight);
        let key = chunk_key(id, chunk);
        let stamp = entry.chunks.get(&chunk).map_or(Revision(0), |c| c.stamp);
        let change = match &keep {
            Some(record) => Change::write(key.clone(), record, None),
            None => Change::Delete {
                delete: key.clone(),
            },
        };
        self.batch.txn.when.push(When { key, stamp });
        self.batch.txn.apply.push(change);
        self.batch.chunks.push(((id.clone(), chunk), keep));
    }
}

impl Core {
    /// The next transaction, if anything is to be recorded, of at most `most_ops` changes.
    /// `spare`: there are more changes left than urgent ones need.
    pub fn next_batch(
        &mut self,
        view: &View,
        most_ops: usize,
        spare: bool,
        now: Time,
    ) -> Option<Batch> {
        let mut draft = Draft::new(self.grant_key(), self.grant_stamp);
        let alone = now < self.alone_until;
        // First: starts wait for it.
        if let Some(due) = self.staging.next(now) {
            draft.batch.txn.when.push(due.when);
            draft.batch.txn.apply.push(due.change);
            draft.batch.wave = Some(due.step);
        }
        let mut again = Vec::new();
        while draft.len() < most_ops && draft.bytes <= TXN_BYTES && !(alone && draft.len() > 0) {
            let Some(due) = self.pending.take(spare, now) else {
                break;
            };
            let (Due::Finished(id) | Due::Chunk((id, _))) = &due;
            let id = id.clone();
            self.cluster_state.claimed_all(&id);
            if draft.written.contains(&id) || self.was_rejected(&due, now) {
                again.push(due);
                continue;
            }
            let Some(entry) = view.job(&id) else { continue };
            if entry.record.value.phase == Phase::Live && !view.is_ready(&id) {
                // Not reached: a job that waits is not in the cluster state. A claim of
                // it must not be recorded, whatever brought it about.
                tracing::error!(job = %id, "a job that waits for others has something to record");
                continue;
            }
            let written = self.written(&id, entry, &due, now);
            if draft.len() + written.changes() > most_ops {
                // It goes first into the next one.
                if let Due::Chunk(chunk) = due {
                    self.claim_again(chunk, now);
                }
                break;
            }
            draft.add(&id, entry, written);
        }
        for due in again {
            match due {
                Due::Finished(id) => self.finished(id, now),
                Due::Chunk(chunk) => self.pending.released(chunk, now),
            }
        }
        if draft.len() < most_ops && !(alone && draft.len() > 0) {
            let value_bytes = self.cfg.state_limits.value_bytes;
            let change = self.deleted_machines.change(value_bytes, now);
            draft.batch.txn.apply.extend(change);
        }
        (draft.len() > 0).then_some(draft.batch)
    }

    fn written(&mut self, id: &JobId, entry: &JobEntry, due: &Due, now: Time) -> Written {
        let held = &entry.record.value;
        match due {
            Due::Finished(_) if held.phase != Phase::Live => Written::Nothing,
            // A completed job's record alone says it; its chunks can go.
            Due::Finished(_) => Written::Job(held.done(self.wall_ms(now))),
            Due::Chunk(_) if entry.inline().is_some() => self.written_inline(id, entry, now),
            Due::Chunk((_, chunk)) => self.written_chunk(id, entry, *chunk, now),
        }
    }

    /// A job that keeps its claims in its own record.
    fn written_inline(&mut self, id: &JobId, entry: &JobEntry, now: Time) -> Written {
        let held = &entry.record.value;
        let Some(inline) = self.snapshot(id, 0, entry.inline()) else {
            return Written::Nothing;
        };
        if entry.inline() == Some(&inline) || held.phase == Phase::Done {
            return Written::Nothing;
        }
        let value_bytes = self.cfg.state_limits.value_bytes;
        let mut record = JobRecord {
            inline: Some(inline),
            ..entry.rewritten(self.cfg.in_lane(held))
        };
        if encoded_bytes(&record) <= value_bytes {
            return Written::Job(record);
        }
        let Some(claims) = record.inline.take() else {
            return Written::Nothing;
        };
        if encoded_bytes(&record) <= value_bytes {
            return Written::Moved(record, self.fitting(id, 0, claims, now));
        }
        // The description alone is larger. While that can still be written, it is, as
        // earlier versions read no other form; then the claims' own key goes before the
        // claims in the record.
        match self.limits_fell {
            false => Written::Job(JobRecord {
                inline: Some(claims),
                ..record
            }),
            true => Written::Chunk(0, Some(self.fitting(id, 0, claims, now))),
        }
    }

    /// A chunk under its own key.
    fn written_chunk(&mut self, id: &JobId, entry: &JobEntry, chunk: u32, now: Time) -> Written {
        let over = entry.record.value.phase != Phase::Live;
        let cancelled = entry.record.value.phase == Phase::Cancelled;
        let held = entry.chunks.get(&chunk);
        let homed = self.shard.homes(id);
        // Another block takes what it claimed out of the record, and the job's own block
        // then deletes that.
        let kept_for_owner = !homed && held.is_some_and(|h| self.claims_in(&h.value, true));
        let keep = self
            .snapshot(id, chunk, held.map(|h| &h.value))
            .filter(|r| !over || !r.claims.is_empty() || kept_for_owner);
        if let Some(record) = keep {
            let record = self.fitting(id, chunk, record, now);
            return match held.is_some_and(|h| h.value == record) {
                true => Written::Nothing,
                false => Written::Chunk(chunk, Some(record)),
            };
        }
        // Only once the job is over, and by the block that places it. Another one, that
        // had no task of it left, deleted what others still claimed in the chunk, and
        // they were started twice (hunt, day `apart`).
        if held.is_none() || !over || !homed {
            return Written::Nothing;
        }
        // Nor while another block's tasks of a cancelled job are not provably gone: its
        // next owner would not count them.
        match cancelled && held.is_some_and(|h| self.claims_in(&h.value, false)) {
            true => Written::Nothing,
            false => Written::Chunk(chunk, None),
        }
    }

    /// A chunk as it fits into a value: of one that an earlier version made for larger
    /// values the last claims wait until others have ended. They are not recorded, so
    /// nothing of them was sent.
    fn fitting(
        &mut self,
        id: &JobId,
        chunk: u32,
        mut record: ChunkRecord,
        now: Time,
    ) -> ChunkRecord {
        let value_bytes = self.cfg.state_limits.value_bytes;
        let mut shortened = false;
        while encoded_bytes(&record) > value_bytes {
            let Some(last) = record
                .claims
                .iter()
                .rposition(|c| self.is_unrecorded(id, chunk, c.0))
            else {
                break;
            };
            let (place, ..) = record.claims.remove(last);
            record.units.retain(|(of, _)| *of != place);
            shortened = true;
        }
        if shortened {
            self.pending.released((id.clone(), chunk), now);
        }
        record
    }

    /// Whether the claim at a place of a chunk is not recorded yet.
    fn is_unrecorded(&self, id: &JobId, chunk: u32, place: u32) -> bool {
        let job = self.cluster_state.job(id);
        job.is_some_and(|job| {
            let index = chunk * job.tasks.chunk_size() + place;
            let claim = job.tasks.claims().get(&index);
            claim.is_some_and(|c| !c.committed)
        })
    }

    /// A chunk is to be recorded again. It has waited already; what is awaited is not
    /// before it.
    pub(super) fn claim_again(&mut self, chunk: ChunkId, now: Time) {
        match self.cluster_state.job(&chunk.0) {
            Some(job) => {
                let (haste, sort) = (Haste::of(job).max(Haste::Usual), job.sort());
                self.pending.claimed(chunk, haste, sort, now);
            }
            None => self.pending.released(chunk, now),
        }
    }

    fn was_rejected(&mut self, due: &Due, now: Time) -> bool {
        self.rejected.retain(|_, until| now < *until);
        match due {
            Due::Finished(id) => self.rejected.contains_key(&(id.clone(), 0)),
            Due::Chunk(chunk) => self.rejected.contains_key(chunk),
        }
    }

    /// The state service does not take a transaction as it is. If that tells that its
    /// smaller limits are in force, all is tried again in the form for these. Else the
    /// changes are tried one by one, so that one that can't be recorded stops no other;
    /// that one waits. False if the grant is no longer ours.
    pub fn rejected(&mut self, batch: Batch, limits_fell: bool, view: &View, now: Time) -> bool {
        let new = limits_fell && !self.limits_fell;
        self.limits_fell |= limits_fell;
        if !new {
            self.set_apart(&batch, now);
        }
        self.conflicted(batch, view, now)
    }

    fn set_apart(&mut self, batch: &Batch, now: Time) {
        let jobs = batch.jobs.iter().map(|(id, _)| (id.clone(), 0));
        let chunks = batch.chunks.iter().map(|(chunk, _)| chunk.clone());
        let all: BTreeSet<ChunkId> = jobs.chain(chunks).collect();
        if all.len() + usize::from(batch.wave.is_some()) > 1 {
            self.alone_until = now.after(ALONE_S);
        } else {
            let until = now.after(REJECTED_S);
            self.rejected.extend(all.into_iter().map(|c| (c, until)));
        }
    }
}
