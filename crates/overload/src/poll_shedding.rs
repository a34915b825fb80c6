//! Chooses the status polls to answer while not all can be answered. No poll of a job is refused
//! twice in a row, and polls of the jobs with the oldest answers are answered first.
//!
//! Random shedding of every second poll sometimes refused a user, who polls every 5 s, sixteen
//! times in a row. With thousands of jobs, some had no answer for over 75 s, which counts as a
//! forgotten job.
//!
//! The memory is bounded by two separate tables, for [`MAX_RECORDED_JOBS`] recorded jobs and for
//! [`MAX_UNRECORDED_JOBS`] unknown ids, so a flood of made-up ids removes no real job. An entry
//! takes 25 bytes, and a table may be a little more than half empty after entries were removed.
//! Both tables together take less than 2 MB. A poll without a free slot is not refused.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroU32;

use sorrelhinge_protocol::types::{JobId, Time};

/// Maximum number of recorded jobs in the table of polls. The value is seven eighths of 32,768 hash
/// slots, which take 0.8 MB, or twice that after many removals.
pub const MAX_RECORDED_JOBS: usize = 28_672;
/// Maximum number of ids without a recorded job in the table of polls. The value is an eighth of
/// [`MAX_RECORDED_JOBS`].
pub const MAX_UNRECORDED_JOBS: usize = 3_584;
/// Age of the last answer about a job from which on the next poll is not refused, in seconds. Users
/// poll every 5 s, so at most every second poll is refused.
pub const STALE_ANSWER_S: f64 = 9.0;
/// Time without polls after which a job id may be removed from a full table, in seconds. It is
/// longer than the 75 s after which a job without an answer counts as forgotten.
pub const POLL_RETENTION_S: f64 = 120.0;
/// Minimum time between two cleanups of a full table, in seconds.
const CLEANUP_INTERVAL_S: f64 = 5.0;

/// Decision of the controller to answer or to refuse a status poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The controller answers the poll.
    Answer,
    /// The controller refuses the poll, and the user has to retry.
    Refuse,
}

/// A status poll of a user, on which the controller has to decide.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll<'a> {
    /// Job id for which the user polls.
    pub job: &'a JobId,
    /// Whether this controller has a record of the job.
    pub known: bool,
    /// Whether the controller is overloaded and sheds polls.
    pub shed: bool,
}

/// Table entry of one job id. Times are in tenths of a second to save memory.
#[derive(Clone, Copy, Debug)]
struct Entry {
    answered_at: Option<NonZeroU32>,
    asked_at: u32,
    /// Whether the last poll of the job was refused or could not be answered.
    refused: bool,
}

/// Converts a time to tenths of a second, as table entries store it.
fn tenths(now: Time) -> u32 {
    // The cast turns NaN and negative times into 0.
    (now.0 * 10.0) as u32
}

/// Table of polled jobs, by the 64-bit hash of their id. Among 28,672 ids, two have the same hash
/// in one of 10^10 tables. A collision costs a wrong decision on one poll.
#[derive(Debug)]
struct Table {
    max: usize,
    entries: HashMap<u64, Entry>,
    last_cleanup: Option<Time>,
}

impl Table {
    fn new(max: usize) -> Self {
        Self {
            max,
            entries: HashMap::new(),
            last_cleanup: None,
        }
    }

    /// Returns the entry of a job id, and creates it if a slot is free. Returns `None` if the table
    /// is full.
    fn entry(&mut self, key: u64, now: Time) -> Option<&mut Entry> {
        let full = self.entries.len() >= self.max && !self.entries.contains_key(&key);
        if full
            && self
                .last_cleanup
                .is_none_or(|t| now.since(t) >= CLEANUP_INTERVAL_S)
        {
            self.last_cleanup = Some(now);
            let since = tenths(now).saturating_sub((POLL_RETENTION_S * 10.0) as u32);
            self.entries.retain(|_, e| e.asked_at >= since);
        }
        if self.entries.len() >= self.max && !self.entries.contains_key(&key) {
            return None;
        }
        Some(self.entries.entry(key).or_insert(Entry {
            answered_at: None,
            asked_at: tenths(now),
            refused: false,
        }))
    }
}

/// Last answer to and last refusal of the status polls, by job.
#[derive(Debug)]
pub struct PollShedding {
    recorded: Table,
    unrecorded: Table,
}

impl Default for PollShedding {
    fn default() -> Self {
        Self::new(MAX_RECORDED_JOBS, MAX_UNRECORDED_JOBS)
    }
}

impl PollShedding {
    /// Creates tables for at most `recorded` jobs with a record and `unrecorded` other ids.
    pub fn new(recorded: usize, unrecorded: usize) -> Self {
        Self {
            recorded: Table::new(recorded),
            unrecorded: Table::new(unrecorded),
        }
    }

    /// Decides whether to answer a poll. After [`Verdict::Answer`] the caller calls
    /// [`PollShedding::answered`] or [`PollShedding::failed`].
    pub fn poll(&mut self, poll: Poll<'_>, now: Time) -> Verdict {
        if !poll.shed {
            return Verdict::Answer;
        }
        let key = key(poll.job);
        // Both tables are checked, because the record of a job may be created or removed between
        // two polls.
        let refused = |t: &Table| t.entries.get(&key).is_some_and(|e| e.refused);
        if refused(&self.recorded) || refused(&self.unrecorded) {
            return Verdict::Answer;
        }
        let table = if poll.known {
            &mut self.recorded
        } else {
            &mut self.unrecorded
        };
        // A poll is answered if its table has no free slot, because the refusal could not be
        // stored. The first poll of a recorded job is answered too.
        let Some(entry) = table.entry(key, now) else {
            return Verdict::Answer;
        };
        entry.asked_at = tenths(now);
        let old = match entry.answered_at {
            Some(at) => tenths(now).saturating_sub(at.get()) >= (STALE_ANSWER_S * 10.0) as u32,
            None => poll.known,
        };
        if old {
            return Verdict::Answer;
        }
        entry.refused = true;
        Verdict::Refuse
    }

    /// Records that a poll of a job was answered.
    pub fn answered(&mut self, job: &JobId, known: bool, now: Time) {
        let key = key(job);
        self.unrecorded.entries.remove(&key);
        if !known {
            self.recorded.entries.remove(&key);
            return;
        }
        if let Some(entry) = self.recorded.entry(key, now) {
            *entry = Entry {
                answered_at: NonZeroU32::new(tenths(now).max(1)),
                asked_at: tenths(now),
                refused: false,
            };
        }
    }

    /// Records that a poll could not be answered. The next poll of the job is not refused.
    pub fn failed(&mut self, job: &JobId, known: bool, now: Time) {
        let table = if known {
            &mut self.recorded
        } else {
            &mut self.unrecorded
        };
        if let Some(entry) = table.entry(key(job), now) {
            entry.asked_at = tenths(now);
            entry.refused = true;
        }
    }

    /// Removes a job that ended. Polls of such jobs are cheap and always answered.
    pub fn over(&mut self, job: &JobId) {
        let key = key(job);
        self.recorded.entries.remove(&key);
        self.unrecorded.entries.remove(&key);
    }

    /// Returns the number of recorded jobs in the table of polls.
    pub fn recorded_count(&self) -> usize {
        self.recorded.entries.len()
    }

    /// Returns the number of ids without a recorded job in the table of polls.
    pub fn unrecorded_count(&self) -> usize {
        self.unrecorded.entries.len()
    }
}

/// Returns the hash of a job id, which is its key in a table.
fn key(job: &JobId) -> u64 {
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    hasher.finish()
}
