//! The next transaction: which changes go into it, in which form and size.
//!
//! Every transaction is guarded by the grant, the jobs' records and the chunks. Values are
//! made for the smaller limits of the state service (`state.next`) from the start. A
//! record that an earlier version wrote by the larger ones has its claims moved to keys of
//! their own, in one transaction and in a form that every version reads.

use super::draft::{Draft, DraftBounds, Written};
use super::{Batch, Core};
use crate::control::write_queue::{PendingWrite, WritePriority};
use crate::state::record::ChunkId;
use crate::state::record::{encoded_bytes, ChunkRecord, JobRecord, Phase};
use crate::state::view::{JobEntry, View};
use crate::types::{JobId, Time};

impl Core {
    /// The next transaction, if anything is to be recorded, of at most `max_ops` changes.
    /// `spare`: there are more changes left than urgent ones need.
    pub fn next_batch(
        &mut self,
        view: &View,
        max_ops: usize,
        spare: bool,
        now: Time,
    ) -> Option<Batch> {
        let bounds = DraftBounds {
            max_ops,
            single_change: self.rejected_changes.isolates(now),
        };
        let mut draft = Draft::new(self.grant_key(), self.grant_revision, bounds);
        // First: starts wait for it.
        if let Some(due) = self.image_distribution.next(now) {
            draft.add_rollout(due);
        }
        self.add_pending(&mut draft, view, spare, now);
        if draft.takes_change() {
            let value_bytes = self.cfg.state_limits.value_bytes;
            if let Some(change) = self.tombstones.change(value_bytes, now) {
                draft.add_change(change);
            }
        }
        draft.finish()
    }

    /// Adds what waits to be recorded, the most urgent first, as far as they fit.
    fn add_pending(&mut self, draft: &mut Draft, view: &View, spare: bool, now: Time) {
        let mut again = Vec::new();
        while draft.takes_more() {
            let Some(due) = self.pending.take(spare, now) else {
                break;
            };
            let (PendingWrite::Finished(id) | PendingWrite::Chunk(ChunkId { job: id, .. })) = &due;
            let id = id.clone();
            self.cluster_state.claimed_all(&id);
            if draft.writes_job(&id) || self.rejected_changes.defers(&due, now) {
                again.push(due);
                continue;
            }
            let Some(entry) = recordable(view, &id) else {
                continue;
            };
            let written = self.written(&id, entry, &due, now);
            if !draft.fits(&written) {
                // It goes first into the next one.
                if let PendingWrite::Chunk(chunk) = due {
                    self.claim_again(chunk, now);
                }
                break;
            }
            draft.add(&id, entry, written);
        }
        for due in again {
            self.put_back(due, now);
        }
    }

    /// Something is to be recorded later.
    fn put_back(&mut self, due: PendingWrite, now: Time) {
        match due {
            PendingWrite::Finished(id) => self.finished(id, now),
            PendingWrite::Chunk(chunk) => self.pending.released(chunk, now),
        }
    }

    /// What one entry of the queues comes to.
    fn written(&mut self, id: &JobId, entry: &JobEntry, due: &PendingWrite, now: Time) -> Written {
        let stored = &entry.record.value;
        match due {
            PendingWrite::Finished(_) if stored.phase != Phase::Live => Written::Nothing,
            // A completed job's record alone says it; its chunks can go.
            PendingWrite::Finished(_) => Written::Job(stored.done(self.wall_ms(now))),
            PendingWrite::Chunk(_) if entry.inline().is_some() => {
                self.written_inline(id, entry, now)
            }
            PendingWrite::Chunk(ChunkId { chunk, .. }) => {
                self.written_chunk(id, entry, *chunk, now)
            }
        }
    }

