//! Preemption: tasks are stopped for jobs that found no machine, where that wastes least.

mod victims;

use std::collections::BTreeMap;

use self::victims::FreeCapacityRequest;
use super::{idle, ClusterState, Job};
use crate::types::{Amount, JobId, Kind, MachineId, TaskId, Time};

/// On how many machines tasks are stopped for one job at a time.
const MAX_PREEMPTION_CANDIDATES: u32 = 16;
/// For how many jobs tasks are stopped at a time, as each looks at all machines.
const MAX_JOBS_PER_PASS: usize = 4;
/// For how long the capacity that comes free stays reserved for the job.
const RESERVED_S: f64 = 10.0;
/// A job that waits for free capacity to be made, and in how many places.
struct StarvedJob {
    id: JobId,
    places: u32,
}

/// What is being stopped, kept up to date within a round of preemption.
struct Stopping {
    /// What the teams' tasks take that are being stopped, by team.
    leaving: Vec<Amount>,
    /// Thousandths of a CPU that idle work uses beyond its part and that are not
    /// being stopped.
    idle_beyond: i64,
}

impl ClusterState {
    /// Chooses tasks to stop for jobs that found no place for `patience`
    /// seconds, in the allowed cases only: for a higher priority, or to give a
    /// team its guarantee out of what another team runs beyond its own.
    /// Reserves the free capacity. Live services are never chosen.
    pub fn preempt(&mut self, patience: impl Fn(&Job) -> f64, now: Time) -> Vec<TaskId> {
        self.reserved.retain(|_, reserved| now < reserved.until);
        let waiting = self.starved_jobs(patience, now);
        if waiting.is_empty() {
            return Vec::new();
        }
        let mut stopping = Stopping {
            leaving: self.leaving(),
            idle_beyond: self.idle_beyond(),
        };
        let mut stops = Vec::new();
        for starved in waiting {
            stops.extend(self.preempt_for(&starved, &mut stopping, now));
        }
        stops
    }

    /// The first jobs of the order that found no place for `patience` seconds, and that
    /// have fewer places reserved than they could use.
    fn starved_jobs(&self, patience: impl Fn(&Job) -> f64, now: Time) -> Vec<StarvedJob> {
        let mut by_job: BTreeMap<&JobId, u32> = BTreeMap::new();
        for reserved in self.reserved.values() {
            *by_job.entry(&reserved.job).or_insert(0) += 1;
        }
        self.in_order(now)
            // Room made piece by piece does not make a gang fit; what falls
            // free is reserved for it.
            .filter(|(_, job)| job.spec.kind != Kind::Gang)
            .filter(|(_, job)| job.blocked_since.map_or(0.0, |t| now.since(t)) >= patience(job))
            .map(|(id, job)| {
                let wanted = job.tasks.pending().min(MAX_PREEMPTION_CANDIDATES);
                let reserved = by_job.get(id).copied().unwrap_or(0);
                StarvedJob {
                    id: id.clone(),
                    places: wanted.saturating_sub(reserved),
                }
            })
            .filter(|starved| starved.places > 0)
            .take(MAX_JOBS_PER_PASS)
            .collect()
    }

    /// Frees and reserves capacity for one job, where that wastes least. Returns the tasks
    /// to stop.
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
        let (team, hurry) = (job.team, job.start_within.is_some());
        let mut stops = Vec::new();
        let mut made = 0;
        for m_id in self.by_preemption_cost(id, job, stopping, now) {
            if made == starved.places {
                break;
            }
            let Some(job) = self.jobs.get(id) else { break };
            let request = FreeCapacityRequest { id, job, made, now };
            let Some(plan) = self.plan_preemption(&request, &m_id, stopping) else {
                continue;
            };
            made += 1;
            for task in &plan.victims {
                self.stop_victim(task, hurry, stopping);
            }
            self.reserve(m_id, id, now.after(RESERVED_S));
            for task in plan.victims {
                stops.extend(self.stop_rest_of_gang(&task));
                stops.push(task);
            }
        }
        tracing::debug!(job = %id, team, made, "capacity preempted");
        stops
    }

    /// Machines on which capacity for a job can be freed, the cheapest first. One look at
    /// all machines finds the best of them; each is looked at again when its turn
    /// comes, as those before it count.
    fn by_preemption_cost(
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

    /// Marks a chosen task to be stopped, and counts it as leaving.
    fn stop_victim(&mut self, task: &TaskId, hurry: bool, stopping: &mut Stopping) {
        if let Some(job) = self.jobs.get(&task.job) {
            stopping.leaving[job.team] += job.spec.each;
            if idle::is_bounded(job) {
                stopping.idle_beyond -= job.spec.each.cpu;
            }
        }
        self.stop(task, hurry);
    }

    /// Stops the other tasks of a gang of which one was stopped.
    fn stop_rest_of_gang(&mut self, task: &TaskId) -> Vec<TaskId> {
        let job = self.jobs.get(&task.job);
        if job.is_some_and(|j| j.spec.kind == Kind::Gang) {
            self.stop_gang(&task.job)
        } else {
            Vec::new()
        }
    }

    /// What the teams' tasks take that are being stopped.
    fn leaving(&self) -> Vec<Amount> {
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
