//! Composition of the next transaction: which changes it contains, in which form and size.
//!
//! The grant, the jobs' records and the chunks guard every transaction. Values respect the
//! smaller limits of the state service (`state.next`) from the start. An earlier version may
//! have written a record under the larger limits. One transaction then moves the claims of that
//! record to keys of their own, in a form that every version reads.

use super::draft::{Draft, DraftBounds, RecordUpdate};
use super::{Batch, Core};
use crate::control::write_queue::{PendingWrite, WritePriority};
use crate::state::record::ChunkId;
use crate::state::record::{encoded_bytes, ChunkRecord, JobRecord, Phase};
use crate::state::view::{JobEntry, View};
use crate::types::{JobId, Time};

impl Core {
    /// Returns the next transaction, with at most `max_ops` changes. Returns `None` if nothing
    /// is to be recorded. `spare` is true if more changes are left than urgent writes need.
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
        // The change of an image rollout goes first into the transaction, because task starts wait
        // for the rollout.
        if let Some(due) = self.image_distribution.next_step(now) {
            draft.add_rollout(due);
        }
        self.add_pending(&mut draft, view, spare, now);
        if draft.accepts_change() {
            let value_bytes = self.cfg.state_limits.value_bytes;
            if let Some(change) = self.tombstones.change(value_bytes, now) {
                draft.add_change(change);
            }
        }
        draft.finish()
    }

    /// Adds pending writes to the transaction, the most urgent first, until it is full.
    fn add_pending(&mut self, draft: &mut Draft, view: &View, spare: bool, now: Time) {
        let mut deferred = Vec::new();
        while draft.accepts_more() {
            let Some(due) = self.write_queue.take(spare, now) else {
                break;
            };
            let (PendingWrite::Finished(id) | PendingWrite::Chunk(ChunkId { job: id, .. })) = &due;
            let id = id.clone();
            self.cluster_state.claimed_all(&id);
            if draft.writes_job(&id) || self.rejected_changes.defers(&due, now) {
                deferred.push(due);
                continue;
            }
            let Some(entry) = recordable_entry(view, &id) else {
                continue;
            };
            let update = self.record_update(&id, entry, &due, now);
            if !draft.fits(&update) {
                // The chunk does not fit into this transaction. It goes first into the next one.
                if let PendingWrite::Chunk(chunk) = due {
                    self.requeue_claims(chunk, now);
                }
                break;
            }
            draft.add(&id, entry, update);
        }
        for due in deferred {
            self.requeue(due, now);
        }
    }

    /// Puts a write back into the queues, to be recorded later.
    fn requeue(&mut self, due: PendingWrite, now: Time) {
        match due {
            PendingWrite::Finished(id) => self.queue_finished(id, now),
            PendingWrite::Chunk(chunk) => self.write_queue.released(chunk, now),
        }
    }

    /// Returns the record update that a pending write results in.
    fn record_update(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        due: &PendingWrite,
        now: Time,
    ) -> RecordUpdate {
        let stored = &entry.record.value;
        match due {
            PendingWrite::Finished(_) if stored.phase != Phase::Live => RecordUpdate::Nothing,
            // The job's record alone states that the job is completed, so its chunks can be
            // deleted.
            PendingWrite::Finished(_) => RecordUpdate::Job(stored.done(self.wall_ms(now))),
            PendingWrite::Chunk(_) if entry.inline().is_some() => {
                self.inline_update(id, entry, now)
            }
            PendingWrite::Chunk(ChunkId { chunk, .. }) => self.chunk_update(id, entry, *chunk, now),
        }
    }

    /// Returns the record update of a job that keeps its claims in its own record.
    fn inline_update(&mut self, id: &JobId, entry: &JobEntry, now: Time) -> RecordUpdate {
        let stored = &entry.record.value;
        let Some(inline) = self.snapshot(id, 0, entry.inline()) else {
            return RecordUpdate::Nothing;
        };
        if entry.inline() == Some(&inline) || stored.phase == Phase::Done {
            return RecordUpdate::Nothing;
        }
        let value_bytes = self.cfg.state_limits.value_bytes;
        let mut record = JobRecord {
            inline: Some(inline),
            ..entry.rewritten(self.cfg.in_lane(stored))
        };
        if encoded_bytes(&record) <= value_bytes {
            return RecordUpdate::Job(record);
        }
        let Some(claims) = record.inline.take() else {
            return RecordUpdate::Nothing;
        };
        if encoded_bytes(&record) <= value_bytes {
            return RecordUpdate::Moved {
                claims: self.shorten_to_limit(id, 0, claims, now),
                job: record,
            };
        }
        // Even without claims, the job's record exceeds the smaller value limit (`state.next`).
        // Until that limit is in force, the claims stay inline, because earlier versions read no
        // other form. Then the claims go to a key of their own, which takes precedence over the
        // claims in the record.
        if self.rejected_changes.limits_fell() {
            RecordUpdate::Chunk {
                chunk: 0,
                record: Some(self.shorten_to_limit(id, 0, claims, now)),
            }
        } else {
            RecordUpdate::Job(JobRecord {
                inline: Some(claims),
                ..record
            })
        }
    }

    /// Returns the record update of a chunk that has its own key.
    fn chunk_update(
        &mut self,
        id: &JobId,
        entry: &JobEntry,
        chunk: u32,
        now: Time,
    ) -> RecordUpdate {
        let over = entry.record.value.phase != Phase::Live;
        let cancelled = entry.record.value.phase == Phase::Cancelled;
        let stored = entry.chunks.get(&chunk);
        let placed_here = self.scope.homes(id);
        // Another shard removes its own claims from the record. The job's own shard then deletes
        // the record.
        let still_claimed_here =
            !placed_here && stored.is_some_and(|h| self.claims_in(&h.value, true));
        let keep = self
            .snapshot(id, chunk, stored.map(|h| &h.value))
            .filter(|r| !over || !r.claims.is_empty() || still_claimed_here);
        if let Some(record) = keep {
            let record = self.shorten_to_limit(id, chunk, record, now);
            return if stored.is_some_and(|h| h.value == record) {
                RecordUpdate::Nothing
            } else {
                RecordUpdate::Chunk {
                    chunk,
                    record: Some(record),
                }
            };
        }
        // Only the shard that places the job deletes a chunk, and only once the job is over.
        // Another shard without any task of the job once deleted a chunk that other shards still
        // had claims in. Their tasks were started twice (hunt, day `apart`).
        if stored.is_none() || !over || !placed_here {
            return RecordUpdate::Nothing;
        }
        // A cancelled job's chunk also stays until all tasks of other shards are proven to have
        // ended. Otherwise the next owner of such a shard would not count them.
        if cancelled && stored.is_some_and(|h| self.claims_in(&h.value, false)) {
            RecordUpdate::Nothing
        } else {
            RecordUpdate::Chunk {
                chunk,
                record: None,
            }
        }
    }

    /// Shortens a chunk so that it fits into a value. A chunk that an earlier version made for
    /// larger values may be too large. Its last unrecorded claims then wait until other claims
    /// of the chunk have ended. No command was sent for them, because they are not recorded.
    fn shorten_to_limit(
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
            self.write_queue.released(ChunkId::new(id, chunk), now);
        }
        record
    }

    /// Returns whether the claim at a place of a chunk is not recorded yet.
    fn is_unrecorded(&self, id: &JobId, chunk: u32, place: u32) -> bool {
        let job = self.cluster_state.job(id);
        job.is_some_and(|job| {
            let index = chunk * job.tasks.chunk_size() + place;
            let claim = job.tasks.claims().get(&index);
            claim.is_some_and(|c| !c.committed)
        })
    }

    /// Queues a chunk to be recorded again. It has waited already; what is awaited is not before
    /// it.
    pub(super) fn requeue_claims(&mut self, chunk: ChunkId, now: Time) {
        match self.cluster_state.job(&chunk.job) {
            Some(job) => {
                let (write_priority, sort) = (
                    WritePriority::of(job).max(WritePriority::Normal),
                    job.sort(),
                );
                self.write_queue.claimed(chunk, write_priority, sort, now);
            }
            None => self.write_queue.released(chunk, now),
        }
    }

    /// Handles a transaction that the state service rejected. If the rejection shows that the
    /// smaller limits are in force, all changes are retried in the form for these limits.
    /// Otherwise the changes are retried one by one, so that a change that cannot be recorded
    /// blocks no other change. A change that was rejected alone waits before its retry. Returns
    /// false if this owner no longer holds the grant.
    pub fn transaction_rejected(
        &mut self,
        batch: Batch,
        limits_fell: bool,
        view: &View,
        now: Time,
    ) -> bool {
        if !self.rejected_changes.observe_limits(limits_fell) {
            let with_rollout = batch.rollout.is_some();
            let changes = batch.written_keys();
            self.rejected_changes
                .isolate_batch(changes, with_rollout, now);
        }
        self.transaction_conflicted(batch, view, now)
    }
}

/// Returns the records of a job, or `None` if nothing of the job may be recorded.
fn recordable_entry<'a>(view: &'a View, id: &JobId) -> Option<&'a JobEntry> {
    let entry = view.job(id)?;
    if entry.record.value.phase == Phase::Live && !view.is_ready(id) {
        // This point should be unreachable, because the cluster state holds no job that waits
        // for dependencies. A claim of such a job must not be recorded, whatever caused it.
        tracing::error!(job = %id, "job waiting for dependencies has a pending write");
        return None;
    }
    Some(entry)
}
