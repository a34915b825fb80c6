//! Preemption: the scheduler stops running tasks for jobs that found no machine, and chooses
//! the tasks so that the least work is wasted.

mod victims;

use std::collections::BTreeMap;

use self::victims::FreeCapacityRequest;
use super::{idle, ClusterState, Job};
use crate::types::{Amount, JobId, Kind, MachineId, TaskId, Time};

/// Maximum number of machines on which tasks are stopped for one job at a time.
const MAX_MACHINES_PER_JOB: u32 = 16;
/// Maximum number of jobs for which one round stops tasks, as each job needs a scan of all
/// machines.
const MAX_JOBS_PER_PASS: usize = 4;
/// Seconds for which the freed capacity stays reserved for the job.
const RESERVATION_S: f64 = 10.0;

/// A job for which capacity is to be freed, and the number of machines to free it on.
struct StarvedJob {
    id: JobId,
    missing_machines: u32,
}

/// Totals of the tasks that are being stopped, updated within a round of preemption.
struct Stopping {
    /// Capacity used by tasks that are being stopped, by team.
    usage: Vec<Amount>,
    /// Thousandths of a CPU that idle work uses beyond its guaranteed share, without the
    /// tasks that are being stopped.
    idle_cpu_beyond_share: i64,
}

impl ClusterState {
    /// Marks tasks to be stopped for jobs that found no machine for `patience` seconds, and
    /// returns these tasks. Preempts in two cases only: for a job of higher priority, or to
    /// give a team its guarantee from capacity that another team uses beyond its own
    /// guarantee. Reserves the freed capacity. Never preempts tasks of services.
    pub fn preempt(&mut self, patience: impl Fn(&Job) -> f64, now: Time) -> Vec<TaskId> {
        self.reserved.retain(|_, reserved| now < reserved.until);
        let waiting = self.starved_jobs(patience, now);
        if waiting.is_empty() {
            return Vec::new();
        }
        let mut stopping = Stopping {
            usage: self.stopping_usage(),
            idle_cpu_beyond_share: self.idle_cpu_beyond_share(),
        };
        let mut stops = Vec::new();
        for starved in waiting {
            stops.extend(self.preempt_for(&starved, &mut stopping, now));
        }
        stops
    }

    /// Returns the first jobs in scheduling order that found no machine for `patience`
    /// seconds and that have capacity reserved on fewer machines than they could use.
    fn starved_jobs(&self, patience: impl Fn(&Job) -> f64, now: Time) -> Vec<StarvedJob> {
        let mut by_job: BTreeMap<&JobId, u32> = BTreeMap::new();
        for reserved in self.reserved.values() {
            *by_job.entry(&reserved.job).or_insert(0) += 1;
        }
        self.in_order(now)
            // Capacity freed machine by machine does not make a gang fit. Capacity that comes
            // free is reserved for the gang instead.
            .filter(|(_, job)| job.spec.kind != Kind::Gang)
            .filter(|(_, job)| job.blocked_since.map_or(0.0, |t| now.since(t)) >= patience(job))
            .map(|(id, job)| {
                let wanted = job.tasks.pending().min(MAX_MACHINES_PER_JOB);
                let reserved = by_job.get(id).copied().unwrap_or(0);
                StarvedJob {
                    id: id.clone(),
                    missing_machines: wanted.saturating_sub(reserved),
                }
            })
            .filter(|starved| starved.missing_machines > 0)
            .take(MAX_JOBS_PER_PASS)
            .collect()
    }

    /// Frees and reserves capacity for one job on the machines where that wastes the least.
    /// Returns the tasks to stop.
    fn preempt_for(
        &mut self,
        starved: &StarvedJob,
        stopping: &mut Stopping,
        now: Time,
    ) -> Vec<TaskId> {
        let id = &starved.id;
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let (team, urgent) = (job.team, job.start_within.is_some());
        let mut stops = Vec::new();
        let mut made = 0;
        for m_id in self.machines_by_preemption_cost(id, job, stopping, now) {
            if made == starved.missing_machines {
                break;
            }
            let Some(job) = self.jobs.get(id) else { break };
            let request = FreeCapacityRequest { id, job, made, now };
            let Some(plan) = self.plan_preemption(&request, &m_id, stopping) else {
                continue;
            };
            made += 1;
            for task in &plan.victims {
                self.stop_victim(task, urgent, stopping);
            }
            self.reserve(m_id, id, now.after(RESERVATION_S));
            for task in plan.victims {
                stops.extend(self.stop_rest_of_gang(&task));
                stops.push(task);
            }
        }
        tracing::debug!(job = %id, team, made, "capacity preempted");
        stops
    }

    /// Returns the machines on which capacity for a job can be freed, the cheapest first. One
    /// scan of all machines sorts them. The caller plans each machine again when it reaches
    /// that machine, as the tasks stopped before change the result.
    fn machines_by_preemption_cost(
        &self,
        id: &JobId,
        job: &Job,
        stopping: &Stopping,
        now: Time,
    ) -> Vec<MachineId> {
        let request = FreeCapacityRequest {
            id,
            job,
            made: 0,
            now,
        };
        let mut found: Vec<(f64, &MachineId)> = self
            .machines
            .keys()
            .filter_map(|m_id| Some((self.plan_preemption(&request, m_id, stopping)?.cost, m_id)))
            .collect();
        found.sort_by(|(cost, id), (other_cost, other_id)| {
            cost.total_cmp(other_cost).then(id.cmp(other_id))
        });
        found.into_iter().map(|(_, m_id)| m_id.clone()).collect()
    }

    /// Marks a chosen task to be stopped and adds it to the totals in `stopping`.
    fn stop_victim(&mut self, task: &TaskId, urgent: bool, stopping: &mut Stopping) {
        if let Some(job) = self.jobs.get(&task.job) {
            stopping.usage[job.team] += job.spec.each;
            if idle::is_bounded(job) {
                stopping.idle_cpu_beyond_share -= job.spec.each.cpu;
            }
        }
        self.stop(task, urgent);
    }

    /// Stops the other tasks of the gang that `task` belongs to. Returns no tasks if the job
    /// is no gang.
    fn stop_rest_of_gang(&mut self, task: &TaskId) -> Vec<TaskId> {
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|j| j.spec.kind == Kind::Gang) {
            self.stop_gang(&task.job)
        } else {
            Vec::new()
        }
    }

    /// Returns the capacity used by tasks that are being stopped, by team.
    fn stopping_usage(&self) -> Vec<Amount> {
        let mut totals = vec![Amount::default(); self.teams.len()];
        for job in self.jobs.values() {
            let stopped = job
                .tasks
                .claims()
                .values()
                .filter(|c| c.stop.is_some())
                .count();
            totals[job.team] += job.spec.each.times(stopped as i64);
        }
        totals
    }
}
