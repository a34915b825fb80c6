//! The placement pass, Algorithm 1 (paper, section 4.2): binds jobs in their order to the
//! machines that pass the filters and score best, subject to delay scheduling.

use std::cell::OnceCell;
use std::collections::HashSet;
use std::ops::Bound;

use super::filter::{Needy, PlacementRequest};
use super::machine::Machine;
use super::queue::QueuePosition;
use super::score::CLEARLY_BETTER_S;
use super::{ClusterState, DelayRule, Job, Launch};
use crate::types::{JobId, Kind, MachineId, Time};

/// State shared by walks that directly follow each other. The first walk that needs the
/// state computes it, and the others use it unchanged. Computing it for each machine would
/// take longer than all the rest of a walk.
#[derive(Clone, Debug, Default)]
pub struct Pass {
    needy: OnceCell<Needy>,
}

/// Values that stay the same throughout a pass.
pub(super) struct PassContext {
    /// Jobs that wait and fit only large machine types, as of the start of the pass.
    pub needy: OnceCell<Needy>,
    /// Limits of the wait for a cached image.
    pub rule: DelayRule,
    /// Time of the pass.
    pub now: Time,
}

impl PassContext {
    /// Creates the request for a machine for one more task of a job.
    pub(super) fn request<'a>(&'a self, id: &'a JobId, job: &'a Job) -> PlacementRequest<'a> {
        PlacementRequest {
            id,
            job,
            needy: &self.needy,
            now: self.now,
        }
    }
}

/// Progress of a pass through the teams' queues.
struct PassProgress {
    /// Jobs that were offered a machine, and gangs that had their turn to be placed as a
    /// whole.
    tried: HashSet<JobId>,
    /// For each team, the position in its queue from which the pass continues.
    queue_starts: Vec<Bound<QueuePosition>>,
}

impl PassProgress {
    /// Moves a team's position in its queue past this job.
    fn advance_past(&mut self, team: usize, position: QueuePosition) {
        self.queue_starts[team] = Bound::Excluded(position);
    }
}

/// Result of one scan of the teams' queues.
#[derive(Default)]
struct QueueScan {
    /// Gangs that the scan passed. They have their turn before `found`.
    gangs: Vec<JobId>,
    /// Jobs that wait for a machine with their image.
    skipped: Vec<JobId>,
    /// First job for which a machine was found.
    found: Option<Found>,
}

/// Job with the machine that is chosen for its next task.
struct Found {
    job: JobId,
    machine: MachineId,
}

impl ClusterState {
    /// Fills one machine after its heartbeat, in the walk of delay scheduling, until no
    /// more task launches there. Claims the launched tasks in the cluster state.
    pub fn walk(&mut self, m_id: &MachineId, rule: DelayRule, now: Time) -> Vec<Launch> {
        self.walk_in(None, m_id, rule, now)
    }

    /// Fills one machine like `walk`, as one of several walks that share `pass`.
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
            // If the limit of unrecorded claims is reached, only the few jobs whose users
            // wait for a start can claim more. `place` offers these jobs the best of all
            // machines.
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

    /// Returns the first job in order that may start a task on a machine now. Adds the jobs
    /// that wait for a machine with their image to `skipped`.
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
                // A gang is placed as a whole, not by the walk of one machine.
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

    /// Returns whether another machine is cheaper for a task by more than
    /// [`CLEARLY_BETTER_S`].
    fn has_clearly_better(&self, request: &PlacementRequest, machine: &Machine) -> bool {
        let job = request.job;
        let near = machine.cache.nearness(&job.spec.image);
        let cost = self.start_cost(job, near, &machine.traits(), &machine.working);
        cost > CLEARLY_BETTER_S
            && self
                .best(request)
                .is_some_and(|b| b.cost + CLEARLY_BETTER_S < cost)
    }

    /// Offers every waiting job the best machine for it. The result equals that of a walk of
    /// every machine, and includes work that arrived and waits that ended without a
    /// heartbeat. Free capacity only shrinks within a pass, so the pass does not retry a job
    /// that found no machine. The pass scans each team's queue once, however often the teams
    /// take turns.
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
            queue_starts: vec![Bound::Unbounded; self.teams.len()],
        };
        self.drop_expired_reservations(now);
        loop {
            let scan = self.scan_queues(&context, &mut progress);
            self.skip(scan.skipped, now);
            // A gang has its turn before the jobs that follow it. What the scan found for a
            // later job relied on capacity and limits that the gang may have taken.
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

    /// Continues through the teams' queues until a machine is found for a job.
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

    /// Continues through a team's queue until a machine is found for a job.
    fn scan_queue(
        &self,
        team: usize,
        context: &PassContext,
        progress: &mut PassProgress,
        scan: &mut QueueScan,
    ) {
        let mut passed = None;
        for position in
            self.queues[team].range((progress.queue_starts[team].clone(), Bound::Unbounded))
        {
            let id = &position.id;
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            // A job that may not claim now may not claim later in this pass either.
            if context.now < job.hold_until || !self.may_claim(id, job) {
                passed = Some(position);
                continue;
            }
            self.scan_job(id, job, context, scan);
            if scan.found.is_some() {
                break;
            }
            progress.tried.insert(id.clone());
            passed = Some(position);
        }
        if let Some(position) = passed {
            progress.advance_past(team, position.clone());
        }
    }

    /// Searches the best machine for a job's next task, and adds the outcome to `scan`.
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

    /// Launches the job on the machine that was found for it. If that fails, the pass does
    /// not try the job again.
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
                progress.advance_past(job.team, job.queue_position(&id));
            }
            progress.tried.insert(id);
        }
        launch
    }

    /// Marks jobs that were tried and still have tasks to place as blocked since now.
    fn mark_blocked(&mut self, tried: HashSet<JobId>, now: Time) {
        for id in tried {
            if let Some(job) = self.jobs.get_mut(&id).filter(|j| j.needs_placement(now)) {
                job.blocked_since.get_or_insert(now);
            }
        }
    }
}
