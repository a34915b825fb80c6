//! The placement pass, Algorithm 1 (section 4.2): jobs in their order are bound to
//! machines that pass the filters and score best, by delay scheduling.

use std::cell::OnceCell;
use std::collections::HashSet;
use std::ops::Bound;

use super::filter::{Needy, PlacementRequest};
use super::machine::Machine;
use super::queue::Place;
use super::score::CLEARLY_S;
use super::{ClusterState, DelayRule, Job, Launch};
use crate::types::{JobId, Kind, MachineId, Time};

/// What walks that follow each other at once have in common. It is as of the
/// first of them that asks: to find it anew for each machine would take longer
/// than all the rest of a walk.
#[derive(Clone, Debug, Default)]
pub struct Pass {
    needy: OnceCell<Needy>,
}

/// What stays the same throughout a pass.
pub(super) struct PassContext {
    /// Jobs that wait for the types that only they fit, at its start.
    pub needy: OnceCell<Needy>,
    /// When waiting for a cached image ends.
    pub rule: DelayRule,
    /// Now.
    pub now: Time,
}

impl PassContext {
    /// A task of a job that needs a machine in this pass.
    pub(super) fn request<'a>(&'a self, id: &'a JobId, job: &'a Job) -> PlacementRequest<'a> {
        PlacementRequest {
            id,
            job,
            needy: &self.needy,
            now: self.now,
        }
    }
}

/// How far a pass has come.
struct PassProgress {
    /// Jobs that were offered a machine, or a turn to be placed all at once.
    tried: HashSet<JobId>,
    /// By team, from where in its queue the pass goes on.
    from: Vec<Bound<Place>>,
}

impl PassProgress {
    /// The rest of a team's queue begins after this place.
    fn go_past(&mut self, team: usize, place: Place) {
        self.from[team] = Bound::Excluded(place);
    }
}

/// What one look through the teams' queues found.
#[derive(Default)]
struct QueueScan {
    /// Gangs, which have their turn before `found`.
    gangs: Vec<JobId>,
    /// Jobs that wait for a machine with their image.
    skipped: Vec<JobId>,
    /// The first job that has a machine.
    found: Option<Found>,
}

/// A job, and the machine that is chosen for its next task.
struct Found {
    job: JobId,
    machine: MachineId,
}

impl ClusterState {
    /// Fills one machine, after its heartbeat: the walk of delay scheduling,
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

    /// The first job of the order that may start a task on a machine now; `skipped` gets
    /// those that wait for a machine with their image.
    fn pick(
        &self,
        pass: &Pass,
        m_id: &MachineId,
        rule: DelayRule,
        skipped: &mut Vec<JobId>,
        now: Time,
    ) -> Option<JobId> {
        let machine = self.machines.get(m_id)?;
        for (id, job) in self.in_order(now) {
            self.capacity_index.count_step();
            if job.spec.kind == Kind::Gang
                || !job.spec.each.fits(machine.free())
                || !self.may_claim(id, job)
            {
                // A gang is placed all at once, not by the walk of one machine.
                continue;
            }
            let request = PlacementRequest {
                id,
                job,
                needy: &pass.needy,
                now,
            };
            if !self.may_start_on(&request, m_id, machine)
                || self.has_clearly_better(&request, machine)
            {
                continue;
            }
            if self.may_launch(job, m_id, rule, now) {
                return Some(id.clone());
            }
            skipped.push(id.clone());
        }
        None
    }

    /// Whether another machine is cheaper for a task by more than [`CLEARLY_S`].
    fn has_clearly_better(&self, request: &PlacementRequest, machine: &Machine) -> bool {
        let job = request.job;
        let near = machine.cache.nearness(&job.spec.image);
        let cost = self.start_cost(job, near, &machine.traits(), &machine.working);
        cost > CLEARLY_S
            && self
                .best(request)
                .is_some_and(|b| b.cost + CLEARLY_S < cost)
    }

