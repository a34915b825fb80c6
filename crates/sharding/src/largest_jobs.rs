//! The largest jobs of each class: by the CPUs of all tasks, the top tenth of what
//! came of late, at least one. The log tells of them one by one, so that whoever
//! reads it knows whether the largest too begin in time (`docs/operations.md`).
//!
//! What came lately stands for the class: its sizes are kept, no more than
//! [`WINDOW_JOBS`] of each class, so a job may be told of that later ones outdo. Of jobs
//! of the same size every tenth is told of, so the log grows by no more than a
//! tenth of the jobs unless sizes keep rising.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use sorrelhinge_protocol::types::JobId;

/// How many sizes of a class are kept.
pub const WINDOW_JOBS: usize = 200;
/// Classes that are told of; jobs name them, so there may be any number.
pub const MAX_CLASSES: usize = 256;
/// Jobs that are told of at a time.
pub const MAX_JOBS: usize = 4096;
/// One in so many is among the largest.
pub const LARGEST_ONE_IN: usize = 10;
/// The largest have to begin within so many seconds too (four minutes).
pub const BEGIN_WITHIN_S: f64 = 240.0;

/// How many of `jobs` are the largest.
pub fn tenth(jobs: usize) -> usize {
    jobs.div_ceil(LARGEST_ONE_IN).max(1)
}

/// A job that came.
#[derive(Clone, Copy, Debug)]
struct Came {
    /// Thousandths of CPUs of all its tasks.
    cpu: i64,
    /// Whether it was told of.
    told: bool,
}

/// The largest jobs of all classes.
#[derive(Debug, Default)]
pub struct Largest {
    classes: BTreeMap<Arc<str>, VecDeque<Came>>,
    /// Those told of that are not over, and whether each was told to be late.
    told: BTreeMap<JobId, bool>,
}

impl Largest {
    /// A job came, with so many thousandths of CPUs in all its tasks. True if it
    /// is among the largest of its class: fewer than a tenth of those that came
    /// of late are larger, or as large and told of.
    pub fn came(&mut self, job: &JobId, class: &Arc<str>, cpu: i64) -> bool {
        let class_fits = self.classes.len() < MAX_CLASSES || self.classes.contains_key(class);
        if !class_fits || self.told.len() >= MAX_JOBS {
            return false;
        }
        let came = self.classes.entry(class.clone()).or_default();
        if came.len() >= WINDOW_JOBS {
            came.pop_front();
        }
        let before = |other: &&Came| other.cpu > cpu || other.cpu == cpu && other.told;
        let largest = came.iter().filter(before).count() < tenth(came.len() + 1);
        came.push_back(Came { cpu, told: largest });
        if largest {
            self.told.insert(job.clone(), false);
        }
        largest
    }

    /// Whether a job that is not over was told of.
    pub fn is(&self, job: &JobId) -> bool {
        self.told.contains_key(job)
    }

    /// A job has waited for longer than [`BEGIN_WITHIN_S`]. True if it was told of, and
    /// this is new.
    pub fn late(&mut self, job: &JobId) -> bool {
        let told = self.told.get_mut(job);
        told.is_some_and(|late| !std::mem::replace(late, true))
    }

    /// A job is over. True if it was told of.
    pub fn over(&mut self, job: &JobId) -> bool {
        self.told.remove(job).is_some()
    }
}
