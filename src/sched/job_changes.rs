//! Changes of jobs, with the queues and the sums that are kept of them.

use std::collections::{BTreeMap, BTreeSet};

use super::{idle, ClusterState, Job, JobUrgency};
use crate::types::{JobId, Time, Zone};

impl ClusterState {
    /// A job appears.
    pub fn add_job(&mut self, id: JobId, job: Job) {
        self.demand[job.team] += job.demand();
        if job.tasks.pending() > 0 && !job.cancelled {
            self.queues[job.team].insert(job.place(&id));
            self.came_to_lane(&id, &job);
        }
        self.jobs.insert(id, job);
    }

    /// Changes a job, other than its claims.
    pub fn edit_job<R>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> R) -> Option<R> {
        let job = self.jobs.get_mut(id)?;
        let before = (job.demand(), job.tasks.pending() > 0 && !job.cancelled);
        let result = change(job);
        let after = (job.demand(), job.tasks.pending() > 0 && !job.cancelled);
        self.demand[job.team] -= before.0;
        self.demand[job.team] += after.0;
        if before.1 != after.1 {
            let place = job.place(id);
            if after.1 {
                self.queues[job.team].insert(place);
            } else {
                job.blocked_since = None;
                self.queues[job.team].remove(&place);
            }
        }
        Some(result)
    }

    /// Jobs that need this one came or went: it has another priority, and other times by
    /// which it should be done.
    pub fn set_urgency(&mut self, id: &JobId, urgency: &JobUrgency, now: Time) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let waits = self.queues[job.team].remove(&job.place(id));
        let bounded = idle::is_bounded(job);
        urgency.apply(job);
        job.due = job.due_now(now);
        let held = job.spec.each.times(job.tasks.claims().len() as i64);
        match (bounded, idle::is_bounded(job)) {
            (true, false) => self.idle.used -= held,
            (false, true) => self.idle.used += held,
            (true, true) | (false, false) => {}
        }
        if waits {
            self.queues[job.team].insert(job.place(id));
        }
    }

    /// What other blocks claim of a job, or is left to them; and what is left to
    /// this block, if another places it.
    pub fn share_job(&mut self, id: &JobId, foreign: BTreeSet<u32>, left: Option<BTreeSet<u32>>) {
        self.edit_job(id, |job| {
            job.tasks.set_foreign(foreign);
            job.tasks.set_left_here(left);
        });
    }

    /// In which zones other blocks hold tasks of a job; none: that is not known.
    pub fn set_elsewhere(&mut self, id: &JobId, zones: Option<BTreeMap<Zone, u32>>) {
        if zones.as_ref().is_some_and(BTreeMap::is_empty) {
            self.elsewhere.remove(id);
        } else {
            self.elsewhere.insert(id.clone(), zones);
        }
    }

    /// Jobs of which it is not known where other blocks hold their tasks.
    pub fn unknown_elsewhere(&self) -> impl Iterator<Item = &JobId> {
        let unknown = self.elsewhere.iter().filter(|(_, zones)| zones.is_none());
        unknown.map(|(id, _)| id)
    }

    /// A job goes. It must have no claims.
    pub fn remove_job(&mut self, id: &JobId) {
        self.edit_job(id, |job| job.cancelled = true);
        self.claimed_all(id);
        self.jobs.remove(id);
        self.elsewhere.remove(id);
        self.leave_turn(id);
    }
}
