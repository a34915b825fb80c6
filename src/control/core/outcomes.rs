//! Recording of claims and results, and the handling of transactions that were committed or had
//! conflicts.

use super::draft::{ChunkWrite, JobWrite};
use super::largest_jobs::JobEvent;
use super::{Batch, Core};
use crate::control::write_queue::WritePriority;
use crate::scheduler::Job;
use crate::state::record::ChunkId;
use crate::state::record::{ChunkRecord, Phase, RecordedClaim, RecordedUnits};
use crate::state::view::{JobEntry, Versioned, View};
use crate::types::{Attempt, JobId, Kind, Revision, TaskId, Time};

impl Core {
    /// Queues the record that all tasks of a job are done.
    pub(super) fn queue_finished(&mut self, id: JobId, now: Time) {
        let write_priority = self
            .cluster_state
            .job(&id)
            .map_or(WritePriority::Normal, WritePriority::of);
        self.write_queue.finished(id, write_priority, now);
    }

    /// Returns whether any pending write is too urgent to wait for the next tick.
    pub fn has_urgent(&self) -> bool {
        self.write_queue.urgent()
    }

    /// Returns how many seconds the next claim to be recorded has waited.
    pub fn next_claim_wait_s(&self, now: Time) -> f64 {
        self.write_queue.next_claim_wait_s(now)
    }

    /// Returns the record to write for a chunk. Claims of other shards in `stored` stay
    /// unchanged.
    pub(super) fn snapshot(
        &self,
        id: &JobId,
        chunk: u32,
        stored: Option<&ChunkRecord>,
    ) -> Option<ChunkRecord> {
        let mut record = chunk_record(self.cluster_state.job(id)?, chunk);
        if let Some(stored) = stored.filter(|_| self.scope.is_part()) {
            self.merge_other_shards(&mut record, stored);
        }
        Some(record)
    }

    /// Adds the claims and results that other shards stored in a chunk's record.
    fn merge_other_shards(&self, record: &mut ChunkRecord, stored: &ChunkRecord) {
        let foreign_claims = stored.claims.iter();
        let foreign_claims = foreign_claims.filter(|claim| !self.scope.covers(&claim.machine));
        let foreign_claims: Vec<_> = foreign_claims.cloned().collect();
        let is_foreign = |place: u32| foreign_claims.iter().any(|claim| claim.place == place);
        let units = stored.units.iter().filter(|units| is_foreign(units.place));
        record.units.extend(units.cloned());
        record.units.sort_by_key(|units| units.place);
        record.claims.extend(foreign_claims);
        record.claims.sort_by_key(|claim| claim.place);
        record.next_attempt = record.next_attempt.max(stored.next_attempt);
        record.failed_attempts = record.failed_attempts.max(stored.failed_attempts);
        record.done |= stored.done;
    }

    /// Returns whether a chunk's record claims tasks on machines of this shard, or, if `here` is
    /// false, on machines of other shards.
    pub(super) fn claims_in(&self, chunk: &ChunkRecord, here: bool) -> bool {
        let mut claims = chunk.claims.iter();
        claims.any(|c| self.scope.covers(&c.machine) == here)
    }

    /// Handles a transaction that was committed.
    pub fn transaction_committed(
        &mut self,
        batch: Batch,
        revision: Revision,
        view: &mut View,
        now: Time,
    ) {
        for write in batch.chunks {
            self.chunk_committed(write, revision, view, now);
        }
        if let Some(step) = batch.rollout {
            for machine in self.image_distribution.step_committed(step, revision, now) {
                self.queue_contact(&machine);
            }
            self.wake_staged(now);
        }
        for write in batch.jobs {
            self.job_committed(write, revision, view, now);
        }
    }

    /// Updates the view after a chunk was written or deleted under its own key.
    fn chunk_committed(
        &mut self,
        write: ChunkWrite,
        mod_revision: Revision,
        view: &mut View,
        now: Time,
    ) {
        let ChunkId { job: id, chunk } = write.chunk;
        match write.record {
            Some(value) => {
                self.confirm(&id, chunk, &value, now);
                view.put_chunk(
                    &id,
                    chunk,
                    Versioned {
                        mod_revision,
                        value,
                    },
                );
            }
            None => view.drop_chunk(&id, chunk, mod_revision),
        }
    }

    /// Updates the view after a job's own record was written.
    fn job_committed(
        &mut self,
        write: JobWrite,
        mod_revision: Revision,
        view: &mut View,
        now: Time,
    ) {
        let (id, value) = (write.job, write.record);
        if value.phase == Phase::Done {
            if let Some(sort) = self.cluster_state.job(&id).map(Job::sort) {
                self.served_log.job_counts_mut().done(&sort);
            }
            self.log_largest_over(&id, JobEvent::Done, now);
            tracing::info!(job = %id, "done");
        }
        if let Some(inline) = &value.inline {
            self.confirm(&id, 0, inline, now);
        }
        view.put_job(
            &id,
            Versioned {
                mod_revision,
                value,
            },
        );
        self.forget_job(view, &id, now);
    }

