//! Changes of jobs, with the queues and sums that depend on them.

use std::collections::{BTreeMap, BTreeSet};

use super::{idle, ClusterState, Job, JobUrgency};
use crate::types::{JobId, Time, Zone};

impl ClusterState {
    /// Adds a job to the cluster state, and to its team's queue if it has tasks to place.
    pub fn add_job(&mut self, id: JobId, job: Job) {
        self.demand[job.team] += job.demand();
        if job.is_queued() {
            self.queues[job.team].insert(job.queue_position(&id));
            self.came_to_lane(&id, &job);
        }
        self.jobs.insert(id, job);
    }

    /// Changes a job and updates the sums and queues. Claims change through `put_claim` and
    /// `release` instead, and the job's position in its queue through `refile`.
    pub fn edit_job<R>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> R) -> Option<R> {
        let job = self.jobs.get_mut(id)?;
        let (demand, was_queued) = (job.demand(), job.is_queued());
        let result = change(job);
        self.demand[job.team] -= demand;
        self.demand[job.team] += job.demand();
        let queued = job.is_queued();
        if was_queued != queued {
            let position = job.queue_position(id);
            if queued {
                self.queues[job.team].insert(position);
            } else {
                job.blocked_since = None;
                self.queues[job.team].remove(&position);
            }
        }
        Some(result)
    }

    /// Updates a job's priority and due times after jobs that depend on it were added or
    /// removed.
    pub fn set_urgency(&mut self, id: &JobId, urgency: &JobUrgency, now: Time) {
        let Some(bounded) = self.jobs.get(id).map(idle::is_bounded) else {
            return;
        };
        self.refile(id, |job| {
            urgency.apply(job);
            job.due = job.due_now(now);
        });
        let Some(job) = self.jobs.get(id) else { return };
        let allocated = job.spec.each.times(job.tasks.claims().len() as i64);
        match (bounded, idle::is_bounded(job)) {
            (true, false) => self.idle.used -= allocated,
            (false, true) => self.idle.used += allocated,
            (true, true) | (false, false) => {}
        }
    }

    /// Changes properties that determine a job's position in its team's queue, and moves the
    /// job to its new position.
    pub(super) fn refile(&mut self, id: &JobId, change: impl FnOnce(&mut Job)) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let waits = self.queues[job.team].remove(&job.queue_position(id));
        change(job);
        if waits {
            self.queues[job.team].insert(job.queue_position(id));
        }
    }

    /// Sets which tasks of a job other shards claim or were assigned. If another shard
    /// places the job, `left` are the tasks that it assigned to this shard.
    pub fn share_job(
        &mut self,
        id: &JobId,
        claimed_elsewhere: BTreeSet<u32>,
        left: Option<BTreeSet<u32>>,
    ) {
        self.edit_job(id, |job| {
            job.tasks.set_claimed_elsewhere(claimed_elsewhere);
            job.tasks.set_adopted(left);
        });
    }

    /// Sets in which zones other shards have tasks of a job. `None` means that the zones
    /// are not known.
    pub fn set_elsewhere(&mut self, id: &JobId, zones: Option<BTreeMap<Zone, u32>>) {
        if zones.as_ref().is_some_and(BTreeMap::is_empty) {
            self.elsewhere.remove(id);
        } else {
            self.elsewhere.insert(id.clone(), zones);
        }
    }

    /// Returns the jobs whose tasks in other shards have unknown zones.
    pub fn unknown_elsewhere(&self) -> impl Iterator<Item = &JobId> {
        let unknown = self.elsewhere.iter().filter(|(_, zones)| zones.is_none());
        unknown.map(|(id, _)| id)
    }

    /// Removes a job. The job must have no claims.
    pub fn remove_job(&mut self, id: &JobId) {
        self.edit_job(id, |job| job.cancelled = true);
        self.claimed_all(id);
        self.jobs.remove(id);
        self.elsewhere.remove(id);
        self.leave_turn(id);
    }
}
