//! Room for one task on one machine: which tasks to stop for it, and what that wastes.

use sorrelhinge_image_distribution::fetch_timeout;

use super::Stopping;
use crate::scheduler::machine::fetch_s;
use crate::scheduler::{idle, Claim, ClusterState, Job, Machine, Progress};
use crate::types::{Amount, JobId, Kind, MachineId, Priority, TaskId, Time};

/// How many CPU-seconds may be wasted to start a job in time that its users
/// wait for.
const LATE_START: f64 = 200.0;
/// What a stopped task loses besides its work.
const REQUEUE_S: f64 = 3.0;

/// What stopping one more task costs beside what it wastes, in CPU-seconds.
const PER_STOP: f64 = 0.1;
/// A fetch that takes more than this part of the time within which a job's users
/// expect its start makes it late.
const LATE_FETCH: f64 = 0.8;

/// Room for one task on one machine, and how it is made.
pub(super) struct PreemptionPlan {
    /// What it wastes, in CPU-seconds.
    pub cost: f64,
    /// Tasks to stop, in the order in which they were chosen.
    pub victims: Vec<TaskId>,
}

/// For what job capacity is to be freed.
pub(super) struct FreeCapacityRequest<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
    /// Rooms made for the job elsewhere in this round.
    pub made: u32,
    pub now: Time,
}

/// A task that may be stopped.
struct Candidate<'a> {
    /// What stopping it wastes, in CPU-seconds.
    waste: f64,
    task: &'a TaskId,
    job: &'a Job,
}

/// A claim on a machine.
struct Claimed<'a> {
    task: &'a TaskId,
    job: &'a Job,
    claim: &'a Claim,
}

/// Free capacity of a machine and what teams use, as it would be once the tasks that
/// were chosen so far have ended.
struct Balance {
    /// Free on the machine for the job.
    free: Amount,
    /// What the job's team uses, with the task that capacity is freed for.
    used: Amount,
    /// What the job's team may use.
    limit: Amount,
    /// What each team still uses beyond its guarantee.
    beyond: Vec<Amount>,
    /// The job's team is within its guarantee with the task.
    within_guarantee: bool,
    /// The job's team is beyond its limit unless it stops own work.
    limited: bool,
}

impl Balance {
    /// Whether a task of this size finds its free capacity now.
    fn suffices(&self, each: Amount) -> bool {
        each.fits(self.free) && self.used.fits_team(self.limit)
    }

    /// Whether a candidate may be stopped for a job.
    fn allows(&self, job: &Job, candidate: &Candidate) -> bool {
        let other = candidate.job;
        let own = other.team == job.team;
        let borrowed = !own && other.spec.each.fits_team(self.beyond[other.team]);
        // A lower priority gives way, unless that would push a team below
        // its guarantee for one that is beyond its own: the two would
        // then take turns stopping each other. Production has no such
        // turns: nothing stops it.
        let lower = other.priority < job.priority
            && (job.priority == Priority::Critical || self.within_guarantee || borrowed || own);
        (own || !self.limited) && (lower || (self.within_guarantee && borrowed))
    }

    /// Counts a candidate as stopped.
    fn stop(&mut self, job: &Job, candidate: &Candidate) {
        let other = candidate.job;
        let each = other.spec.each;
        self.free += each;
        if other.team == job.team {
            self.used -= each;
        }
        self.beyond[other.team] -= each;
    }
}

impl ClusterState {
    /// What stopping a claim's task now would waste, in CPU-seconds.
    fn waste(&self, job: &Job, claim: &Claim, now: Time) -> f64 {
        // A fetch of minutes that is nearly over is not begun anew for somebody
        // who could take another place.
        let fetched = match (claim.progress, self.machines.get(&claim.machine)) {
            (Progress::Unseen | Progress::Fetching, Some(m)) if self.stages(&job.spec) => {
                let fetch_s = fetch_timeout::fetch_s(job.spec.image_gb, m.kind.fetch_gb_per_s);
                let done = now.since(claim.since) / fetch_s.max(1e-3);
                fetch_timeout::abandon_cost(done, fetch_s)
            }
            _ => 0.0,
        };
        let ran = match claim.progress {
            Progress::Running(since) => now.since(since),
            _ => 0.0,
        };
        let lost = if job.spec.checkpoint_s > 0.0 {
            ran.min(job.spec.save_s)
        } else {
            ran
        };
        (lost + fetched + REQUEUE_S) * job.spec.each.cpu as f64 / 1000.0
    }

    /// Whether and how capacity for one more task of a job can be freed on a machine.
    pub(super) fn plan_preemption(
        &self,
        request: &FreeCapacityRequest,
        m_id: &MachineId,
        stopping: &Stopping,
    ) -> Option<PreemptionPlan> {
        let machine = self.machines.get(m_id)?;
        if !self.may_preempt_on(request, m_id, machine) {
            return None;
        }
        let claimed: Vec<Claimed> = self.claimed_on(machine).collect();
        let mut balance = self.balance(request, m_id, &claimed, stopping);
        let candidates = self.candidates(request, &claimed, stopping);
        let (wasted, victims) = choose_victims(request.job, candidates, &mut balance);
        if !balance.suffices(request.job.spec.each) {
            return None;
        }
        Some(PreemptionPlan {
            cost: cost_with_fetch(wasted, request.job, machine),
            victims,
        })
    }

