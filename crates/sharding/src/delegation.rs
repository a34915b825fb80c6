//! Tasks that one shard leaves to another that has free capacity.
//!
//! Jobs are placed by one shard each, and machines come and go: one shard's
//! queue waits while another's machines idle. So a shard says how much free capacity it
//! has beyond its own work, and others leave it tasks that found no place. That
//! is a hint on both sides, with an end: whoever claims a task first in the
//! job's record has it, and the other's claim fails there.

use std::collections::BTreeMap;

use sorrelhinge_protocol::types::{JobId, Time};

use crate::shard::ShardId;

/// A task is left to another for so long, in seconds; after that its own shard
/// places it again.
pub const DELEGATED_S: f64 = 6.0;
/// The other drops what it could not claim a little earlier.
pub const ACCEPTED_S: f64 = 4.0;
/// A job's tasks are left to others once they have waited so long, in seconds.
const DELEGATE_AFTER_S: f64 = 0.6;
/// What is known of another shard's free capacity is used for so long, in seconds.
const FREE_CAPACITY_FRESH_S: f64 = 2.5;

/// A job whose tasks wait.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Which.
    pub job: JobId,
    /// Since when tasks of it have found no place.
    pub since: Time,
    /// Tasks that wait.
    pub tasks: u32,
    /// Thousandths of a CPU that each takes.
    pub cpu: i64,
}

/// So many tasks of a job are left to a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delegated {
    /// Of which job.
    pub job: JobId,
    /// To which shard.
    pub to: ShardId,
    /// How many.
    pub tasks: u32,
}

/// The free capacity that another shard reported.
#[derive(Clone, Copy, Debug)]
struct FreeCapacity {
    /// Thousandths of a CPU, less what was left there since.
    cpu: i64,
    reported_at: Time,
}

/// What is known of the other shards' free capacity.
#[derive(Debug, Default)]
pub struct Delegation {
    free_capacity: BTreeMap<ShardId, FreeCapacity>,
}

impl Delegation {
    /// A shard said how much free capacity it has beyond its own work, in thousandths of
    /// a CPU.
    pub fn has_capacity(&mut self, shard: ShardId, cpu: i64, now: Time) {
        let reported = FreeCapacity {
            cpu: cpu.max(0),
            reported_at: now,
        };
        self.free_capacity.insert(shard, reported);
    }

    /// Which tasks to leave to others, the first of `waiting` first.
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
