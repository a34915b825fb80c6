//! Selection of the largest jobs of each class, which are logged one by one.
//!
//! The largest jobs are the top tenth of a class's recent jobs by the CPUs of all their
//! tasks, and at least one job. The log of these jobs shows whether the largest jobs begin
//! in time too (`docs/operations.md`).
//!
//! Recent jobs represent the class: only the sizes of the last [`WINDOW_JOBS`] jobs of each
//! class are kept. A job may therefore be logged although later jobs are larger. One in ten
//! jobs of the same size is logged, so the log grows by no more than a tenth of the jobs
//! unless sizes keep rising.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use sorrelhinge_protocol::types::JobId;

/// Number of recent jobs of each class whose sizes are kept.
pub const WINDOW_JOBS: usize = 200;
/// Maximum number of classes whose largest jobs are logged. Jobs name their classes freely,
/// so the number of classes has no other limit.
pub const MAX_CLASSES: usize = 256;
/// Maximum number of logged jobs that have not ended yet.
pub const MAX_JOBS: usize = 4096;
/// One in this many jobs of a class counts as one of the largest.
pub const LARGEST_ONE_IN: usize = 10;
/// Time within which a class's largest jobs also have to begin, in seconds (four minutes).
pub const BEGIN_WITHIN_S: f64 = 240.0;

/// Returns how many of a class's `jobs` jobs count as the largest, at least one.
pub fn tenth(jobs: usize) -> usize {
    jobs.div_ceil(LARGEST_ONE_IN).max(1)
}

/// A recently accepted job of a class.
#[derive(Clone, Copy, Debug)]
struct RecentJob {
    /// CPU of all tasks of the job, in thousandths of a CPU.
    cpu: i64,
    /// Whether this job was logged as one of its class's largest.
    logged: bool,
}

/// Selects the largest jobs of all classes.
#[derive(Debug, Default)]
pub struct Largest {
    classes: BTreeMap<Arc<str>, VecDeque<RecentJob>>,
    /// Logged jobs that have not ended, each with whether it was also logged as late.
    logged: BTreeMap<JobId, bool>,
}

impl Largest {
    /// Records a newly accepted job, with the CPU of all its tasks in thousandths of a CPU.
    /// Returns whether the job is one of the largest of its class. A job is one of the
    /// largest if fewer than a tenth of the class's recent jobs are larger, or equally
    /// large and already logged.
    pub fn came(&mut self, job: &JobId, class: &Arc<str>, cpu: i64) -> bool {
        let class_fits = self.classes.len() < MAX_CLASSES || self.classes.contains_key(class);
        if !class_fits || self.logged.len() >= MAX_JOBS {
            return false;
        }
        let recent = self.classes.entry(class.clone()).or_default();
        if recent.len() >= WINDOW_JOBS {
            recent.pop_front();
        }
        let ranked_before =
            |other: &&RecentJob| other.cpu > cpu || other.cpu == cpu && other.logged;
        let largest = recent.iter().filter(ranked_before).count() < tenth(recent.len() + 1);
        recent.push_back(RecentJob {
            cpu,
            logged: largest,
        });
        if largest {
            self.logged.insert(job.clone(), false);
        }
        largest
    }

    /// Returns whether this job was logged as one of the largest and has not ended.
    pub fn is(&self, job: &JobId) -> bool {
        self.logged.contains_key(job)
    }

    /// Records that a job has waited for longer than [`BEGIN_WITHIN_S`]. Returns whether
    /// the job is one of the logged ones and was not recorded as late before.
    pub fn late(&mut self, job: &JobId) -> bool {
        let logged = self.logged.get_mut(job);
        logged.is_some_and(|late| !std::mem::replace(late, true))
    }

    /// Forgets a job that has ended. Returns whether the job was logged as one of the
    /// largest.
    pub fn over(&mut self, job: &JobId) -> bool {
        self.logged.remove(job).is_some()
    }
}
