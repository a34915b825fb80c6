//! What waits to be recorded, by urgency. The state service takes few changes
//! a second, so they go where they are needed most: claims, as no task starts
//! before its claim is recorded; jobs that are done, as their users wait for
//! it; results and releases of single tasks, which a worker's heartbeat proves
//! again at any time and which therefore wait for others of their chunk; and
//! last the deletion of what nobody needs.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_sharding::fair::{Turns, SERVED_PER_DONE_JOB, SERVED_PER_TURN, TURN_AFTER_S};
use sorrelhinge_sharding::served::Sort;

use crate::scheduler::Job;
use crate::state::record::ChunkId;
use crate::types::{JobId, Priority, Time};

/// How long a result may wait, in seconds, to be recorded with others of its chunk.
const RESULT_DELAY_S: f64 = 12.0;
/// The same while more changes may be sent than urgent ones need.
const RESULT_DELAY_SPARE_S: f64 = 1.5;
/// How long a deletion may wait, in seconds.
const DELETION_DELAY_S: f64 = 30.0;

/// How urgent it is to record something; the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WritePriority {
    /// Its users wait for the start.
    Awaited,
    /// Work of a lane.
    Lane,
    /// Ordinary work.
    Usual,
    /// Work of idle priority: a swarm of single tasks costs three changes each,
    /// and kept claims of urgent work waiting for half a minute.
    Idle,
}

impl WritePriority {
    /// Of a job.
    pub fn of(job: &Job) -> Self {
        match (job.start_within.is_some(), job.priority) {
            (true, _) => Self::Awaited,
            (false, _) if job.lane.is_some() => Self::Lane,
            (false, Priority::Idle) => Self::Idle,
            (false, _) => Self::Usual,
        }
    }
}

/// A claim's place in the queue: by priority, then in the order they came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    write_priority: WritePriority,
    number: u64,
}

/// A claim that waits to be recorded.
#[derive(Debug)]
struct WaitingClaim {
    chunk: ChunkId,
    since: Time,
}

/// Where a chunk's claim waits.
#[derive(Debug)]
struct ClaimPlace {
    place: Place,
    /// Class and team.
    sort: Sort,
}

/// A job that is done: those of idle priority last, then by name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct FinishedJob {
    idle: bool,
    job: JobId,
}

/// The queues of writes, each of its own urgency.
#[derive(Debug, Default)]
pub struct Pending {
    /// By priority, then in the order they came.
    claims: BTreeMap<Place, WaitingClaim>,
    claimed: BTreeMap<ChunkId, ClaimPlace>,
    /// The same by class and team, which have turns once they wait for long.
    sorts: BTreeMap<Sort, BTreeSet<Place>>,
    turns: Turns<Sort>,
    last_number: u64,
    /// How many writes were taken.
    taken: u64,
    /// Those of idle priority last.
    finished: BTreeMap<FinishedJob, Time>,
    /// Whether the last urgent write that was taken was a claim.
    last_was_claim: bool,
    results: BTreeMap<ChunkId, Time>,
    deletions: BTreeMap<ChunkId, Time>,
}

/// Something to record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PendingWrite {
    /// A job is done.
    Finished(JobId),
    /// A chunk changed.
    Chunk(ChunkId),
}

