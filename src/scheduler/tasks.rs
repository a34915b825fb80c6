//! The state of the tasks of a job. Each task is done, claimed or pending.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_topology::devices::Unit;

use crate::types::{Attempt, MachineId, Time};

/// The delivery state of the start command of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// This controller has not sent the command under its present grant.
    No,
    /// The claim was found in the record at a takeover, so it is unknown whether the command was
    /// sent.
    Found,
    /// The command was sent directly and has no answer yet.
    Flying,
    /// The worker has answered the command.
    Answered,
    /// The command was sent in the answer to a heartbeat.
    InReply,
}

/// The last reported state of a claimed task on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// No report has named the task yet.
    Unseen,
    /// The task waits for its image.
    Fetching,
    /// The task has run since about this time.
    Running(Time),
    /// The task has received the stop command and is saving its state.
    Saving,
}

/// A task's claim on a machine. A claim uses capacity until its task is known to have ended.
#[derive(Clone, Debug)]
pub struct Claim {
    /// Attempt number of the start.
    pub attempt: Attempt,
    /// Machine that the task is placed on.
    pub machine: MachineId,
    /// Time at which the claim was made, or found at a takeover.
    pub since: Time,
    /// Whether the state service has recorded the claim.
    pub committed: bool,
    /// Delivery state of the start command.
    pub sent: Sent,
    /// Last reported state of the task.
    pub progress: Progress,
    /// Grace period in seconds if the task is to be stopped.
    pub stop: Option<f64>,
    /// Devices that the task uses.
    pub units: Vec<Unit>,
    /// Whether the task may use devices that its record does not name.
    pub unnamed: bool,
}

/// The state of all tasks of one job.
#[derive(Clone, Debug)]
pub struct Tasks {
    count: u32,
    chunk: u32,
    done: Vec<u64>,
    done_count: u32,
    claims: BTreeMap<u32, Claim>,
    next_attempt: BTreeMap<u32, u64>,
    /// Number of attempts that failed, by chunk.
    failed_attempts: BTreeMap<u32, u32>,
    cursor: u32,
    /// Tasks that other shards claim or that are delegated to other shards.
    claimed_elsewhere: BTreeSet<u32>,
    /// Tasks that another shard delegates to this one, or `None` if this shard places the
    /// job.
    delegated_here: Option<BTreeSet<u32>>,
}

