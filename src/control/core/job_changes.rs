//! Changes of jobs: arrivals, cancellations and the release of claims.

use super::command_queue::ContactOrder;
use super::largest_jobs::JobEvent;
use super::objectives::JobTimes;
use super::recorded_job::job_times;
use super::Core;
use crate::scheduler::{Claim, Sent};
use crate::state::record::ChunkId;
use crate::state::record::Phase;
use crate::state::view::{JobEntry, View};
use crate::types::{JobId, TaskId, Time};

impl Core {
    /// Updates the cluster state after job records changed, for example because a job arrived or
    /// was cancelled.
    pub fn jobs_changed(&mut self, view: &View, changed: &[JobId], now: Time, wall_ms: u64) {
        for id in changed {
            let Some(entry) = view.job(id) else { continue };
            if self.cluster_state.job(id).is_some() {
                self.job_changed(view, id, now, wall_ms);
            } else if entry.record.value.phase == Phase::Live && self.scope.homes(id) {
                self.job_arrived(view, id, now, wall_ms);
            }
            self.forget_job(view, id, now);
        }
    }

    /// Updates a job that is in the cluster state.
    fn job_changed(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let (Some(job), Some(entry)) = (self.cluster_state.job(id), view.job(id)) else {
            return;
        };
        let cancelled = job.cancelled;
        self.refresh_urgency(view, id, now, wall_ms);
        self.reconcile_record(id, entry, now);
        if entry.record.value.phase == Phase::Cancelled && !cancelled {
            self.job_cancelled(id, now);
        }
    }

    /// Stops the tasks of a cancelled job. The job's failures no longer count against machines.
    fn job_cancelled(&mut self, id: &JobId, now: Time) {
        self.cluster_state.edit_job(id, |job| job.cancelled = true);
        self.log_largest_over(id, JobEvent::Cancelled, now);
        self.clear(id);
        self.write_queue.cancel_finished(id);
        self.settle_stopped(id, now);
    }

    /// Adds a job that arrived or became ready. Skips a job that waits for dependencies or is
    /// cancelled with one.
    fn job_arrived(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let pipelines = view.pipelines();
        if pipelines.is_cancelled(id) {
            tracing::info!(job = %id, "job cancelled with its dependency");
            return;
        }
        if !view.is_ready(id) {
            let waits_for = pipelines.waits_for(id).count();
            tracing::debug!(job = %id, waits_for, "job waiting for dependencies");
            return;
        }
        if view.needs_others(id) {
            tracing::info!(job = %id, "job ready; dependencies done");
        }
        self.add_job(view, id, now, wall_ms);
        if let Some(job) = self.cluster_state.job(id) {
            let (spec, at) = (job.spec.clone(), job.submitted);
            self.arrived(&spec, at);
        }
    }

    /// Updates the urgency of a job, because jobs that depend on it may have arrived or ended.
    fn refresh_urgency(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let Some(inherited) = view.pipelines().urgency(id) else {
            return;
        };
        let (Some(job), Some(entry)) = (self.cluster_state.job(id), view.job(id)) else {
            return;
        };
        let times = job_times(view, id, &entry.record.value, now, wall_ms);
        // Readiness counts from the job's arrival at this owner, so that differences between
        // clocks don't shift it.
        let ready = job.submitted;
        let urgency = self.urgency(&job.spec, &JobTimes { ready, ..times }, Some(inherited));
        if !urgency.is_of(job) {
            self.cluster_state.set_urgency(id, &urgency, now);
            self.placement_queue.request_full_walk();
        }
    }

    /// Removes a job that is over, once no claim of it remains and its records claim nothing
    /// here. A job of another shard is also removed once none of its tasks is pending or claimed
    /// here.
    pub(super) fn forget_job(&mut self, view: &View, id: &JobId, now: Time) {
        let Some(entry) = view.job(id) else { return };
        let over = entry.record.value.phase != Phase::Live;
        let Some(job) = self.cluster_state.job(id) else {
            // Other shards may have removed the last claims that kept the job's chunks.
            if over && self.scope.is_part() && self.scope.homes(id) {
                self.drop_chunks(id, entry, now);
            }
            return;
        };
        let placed_here = job.tasks.at_home();
        if !over && (placed_here || job.tasks.pending() > 0) || !job.tasks.claims().is_empty() {
            return;
        }
        if !placed_here {
            // This shard's claims are removed from the record before the job is removed.
            if !self.has_claims_in_shard(entry) {
                self.cluster_state.remove_job(id);
            }
            return;
        }
        // The job's own record must not keep claims forever.
        if entry.inline().is_some() && self.has_claims_in_shard(entry) {
            self.write_queue.released(ChunkId::new(id, 0), now);
            return;
        }
        self.drop_chunks(id, entry, now);
        self.cluster_state.remove_job(id);
    }

    /// Queues the deletion of all chunks of a job that is over.
    pub(super) fn drop_chunks(&mut self, id: &JobId, entry: &JobEntry, now: Time) {
        for &chunk in entry.chunks.keys() {
            self.write_queue.delete_chunk(ChunkId::new(id, chunk), now);
        }
    }

    /// Releases claims that are no longer needed and whose start command was certainly never sent.
    /// These are claims of cancelled jobs and of tasks to be stopped. Other tasks of a cancelled
    /// job are stopped.
    pub(super) fn settle_stopped(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cancelled = job.cancelled;
        let mut unsent = Vec::new();
        let mut started = Vec::new();
        for (&index, claim) in job.tasks.claims() {
            // The machine is contacted, because it must receive any command for this task.
            self.command_queue
                .add(claim.machine.clone(), ContactOrder::First);
            let task = TaskId {
                job: id.clone(),
                index,
            };
            match claim.sent {
                Sent::No if cancelled || claim.stop.is_some() => unsent.push(task),
                Sent::No => {}
                _ if cancelled => started.push(task),
                _ => {}
            }
        }
        for task in unsent {
            self.release(&task, now);
        }
        for task in started {
            self.cluster_state.stop(&task, false);
        }
    }

    /// Returns the chunk that a task is recorded in.
    pub(super) fn chunk_of(&self, task: &TaskId) -> ChunkId {
        let job = self.cluster_state.job(&task.job);
        let chunk = job.map_or(0, |j| j.tasks.chunk_of(task.index));
        ChunkId::new(&task.job, chunk)
    }

    /// Releases a task's claim and queues the release to be recorded. Other tasks may use the
    /// freed capacity.
    pub(super) fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let claim = self.cluster_state.release(task, now)?;
        self.gangs_to_check.add(task.job.clone());
        self.write_queue.released(self.chunk_of(task), now);
        self.placement_queue.add(claim.machine.clone());
        Some(claim)
    }
}
