//! Delegation of tasks that find no place in their shard. Shards with free capacity may place
//! them for a limited time.

use sorrelhinge_sharding::delegation::{Delegated, Waiting, ACCEPTED_S, DELEGATED_S};
use sorrelhinge_sharding::shard::ShardId;

use super::Core;
use crate::peer_messages::DelegatedTasks;
use crate::scheduler::{Job, Machine};
use crate::state::record::Phase;
use crate::state::view::View;
use crate::types::{Kind, Time};

/// Maximum number of tasks in one message that delegates tasks to another shard.
const MAX_DELEGATED_TASKS: u32 = 64;
/// Maximum number of jobs that one call of [`Core::delegate_tasks_out`] considers for delegation.
const MAX_JOBS_PER_PASS: usize = 16;

impl Core {
    /// Returns the thousandths of a CPU that this shard offers to other shards. The offer is
    /// half of the capacity that is neither used nor kept. It is 0 while the shard has work of
    /// its own or is frozen.
    pub fn spare_cpu(&self) -> i64 {
        if self.cluster_state.has_work() || self.is_frozen() {
            return 0;
        }
        let kept = |m: &Machine| if m.usable { m.kept.cpu } else { 0 };
        let kept: i64 = self.cluster_state.machines().values().map(kept).sum();
        let used: i64 = self.cluster_state.teams().iter().map(|t| t.used.cpu).sum();
        (self.cluster_state.capacity().cpu - used - kept).max(0) / 2
    }

    /// Records another shard's free capacity beyond its own work, in thousandths of a CPU.
    pub fn has_capacity(&mut self, shard: ShardId, cpu: i64, now: Time) {
        self.delegations.policy.has_capacity(shard, cpu, now);
    }

    /// Delegates tasks that found no place to shards with free capacity. Returns the messages to
    /// send.
    pub fn delegate_tasks_out(&mut self, view: &View, now: Time) -> Vec<DelegatedTasks> {
        self.expire_delegations(view, now);
        if self.is_frozen() {
            return Vec::new();
        }
        let waiting = self.jobs_without_place();
        // Tasks of a reservation window go to the shards that hold capacity for the window.
        let mut all = self.delegate_to_reservations(&waiting);
        all.extend(self.delegations.policy.delegate(&waiting, now));
        let left = all.into_iter();
        left.filter_map(|delegated| self.delegate_tasks(delegated, view, now))
            .collect()
    }

    /// Returns jobs with tasks that found no place, the longest wait first. Jobs with rules on
    /// the zones or domains of their tasks are left out, because one shard must see where all
    /// these tasks are.
    fn jobs_without_place(&self) -> Vec<Waiting> {
        let may_leave = |job: &Job| {
            job.tasks.at_home()
                && job.spec.kind == Kind::Array
                && !job.spec.spread
                && !job.spec.one_zone
                && job.policy.is_empty()
        };
        let mut waiting: Vec<Waiting> = self
            .cluster_state
            .jobs_to_place()
            .filter(|(_, job)| may_leave(job))
            .filter_map(|(id, job)| {
                Some(Waiting {
                    job: id.clone(),
                    since: job.blocked_since?,
                    tasks: job.tasks.pending().min(MAX_DELEGATED_TASKS),
                    cpu: job.spec.each.cpu,
                })
            })
            .collect();
        waiting.sort_by(|a, b| a.since.0.total_cmp(&b.since.0).then(a.job.cmp(&b.job)));
        waiting.truncate(MAX_JOBS_PER_PASS);
        waiting
    }

    /// Delegates the last pending tasks of a job to another shard. Returns `None` if no task is
    /// pending.
    fn delegate_tasks(
        &mut self,
        delegated: Delegated,
        view: &View,
        now: Time,
    ) -> Option<DelegatedTasks> {
        let Delegated { job, to, tasks } = delegated;
        let tasks = self.cluster_state.job(&job)?.tasks.last_pending(tasks);
        if tasks.is_empty() {
            return None;
        }
        let end = now.after(DELEGATED_S);
        self.delegations.delegated_out.add(&job, tasks.clone(), end);
        if let Some(entry) = view.job(&job) {
            self.apply_foreign_claims(&job, entry);
        }
        Some(DelegatedTasks {
            shard: to,
            job,
            tasks: tasks.into_iter().collect(),
        })
    }

    /// Accepts tasks that another shard delegates to this one.
    pub fn adopt_delegated_tasks(
        &mut self,
        view: &View,
        left: &DelegatedTasks,
        now: Time,
        wall_ms: u64,
    ) {
        let Some(entry) = view.job(&left.job) else {
            return;
        };
        let live = entry.record.value.phase == Phase::Live;
        let in_range = left.tasks.iter().all(|i| *i < entry.record.value.tasks);
        if !live || !in_range || self.scope.homes(&left.job) || self.is_frozen() {
            return;
        }
        let tasks = left.tasks.iter().copied().collect();
        let end = now.after(ACCEPTED_S);
        self.delegations.delegated_in.add(&left.job, tasks, end);
        if self.cluster_state.job(&left.job).is_none() {
            self.load_job(view, &left.job, now, wall_ms);
        }
        self.apply_foreign_claims(&left.job, entry);
        self.placement_queue.request_full_walk();
    }

    /// Ends delegations whose time has expired.
    fn expire_delegations(&mut self, view: &View, now: Time) {
        let mut ended = self.delegations.delegated_out.end(now);
        ended.extend(self.delegations.delegated_in.end(now));
        for job in ended {
            if let Some(entry) = view.job(&job) {
                self.apply_foreign_claims(&job, entry);
            }
            self.forget_job(view, &job, now);
        }
    }
}
