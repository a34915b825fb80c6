//! What a load costs the workers, and how soon tasks start.

use std::collections::BTreeMap;
use std::time::Instant;

/// Counts of the messages to and from all workers, and the first start of each job.
#[derive(Debug, Default)]
pub struct Figures {
    /// Heartbeats that workers sent.
    pub heartbeats: usize,
    /// Direct commands that reached workers.
    pub direct_calls: usize,
    /// Largest number of ended tasks in a heartbeat or in the answer to a direct command.
    pub most_ended_tasks: usize,
    /// First start of a task of each job.
    pub first_starts: BTreeMap<String, Instant>,
}

impl Figures {
    /// Records that a task of a job was started.
    pub(super) fn started(&mut self, job: &str) {
        if !self.first_starts.contains_key(job) {
            self.first_starts.insert(job.to_owned(), Instant::now());
        }
    }

    /// Records how many ended tasks a worker reports.
    pub(super) fn reported_ended(&mut self, ended: usize) {
        self.most_ended_tasks = self.most_ended_tasks.max(ended);
    }
}
