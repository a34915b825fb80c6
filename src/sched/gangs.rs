//! Gangs: claimed whole or not at all (DESIGN). Where free slots don't
//! suffice, what falls free is held on the fewest machines that would fit.

use std::cell::OnceCell;

use sorrelhinge_protocol::placement::Device;
use sorrelhinge_topology::devices::{choose, Held, Stock};
use sorrelhinge_topology::gang::{self, Rules, Slot};
use sorrelhinge_topology::policy::Reach;
use sorrelhinge_topology::settings::Gangs;
use sorrelhinge_topology::tree::Tree;

use super::capacity_index::Nearness;
use super::cluster_state::GangRoom;
use super::filter::{Needy, PlacementRequest};
use super::machine::Machine;
use super::topology_rules::Ask;
use super::{ClusterState, Delay, DelayRule, Job, Launch};
use crate::types::{Amount, JobId, Kind, MachineId, TaskId, Time, Zone};

/// How long a gang that found no room waits until all machines are looked at
/// for it again.
const TRY_AGAIN_S: f64 = 0.5;

/// A slot's cost is counted in tenths of a second.
const COST_STEPS: f64 = 10.0;

/// What can be done for a gang.
#[derive(Default)]
struct GangPlans {
    /// It finds its place now.
    whole: Option<gang::Plan>,
    /// Else what to hold for it.
    to_hold: Option<gang::Plan>,
}

/// A gang that is to be placed whole.
struct GangRequest<'a> {
    id: &'a JobId,
    job: &'a Job,
    /// Devices that each of its tasks needs.
    needs: Vec<Device>,
    now: Time,
}

/// What stays on a machine until somebody stops it.
#[derive(Default)]
struct LastingUse {
    amount: Amount,
    units: Held,
}

/// What a job's rules say of a plan for all its tasks.
struct JobRules<'a> {
    cluster_state: &'a ClusterState,
    job: &'a Job,
    reach: Reach,
}

impl Rules for JobRules<'_> {
    fn allowed(&self, chosen: &[(&Slot, u32)], slot: &Slot, wanted: u32) -> u32 {
        let Some(zone) = self.zone_of(slot) else {
            return 0;
        };
        let spec = &self.job.spec;
        let elsewhere = |s: &Slot| self.zone_of(s) != Some(zone);
        if spec.one_zone && chosen.iter().any(|(s, _)| elsewhere(s)) {
            return 0;
        }
        let mut allowed = wanted;
        if spec.spread {
            let here = chosen.iter().filter(|(s, _)| !elsewhere(s));
            let here: u32 = here.map(|(_, n)| n).sum();
            allowed = allowed.min(spec.tasks.div_ceil(2).saturating_sub(here));
        }
        self.allowed_by_policy(chosen, slot, allowed)
    }
}

impl JobRules<'_> {
    fn zone_of(&self, slot: &Slot) -> Option<&Zone> {
        let machine = self.cluster_state.machines.get(&slot.machine)?;
        Some(&machine.zone)
    }

    /// How many of `wanted` more tasks the job's placement rules allow on a slot.
    fn allowed_by_policy(&self, chosen: &[(&Slot, u32)], slot: &Slot, wanted: u32) -> u32 {
        let policy = &self.job.policy;
        if !policy.counts() {
            return wanted;
        }
        let Some(topology) = &self.cluster_state.topology else {
            return 0;
        };
        let tree = &topology.tree;
        let at = (slot.place, slot.machine.as_str());
        let planned = chosen
            .iter()
            .flat_map(|(s, n)| (0..*n).map(|_| Some((s.place, s.machine.as_str()))));
        let mut tally = policy.tally(tree, planned);
        let mut count = 0;
        while count < wanted && policy.bars(tree, &tally, at, self.reach).is_none() {
            policy.count(tree, &mut tally, Some(at));
            count += 1;
        }
        count
    }
}

/// How many of `most` tasks find the devices that each needs, beside what is held.
fn with_devices(stock: &Stock, held: &Held, needs: &[Device], most: u32) -> u32 {
    if needs.is_empty() {
        return most;
    }
    let mut held = held.clone();
    let mut count = 0;
    while count < most {
        match choose(stock, &held, needs) {
            Some(units) => held.take(&units),
            None => break,
        }
        count += 1;
    }
    count
}

impl ClusterState {
    fn gang_settings(&self) -> Gangs {
        let settings = self.topology.as_ref().map(|t| t.settings.gangs.clone());
        settings.unwrap_or_default()
    }

    /// Machines that could take tasks of a gang. The only decision that looks
    /// at all machines, twice a second at most for each gang that waits.
    fn slots(&self, request: &GangRequest) -> Vec<Slot> {
        let GangRequest { job, now, .. } = *request;
        let mut slots = Vec::new();
        for (m_id, m) in &self.machines {
            self.capacity_index.count_step();
            let suits = m.usable
                && !job.avoids(m_id, now)
                && Self::suits(&job.spec, m)
                && Machine::could(&m.working, &request.needs);
            if suits {
                slots.push(self.slot(request, m_id, m));
            }
        }
        slots
    }

    /// How many tasks of a gang a machine could take now, and later.
    fn slot(&self, request: &GangRequest, m_id: &MachineId, m: &Machine) -> Slot {
        let GangRequest { id, job, now, .. } = *request;
        let spec = &*job.spec;
        let needs = &request.needs;
        let room = self.room_for(id, job.leaves_kept_room(now), m_id, now);
        let fit = |amount: Amount| spec.each.how_many(amount).min(spec.tasks);
        let lasting = self.lasting_use(m);
        let free = with_devices(&m.stock, &m.held, needs, fit(room));
        let later = with_devices(
            &m.stock,
            &lasting.units,
            needs,
            fit(m.kind.total - lasting.amount),
        );
        let near = if m.cache.has(&spec.image) {
            Nearness::Ready
        } else {
            Nearness::Absent
        };
        let cost = self.place_cost(spec, near, &m.traits());
        Slot {
            machine: m_id.clone(),
            place: m.place,
            free,
            later: later.max(free),
            cost: (cost * COST_STEPS) as u32,
        }
    }

