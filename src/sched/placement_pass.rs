//! The placement pass, Algorithm 1 (section 4.2): a machine with room is filled with
//! jobs in their order, by delay scheduling.

use std::cell::OnceCell;
use std::collections::HashSet;
use std::ops::Bound;

use super::capacity_index::Nearness;
use super::{ClusterState, Delay, DelayRule, Job, Launch, Pass, Place, CLEARLY_S, DEVICES_S};
use crate::types::{JobId, Kind, MachineId, TaskId, Time};

impl ClusterState {
    /// Whether delay scheduling lets a job launch on a machine now. Only a
    /// job that could find its image elsewhere waits.
    pub(super) fn may_launch(
        &self,
        job: &Job,
        m_id: &MachineId,
        rule: DelayRule,
        now: Time,
    ) -> bool {
        let Some(machine) = self.machines.get(m_id) else {
            return false;
        };
        machine.cache.has(&job.spec.image)
            || job.delay.anywhere
            || job.delay.wait(now)
                >= rule.threshold(&job.spec, self.stages(&job.spec), &machine.kind)
            || !self.cached_somewhere(&job.spec)
    }

    pub(super) fn launch(&mut self, id: &JobId, m_id: &MachineId, now: Time) -> Option<Launch> {
        let cached = {
            let job = self.jobs.get(id)?;
            self.machines.get(m_id)?.cache.has(&job.spec.image)
        };
        let index = self.jobs.get_mut(id)?.tasks.next_pending()?;
        let task = TaskId {
            job: id.clone(),
            index,
        };
        if !self.claim(&task, m_id, now) {
            return None;
        }
        self.claims_wait(id);
        self.look_whether_begun(id, now);
        let job = self.jobs.get_mut(id)?;
        // A launch on a cached image takes the job back to waiting for one;
        // any other leaves it free to launch anywhere.
        job.delay = Delay {
            anywhere: !cached,
            skipped_since: None,
        };
        Some(Launch {
            task,
            machine: m_id.clone(),
            cached,
        })
    }

