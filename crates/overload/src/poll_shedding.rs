//! Which polls are answered while not all can be: no job's poll is refused
//! twice in a row, and the one whose last answer is oldest is answered first.
//!
//! Which poll was shed used to be drawn, every second one. A job's user, who asks
//! every 5 s, was then refused sixteen times in a row now and then: with thousands
//! of jobs some were without an answer for over 75 s, which counts as forgotten.
//!
//! What is remembered is bounded: [`MAX_RECORDED_JOBS`] jobs that are recorded and
//! [`MAX_UNRECORDED_JOBS`] ids that are not, apart, so that a flood of made-up ids pushes
//! no real job out. An entry takes 25 bytes of a table that may be a little more
//! than half empty once entries were removed: less than 2 MB for both. What there is
//! no free slot for is not refused.

use std::collections::HashMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::num::NonZeroU32;

use sorrelhinge_protocol::types::{JobId, Time};

/// How many recorded jobs are remembered: seven eighths of 32,768 places, 0.8 MB,
/// or twice that after many removals.
pub const MAX_RECORDED_JOBS: usize = 28_672;
/// How many ids that belong to no recorded job: an eighth of that.
pub const MAX_UNRECORDED_JOBS: usize = 3_584;
/// An answer that is older, in seconds, is too old to refuse a newer one: users
/// ask every 5 s, so every second poll is refused.
pub const STALE_ANSWER_S: f64 = 9.0;
/// An id that was not asked about for so long, in seconds, is forgotten: longer than the 75 s
/// after which a job without an answer counts as forgotten.
pub const POLL_MEMORY_S: f64 = 120.0;
/// A full table is looked through no more often than this, in seconds.
const CLEANUP_INTERVAL_S: f64 = 5.0;

/// What is done with a poll.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is answered.
    Answer,
    /// It is refused, and its user is to come back.
    Refuse,
}

/// A poll that is about to be decided on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Poll<'a> {
    /// The id that is asked about.
    pub job: &'a JobId,
    /// A record of that job is known here.
    pub known: bool,
    /// Too much is asked for, and polls are to be shed.
    pub shed: bool,
}

/// Of one id. Times in tenths of a second, to be small.
#[derive(Clone, Copy, Debug)]
struct Entry {
    answered_at: Option<NonZeroU32>,
    asked_at: u32,
    /// The last poll was refused, or could not be answered.
    refused: bool,
}

/// A time in tenths of a second, as tables keep it.
fn tenths(now: Time) -> u32 {
    // A clock that is no number or before its beginning counts as its beginning.
    (now.0 * 10.0) as u32
}

/// By the hash of the id: that two ids of 28,672 have the same of 64 bits happens
/// once in 10^10 tables, and costs one poll's verdict.
#[derive(Debug)]
struct Table {
    max: usize,
    entries: HashMap<u64, Entry>,
    tidied: Option<Time>,
}

impl Table {
    fn new(max: usize) -> Self {
        Self {
            max,
            entries: HashMap::new(),
            tidied: None,
        }
    }

    /// The entry of an id, new if there is a free slot for it.
    fn entry(&mut self, key: u64, now: Time) -> Option<&mut Entry> {
        let full = self.entries.len() >= self.max && !self.entries.contains_key(&key);
        if full
            && self
                .tidied
                .is_none_or(|t| now.since(t) >= CLEANUP_INTERVAL_S)
        {
            self.tidied = Some(now);
            let since = tenths(now).saturating_sub((POLL_MEMORY_S * 10.0) as u32);
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

/// Which polls were answered when, and which were refused last.
#[derive(Debug)]
pub struct PollShedding {
    known: Table,
    unknown: Table,
}

impl Default for PollShedding {
    fn default() -> Self {
        Self::new(MAX_RECORDED_JOBS, MAX_UNRECORDED_JOBS)
    }
}

impl PollShedding {
    /// Remembers at most so many recorded jobs and other ids.
    pub fn new(known: usize, unknown: usize) -> Self {
        Self {
            known: Table::new(known),
            unknown: Table::new(unknown),
        }
    }

    /// Decides on a poll. If it is to be answered, [`PollShedding::answered`] or
    /// [`PollShedding::failed`] is called afterwards.
    pub fn poll(&mut self, poll: Poll<'_>, now: Time) -> Verdict {
        if !poll.shed {
            return Verdict::Answer;
        }
        let key = key(poll.job);
        // A job may be recorded, or its record may be dropped, between two polls.
        let refused = |t: &Table| t.entries.get(&key).is_some_and(|e| e.refused);
        if refused(&self.known) || refused(&self.unknown) {
            return Verdict::Answer;
        }
        let table = if poll.known {
            &mut self.known
        } else {
            &mut self.unknown
        };
        // A job that was never answered here, or that there is no free slot to
        // remember as refused, is answered.
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

    /// The user got an answer about a job.
    pub fn answered(&mut self, job: &JobId, known: bool, now: Time) {
        let key = key(job);
        self.unknown.entries.remove(&key);
        if !known {
            self.known.entries.remove(&key);
            return;
        }
        if let Some(entry) = self.known.entry(key, now) {
            *entry = Entry {
                answered_at: NonZeroU32::new(tenths(now).max(1)),
                asked_at: tenths(now),
                refused: false,
            };
        }
    }

    /// A poll was to be answered and could not be: the next one is not refused.
    pub fn failed(&mut self, job: &JobId, known: bool, now: Time) {
        let table = if known {
            &mut self.known
        } else {
            &mut self.unknown
        };
        if let Some(entry) = table.entry(key(job), now) {
            entry.asked_at = tenths(now);
            entry.refused = true;
        }
    }

    /// A job is over: polls of it cost nothing and are always answered.
    pub fn over(&mut self, job: &JobId) {
        let key = key(job);
        self.known.entries.remove(&key);
        self.unknown.entries.remove(&key);
    }

    /// How many recorded jobs are remembered.
    pub fn known_count(&self) -> usize {
        self.known.entries.len()
    }

    /// How many ids that no job has are remembered.
    pub fn unknown_count(&self) -> usize {
        self.unknown.entries.len()
    }
}

/// An id's place in a table.
fn key(job: &JobId) -> u64 {
    let mut hasher = DefaultHasher::new();
    job.hash(&mut hasher);
    hasher.finish()
}
