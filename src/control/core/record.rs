//! Claims and results on their way into the record.

use super::{Batch, Core};
use crate::control::pending::Haste;
use crate::sched::Job;
use crate::state::record::{ChunkRecord, Phase, RecordedClaim, RecordedUnits};
use crate::state::view::{JobEntry, Versioned, View};
use crate::types::{Attempt, JobId, Kind, Revision, TaskId, Time};

impl Core {
    /// All tasks of a job are done: that is to be recorded.
    pub(super) fn finished(&mut self, id: JobId, now: Time) {
        let haste = self.cluster_state.job(&id).map_or(Haste::Usual, Haste::of);
        self.pending.finished(id, haste, now);
    }

    /// Whether something is to be recorded that should not wait.
    pub fn has_urgent(&self) -> bool {
        self.pending.urgent()
    }

    /// How long the claim has waited that is recorded next, in seconds.
    pub fn claims_wait(&self, now: Time) -> f64 {
        self.pending.claims_wait(now)
    }

    /// A chunk as it should be recorded: what other blocks hold of it, as in
    /// `held`, stays as it is.
    pub(super) fn snapshot(
        &self,
        id: &JobId,
        chunk: u32,
        held: Option<&ChunkRecord>,
    ) -> Option<ChunkRecord> {
        let job = self.cluster_state.job(id)?;
        let size = job.tasks.chunk_size();
        let from = chunk * size;
        let mut claims: Vec<RecordedClaim> = job
            .tasks
            .claims()
            .range(from..from + size)
            .map(|(&i, c)| RecordedClaim::from((i - from, c.attempt, c.machine.clone())))
            .collect();
        // Also of claims that hold none: a claim that is not named here was
        // written by an earlier version, and may hold anything.
        let devices = job
            .spec
            .placement
            .as_ref()
            .is_some_and(|w| !w.devices.is_empty());
        let mut units: Vec<_> = job
            .tasks
            .claims()
            .range(from..from + size)
            .filter(|(_, c)| devices && !c.unnamed)
            .map(|(&i, c)| RecordedUnits::from((i - from, c.units.clone())))
            .collect();
        let mut next_attempt = job.tasks.next_attempt(chunk);
        let mut done = job.tasks.done_bits(chunk);
        if let Some(held) = held.filter(|_| self.shard.is_part()) {
            let theirs = |c: &&RecordedClaim| !self.shard.covers(&c.machine);
            let theirs: Vec<_> = held.claims.iter().filter(theirs).cloned().collect();
            let of = |place: u32| theirs.iter().any(|c| c.place == place);
            units.extend(held.units.iter().filter(|u| of(u.place)).cloned());
            units.sort_by_key(|u| u.place);
            claims.extend(theirs);
            claims.sort_by_key(|c| c.place);
            next_attempt = next_attempt.max(held.next_attempt);
            done |= held.done;
        }
        Some(ChunkRecord {
            next_attempt,
            done,
            claims,
            units,
        })
    }

    /// Whether a chunk's record claims tasks on machines of this block, or, if not
    /// `here`, of other blocks.
    pub(super) fn claims_in(&self, chunk: &ChunkRecord, here: bool) -> bool {
        let mut claims = chunk.claims.iter();
        claims.any(|c| self.shard.covers(&c.machine) == here)
    }

    /// A transaction was carried out.
    pub fn committed(&mut self, batch: Batch, revision: Revision, view: &mut View, now: Time) {
        for ((id, chunk), record) in batch.chunks {
            match record {
                Some(value) => {
                    self.confirm(&id, chunk, &value, now);
                    let stamp = revision;
                    view.put_chunk(&id, chunk, Versioned { stamp, value });
                }
                None => view.drop_chunk(&id, chunk, revision),
            }
        }
        if let Some(step) = batch.wave {
            for machine in self.staging.done(step, revision, now) {
                self.wake(&machine);
            }
            self.wake_staged(now);
        }
        for (id, value) in batch.jobs {
            if value.phase == Phase::Done {
                if let Some(sort) = self.cluster_state.job(&id).map(Job::sort) {
                    self.served.done(&sort);
                }
                self.largest_over(&id, "done", now);
                tracing::info!(job = %id, "done");
            }
            if let Some(inline) = &value.inline {
                self.confirm(&id, 0, inline, now);
            }
            let stamp = revision;
            view.put_job(&id, Versioned { stamp, value });
            self.forget_job(view, &id, now);
        }
    }

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
                    self.wake(machine);
                }
            }
        }
        let job = self.cluster_state.job(id);
        if let Some(job) = job.filter(|j| j.spec.kind == Kind::Gang) {
            // Its last claim is recorded: all start together.
            let machines = job.tasks.claims().values().map(|c| c.machine.clone());
            for machine in machines.collect::<Vec<_>>() {
                self.wake(&machine);
            }
        }
        self.settle_stopped(id, now);
    }

    /// A transaction was not carried out, or already had been in an earlier
    /// try; the view is newer than it. False if the grant is no longer ours.
    pub fn conflicted(&mut self, batch: Batch, view: &View, now: Time) -> bool {
        if let Some(step) = batch.wave {
            self.staging.undone(step, view, now);
        }
        let mut chunks = batch.chunks;
        for (id, record) in batch.jobs {
            if record.phase != Phase::Done {
                // Claims that were to be moved are among the chunks.
                if record.inline.is_some() {
                    chunks.push(((id, 0), record.inline));
                }
                continue;
            }
            let live = view
                .job(&id)
                .is_some_and(|e| e.record.value.phase == Phase::Live);
            if live
                && self
                    .cluster_state
                    .job(&id)
                    .is_some_and(|j| j.tasks.all_done())
            {
                self.finished(id, now);
            } else {
                self.forget_job(view, &id, now);
            }
        }
        for ((id, chunk), record) in chunks {
            let held = view.job(&id).and_then(|e| e.chunk(chunk));
            match (&record, held) {
                (Some(ours), Some(held)) if ours == held => self.confirm(&id, chunk, ours, now),
                (Some(_), _) => self.claim_again((id, chunk), now),
                (None, _) => self.pending.useless((id, chunk), now),
            }
        }
        self.still_granted(view)
    }
}

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