    pub(super) fn skip(&mut self, skipped: Vec<JobId>, now: Time) {
        for id in skipped {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delay.skipped_since.get_or_insert(now);
            }
        }
    }

    /// Fills one machine, after its report: the walk of delay scheduling,
    /// until nothing more launches. Launched tasks are claimed on the cluster state.
    pub fn walk(&mut self, m_id: &MachineId, rule: DelayRule, now: Time) -> Vec<Launch> {
        self.walk_in(None, m_id, rule, now)
    }

    /// The same as one of several walks: `pass` is what they share.
    pub fn walk_in(
        &mut self,
        pass: Option<&Pass>,
        m_id: &MachineId,
        rule: DelayRule,
        now: Time,
    ) -> Vec<Launch> {
        let mut launches = Vec::new();
        loop {
            let usable = self
                .machines
                .get(m_id)
                .is_some_and(|m| m.usable && m.free().cpu > 0);
            // Nothing more can be claimed now but by those few jobs whose users
            // wait for a start; they are offered the best machine there is.
            if !usable || !self.has_work() || self.claims_bind() {
                return launches;
            }
            let mut skipped = Vec::new();
            let fresh = Pass::default();
            let pass = pass.unwrap_or(&fresh);
            let picked = self.pick(pass, m_id, rule, &mut skipped, now);
            self.skip(skipped, now);
            let Some(launch) = picked.and_then(|id| self.launch(&id, m_id, now)) else {
                return launches;
            };
            launches.push(launch);
        }
    }

    pub(super) fn pick(
        &self,
        pass: &Pass,
        m_id: &MachineId,
        rule: DelayRule,
        skipped: &mut Vec<JobId>,
        now: Time,
    ) -> Option<JobId> {
        let machine = self.machines.get(m_id)?;
        let needy = &pass.needy;
        let sort = (machine.spot, machine.retiring, machine.slow, &*machine.kind);
        for (id, job) in self.in_order(now) {
            self.capacity_index
                .steps
                .set(self.capacity_index.steps.get() + 1);
            if job.spec.kind == Kind::Gang
                || !job.spec.each.fits(machine.free())
                || !self.may_claim(id, job)
            {
                // A gang is placed whole, not by the walk of one machine.
                continue;
            }
            let placeable = Self::suits(&job.spec, machine)
                && job
                    .spec
                    .each
                    .fits(self.room_for(id, job.leaves_kept_room(now), m_id, now))
                && job.avoid.get(m_id).is_none_or(|until| now >= *until)
                && self
                    .zones_of(id, job, None)
                    .is_some_and(|zones| Self::zone_allows(job, &zones, &machine.zone))
                && self.limit_allows(job, now);
            let group = (machine.spot, &*machine.kind, &machine.zone);
            if !placeable
                || self.left_to_others((id, job), group, needy, now)
                || !self.site_suits(id, job, m_id, needy, now)
            {
                continue;
            }
            let near = if machine.cache.has(&job.spec.image) {
                Nearness::Ready
            } else if machine.cache.expects(&job.spec.image) {
                Nearness::Coming
            } else {
                Nearness::Absent
            };
            let mut cost = self.place_cost(&job.spec, near, &machine.zone, sort);
            if !machine.working.is_empty() && job.policy.devices.is_empty() {
                cost += DEVICES_S;
            }
            let better = cost > CLEARLY_S
                && self
                    .best(id, job, needy, now)
                    .is_some_and(|b| b.cost + CLEARLY_S < cost);
            if better {
                continue;
            }
            if self.may_launch(job, m_id, rule, now) {
                return Some(id.clone());
            }
            skipped.push(id.clone());
        }
        None
    }

    /// Offers every job that waits the best machine for it: what the walks of
    /// all machines come to, when work arrived or waits passed that no report
    /// shows. Within a pass room only shrinks, so a job that found none is not
    /// asked again: each team's queue is gone through once, however often the
    /// teams take turns.
    pub fn place(&mut self, rule: DelayRule, now: Time) -> Vec<Launch> {
        let needy = OnceCell::from(self.needy(now));
        let (mut launches, first) = self.place_lanes(rule, &needy, now);
        let mut tried: HashSet<JobId> = first.into_iter().collect();
        let mut from: Vec<Bound<Place>> = vec![Bound::Unbounded; self.teams.len()];
        self.drop_old_holds(now);
        loop {
            let mut gangs = Vec::new();
            let mut skipped = Vec::new();
            let mut found = None;
            'teams: for team in self.team_order() {
                let queue = &self.queues[team];
                let mut passed = None;
                for place in queue.range((from[team].clone(), Bound::Unbounded)) {
                    let id = &place.id;
                    let Some(job) = self.jobs.get(id) else {
                        continue;
                    };
                    // What may not be claimed now may not be later in the pass.
                    if now < job.hold_until || !self.may_claim(id, job) {
                        passed = Some(place);
                        continue;
                    }
                    self.capacity_index
                        .steps
                        .set(self.capacity_index.steps.get() + 1);
                    if job.spec.kind == Kind::Gang {
                        gangs.push(id.clone());
                    } else {
                        match self.best(id, job, &needy, now) {
                            Some(offer) if self.may_launch(job, &offer.machine, rule, now) => {
                                found = Some((id.clone(), offer.machine));
                                from[team] =
                                    passed.cloned().map_or(from[team].clone(), Bound::Excluded);
                                break 'teams;
                            }
                            Some(_) => skipped.push(id.clone()),
                            None => {}
                        }
                    }
                    tried.insert(id.clone());
                    passed = Some(place);
                }
                if let Some(place) = passed {
                    from[team] = Bound::Excluded(place.clone());
                }
            }
            self.skip(skipped, now);
            // A gang has its turn before whatever comes after it, and what was
            // found for that counted on room and limits that it may have taken.
            if !gangs.is_empty() {
                for id in &gangs {
                    launches.extend(self.place_gang(id, rule, now));
                }
                continue;
            }
            let Some((id, machine)) = found else { break };
            match self.launch(&id, &machine, now) {
                Some(launch) => launches.push(launch),
                None => {
                    let job = self.jobs.get(&id);
                    if let Some((team, place)) = job.map(|j| (j.team, j.place(&id))) {
                        from[team] = Bound::Excluded(place);
                    }
                    tried.insert(id);
                }
            }
        }
        for id in tried {
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.wants(now)) {
                job.blocked_since.get_or_insert(now);
            }
        }
        launches
    }
}