    /// Whether a machine suits a job but for its free capacity.
    fn may_preempt_on(
        &self,
        request: &FreeCapacityRequest,
        m_id: &MachineId,
        machine: &Machine,
    ) -> bool {
        let FreeCapacityRequest { id, job, now, .. } = *request;
        machine.usable
            && !self.reserved.contains_key(m_id)
            && Self::suits(&job.spec, machine)
            && !job.avoids(m_id, now)
            && self.could_site(job, m_id, now)
            && self
                .zones_of(id, job, None)
                .is_some_and(|zones| Self::zone_allows(job, &zones, &machine.zone))
    }

    /// The claims on a machine, with their jobs.
    fn claimed_on<'a>(&'a self, machine: &'a Machine) -> impl Iterator<Item = Claimed<'a>> {
        machine.claims.iter().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            let claim = job.tasks.claims().get(&task.index)?;
            Some(Claimed { task, job, claim })
        })
    }

    /// Capacity and use before anything is chosen: what is being stopped counts as ended.
    fn balance(
        &self,
        request: &FreeCapacityRequest,
        m_id: &MachineId,
        claimed: &[Claimed],
        stopping: &Stopping,
    ) -> Balance {
        let FreeCapacityRequest { id, job, made, now } = *request;
        let team = &self.teams[job.team];
        let more = job.spec.each.times(i64::from(made + 1));
        // At the team's limit only the team's own work can be preempted for it. It is the
        // limit that the walk keeps to: beyond it nobody takes the free capacity, and
        // tasks were stopped for it again and again.
        let used = team.used - stopping.leaving[job.team] + more;
        let limit = self.limit_to_start(job);
        let mut free = self.free_capacity_for(id, job.spec.spot, m_id, now);
        for leaving in claimed.iter().filter(|c| c.claim.stop.is_some()) {
            free += leaving.job.spec.each;
        }
        let teams = self.teams.iter().zip(&stopping.leaving);
        Balance {
            free,
            used,
            limit,
            beyond: teams.map(|(t, l)| t.used - t.guarantee - *l).collect(),
            within_guarantee: (team.used + more).fits_team(team.guarantee),
            limited: !used.fits_team(limit),
        }
    }

    /// Those of a machine's claims that may be stopped, the least worth first.
    fn candidates<'a>(
        &self,
        request: &FreeCapacityRequest,
        claimed: &[Claimed<'a>],
        stopping: &Stopping,
    ) -> Vec<Candidate<'a>> {
        // Production alone may take what idle work has as its part.
        let spared = stopping.idle_beyond <= 0 && request.job.priority < Priority::Critical;
        let stoppable = |c: &&Claimed| {
            c.claim.stop.is_none()
                && c.job.spec.kind != Kind::Service
                && c.claim.committed
                && !(idle::is_bounded(c.job) && spared)
        };
        let mut candidates: Vec<Candidate> = claimed
            .iter()
            .filter(stoppable)
            .map(|c| Candidate {
                waste: self.waste_of_stop(c.job, c.claim, request.now),
                task: c.task,
                job: c.job,
            })
            .collect();
        candidates.sort_by(|a, b| {
            let by_priority = a.job.priority.cmp(&b.job.priority);
            by_priority
                .then(a.waste.total_cmp(&b.waste))
                .then(a.task.cmp(b.task))
        });
        candidates
    }

    /// What stopping a task wastes, in CPU-seconds. Whoever stops one task of a gang
    /// stops them all.
    fn waste_of_stop(&self, job: &Job, claim: &Claim, now: Time) -> f64 {
        let tasks = match job.spec.kind {
            Kind::Gang => job.tasks.claims().len() as f64,
            Kind::Array | Kind::Service => 1.0,
        };
        tasks * self.waste(job, claim, now)
    }
}

/// Chooses tasks to stop until a task of the job has its free capacity. Returns what that
/// wastes, in CPU-seconds, and the tasks.
fn choose_victims(
    job: &Job,
    candidates: Vec<Candidate>,
    balance: &mut Balance,
) -> (f64, Vec<TaskId>) {
    let mut wasted = 0.0;
    let mut victims = Vec::new();
    for candidate in candidates {
        if balance.suffices(job.spec.each) {
            break;
        }
        if !balance.allows(job, &candidate) {
            continue;
        }
        balance.stop(job, &candidate);
        wasted += candidate.waste + PER_STOP;
        victims.push(candidate.task.clone());
    }
    (wasted, victims)
}

/// What a task costs on a machine with what was wasted for its free capacity, in CPU-seconds:
/// its image is fetched if it is not there.
fn cost_with_fetch(wasted: f64, job: &Job, machine: &Machine) -> f64 {
    let mut cost = wasted;
    if !machine.cache.has(&job.spec.image) {
        let fetch_s = fetch_s(&job.spec, &machine.kind);
        cost += fetch_s * job.spec.each.cpu as f64 / 1000.0;
        if job.start_within.is_some_and(|s| fetch_s > LATE_FETCH * s) {
            cost += LATE_START;
        }
    }
    cost
}
