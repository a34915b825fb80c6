//! This module holds tasks that one shard delegates to another until they expire.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{JobId, Time};

/// Delegated tasks of one job whose delegation expires at the same time.
struct TimedTasks {
    tasks: BTreeSet<u32>,
    end: Time,
}

/// Tasks by job that a shard other than the job's own may place, each until its expiry time.
#[derive(Default)]
pub(super) struct DelegatedTasks {
    by_job: BTreeMap<JobId, Vec<TimedTasks>>,
}

impl DelegatedTasks {
    /// Returns the delegated tasks of a job.
    pub(super) fn of(&self, job: &JobId) -> impl Iterator<Item = u32> + '_ {
        let left = self.by_job.get(job).into_iter().flatten();
        left.flat_map(|t| t.tasks.iter().copied())
    }

    /// Adds tasks of a job whose delegation expires at `end`.
    pub(super) fn add(&mut self, job: &JobId, tasks: BTreeSet<u32>, end: Time) {
        let left = self.by_job.entry(job.clone()).or_default();
        left.push(TimedTasks { tasks, end });
    }

    /// Removes the tasks whose delegation has expired, and returns their jobs.
    pub(super) fn end(&mut self, now: Time) -> BTreeSet<JobId> {
        let mut ended = BTreeSet::new();
        for (job, left) in &mut self.by_job {
            let before = left.len();
            left.retain(|t| now < t.end);
            if left.len() < before {
                ended.insert(job.clone());
            }
        }
        self.by_job.retain(|_, left| !left.is_empty());
        ended
    }
}
