//! Gangs: all tasks are claimed or none (DESIGN). Where free slots don't
//! suffice, what falls free is reserved on the fewest machines that would fit.

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

/// How long a gang that found no free capacity waits until all machines are looked at
/// for it again.
const TRY_AGAIN_S: f64 = 0.5;

/// What can be done for a gang.
#[derive(Default)]
struct GangPlans {
    /// Where all its tasks fit now.
    now: Option<gang::Plan>,
    /// Else what to reserve for it.
    later: Option<gang::Plan>,
}

impl ClusterState {
    fn gang_settings(&self) -> Gangs {
        let settings = self.topology.as_ref().map(|t| t.settings.gangs.clone());
        settings.unwrap_or_default()
    }

    /// Places all tasks of a gang, or reserves machines for it if it is its turn. Nothing
    /// is placed while tasks of an earlier start are not known to have ended.
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
            job.try_at = now.after(TRY_AGAIN_S);
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

    /// How a gang could be placed: with all its placement rules, else with those that are
    /// required.
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
        let attempt = job.tasks.take_generation();
        job.delay = Delay::default();
        let mut launches = Vec::new();
        for on in plan {
            for _ in 0..on.tasks {
                // The plan counted what is free: none is missing. If one is, the gang
                // is short of a task, is taken apart and placed anew.
                launches.extend(self.launch_gang_task(id, attempt, &on.machine, now));
            }
        }
        launches
    }

    /// Claims the next task of a gang on a machine; none if its devices are not free there.
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

    /// A gang needs no machines reserved any more.
    pub(super) fn leave_turn(&mut self, id: &JobId) {
        self.turn.leave(id);
        self.gang_free_capacity
            .retain(|_, reserved| reserved.job != *id);
    }

    /// Ends a reservation that is beyond its time, or of a gang that is over.
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

    /// Machines with free capacity reserved for a gang.
    pub fn reserved_for_gangs(&self) -> impl Iterator<Item = (&MachineId, &JobId)> {
        self.gang_free_capacity
            .iter()
            .map(|(machine, reserved)| (machine, &reserved.job))
    }

    /// The domain, as far in as it is one, that a gang's tasks run in.
    pub fn gang_domain(&self, id: &JobId, tree: &Tree) -> Option<String> {
        let job = self.jobs.get(id)?;
        let places = self
            .task_locations(job, None)
            .flatten()
            .map(|location| location.place);
        Some(tree.path(gang::common(tree, places)).to_owned())
    }

    /// Where one more task of a job might go once `index` has left its place.
    pub(super) fn elsewhere(
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
