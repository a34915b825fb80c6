//! Placement of gangs: the scheduler claims all tasks of a gang or none (DESIGN). If the free
//! slots don't suffice, it reserves the capacity that comes free on the smallest set of
//! machines that fits the gang.

mod rules;
mod slots;

use std::cell::OnceCell;

use sorrelhinge_topology::gang;
use sorrelhinge_topology::policy::Reach;
use sorrelhinge_topology::settings::Gangs;
use sorrelhinge_topology::tree::Tree;

use self::rules::JobRules;
use self::slots::GangRequest;
use super::cluster_state::GangFreeCapacity;
use super::filter::{Needy, PlacementRequest};
use super::topology_rules::Ask;
use super::{ClusterState, Delay, DelayRule, Job, Launch};
use crate::types::{Attempt, JobId, MachineId, TaskId, Time};

/// Seconds between two placement attempts for one gang, as each attempt scans all machines.
const RETRY_S: f64 = 0.5;

/// Placement plans for a gang. At most one of them is used.
#[derive(Default)]
struct GangPlans {
    /// Plan that places all tasks on free capacity.
    now: Option<gang::Plan>,
    /// Plan of the machines to reserve if no plan fits the free capacity.
    later: Option<gang::Plan>,
}

impl ClusterState {
    fn gang_settings(&self) -> Gangs {
        let settings = self.topology.as_ref().map(|t| t.settings.gangs.clone());
        settings.unwrap_or_default()
    }

