//! Changes of jobs: new and cancelled ones, and claims that are given up.

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
    /// Jobs changed in the state service: new ones, and cancelled ones.
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

    /// A job that is in the cluster state changed.
    fn job_changed(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let (Some(job), Some(entry)) = (self.cluster_state.job(id), view.job(id)) else {
            return;
        };
        let cancelled = job.cancelled;
        self.refresh_urgency(view, id, now, wall_ms);
        self.catch_up(id, entry, now);
        if entry.record.value.phase == Phase::Cancelled && !cancelled {
            self.job_cancelled(id, now);
        }
    }

    /// A job was cancelled: its tasks end, and nothing it did is held against machines.
    fn job_cancelled(&mut self, id: &JobId, now: Time) {
        self.cluster_state.edit_job(id, |job| job.cancelled = true);
        self.largest_over(id, JobEvent::Cancelled, now);
        self.clear(id);
        self.pending.not_finished(id);
        self.settle_stopped(id, now);
    }

    /// A job came, or became ready, or is cancelled with another one.
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

    /// Jobs that need this one may have come or gone.
    fn refresh_urgency(&mut self, view: &View, id: &JobId, now: Time, wall_ms: u64) {
        let Some(inherited) = view.pipelines().urgency(id) else {
            return;
        };
        let (Some(job), Some(entry)) = (self.cluster_state.job(id), view.job(id)) else {
            return;
        };
        let times = job_times(view, id, &entry.record.value, now, wall_ms);
        // Since it came here, so that clocks don't move it.
        let ready = job.submitted;
        let urgency = self.urgency(&job.spec, &JobTimes { ready, ..times }, Some(inherited));
        if !urgency.is_of(job) {
            self.cluster_state.set_urgency(id, &urgency, now);
            self.placement_queue.request_full_walk();
        }
    }

    /// Removes a job that is over and leaves nothing behind.
    pub(super) fn forget_job(&mut self, view: &View, id: &JobId, now: Time) {
        let Some(entry) = view.job(id) else { return };
        let over = entry.record.value.phase != Phase::Live;
        let Some(job) = self.cluster_state.job(id) else {
            // Other shards may have taken out the last that kept its chunks.
            if over && self.scope.is_part() && self.scope.homes(id) {
                self.drop_chunks(id, entry, now);
            }
            return;
        };
        let homed = job.tasks.at_home();
        if !over && (homed || job.tasks.pending() > 0) || !job.tasks.claims().is_empty() {
            return;
        }
        if !homed {
            // What it claimed here is first taken out of the record.
            if !self.claims_here(entry) {
                self.cluster_state.remove_job(id);
            }
            return;
        }
        // The job's own record is not to claim anything for ever.
        if entry.inline().is_some() && self.claims_here(entry) {
            self.pending.released(ChunkId::new(id, 0), now);
            return;
        }
        self.drop_chunks(id, entry, now);
        self.cluster_state.remove_job(id);
    }

    /// Nothing needs the chunks of a job that is over.
    pub(super) fn drop_chunks(&mut self, id: &JobId, entry: &JobEntry, now: Time) {
        for &chunk in entry.chunks.keys() {
            self.pending.useless(ChunkId::new(id, chunk), now);
        }
    }

    /// Drops claims of a cancelled job, or of tasks to be stopped, whose start
    /// was certainly never sent; the others are stopped.
    pub(super) fn settle_stopped(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cancelled = job.cancelled;
        let mut unsent = Vec::new();
        let mut started = Vec::new();
        for (&index, claim) in job.tasks.claims() {
            // Whatever is to happen there, its machine is sent it.
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

    /// The chunk that a task is recorded in.
    pub(super) fn chunk_of(&self, task: &TaskId) -> ChunkId {
        let job = self.cluster_state.job(&task.job);
        let chunk = job.map_or(0, |j| j.tasks.chunk_of(task.index));
        ChunkId::new(&task.job, chunk)
    }

    /// Gives up a task's claim, which is to be recorded; its free capacity is there for others.
    pub(super) fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let claim = self.cluster_state.release(task, now)?;
        self.gangs_to_check.add(task.job.clone());
        self.pending.released(self.chunk_of(task), now);
        self.placement_queue.add(claim.machine.clone());
        Some(claim)
    }
}
