//! Queue of writes that wait to be recorded, by urgency. The state service takes few
//! changes a second, so the queue orders them by need.
//!
//! Claims come first, because no task starts before its claim is recorded. Jobs that are
//! done come next, because their users wait for that. Results and releases of single tasks
//! follow: a worker's heartbeat proves them again at any time, so they wait for others of
//! their chunk. Deletions of unused records come last.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_sharding::fair::{Turns, SERVED_PER_DONE_JOB, SERVED_PER_TURN, TURN_AFTER_S};
use sorrelhinge_sharding::served::Sort;

use crate::scheduler::Job;
use crate::state::record::ChunkId;
use crate::types::{JobId, Priority, Time};

/// Maximum time that a task's result waits for other changes of its chunk before it is recorded, in
/// seconds.
const RESULT_DELAY_S: f64 = 12.0;
/// Maximum time that a task's result waits for other changes while the state service's write budget
/// exceeds the needs of urgent writes, in seconds.
const RESULT_DELAY_SPARE_S: f64 = 1.5;
/// Maximum time that the deletion of an unused record waits, in seconds.
const DELETION_DELAY_S: f64 = 30.0;

/// Urgency of a write. The most urgent level comes first in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// Writes of jobs whose users wait for the start.
    Awaited,
    /// Writes of jobs in a priority lane.
    Lane,
    /// Writes of ordinary jobs.
    Normal,
    /// Writes of jobs of idle priority. Many jobs of a single task cost three changes each,
    /// and once kept claims of urgent jobs waiting for half a minute.
    Idle,
}

impl WritePriority {
    /// Returns the urgency of a job's writes.
    pub fn of(job: &Job) -> Self {
        match (job.start_within.is_some(), job.priority) {
            (true, _) => Self::Awaited,
            (false, _) if job.lane.is_some() => Self::Lane,
            (false, Priority::Idle) => Self::Idle,
            (false, _) => Self::Normal,
        }
    }
}

/// Position of a claim in the queue, by priority and then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    write_priority: WritePriority,
    number: u64,
}

/// Claim that waits to be recorded.
#[derive(Debug)]
struct WaitingClaim {
    chunk: ChunkId,
    since: Time,
}

/// Position of a chunk's claim in the queue.
#[derive(Debug)]
struct QueuedClaim {
    position: QueuePosition,
    /// Class and team of the job.
    sort: Sort,
}

/// Key of a finished job. Jobs of idle priority sort last, then by id.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FinishedJob {
    idle: bool,
    job: JobId,
}

/// Writes that wait to be recorded, with one queue for each kind.
#[derive(Debug, Default)]
pub struct WriteQueue {
    /// Claims that wait to be recorded, by priority and then by arrival.
    claims: BTreeMap<QueuePosition, WaitingClaim>,
    claimed: BTreeMap<ChunkId, QueuedClaim>,
    /// Positions of claims by class and team. Each class and team gets turns once its
    /// claims have waited for [`TURN_AFTER_S`].
    by_sort: BTreeMap<Sort, BTreeSet<QueuePosition>>,
    turns: Turns<Sort>,
    last_number: u64,
    /// Number of calls of [`WriteQueue::take`], which decides whether a call takes an overdue write
    /// first.
    take_calls: u64,
    /// Finished jobs, with the time since when they wait to be recorded. Jobs of idle priority come
    /// last.
    finished: BTreeMap<FinishedJob, Time>,
    /// Whether the last urgent write that was taken is a claim.
    last_was_claim: bool,
    results: BTreeMap<ChunkId, Time>,
    deletions: BTreeMap<ChunkId, Time>,
}

/// Write that is due to be recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PendingWrite {
    /// The job is done.
    Finished(JobId),
    /// The chunk's claims or results changed, or its record can be deleted.
    Chunk(ChunkId),
}

impl WriteQueue {
    /// Queues the claim of a task. `sort` names the job's class and team.
    pub fn claimed(
        &mut self,
        chunk: ChunkId,
        write_priority: WritePriority,
        sort: Sort,
        now: Time,
    ) {
        self.results.remove(&chunk);
        if !self.claimed.contains_key(&chunk) {
            self.last_number += 1;
            let position = QueuePosition {
                write_priority,
                number: self.last_number,
            };
            let claim = WaitingClaim {
                chunk: chunk.clone(),
                since: now,
            };
            self.claims.insert(position, claim);
            self.by_sort
                .entry(sort.clone())
                .or_default()
                .insert(position);
            self.claimed.insert(chunk, QueuedClaim { position, sort });
        }
    }

    /// Queues a released claim or an ended task, unless a claim of the chunk already waits.
    pub fn released(&mut self, chunk: ChunkId, now: Time) {
        if !self.claimed.contains_key(&chunk) {
            self.results.entry(chunk).or_insert(now);
        }
    }

    /// Queues a job whose tasks are all done.
    pub fn finished(&mut self, job: JobId, write_priority: WritePriority, now: Time) {
        let idle = write_priority == WritePriority::Idle;
        let key = FinishedJob { idle, job };
        self.finished.entry(key).or_insert(now);
    }

    /// Removes a job from the queue of finished jobs.
    pub fn cancel_finished(&mut self, job: &JobId) {
        for idle in [false, true] {
            let job = job.clone();
            self.finished.remove(&FinishedJob { idle, job });
        }
    }