    /// Marks the claims of a recorded chunk as committed. The machines of new claims are
    /// contacted, because starts may be due.
    pub(super) fn confirm(&mut self, id: &JobId, chunk: u32, record: &ChunkRecord, now: Time) {
        let Some(size) = self.cluster_state.job(id).map(|j| j.tasks.chunk_size()) else {
            return;
        };
        for RecordedClaim {
            place,
            attempt,
            machine,
        } in &record.claims
        {
            let task = TaskId {
                job: id.clone(),
                index: chunk * size + place,
            };
            if let Some(claim) = self.cluster_state.claim_mut(&task) {
                if claim.attempt == *attempt && !claim.committed {
                    claim.committed = true;
                    self.queue_contact(machine);
                }
            }
        }
        let job = self.cluster_state.job(id);
        if let Some(job) = job.filter(|j| j.spec.kind == Kind::Gang) {
            // The last claim of a gang may be recorded now, and all its tasks start together.
            let machines = job.tasks.claims().values().map(|c| c.machine.clone());
            for machine in machines.collect::<Vec<_>>() {
                self.queue_contact(&machine);
            }
        }
        self.settle_stopped(id, now);
    }

    /// Handles a transaction that was not committed, or that an earlier attempt had already
    /// committed. The view is newer than the transaction. Returns false if this owner no longer
    /// holds the grant.
    pub fn transaction_conflicted(&mut self, batch: Batch, view: &View, now: Time) -> bool {
        if let Some(step) = batch.rollout {
            self.image_distribution.step_conflicted(step, view, now);
        }
        let mut chunks = batch.chunks;
        for write in batch.jobs {
            if write.record.phase == Phase::Done {
                self.done_conflicted(&write.job, view, now);
            } else if write.record.inline.is_some() {
                // Only inline claims are added here. Claims that were to be moved to a key of their
                // own are already in `chunks`.
                chunks.push(ChunkWrite {
                    chunk: ChunkId::new(&write.job, 0),
                    record: write.record.inline,
                });
            }
        }
        for write in chunks {
            self.chunk_conflicted(write, view, now);
        }
        self.still_granted(view)
    }

    /// Retries the record that a job is done, after its transaction was not committed.
    fn done_conflicted(&mut self, id: &JobId, view: &View, now: Time) {
        let entry = view.job(id);
        let live = entry.is_some_and(|e| e.record.value.phase == Phase::Live);
        let job = self.cluster_state.job(id);
        if live && job.is_some_and(|j| j.tasks.all_done()) {
            self.queue_finished(id.clone(), now);
        } else {
            self.forget_job(view, id, now);
        }
    }

    /// Retries the write of a chunk, unless the view shows that it was already committed.
    fn chunk_conflicted(&mut self, write: ChunkWrite, view: &View, now: Time) {
        let ChunkId { job: id, chunk } = &write.chunk;
        let stored = view.job(id).and_then(|e| e.chunk(*chunk));
        match (&write.record, stored) {
            (Some(sent), Some(stored)) if sent == stored => self.confirm(id, *chunk, sent, now),
            (Some(_), _) => self.requeue_claims(write.chunk, now),
            (None, _) => self.write_queue.delete_chunk(write.chunk, now),
        }
    }
}

/// Returns the record of a job's chunk from this shard's cluster state.
fn chunk_record(job: &Job, chunk: u32) -> ChunkRecord {
    let size = job.tasks.chunk_size();
    let from = chunk * size;
    let claims_of_chunk = || job.tasks.claims().range(from..from + size);
    let claims = claims_of_chunk().map(|(&index, claim)| {
        let place = index - from;
        RecordedClaim::from((place, claim.attempt, claim.machine.clone()))
    });
    // If the job's tasks use devices, the record lists the devices of each claim, also if a claim
    // holds none. An earlier version wrote claims without such a list, and those may hold any
    // devices of their machine.
    let placement = job.spec.placement.as_ref();
    let devices = placement.is_some_and(|w| !w.devices.is_empty());
    let named = claims_of_chunk().filter(|(_, c)| devices && !c.unnamed);
    let units = named.map(|(&index, claim)| {
        let place = index - from;
        RecordedUnits::from((place, claim.units.clone()))
    });
    ChunkRecord {
        next_attempt: job.tasks.next_attempt(chunk),
        done: job.tasks.done_bits(chunk),
        claims: claims.collect(),
        units: units.collect(),
        failed_attempts: job.tasks.failed_attempts(chunk),
    }
}

/// Returns whether the records claim an attempt of a task, for a job that is not done.
pub(super) fn recorded_claim(view: &View, task: &TaskId, attempt: Attempt) -> bool {
    let live = |entry: &&JobEntry| entry.record.value.phase != Phase::Done;
    view.job(&task.job).filter(live).is_some_and(|entry| {
        let size = entry.record.value.chunk.max(1);
        entry.chunk(task.index / size).is_some_and(|c| {
            c.claims
                .iter()
                .any(|c| c.place == task.index % size && c.attempt == attempt)
        })
    })
}