    /// What on a machine doesn't end by itself: services that are not being stopped.
    fn lasting_use(&self, m: &Machine) -> LastingUse {
        let mut lasting = LastingUse::default();
        for task in &m.claims {
            let Some(job) = self.jobs.get(&task.job) else {
                continue;
            };
            let claim = job.tasks.claims().get(&task.index);
            let ends = job.spec.kind != Kind::Service || claim.is_some_and(|c| c.stop.is_some());
            if !ends {
                lasting.amount += job.spec.each;
                lasting.units.take(claim.map_or(&[][..], |c| &c.units));
            }
        }
        lasting
    }

    /// Places a gang whole, or holds room for it if it is its turn. Nothing is
    /// placed while tasks of an earlier start are not provably gone.
    pub(super) fn place_gang(&mut self, id: &JobId, rule: DelayRule, now: Time) -> Vec<Launch> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let tasks = job.tasks.pending();
        if !job.wants(now) || !job.tasks.claims().is_empty() || now < job.try_at {
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
        match plans.whole {
            Some(plan) if self.gang_may_launch(id, &plan, rule, now) => {
                self.leave_turn(id);
                return self.launch_gang(id, &plan, now);
            }
            Some(_) => self.skip(vec![id.clone()], now),
            None => {
                if let Some(plan) = plans.to_hold {
                    self.hold_for(id, &plan, now);
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
            plans.whole = gang::whole(tree, &slots, tasks, &rules);
            if plans.whole.is_some() {
                break;
            }
            if plans.to_hold.is_none() {
                plans.to_hold = gang::hold(tree, &slots, tasks, &rules);
            }
        }
        plans
    }

    fn gang_may_launch(&self, id: &JobId, plan: &gang::Plan, rule: DelayRule, now: Time) -> bool {
        let job = self.jobs.get(id);
        job.is_some_and(|job| {
            plan.iter()
                .all(|(m_id, _)| self.may_launch(job, m_id, rule, now))
        })
    }

    fn launch_gang(&mut self, id: &JobId, plan: &gang::Plan, now: Time) -> Vec<Launch> {
        let Some(job) = self.jobs.get_mut(id) else {
            return Vec::new();
        };
        let attempt = job.tasks.take_generation();
        job.delay = Delay::default();
        let mut launches = Vec::new();
        for (m_id, count) in plan {
            for _ in 0..*count {
                let units = self.units_for(id, m_id);
                let job = self.jobs.get_mut(id);
                let index = job.and_then(|j| j.tasks.next_pending());
                let (Some(units), Some(index)) = (units, index) else {
                    // The plan counted what is free: this does not happen. The
                    // gang is short then, and is taken apart and placed anew.
                    continue;
                };
                let task = TaskId {
                    job: id.clone(),
                    index,
                };
                let machine = self.machines.get(m_id);
                let cached = machine.is_some_and(|m| {
                    self.jobs
                        .get(id)
                        .is_some_and(|j| m.cache.has(&j.spec.image))
                });
                self.enter(&task, attempt, m_id, units, now);
                launches.push(Launch {
                    task,
                    machine: m_id.clone(),
                    cached,
                });
            }
        }
        launches
    }

    fn hold_for(&mut self, id: &JobId, plan: &gang::Plan, now: Time) {
        let settings = self.gang_settings();
        let Some(each) = self.jobs.get(id).map(|j| j.spec.each) else {
            return;
        };
        let count: u32 = plan.iter().map(|(_, n)| n).sum();
        let held = each.times(i64::from(count));
        if held.cpu as f64 > settings.held * self.capacity.cpu as f64 {
            return;
        }
        if !self.turn.may_hold(id, settings.hold_s, now) {
            return;
        }
        if self.gang_room.is_empty() {
            tracing::info!(job = %id, machines = plan.len(), "holding room for a gang");
        }
        self.gang_room = plan
            .iter()
            .map(|(m, n)| {
                let amount = each.times(i64::from(*n));
                let job = id.clone();
                (m.clone(), GangRoom { job, amount })
            })
            .collect();
    }

    /// A gang needs no more room held.
    pub(super) fn leave_turn(&mut self, id: &JobId) {
        self.turn.leave(id);
        self.gang_room.retain(|_, held| held.job != *id);
    }

    /// Ends what is held beyond its time, or for a gang that is over.
    pub(super) fn drop_old_holds(&mut self, now: Time) {
        let Some(holder) = self.turn.holder().cloned() else {
            return;
        };
        let hold_s = self.gang_settings().hold_s;
        let wants = self.jobs.get(&holder).is_some_and(|j| j.wants(now));
        if !wants || !self.turn.may_hold(&holder, hold_s, now) {
            self.leave_turn(&holder);
        }
    }

    /// Machines with room held for a gang.
    pub fn held_for_gangs(&self) -> impl Iterator<Item = (&MachineId, &JobId)> {
        self.gang_room.iter().map(|(m, held)| (m, &held.job))
    }

    /// The domain, as far in as it is one, that a gang's tasks run in.
    pub fn gang_domain(&self, id: &JobId, tree: &Tree) -> Option<String> {
        let job = self.jobs.get(id)?;
        let places = self
            .whereabouts(job, None)
            .flatten()
            .map(|(place, _)| place);
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