    /// Queues the deletion of a chunk's record, and removes all other writes of the chunk.
    pub fn delete_chunk(&mut self, chunk: ChunkId, now: Time) {
        self.remove_claim(&chunk);
        self.results.remove(&chunk);
        self.deletions.entry(chunk).or_insert(now);
    }

    /// Returns whether claims of a chunk wait to be recorded.
    pub fn claims(&self, chunk: &ChunkId) -> bool {
        self.claimed.contains_key(chunk)
    }

    /// Returns whether any claims wait to be recorded.
    pub fn has_claims(&self) -> bool {
        !self.claims.is_empty()
    }

    fn remove_claim(&mut self, chunk: &ChunkId) -> bool {
        let Some(QueuedClaim { position, sort }) = self.claimed.remove(chunk) else {
            return false;
        };
        self.claims.remove(&position);
        if let Some(positions) = self.by_sort.get_mut(&sort) {
            positions.remove(&position);
            if positions.is_empty() {
                self.by_sort.remove(&sort);
            }
        }
        true
    }

    /// Returns the first claim of the class and team whose turn it is, if that claim has
    /// waited for at least [`TURN_AFTER_S`].
    fn next_in_turn(&mut self, now: Time) -> Option<ChunkId> {
        let claims = &self.claims;
        let first = |positions: &BTreeSet<QueuePosition>| {
            let claim = claims.get(positions.first()?)?;
            (now.since(claim.since) >= TURN_AFTER_S).then(|| claim.chunk.clone())
        };
        let waiting = self.by_sort.iter().filter(|(_, p)| first(p).is_some());
        let sort = self.turns.next(waiting.map(|(sort, _)| sort))?;
        first(self.by_sort.get(&sort)?)
    }

    /// Removes and returns the job that has been done for longest, if its users have waited
    /// for at least [`TURN_AFTER_S`].
    fn take_overdue_job(&mut self, now: Time) -> Option<JobId> {
        let (job, since) = self
            .finished
            .iter()
            .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))?;
        let key = (now.since(*since) >= TURN_AFTER_S).then(|| job.clone())?;
        self.finished.remove(&key);
        Some(key.job)
    }

    /// Returns how long the next claim in the queue has waited, in seconds.
    pub fn next_claim_wait_s(&self, now: Time) -> f64 {
        let next = self.claims.first_key_value();
        next.map_or(0.0, |(_, claim)| now.since(claim.since))
    }

    /// Returns whether a write is queued that must not wait for the next tick.
    pub fn urgent(&self) -> bool {
        !self.claims.is_empty() || !self.finished.is_empty()
    }

    /// Removes and returns the most urgent write that is due. `spare` says that the state service's
    /// write budget exceeds the needs of urgent writes.
    pub fn take(&mut self, spare: bool, now: Time) -> Option<PendingWrite> {
        // The most urgent write usually goes first, but overdue writes get a share of the
        // turns.
        self.take_calls += 1;
        if self.take_calls % SERVED_PER_DONE_JOB == 0 {
            if let Some(job) = self.take_overdue_job(now) {
                return Some(PendingWrite::Finished(job));
            }
        }
        if self.take_calls % SERVED_PER_TURN == 1 {
            if let Some(chunk) = self.next_in_turn(now) {
                self.remove_claim(&chunk);
                return Some(PendingWrite::Chunk(chunk));
            }
        }
        self.take_urgent().or_else(|| self.take_overdue(spare, now))
    }

    /// Removes and returns a claim or a finished job.
    fn take_urgent(&mut self) -> Option<PendingWrite> {
        // Claims that no user waits for alternate with finished jobs. Otherwise nothing
        // else would be recorded while there are more claims than changes.
        let awaited = self
            .claims
            .first_key_value()
            .is_some_and(|(position, _)| position.write_priority == WritePriority::Awaited);
        let turn = awaited || !self.last_was_claim || self.finished.is_empty();
        let first = turn.then(|| self.claims.first_key_value()).flatten();
        if let Some(chunk) = first.map(|(_, claim)| claim.chunk.clone()) {
            self.remove_claim(&chunk);
            self.last_was_claim = true;
            return Some(PendingWrite::Chunk(chunk));
        }
        self.last_was_claim = false;
        if let Some((FinishedJob { job, .. }, _)) = self.finished.pop_first() {
            return Some(PendingWrite::Finished(job));
        }
        None
    }

    /// Removes and returns a result or a deletion that has waited for long enough.
    fn take_overdue(&mut self, spare: bool, now: Time) -> Option<PendingWrite> {
        let oldest = |queue: &BTreeMap<ChunkId, Time>, wait: f64| {
            queue
                .iter()
                .filter(|(_, since)| now.since(**since) >= wait)
                .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))
                .map(|(chunk, _)| chunk.clone())
        };
        let wait = if spare {
            RESULT_DELAY_SPARE_S
        } else {
            RESULT_DELAY_S
        };
        if let Some(chunk) = oldest(&self.results, wait) {
            self.results.remove(&chunk);
            return Some(PendingWrite::Chunk(chunk));
        }
        let wait = if spare { 0.0 } else { DELETION_DELAY_S };
        let chunk = oldest(&self.deletions, wait)?;
        self.deletions.remove(&chunk);
        Some(PendingWrite::Chunk(chunk))
    }
}