impl Tasks {
    /// Returns `count` pending tasks. Records hold them in chunks of `chunk` tasks, clamped to
    /// 1..=64.
    pub fn new(count: u32, chunk: u32) -> Self {
        let chunk = chunk.clamp(1, 64);
        Self {
            count,
            chunk,
            done: vec![0; count.div_ceil(chunk) as usize],
            done_count: 0,
            claims: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            failed_attempts: BTreeMap::new(),
            cursor: 0,
            claimed_elsewhere: BTreeSet::new(),
            delegated_here: None,
        }
    }
    /// Returns the chunk that contains task `index`.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk
    }
    /// Returns the number of tasks per chunk. The last chunk may have fewer.
    pub fn chunk_size(&self) -> u32 {
        self.chunk
    }
    /// Returns the number of chunks.
    pub fn chunks(&self) -> u32 {
        self.count.div_ceil(self.chunk)
    }
    /// Returns whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get(self.chunk_of(index) as usize)
            .is_some_and(|word| word >> (index % self.chunk) & 1 == 1)
    }
    /// Marks a task as done. Does nothing if the task is done already or out of range.
    pub fn set_done(&mut self, index: u32) {
        if index < self.count && !self.is_done(index) {
            let word = self.chunk_of(index) as usize;
            self.done[word] |= 1 << (index % self.chunk);
            self.done_count += 1;
        }
    }
    /// Returns a bit set of the done tasks of a chunk. Bit 0 is the chunk's first task.
    pub fn done_bits(&self, chunk: u32) -> u64 {
        self.done.get(chunk as usize).copied().unwrap_or(0)
    }
    /// Returns whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.count
    }
    /// Returns the number of done tasks.
    pub fn done(&self) -> u32 {
        self.done_count
    }
    /// Returns the number of tasks that this shard may place and that are neither done nor
    /// claimed.
    pub fn pending(&self) -> u32 {
        if let Some(left) = &self.delegated_here {
            return left.iter().filter(|i| self.is_free(**i)).count() as u32;
        }
        let taken =
            self.done_count + self.claims.len() as u32 + self.claimed_elsewhere.len() as u32;
        self.count.saturating_sub(taken)
    }
    fn is_free(&self, index: u32) -> bool {
        !self.is_done(index)
            && !self.claims.contains_key(&index)
            && !self.claimed_elsewhere.contains(&index)
    }
    /// Returns up to `max` pending tasks with the highest indexes. The lowest indexes are left
    /// out, as this shard claims them next.
    pub fn last_pending(&self, max: u32) -> BTreeSet<u32> {
        let free = (0..self.count).rev().filter(|i| self.is_free(*i));
        free.take(max as usize).collect()
    }
    /// Sets the tasks that other shards claim or that are delegated to other shards. None of
    /// these tasks may be done or claimed in this shard.
    pub(super) fn set_claimed_elsewhere(&mut self, claimed_elsewhere: BTreeSet<u32>) {
        self.claimed_elsewhere = claimed_elsewhere;
        self.cursor = 0;
    }
    /// Returns the tasks that other shards claim or that are delegated to other shards.
    pub fn claimed_elsewhere(&self) -> &BTreeSet<u32> {
        &self.claimed_elsewhere
    }
    /// Sets the tasks that another shard delegates to this one. `None` means that this shard
    /// places the job.
    pub(super) fn set_adopted(&mut self, left: Option<BTreeSet<u32>>) {
        self.delegated_here = left;
    }
    /// Returns whether this shard places the job, rather than tasks delegated to it.
    pub fn at_home(&self) -> bool {
        self.delegated_here.is_none()
    }
    /// Returns the lowest task that this shard may place and that is neither done nor claimed.
    pub fn next_pending(&mut self) -> Option<u32> {
        if let Some(left) = &self.delegated_here {
            return left.iter().copied().find(|i| self.is_free(*i));
        }
        while self.cursor < self.count {
            if self.is_free(self.cursor) {
                return Some(self.cursor);
            }
            self.cursor += 1;
        }
        None
    }
    /// Returns all claims by task index.
    pub fn claims(&self) -> &BTreeMap<u32, Claim> {
        &self.claims
    }
    pub(super) fn insert_claim(&mut self, index: u32, claim: Claim) {
        self.claims.insert(index, claim);
    }
    pub(super) fn remove_claim(&mut self, index: u32) -> Option<Claim> {
        let claim = self.claims.remove(&index)?;
        self.cursor = self.cursor.min(index);
        Some(claim)
    }
    /// Returns the claim of a task for changes.
    pub fn claim_mut(&mut self, index: u32) -> Option<&mut Claim> {
        self.claims.get_mut(&index)
    }
    /// Returns the next attempt number of a chunk. All tasks of a chunk share one counter, so
    /// no task ever has the same attempt number twice.
    pub fn next_attempt(&self, chunk: u32) -> u64 {
        self.next_attempt.get(&chunk).copied().unwrap_or(1)
    }
    /// Sets a chunk's attempt counter to the recorded value.
    pub fn set_next_attempt(&mut self, chunk: u32, next: u64) {
        self.next_attempt.insert(chunk, next);
    }
    /// Returns how many attempts of a chunk's tasks failed.
    pub fn failed_attempts(&self, chunk: u32) -> u32 {
        self.failed_attempts.get(&chunk).copied().unwrap_or(0)
    }
    /// Returns how many attempts of all tasks failed.
    pub fn all_failed_attempts(&self) -> u32 {
        let counts = self.failed_attempts.values();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }
    /// Sets a chunk's number of failed attempts to the recorded value.
    pub fn set_failed_attempts(&mut self, chunk: u32, failed: u32) {
        if failed > 0 {
            self.failed_attempts.insert(chunk, failed);
        }
    }
    /// Counts a failed attempt of a task.
    pub fn record_failure(&mut self, index: u32) {
        let count = self.failed_attempts.entry(self.chunk_of(index));
        let count = count.or_insert(0);
        *count = count.saturating_add(1);
    }
    /// Takes one attempt number for all tasks of a gang, higher than every earlier number.
    pub(super) fn take_gang_attempt(&mut self) -> Attempt {
        let chunks = 0..self.chunks();
        let next = chunks
            .clone()
            .map(|c| self.next_attempt(c))
            .max()
            .unwrap_or(1);
        for chunk in chunks {
            self.next_attempt.insert(chunk, next + 1);
        }
        Attempt(next)
    }
    pub(super) fn take_attempt(&mut self, index: u32) -> Attempt {
        let next = self.next_attempt.entry(index / self.chunk).or_insert(1);
        let attempt = Attempt(*next);
        *next += 1;
        attempt
    }
}