    /// Offers every job that waits the best machine for it: what the walks of
    /// all machines come to, when work arrived or waits passed that no heartbeat
    /// shows. Within a pass free capacity only shrinks, so a job that found none is not
    /// asked again: each team's queue is gone through once, however often the
    /// teams take turns.
    pub fn place(&mut self, rule: DelayRule, now: Time) -> Vec<Launch> {
        let context = PassContext {
            needy: OnceCell::from(self.needy(now)),
            rule,
            now,
        };
        let lanes = self.place_lanes(&context);
        let mut launches = lanes.launches;
        let mut progress = PassProgress {
            tried: lanes.tried.into_iter().collect(),
            from: vec![Bound::Unbounded; self.teams.len()],
        };
        self.drop_expired_reservations(now);
        loop {
            let scan = self.scan_queues(&context, &mut progress);
            self.skip(scan.skipped, now);
            // A gang has its turn before whatever comes after it, and what was
            // found for that counted on capacity and limits that it may have taken.
            if !scan.gangs.is_empty() {
                for id in &scan.gangs {
                    launches.extend(self.place_gang(id, rule, now));
                }
                continue;
            }
            let Some(found) = scan.found else { break };
            launches.extend(self.launch_found(found, &mut progress, now));
        }
        self.mark_blocked(progress.tried, now);
        launches
    }

    /// Goes on through the teams' queues until a job has a machine.
    fn scan_queues(&self, context: &PassContext, progress: &mut PassProgress) -> QueueScan {
        let mut scan = QueueScan::default();
        for team in self.team_order() {
            self.scan_queue(team, context, progress, &mut scan);
            if scan.found.is_some() {
                break;
            }
        }
        scan
    }

    /// Goes on through a team's queue until a job has a machine.
    fn scan_queue(
        &self,
        team: usize,
        context: &PassContext,
        progress: &mut PassProgress,
        scan: &mut QueueScan,
    ) {
        let mut passed = None;
        for place in self.queues[team].range((progress.from[team].clone(), Bound::Unbounded)) {
            let id = &place.id;
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            // What may not be claimed now may not be later in the pass.
            if context.now < job.hold_until || !self.may_claim(id, job) {
                passed = Some(place);
                continue;
            }
            self.scan_job(id, job, context, scan);
            if scan.found.is_some() {
                break;
            }
            progress.tried.insert(id.clone());
            passed = Some(place);
        }
        if let Some(place) = passed {
            progress.go_past(team, place.clone());
        }
    }

    /// Looks for the best machine for a job's next task.
    fn scan_job(&self, id: &JobId, job: &Job, context: &PassContext, scan: &mut QueueScan) {
        self.capacity_index.count_step();
        if job.spec.kind == Kind::Gang {
            scan.gangs.push(id.clone());
            return;
        }
        match self.best(&context.request(id, job)) {
            Some(offer) if self.may_launch(job, &offer.machine, context.rule, context.now) => {
                scan.found = Some(Found {
                    job: id.clone(),
                    machine: offer.machine,
                });
            }
            Some(_) => scan.skipped.push(id.clone()),
            None => {}
        }
    }

    /// Binds what was found. If that can't be, the job is not tried again in this pass.
    fn launch_found(
        &mut self,
        found: Found,
        progress: &mut PassProgress,
        now: Time,
    ) -> Option<Launch> {
        let Found { job: id, machine } = found;
        let launch = self.launch(&id, &machine, now);
        if launch.is_none() {
            if let Some(job) = self.jobs.get(&id) {
                progress.go_past(job.team, job.place(&id));
            }
            progress.tried.insert(id);
        }
        launch
    }

    /// Jobs that were tried and still have tasks to place wait from now on.
    fn mark_blocked(&mut self, tried: HashSet<JobId>, now: Time) {
        for id in tried {
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.needs_placement(now)) {
                job.blocked_since.get_or_insert(now);
            }
        }
    }
}