    /// Places all tasks of a gang, or reserves machines for the gang if it holds the turn to
    /// reserve. Places nothing until all tasks of an earlier start are known to have ended.
    pub(super) fn place_gang(&mut self, id: &JobId, rule: DelayRule, now: Time) -> Vec<Launch> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let tasks = job.tasks.pending();
        if !job.needs_placement(now) || !job.tasks.claims().is_empty() || now < job.try_at {
            return Vec::new();
        }
        let team = &self.teams[job.team];
        let all = job.spec.each.times(i64::from(tasks));
        if !(team.used + all).fits_team(self.limit_for(job)) {
            return Vec::new();
        }
        let plans = self.gang_plans(id, job, now);
        if let Some(job) = self.jobs.get_mut(id) {
            job.try_at = now.after(RETRY_S);
        }
        match plans.now {
            Some(plan) if self.gang_may_launch(id, &plan, rule, now) => {
                self.leave_turn(id);
                return self.launch_gang(id, &plan, now);
            }
            Some(_) => self.skip(vec![id.clone()], now),
            None => {
                if let Some(plan) = plans.later {
                    self.reserve_for(id, &plan, now);
                }
            }
        }
        Vec::new()
    }

    /// Plans the placement of a gang. Applies all placement rules first. If no plan meets
    /// them, applies the required rules only.
    fn gang_plans(&self, id: &JobId, job: &Job, now: Time) -> GangPlans {
        let tree = self.topology.as_ref().map(|t| &t.tree);
        let tasks = job.tasks.pending();
        let mut plans = GangPlans::default();
        for reach in [Reach::All, Reach::Musts] {
            if reach == Reach::Musts && !job.policy.prefers() {
                continue;
            }
            let slots = self.slots(&GangRequest {
                id,
                job,
                needs: job.policy.needs(reach),
                now,
            });
            let rules = JobRules {
                cluster_state: self,
                job,
                reach,
            };
            plans.now = gang::plan_now(tree, &slots, tasks, &rules);
            if plans.now.is_some() {
                break;
            }
            if plans.later.is_none() {
                plans.later = gang::plan_later(tree, &slots, tasks, &rules);
            }
        }
        plans
    }

    fn gang_may_launch(&self, id: &JobId, plan: &gang::Plan, rule: DelayRule, now: Time) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| {
            plan.iter()
                .all(|on| self.may_launch(job, &on.machine, rule, now))
        })
    }

    fn launch_gang(&mut self, id: &JobId, plan: &gang::Plan, now: Time) -> Vec<Launch> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let attempt = job.tasks.take_gang_attempt();
        job.delay = Delay::default();
        let mut launches = Vec::new();
        for on in plan {
            for _ in 0..on.tasks {
                // The plan counts free capacity only, so every launch succeeds. If one fails
                // all the same, the gang lacks a task and is stopped and placed again.
                launches.extend(self.launch_gang_task(id, attempt, &on.machine, now));
            }
        }
        launches
    }

    /// Claims the next task of a gang on a machine. Returns `None` if the devices that the
    /// task needs are not free on the machine.
    fn launch_gang_task(
        &mut self,
        id: &JobId,
        attempt: Attempt,
        m_id: &MachineId,
        now: Time,
    ) -> Option<Launch> {
        let units = self.units_for(id, m_id);
        let job = self.jobs.get_mut(id)?;
        let index = job.tasks.next_pending();
        let units = units?;
        let task = TaskId {
            job: id.clone(),
            index: index?,
        };
        let image = &self.jobs.get(id)?.spec.image;
        let machine = self.machines.get(m_id);
        let cached = machine.is_some_and(|m| m.cache.has(image));
        self.enter(&task, attempt, m_id, units, now);
        Some(Launch {
            task,
            machine: m_id.clone(),
            cached,
        })
    }

    fn reserve_for(&mut self, id: &JobId, plan: &gang::Plan, now: Time) {
        let settings = self.gang_settings();
        let Some(each) = self.jobs.get(id).map(|j| j.spec.each) else {
            return;
        };
        let count: u32 = plan.iter().map(|on| on.tasks).sum();
        let reserved = each.times(i64::from(count));
        if reserved.cpu as f64 > settings.held * self.capacity.cpu as f64 {
            return;
        }
        if !self.turn.may_reserve(id, settings.hold_s, now) {
            return;
        }
        if self.gang_free_capacity.is_empty() {
            tracing::info!(job = %id, machines = plan.len(), "capacity reserved for a gang");
        }
        self.gang_free_capacity = plan
            .iter()
            .map(|on| {
                let amount = each.times(i64::from(on.tasks));
                let job = id.clone();
                (on.machine.clone(), GangFreeCapacity { job, amount })
            })
            .collect();
    }

    /// Ends a gang's turn to reserve machines and releases the capacity reserved for the gang.
    pub(super) fn leave_turn(&mut self, id: &JobId) {
        self.turn.leave(id);
        self.gang_free_capacity
            .retain(|_, reserved| reserved.job != *id);
    }

    /// Releases the gang reservation if its time is over or if its gang no longer waits for
    /// placement.
    pub(super) fn drop_expired_reservations(&mut self, now: Time) {
        let Some(holder) = self.turn.holder().cloned() else {
            return;
        };
        let turn_s = self.gang_settings().hold_s;
        let waits = self
            .jobs
            .get(&holder)
            .is_some_and(|j| j.needs_placement(now));
        if !waits || !self.turn.may_reserve(&holder, turn_s, now) {
            self.leave_turn(&holder);
        }
    }

    /// Returns the machines on which capacity is reserved for a gang, each with the gang's id.
    pub fn reserved_for_gangs(&self) -> impl Iterator<Item = (&MachineId, &JobId)> {
        self.gang_free_capacity
            .iter()
            .map(|(machine, reserved)| (machine, &reserved.job))
    }

    /// Returns the path of the innermost domain that contains all tasks of a gang.
    pub fn gang_domain(&self, id: &JobId, tree: &Tree) -> Option<String> {
        let job = self.jobs.get(id)?;
        let places = self
            .task_locations(job, None)
            .flatten()
            .map(|location| location.place);
        Some(tree.path(gang::common(tree, places)).to_owned())
    }

    /// Returns the best machine for one more task of a job, calculated as if task `index` had
    /// already left its machine.
    pub(super) fn best_machine_without(
        &self,
        id: &JobId,
        index: u32,
        ask: &Ask,
        reach: Reach,
        now: Time,
    ) -> Option<MachineId> {
        let job = self.jobs.get(id)?;
        let needy = OnceCell::from(Needy::new());
        let request = PlacementRequest {
            id,
            job,
            needy: &needy,
            now,
        };
        let ask = Ask {
            leave_out: Some(index),
            settled: ask.settled,
        };
        self.best_of(&request, &ask, reach)
            .map(|offer| offer.machine)
    }
}
