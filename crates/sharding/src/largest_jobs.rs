//! The largest jobs of each class: by the CPUs of all tasks, the top tenth of what
//! came of late, at least one. They are logged one by one, so that the log
//! shows whether the largest too begin in time (`docs/operations.md`).
//!
//! What came lately stands for the class: its sizes are kept, no more than
//! [`WINDOW_JOBS`] of each class, so a job may be logged that later ones outdo. Of jobs
//! of the same size every tenth is logged, so the log grows by no more than a
//! tenth of the jobs unless sizes keep rising.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use sorrelhinge_protocol::types::JobId;

/// How many sizes of a class are kept.
pub const WINDOW_JOBS: usize = 200;
/// Classes of which jobs are logged; jobs name them, so there may be any number.
pub const MAX_CLASSES: usize = 256;
/// Logged jobs that are not over, at most.
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
    /// Whether it was logged.
    logged: bool,
}

/// The largest jobs of all classes.
#[derive(Debug, Default)]
pub struct Largest {
    classes: BTreeMap<Arc<str>, VecDeque<Came>>,
    /// Those logged that are not over, and whether each was logged as late.
    logged: BTreeMap<JobId, bool>,
}

impl Largest {
    /// A job came, with so many thousandths of CPUs in all its tasks. True if it
    /// is among the largest of its class: fewer than a tenth of those that came
    /// of late are larger, or as large and logged.
    pub fn came(&mut self, job: &JobId, class: &Arc<str>, cpu: i64) -> bool {
        let class_fits = self.classes.len() < MAX_CLASSES || self.classes.contains_key(class);
        if !class_fits || self.logged.len() >= MAX_JOBS {
            return false;
        }
        let came = self.classes.entry(class.clone()).or_default();
        if came.len() >= WINDOW_JOBS {
            came.pop_front();
        }
        let before = |other: &&Came| other.cpu > cpu || other.cpu == cpu && other.logged;
        let largest = came.iter().filter(before).count() < tenth(came.len() + 1);
        came.push_back(Came {
            cpu,
            logged: largest,
        });
        if largest {
            self.logged.insert(job.clone(), false);
        }
        largest
    }

    /// Whether a job that is not over was logged.
    pub fn is(&self, job: &JobId) -> bool {
        self.logged.contains_key(job)
    }

    /// A job has waited for longer than [`BEGIN_WITHIN_S`]. True if it was logged, and
    /// this is new.
    pub fn late(&mut self, job: &JobId) -> bool {
        let logged = self.logged.get_mut(job);
        logged.is_some_and(|late| !std::mem::replace(late, true))
    }

    /// A job is over. True if it was logged.
    pub fn over(&mut self, job: &JobId) -> bool {
        self.logged.remove(job).is_some()
    }
}
