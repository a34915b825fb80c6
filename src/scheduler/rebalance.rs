//! Deliberate moves of tasks: off machines that drain, and apart again after a failure domain
//! recovered. A task must not run twice at the same time. So the scheduler first reserves
//! capacity on another machine and then stops the task.

use sorrelhinge_topology::drain::{self, Drain, Step, Target, Tenant};
use sorrelhinge_topology::policy::{LocatedTask, MachineLocation, Reach};
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::Topology;

use super::drains_by_target::DrainsByTarget;
use super::tasks::{Progress, Sent};
use super::topology_rules::{Ask, SettledDomains};
use super::{ClusterState, Job};
use crate::types::{JobId, Kind, MachineId, TaskId, Time};

/// Seconds for which capacity stays reserved for a task that is being moved.
const MOVE_RESERVATION_S: f64 = 15.0;

/// A task that is being stopped so that it starts on another machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// Task to stop.
    pub task: TaskId,
    /// Machine on which capacity is reserved for the task, or `None` without a reservation.
    pub to: Option<MachineId>,
}

/// A drain that has not ended.
#[derive(Clone, Debug)]
pub struct ActiveDrain {
    /// Target and parameters of the drain.
    pub drain: Drain,
    /// Seconds until the deadline of the drain.
    pub left_s: f64,
}

/// Inputs to the decision about moves, in addition to the cluster state.
pub struct Moving<'a> {
    /// Drains that have not ended.
    pub drains: &'a [ActiveDrain],
    /// Domains that lost machines recently.
    pub stability: &'a Stability,
}

impl ClusterState {
    /// Returns the number of a job's tasks that are not known to run, or that are being
    /// stopped. Includes tasks that are claimed or were sent their start command but that no
    /// heartbeat has named, as they may never start.
    fn tasks_not_running(job: &Job) -> u32 {
        let claims = job.tasks.claims().values();
        let running =
            claims.filter(|c| matches!(c.progress, Progress::Running(_)) && c.stop.is_none());
        let over = job.tasks.done();
        job.spec.tasks - over - running.count() as u32
    }

