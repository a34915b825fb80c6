//! What waits to be recorded, by urgency. The state service takes few changes
//! a second, so they go where they are missed most: claims, as no task starts
//! before its claim is recorded; jobs that are done, as their users wait for
//! it; results and releases of single tasks, which a worker's report proves
//! again at any time and which therefore wait for others of their chunk; and
//! last the deletion of what nobody needs.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{JobId, Time};

/// Part of a job's tasks.
pub type ChunkId = (JobId, u32);

/// A result may wait this long for company.
const RESULT_S: f64 = 12.0;
/// If changes are to spare, a result waits only this long.
const RESULT_SPARE_S: f64 = 1.5;
/// A deletion may wait this long.
const TRASH_S: f64 = 30.0;

/// The queues.
#[derive(Debug, Default)]
pub struct Pending {
    /// Those that users wait for first, then in the order they came.
    claims: BTreeMap<(bool, u64), (ChunkId, Time)>,
    claimed: BTreeMap<ChunkId, (bool, u64)>,
    count: u64,
    finished: BTreeSet<JobId>,
    /// A claim was taken last.
    claim_last: bool,
    results: BTreeMap<ChunkId, Time>,
    trash: BTreeMap<ChunkId, Time>,
}

/// Something to record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Due {
    /// A job is done.
    Finished(JobId),
    /// A chunk changed.
    Chunk(ChunkId),
}

impl Pending {
    /// A task was claimed. `hurry`: its users wait for its start.
    pub fn claimed(&mut self, chunk: ChunkId, hurry: bool, now: Time) {
        self.results.remove(&chunk);
        if !self.claimed.contains_key(&chunk) {
            self.count += 1;
            let place = (!hurry, self.count);
            self.claims.insert(place, (chunk.clone(), now));
            self.claimed.insert(chunk, place);
        }
    }
    /// A claim was released, or its task ended.
    pub fn released(&mut self, chunk: ChunkId, now: Time) {
        if !self.claimed.contains_key(&chunk) {
            self.results.entry(chunk).or_insert(now);
        }
    }
    /// All tasks of a job are done.
    pub fn finished(&mut self, job: JobId) {
        self.finished.insert(job);
    }
    /// A job is not to be recorded as done.
    pub fn not_finished(&mut self, job: &JobId) {
        self.finished.remove(job);
    }
    /// A chunk is of no use any more.
    pub fn useless(&mut self, chunk: ChunkId, now: Time) {
        if let Some(place) = self.claimed.remove(&chunk) {
            self.claims.remove(&place);
        }
        self.results.remove(&chunk);
        self.trash.entry(chunk).or_insert(now);
    }
    /// Whether claims of a chunk wait to be recorded.
    pub fn claims(&self, chunk: &ChunkId) -> bool {
        self.claimed.contains_key(chunk)
    }
    /// Whether any claims wait to be recorded.
    pub fn claims_any(&self) -> bool {
        !self.claims.is_empty()
    }
    /// How long the claim has waited that is recorded next, in seconds.
    pub fn claims_wait(&self, now: Time) -> f64 {
        let next = self.claims.first_key_value();
        next.map_or(0.0, |(_, (_, since))| now.since(*since))
    }
    /// Whether something is due that should not wait for the next tick.
    pub fn urgent(&self) -> bool {
        !self.claims.is_empty() || !self.finished.is_empty()
    }
    /// Takes what is most urgent, if anything is due. `spare`: there are more
    /// changes left than urgent ones need.
    pub fn take(&mut self, spare: bool, now: Time) -> Option<Due> {
        // Claims that no user waits for take turns with jobs that are done:
        // while there are more claims than changes, nothing else would be told.
        let hurry = self.claims.first_key_value().is_some_and(|(p, _)| !p.0);
        let turn = hurry || !self.claim_last || self.finished.is_empty();
        if let Some((_, (chunk, _))) = turn.then(|| self.claims.pop_first()).flatten() {
            self.claimed.remove(&chunk);
            self.claim_last = true;
            return Some(Due::Chunk(chunk));
        }
        self.claim_last = false;
        if let Some(job) = self.finished.pop_first() {
            return Some(Due::Finished(job));
        }
        let oldest = |queue: &BTreeMap<ChunkId, Time>, wait: f64| {
            queue
                .iter()
                .filter(|(_, since)| now.since(**since) >= wait)
                .min_by(|a, b| a.1 .0.total_cmp(&b.1 .0))
                .map(|(chunk, _)| chunk.clone())
        };
        let wait = if spare { RESULT_SPARE_S } else { RESULT_S };
        if let Some(chunk) = oldest(&self.results, wait) {
            self.results.remove(&chunk);
            return Some(Due::Chunk(chunk));
        }
        let wait = if spare { 0.0 } else { TRASH_S };
        let chunk = oldest(&self.trash, wait)?;
        self.trash.remove(&chunk);
        Some(Due::Chunk(chunk))
    }
}
