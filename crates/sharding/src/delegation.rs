//! Delegation of tasks from one shard to another shard that has free capacity.
//!
//! One shard places each job, and machines come and go, so tasks can wait in one shard
//! while another shard's machines are idle. A shard therefore reports the free capacity
//! that it has beyond its own work, and other shards delegate to it tasks that found no
//! machine. Report and delegation are both hints that expire. The first shard that claims a
//! task in the job's record places the task, and the other shard's claim fails there.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{JobId, Time};

use crate::shard::ShardId;

/// Time for which a task stays delegated to another shard, in seconds. After that, the
/// task's own shard places the task again.
pub const DELEGATED_S: f64 = 6.0;
/// Time after which the receiving shard drops delegated tasks that it could not claim, in
/// seconds. It is a little shorter than [`DELEGATED_S`].
pub const ACCEPTED_S: f64 = 4.0;
/// Time that a job's tasks wait before their shard delegates them to other shards, in
/// seconds.
const DELEGATE_AFTER_S: f64 = 0.6;
/// Time for which a shard uses the free capacity that another shard reported, in seconds.
const FREE_CAPACITY_FRESH_S: f64 = 2.5;

/// A job that has pending tasks.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Job that the pending tasks belong to.
    pub job: JobId,
    /// Time since which tasks of this job have found no machine.
    pub since: Time,
    /// Number of this job's tasks that are pending.
    pub tasks: u32,
    /// CPU that each task of this job requests, in thousandths of a CPU.
    pub cpu: i64,
}

/// Tasks of one job that are delegated to another shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegated {
    /// Job that the delegated tasks belong to.
    pub job: JobId,
    /// Shard that receives the delegated tasks.
    pub to: ShardId,
    /// Number of tasks of the job that are delegated.
    pub tasks: u32,
}

/// The free capacity that another shard reported.
#[derive(Clone, Copy, Debug)]
struct FreeCapacity {
    /// Free CPU of the other shard in thousandths of a CPU, less the tasks delegated to it
    /// since its report.
    cpu: i64,
    reported_at: Time,
}

/// Chooses the tasks to delegate, by the free capacity that the other shards reported.
#[derive(Debug, Default)]
pub struct Delegation {
    free_capacity: BTreeMap<ShardId, FreeCapacity>,
}

impl Delegation {
    /// Records the free capacity that a shard reported beyond its own work, in thousandths
    /// of a CPU.
    pub fn has_capacity(&mut self, shard: ShardId, cpu: i64, now: Time) {
        let reported = FreeCapacity {
            cpu: cpu.max(0),
            reported_at: now,
        };
        self.free_capacity.insert(shard, reported);
    }

    /// Returns the tasks to delegate to other shards. Jobs earlier in `waiting` get free
    /// capacity first.
    pub fn delegate(&mut self, waiting: &[Waiting], now: Time) -> Vec<Delegated> {
        self.free_capacity
            .retain(|_, free| now.since(free.reported_at) <= FREE_CAPACITY_FRESH_S);
        let mut delegated = Vec::new();
        for w in waiting
            .iter()
            .filter(|w| now.since(w.since) >= DELEGATE_AFTER_S)
        {
            let cpu = w.cpu.max(1);
            let mut tasks = w.tasks;
            while tasks > 0 {
                let max = self
                    .free_capacity
                    .iter_mut()
                    .max_by_key(|(shard, free)| (free.cpu, **shard));
                let Some((to, free)) = max.filter(|(_, free)| free.cpu >= cpu) else {
                    break;
                };
                let some = u32::try_from(free.cpu / cpu).unwrap_or(u32::MAX).min(tasks);
                free.cpu -= cpu * i64::from(some);
                tasks -= some;
                delegated.push(Delegated {
                    job: w.job.clone(),
                    to: *to,
                    tasks: some,
                });
            }
        }
        delegated
    }
}