    /// Returns the drain that covers a machine. If several do, returns the drain with the
    /// earliest deadline.
    fn earliest_drain_of<'a>(
        &self,
        id: &MachineId,
        drains: &DrainsByTarget<'a>,
    ) -> Option<&'a ActiveDrain> {
        let topology = self.topology.as_ref()?;
        let machine = self.machines.get(id)?;
        let covers = |d: &Drain| d.target.covers(&topology.tree, machine.place, id.as_str());
        let covering = drains
            .candidates(id)
            .filter(|indexed| covers(&indexed.active.drain));
        let first = covering.min_by(|a, b| {
            let left_s = a.active.left_s.total_cmp(&b.active.left_s);
            left_s.then(a.index.cmp(&b.index))
        });
        first.map(|indexed| indexed.active)
    }

    /// Returns the machines that a drain covers now.
    pub fn drained<'a>(&'a self, drain: &'a Drain) -> impl Iterator<Item = &'a MachineId> + 'a {
        let topology = self.topology.as_deref();
        let (own, of_domain) = match &drain.target {
            Target::Machine(name) => {
                let own = self.machines.get_key_value(&MachineId::from(name.as_str()));
                (own, None)
            }
            Target::Domain(_) => (None, Some(self.machines.iter())),
        };
        own.into_iter()
            .chain(of_domain.into_iter().flatten())
            .filter(move |(id, m)| {
                topology.is_some_and(|t| drain.target.covers(&t.tree, m.place, id.as_str()))
            })
            .map(|(id, _)| id)
    }

    /// Marks the tasks to move off draining machines now to be stopped, reserves capacity for
    /// them, and returns the moves.
    pub fn drain(&mut self, moving: &Moving, now: Time) -> Vec<Move> {
        let draining: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, m)| m.draining && !m.claims.is_empty())
            .map(|(id, _)| id.clone())
            .collect();
        let drains = DrainsByTarget::new(moving.drains);
        let mut moves = Vec::new();
        for m_id in draining {
            let Some(active) = self.earliest_drain_of(&m_id, &drains) else {
                continue;
            };
            for task in self.claims_on(&m_id) {
                let Some(tenant) = self.tenant(&task, now) else {
                    continue;
                };
                let step = drain::step(&active.drain, &tenant, active.left_s);
                moves.extend(self.apply_drain_step(step, task, moving, now));
            }
        }
        moves
    }

    /// Returns the facts about a task that a drain's decision needs. Returns `None` if the
    /// task has no claim, or if its job is cancelled and the task ends anyway.
    fn tenant(&self, task: &TaskId, now: Time) -> Option<Tenant> {
        let job = self.jobs.get(&task.job).filter(|j| !j.cancelled)?;
        let claim = job.tasks.claims().get(&task.index)?;
        let ran = match claim.progress {
            Progress::Running(since) => Some(now.since(since)),
            // A task found at a takeover and not seen yet may well run.
            Progress::Unseen if claim.sent != Sent::No => Some(0.0),
            _ => None,
        };
        let estimate = job.spec.estimate_s;
        let left = (estimate > 0.0).then(|| (estimate - ran.unwrap_or(0.0)).max(0.0));
        Some(Tenant {
            kind: job.spec.kind,
            running: ran.is_some(),
            stopping: claim.stop.is_some(),
            left_s: left.filter(|_| job.spec.kind != Kind::Service),
            away: Self::tasks_not_running(job),
        })
    }

    /// Applies a drain's decision to a task. Reserves capacity for a task that is to move and
    /// marks the task to be stopped.
    fn apply_drain_step(
        &mut self,
        step: Step,
        task: TaskId,
        moving: &Moving,
        now: Time,
    ) -> Vec<Move> {
        let gang = self
            .jobs
            .get(&task.job)
            .is_some_and(|j| j.spec.kind == Kind::Gang);
        match step {
            Step::Wait => Vec::new(),
            Step::Move => {
                let Some(to) = self.reserve_elsewhere(&task, moving, now) else {
                    return Vec::new();
                };
                self.stop(&task, false);
                vec![Move { task, to: Some(to) }]
            }
            Step::Stop if gang => {
                let tasks = self.stop_gang(&task.job).into_iter();
                tasks.map(|task| Move { task, to: None }).collect()
            }
            Step::Stop => {
                self.stop(&task, false);
                vec![Move { task, to: None }]
            }
        }
    }

    /// Reserves capacity on another machine for a task that is to move. Prefers a machine
    /// that meets all placement rules in a domain that lost no machine recently, then one that
    /// meets all rules in any domain, then one that meets the required rules.
    fn reserve_elsewhere(
        &mut self,
        task: &TaskId,
        moving: &Moving,
        now: Time,
    ) -> Option<MachineId> {
        let settle_s = self.topology.as_ref()?.settings.repair.settle_s;
        let quiet = Ask {
            leave_out: None,
            settled: Some(SettledDomains {
                stability: moving.stability,
                settle_s,
            }),
        };
        let any = Ask::default();
        let find =
            |ask: &Ask, reach| self.best_machine_without(&task.job, task.index, ask, reach, now);
        let to = find(&quiet, Reach::All)
            .or_else(|| find(&any, Reach::All))
            .or_else(|| find(&any, Reach::Musts))?;
        self.reserve(to.clone(), &task.job, now.after(MOVE_RESERVATION_S));
        Some(to)
    }

    /// Moves one task of a service out of a domain that has more of the service's tasks than
    /// its rules allow. Needs a machine that the rules allow in a domain that lost no machine
    /// recently. Considers only services of which all tasks run, so that the move keeps the
    /// required rules as far as they were met before.
    pub fn repair(&mut self, moving: &Moving, now: Time) -> Option<Move> {
        let topology = self.topology.clone()?;
        let settle_s = topology.settings.repair.settle_s;
        let quiet = Ask {
            leave_out: None,
            settled: Some(SettledDomains {
                stability: moving.stability,
                settle_s,
            }),
        };
        let (task, to) = self.jobs.iter().find_map(|(id, job)| {
            if !Self::may_be_repaired(job) {
                return None;
            }
            let index = self.excess_task(&topology, job)?;
            let to = self.best_machine_without(id, index, &quiet, Reach::All, now)?;
            let job = id.clone();
            Some((TaskId { job, index }, to))
        })?;
        self.reserve(to.clone(), &task.job, now.after(MOVE_RESERVATION_S));
        self.stop(&task, false);
        Some(Move { task, to: Some(to) })
    }

    /// Returns whether a job is a service with placement rules of which all tasks run.
    fn may_be_repaired(job: &Job) -> bool {
        job.spec.kind == Kind::Service
            && !job.cancelled
            && job.policy.counts()
            && job.tasks.pending() == 0
            && Self::tasks_not_running(job) == 0
            && job
                .tasks
                .claims()
                .values()
                .all(|c| matches!(c.progress, Progress::Running(_)))
    }

    /// Returns a task of a job in a domain that has more of the job's tasks than its rules
    /// allow.
    fn excess_task(&self, topology: &Topology, job: &Job) -> Option<u32> {
        let locations = self.task_locations(job, None);
        let tally = job.policy.tally(&topology.tree, locations);
        let tasks = job.tasks.claims().iter().filter_map(|(&index, claim)| {
            let location = MachineLocation {
                place: self.machines.get(&claim.machine)?.place,
                machine: claim.machine.as_str(),
            };
            Some(LocatedTask { index, location })
        });
        let tasks: Vec<LocatedTask> = tasks.collect();
        job.policy.excess(&topology.tree, &tally, &tasks)
    }

    /// Marks all tasks of a gang to be stopped and returns the newly marked tasks. A gang never
    /// runs with some of its tasks only.
    pub fn stop_gang(&mut self, id: &JobId) -> Vec<TaskId> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let claims = job.tasks.claims().iter();
        let tasks: Vec<TaskId> = claims
            .filter(|(_, c)| c.stop.is_none())
            .map(|(&index, _)| TaskId {
                job: id.clone(),
                index,
            })
            .collect();
        for task in &tasks {
            self.stop(task, false);
        }
        tasks
    }
}