    /// A job that keeps its claims in its own record.
    fn written_inline(&mut self, id: &JobId, entry: &JobEntry, now: Time) -> Written {
        let stored = &entry.record.value;
        let Some(inline) = self.snapshot(id, 0, entry.inline()) else {
            return Written::Nothing;
        };
        if entry.inline() == Some(&inline) || stored.phase == Phase::Done {
            return Written::Nothing;
        }
        let value_bytes = self.cfg.state_limits.value_bytes;
        let mut record = JobRecord {
            inline: Some(inline),
            ..entry.rewritten(self.cfg.in_lane(stored))
        };
        if encoded_bytes(&record) <= value_bytes {
            return Written::Job(record);
        }
        let Some(claims) = record.inline.take() else {
            return Written::Nothing;
        };
        if encoded_bytes(&record) <= value_bytes {
            return Written::Moved {
                claims: self.fitting(id, 0, claims, now),
                job: record,
            };
        }
        // The description alone is larger. While that can still be written, it is, as
        // earlier versions read no other form; then the claims' own key goes before the
        // claims in the record.
        if self.rejected_changes.limits_fell() {
            Written::Chunk {
                chunk: 0,
                record: Some(self.fitting(id, 0, claims, now)),
            }
        } else {
            Written::Job(JobRecord {
                inline: Some(claims),
                ..record
            })
        }
    }

    /// A chunk under its own key.
    fn written_chunk(&mut self, id: &JobId, entry: &JobEntry, chunk: u32, now: Time) -> Written {
        let over = entry.record.value.phase != Phase::Live;
        let cancelled = entry.record.value.phase == Phase::Cancelled;
        let stored = entry.chunks.get(&chunk);
        let homed = self.scope.homes(id);
        // Another shard takes what it claimed out of the record, and the job's own shard
        // then deletes that.
        let still_claimed_here = !homed && stored.is_some_and(|h| self.claims_in(&h.value, true));
        let keep = self
            .snapshot(id, chunk, stored.map(|h| &h.value))
            .filter(|r| !over || !r.claims.is_empty() || still_claimed_here);
        if let Some(record) = keep {
            let record = self.fitting(id, chunk, record, now);
            return if stored.is_some_and(|h| h.value == record) {
                Written::Nothing
            } else {
                Written::Chunk {
                    chunk,
                    record: Some(record),
                }
            };
        }
        // Only once the job is over, and by the shard that places it. Another one, that
        // had no task of it left, deleted what others still claimed in the chunk, and
        // they were started twice (hunt, day `apart`).
        if stored.is_none() || !over || !homed {
            return Written::Nothing;
        }
        // Nor while another shard's tasks of a cancelled job are not provably gone: its
        // next owner would not count them.
        if cancelled && stored.is_some_and(|h| self.claims_in(&h.value, false)) {
            Written::Nothing
        } else {
            Written::Chunk {
                chunk,
                record: None,
            }
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
                .rposition(|c| self.is_unrecorded(id, chunk, c.place))
            else {
                break;
            };
            let place = record.claims.remove(last).place;
            record.units.retain(|units| units.place != place);
            shortened = true;
        }
        if shortened {
            self.pending.released(ChunkId::new(id, chunk), now);
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
        match self.cluster_state.job(&chunk.job) {
            Some(job) => {
                let (write_priority, sort) =
                    (WritePriority::of(job).max(WritePriority::Usual), job.sort());
                self.pending.claimed(chunk, write_priority, sort, now);
            }
            None => self.pending.released(chunk, now),
        }
    }

    /// The state service does not take a transaction as it is. If that tells that its
    /// smaller limits are in force, all is tried again in the form for these. Else the
    /// changes are tried one by one, so that one that can't be recorded stops no other;
    /// that one waits. False if the grant is no longer ours.
    pub fn rejected(&mut self, batch: Batch, limits_fell: bool, view: &View, now: Time) -> bool {
        if !self.rejected_changes.learn_limits(limits_fell) {
            let with_rollout = batch.rollout.is_some();
            let changes = batch.written_keys();
            self.rejected_changes
                .isolate_batch(changes, with_rollout, now);
        }
        self.conflicted(batch, view, now)
    }
}

/// A job's records, if anything of it may be recorded.
fn recordable<'a>(view: &'a View, id: &JobId) -> Option<&'a JobEntry> {
    let entry = view.job(id)?;
    if entry.record.value.phase == Phase::Live && !view.is_ready(id) {
        // Not reached: a job that waits is not in the cluster state. A claim of
        // it must not be recorded, whatever brought it about.
        tracing::error!(job = %id, "job waiting for dependencies has a pending write");
        return None;
    }
    Some(entry)
}
