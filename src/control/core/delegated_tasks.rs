//! Tasks that one shard leaves to another, each for a time.

use std::collections::{BTreeMap, BTreeSet};

use crate::types::{JobId, Time};

/// Tasks of one job, until a time.
struct TimedTasks {
    tasks: BTreeSet<u32>,
    end: Time,
}

/// Tasks by job that may be placed by another shard than the job's own, each for a time.
#[derive(Default)]
pub(super) struct DelegatedTasks {
    by_job: BTreeMap<JobId, Vec<TimedTasks>>,
}

impl DelegatedTasks {
    /// Those of a job.
    pub(super) fn of(&self, job: &JobId) -> impl Iterator<Item = u32> + '_ {
        let left = self.by_job.get(job).into_iter().flatten();
        left.flat_map(|t| t.tasks.iter().copied())
    }

    /// Adds tasks of a job, until a time.
    pub(super) fn add(&mut self, job: &JobId, tasks: BTreeSet<u32>, end: Time) {
        let left = self.by_job.entry(job.clone()).or_default();
        left.push(TimedTasks { tasks, end });
    }

    /// Drops those whose time is over; their jobs.
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