impl Pending {
    /// A task was claimed. `sort`: the job's class and team.
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
            let place = Place {
                write_priority,
                number: self.last_number,
            };
            let claim = WaitingClaim {
                chunk: chunk.clone(),
                since: now,
            };
            self.claims.insert(place, claim);
            self.sorts.entry(sort.clone()).or_default().insert(place);
            self.claimed.insert(chunk, ClaimPlace { place, sort });
        }
    }

    /// A claim was released, or its task ended.
    pub fn released(&mut self, chunk: ChunkId, now: Time) {
        if !self.claimed.contains_key(&chunk) {
            self.results.entry(chunk).or_insert(now);
        }
    }

    /// All tasks of a job are done.
    pub fn finished(&mut self, job: JobId, write_priority: WritePriority, now: Time) {
        let idle = write_priority == WritePriority::Idle;
        let key = FinishedJob { idle, job };
        self.finished.entry(key).or_insert(now);
    }

    /// A job is not to be recorded as done.
    pub fn not_finished(&mut self, job: &JobId) {
        for idle in [false, true] {
            let job = job.clone();
            self.finished.remove(&FinishedJob { idle, job });
        }
    }

    /// A chunk is of no use any more.
    pub fn useless(&mut self, chunk: ChunkId, now: Time) {
        self.remove_claim(&chunk);
        self.results.remove(&chunk);
        self.deletions.entry(chunk).or_insert(now);
    }

    /// Whether claims of a chunk wait to be recorded.
    pub fn claims(&self, chunk: &ChunkId) -> bool {
        self.claimed.contains_key(chunk)
    }

    /// Whether any claims wait to be recorded.
    pub fn claims_any(&self) -> bool {
        !self.claims.is_empty()
    }

    fn remove_claim(&mut self, chunk: &ChunkId) -> bool {
        let Some(ClaimPlace { place, sort }) = self.claimed.remove(chunk) else {
            return false;
        };
        self.claims.remove(&place);
        if let Some(places) = self.sorts.get_mut(&sort) {
            places.remove(&place);
            if places.is_empty() {
                self.sorts.remove(&sort);
            }
        }
        true
    }

    /// The claim whose class and team have their turn, if it has waited for long.
    fn next_in_turn(&mut self, now: Time) -> Option<ChunkId> {
        let claims = &self.claims;
        let first = |places: &BTreeSet<Place>| {
            let claim = claims.get(places.first()?)?;
            (now.since(claim.since) >= TURN_AFTER_S).then(|| claim.chunk.clone())
        };
        let waiting = self.sorts.iter().filter(|(_, p)| first(p).is_some());
        let sort = self.turns.next(waiting.map(|(sort, _)| sort))?;
        first(self.sorts.get(&sort)?)
    }

    /// Takes the job that has been done for longest, if its users have waited for
    /// [`TURN_AFTER_S`].
    fn take_overdue_job(&mut self, now: Time) -> Option<JobId> {
        let (job, since) = self
            .finished
            .iter()
            .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))?;
        let key = (now.since(*since) >= TURN_AFTER_S).then(|| job.clone())?;
        self.finished.remove(&key);
        Some(key.job)
    }

    /// How long the claim has waited that is recorded next, in seconds.
    pub fn claims_wait(&self, now: Time) -> f64 {
        let next = self.claims.first_key_value();
        next.map_or(0.0, |(_, claim)| now.since(claim.since))
    }

    /// Whether something is due that should not wait for the next tick.
    pub fn urgent(&self) -> bool {
        !self.claims.is_empty() || !self.finished.is_empty()
    }

    /// Takes what is most urgent, if anything is due. `spare`: there are more
    /// changes left than urgent ones need.
    pub fn take(&mut self, spare: bool, now: Time) -> Option<PendingWrite> {
        // Urgency goes first, but not alone.
        self.taken += 1;
        if self.taken % SERVED_PER_DONE_JOB == 0 {
            if let Some(job) = self.take_overdue_job(now) {
                return Some(PendingWrite::Finished(job));
            }
        }
        if self.taken % SERVED_PER_TURN == 1 {
            if let Some(chunk) = self.next_in_turn(now) {
                self.remove_claim(&chunk);
                return Some(PendingWrite::Chunk(chunk));
            }
        }
        self.take_urgent().or_else(|| self.take_overdue(spare, now))
    }

    /// A claim or a job that is done.
    fn take_urgent(&mut self) -> Option<PendingWrite> {
        // Claims that no user waits for take turns with jobs that are done:
        // while there are more claims than changes, nothing else would be recorded.
        let awaited = self
            .claims
            .first_key_value()
            .is_some_and(|(place, _)| place.write_priority == WritePriority::Awaited);
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

    /// Takes a result or a deletion that has waited for long enough.
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
