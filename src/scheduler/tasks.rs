//! The tasks of a job: done, claimed or pending.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_topology::devices::Unit;

use crate::types::{Attempt, MachineId, Time};

/// How far the start command of a claim has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Not sent by this controller under its present grant.
    No,
    /// Found in the record at a takeover: whether it was sent is not known.
    Found,
    /// Sent directly; no answer yet.
    Flying,
    /// The worker has answered the command.
    Answered,
    /// Sent in the answer to a heartbeat.
    InReply,
}

/// What is known of a claimed task on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Not seen there yet.
    Unseen,
    /// Waiting for its image.
    Fetching,
    /// Running since about this time.
    Running(Time),
    /// Told to stop, saving.
    Saving,
}

/// A task's claim on a machine. It counts until its task is known to have ended.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The attempt.
    pub attempt: Attempt,
    /// The machine.
    pub machine: MachineId,
    /// When it was made, or found at a takeover.
    pub since: Time,
    /// Whether the state service has it.
    pub committed: bool,
    /// Its start command.
    pub sent: Sent,
    /// The task itself.
    pub progress: Progress,
    /// The task is to be stopped, with this grace in seconds.
    pub stop: Option<f64>,
    /// Devices that it uses.
    pub units: Vec<Unit>,
    /// It may use devices that its record does not name.
    pub unnamed: bool,
}

/// The tasks of one job: done, claimed or pending.
#[derive(Clone, Debug)]
pub struct Tasks {
    count: u32,
    chunk: u32,
    done: Vec<u64>,
    done_count: u32,
    claims: BTreeMap<u32, Claim>,
    next_attempt: BTreeMap<u32, u64>,
    cursor: u32,
    /// Tasks that other shards claim, or that are left to them.
    claimed_elsewhere: BTreeSet<u32>,
    /// Those that this shard may place, if another places the job: what that
    /// one leaves to it.
    delegated_here: Option<BTreeSet<u32>>,
}

impl Tasks {
    /// `count` pending tasks, recorded in chunks of `chunk` (at most 64).
    pub fn new(count: u32, chunk: u32) -> Self {
        let chunk = chunk.clamp(1, 64);
        Self {
            count,
            chunk,
            done: vec![0; count.div_ceil(chunk) as usize],
            done_count: 0,
            claims: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            cursor: 0,
            claimed_elsewhere: BTreeSet::new(),
            delegated_here: None,
        }
    }
    /// The chunk of task `index`.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk
    }
    /// Tasks in a chunk.
    pub fn chunk_size(&self) -> u32 {
        self.chunk
    }
    /// Number of chunks.
    pub fn chunks(&self) -> u32 {
        self.count.div_ceil(self.chunk)
    }
    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get(self.chunk_of(index) as usize)
            .is_some_and(|word| word >> (index % self.chunk) & 1 == 1)
    }
    /// Marks a task done.
    pub fn set_done(&mut self, index: u32) {
        if index < self.count && !self.is_done(index) {
            let word = self.chunk_of(index) as usize;
            self.done[word] |= 1 << (index % self.chunk);
            self.done_count += 1;
        }
    }
    /// The done tasks of a chunk, one bit each.
    pub fn done_bits(&self, chunk: u32) -> u64 {
        self.done.get(chunk as usize).copied().unwrap_or(0)
    }
    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.count
    }
    /// How many tasks are done.
    pub fn done(&self) -> u32 {
        self.done_count
    }
    /// How many tasks are neither done nor claimed, of those that this shard
    /// places.
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
    /// Up to `max` pending tasks, the last ones: the first are claimed next.
    pub fn last_pending(&self, max: u32) -> BTreeSet<u32> {
        let free = (0..self.count).rev().filter(|i| self.is_free(*i));
        free.take(max as usize).collect()
    }
    /// Other shards claim these, or they are left to them. None of them may be
    /// claimed here, or done.
    pub(super) fn set_claimed_elsewhere(&mut self, claimed_elsewhere: BTreeSet<u32>) {
        self.claimed_elsewhere = claimed_elsewhere;
        self.cursor = 0;
    }
    /// Tasks that other shards claim, or that are left to them.
    pub fn claimed_elsewhere(&self) -> &BTreeSet<u32> {
        &self.claimed_elsewhere
    }
    /// Another shard places the job, and leaves these to this one; none: this
    /// shard places it.
    pub(super) fn set_adopted(&mut self, left: Option<BTreeSet<u32>>) {
        self.delegated_here = left;
    }
    /// Whether this shard places the job.
    pub fn at_home(&self) -> bool {
        self.delegated_here.is_none()
    }
    /// The lowest task that is neither done nor claimed.
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
    /// All claims in order.
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
    /// One claim, to change.
    pub fn claim_mut(&mut self, index: u32) -> Option<&mut Claim> {
        self.claims.get_mut(&index)
    }
    /// The next attempt number of a chunk. One counter serves its tasks, so
    /// no task ever has an attempt twice.
    pub fn next_attempt(&self, chunk: u32) -> u64 {
        self.next_attempt.get(&chunk).copied().unwrap_or(1)
    }
    /// Sets a chunk's attempt counter, as recorded.
    pub fn set_next_attempt(&mut self, chunk: u32, next: u64) {
        self.next_attempt.insert(chunk, next);
    }
    /// One attempt number for all tasks of a gang, above every earlier one.
    pub(super) fn take_generation(&mut self) -> Attempt {
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
