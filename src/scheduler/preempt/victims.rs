//! Freeing capacity for one task on one machine: chooses the tasks to stop and calculates
//! how much work that wastes.

use sorrelhinge_image_distribution::fetch_timeout;

use super::Stopping;
use crate::scheduler::machine::fetch_s;
use crate::scheduler::{idle, Claim, ClusterState, Job, Machine, Progress};
use crate::types::{Amount, JobId, Kind, MachineId, Priority, TaskId, Time};

/// Cost of a late start of a job whose users wait for it, in CPU-seconds: the work that may
/// be wasted elsewhere to start the job in time.
const LATE_START_COST_CPU_S: f64 = 200.0;
/// Seconds that a stopped task loses in addition to its work.
const REQUEUE_S: f64 = 3.0;

/// Cost of stopping one more task in addition to the work it wastes, in CPU-seconds.
const STOP_COST_CPU_S: f64 = 0.1;
/// Fraction of the time within which a job's users expect its start. An image fetch that
/// takes longer makes the job late.
const LATE_FETCH_FRACTION: f64 = 0.8;

/// A plan that frees capacity for one task on one machine.
pub(super) struct PreemptionPlan {
    /// Cost of the plan in CPU-seconds: the wasted work, and the image fetch if the machine
    /// lacks the image.
    pub cost: f64,
    /// Tasks to stop, in the order in which they were chosen.
    pub victims: Vec<TaskId>,
}

/// A request to free capacity for one more task of a job.
pub(super) struct FreeCapacityRequest<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
    /// Number of machines on which this round has already freed capacity for the job.
    pub made: u32,
    pub now: Time,
}

/// A task that may be preempted.
struct Candidate<'a> {
    /// Work that stopping the task wastes, in CPU-seconds.
    waste: f64,
    task: &'a TaskId,
    job: &'a Job,
}

/// A claim on a machine, with its task and job.
struct ClaimOnMachine<'a> {
    task: &'a TaskId,
    job: &'a Job,
    claim: &'a Claim,
}

/// Free capacity of a machine and usage of the teams, calculated as if the tasks chosen so
/// far had ended.
struct ProjectedUsage {
    /// Capacity of the machine that is free for the job.
    free: Amount,
    /// Usage of the job's team, including the task that capacity is freed for.
    used: Amount,
    /// Limit of the job's team.
    limit: Amount,
    /// Usage of each team beyond its guarantee.
    beyond: Vec<Amount>,
    /// Whether the job's team stays within its guarantee with the task.
    within_guarantee: bool,
    /// Whether the job's team exceeds its limit with the task unless it stops work of its
    /// own.
    limited: bool,
}

impl ProjectedUsage {
    /// Returns whether a task of size `each` fits on the machine and within its team's limit.
    fn suffices(&self, each: Amount) -> bool {
        each.fits(self.free) && self.used.fits_team(self.limit)
    }

    /// Returns whether a candidate may be stopped for a job.
    fn allows(&self, job: &Job, candidate: &Candidate) -> bool {
        let other = candidate.job;
        let own = other.team == job.team;
        let borrowed = !own && other.spec.each.fits_team(self.beyond[other.team]);
        // A job may preempt lower priorities, unless that would push a team below its
        // guarantee in favour of a team beyond its own guarantee. The two teams would then
        // preempt each other in turns. Critical jobs are exempt, as nothing preempts them.
        let lower = other.priority < job.priority
            && (job.priority == Priority::Critical || self.within_guarantee || borrowed || own);
        (own || !self.limited) && (lower || (self.within_guarantee && borrowed))
    }

    /// Updates the amounts as if a candidate had ended.
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
    /// Returns the work that stopping a claim's task now would waste, in CPU-seconds.
    fn waste(&self, job: &Job, claim: &Claim, now: Time) -> f64 {
        // A nearly complete fetch that takes minutes is expensive to abandon, so that a job
        // that could use another machine doesn't cause a new fetch.
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

    /// Plans how to free capacity for one more task of a job on a machine. Returns `None` if
    /// that is not possible.
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
        let claimed: Vec<ClaimOnMachine> = self.claims_with_jobs(machine).collect();
        let mut projected = self.projected_usage(request, m_id, &claimed, stopping);
        let candidates = self.candidates(request, &claimed, stopping);
        let (wasted, victims) = choose_victims(request.job, candidates, &mut projected);
        if !projected.suffices(request.job.spec.each) {
            return None;
        }
        Some(PreemptionPlan {
            cost: cost_with_fetch(wasted, request.job, machine),
            victims,
        })
    }

    /// Returns whether a machine meets all rules of a job apart from free capacity.
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
            && self.meets_required_rules(job, m_id, now)
            && self
                .zones_of(id, job, None)
                .is_some_and(|zones| Self::zone_allows(job, &zones, &machine.zone))
    }

    /// Returns the claims on a machine, with their jobs.
    fn claims_with_jobs<'a>(
        &'a self,
        machine: &'a Machine,
    ) -> impl Iterator<Item = ClaimOnMachine<'a>> {
        machine.claims.iter().filter_map(|task| {
            let job = self.jobs.get(&task.job)?;
            let claim = job.tasks.claims().get(&task.index)?;
            Some(ClaimOnMachine { task, job, claim })
        })
    }

    /// Returns free capacity and usage before any task is chosen. Tasks that are already
    /// being stopped count as ended.
    fn projected_usage(
        &self,
        request: &FreeCapacityRequest,
        m_id: &MachineId,
        claimed: &[ClaimOnMachine],
        stopping: &Stopping,
    ) -> ProjectedUsage {
        let FreeCapacityRequest { id, job, made, now } = *request;
        let team = &self.teams[job.team];
        let more = job.spec.each.times(i64::from(made + 1));
        // For a team at its limit, only the team's own work can be preempted. This is the
        // same limit that a placement pass applies. With a higher limit here no job could
        // use the freed capacity, and tasks were stopped for it again and again.
        let used = team.used - stopping.usage[job.team] + more;
        let limit = self.limit_to_start(job);
        let mut free = self.free_capacity_for(id, job.spec.spot, m_id, now);
        for stopped in claimed.iter().filter(|c| c.claim.stop.is_some()) {
            free += stopped.job.spec.each;
        }
        let teams = self.teams.iter().zip(&stopping.usage);
        ProjectedUsage {
            free,
            used,
            limit,
            beyond: teams.map(|(t, l)| t.used - t.guarantee - *l).collect(),
            within_guarantee: (team.used + more).fits_team(team.guarantee),
            limited: !used.fits_team(limit),
        }
    }

    /// Returns the claims of a machine that may be stopped, sorted by priority and then by
    /// wasted work, lowest first.
    fn candidates<'a>(
        &self,
        request: &FreeCapacityRequest,
        claimed: &[ClaimOnMachine<'a>],
        stopping: &Stopping,
    ) -> Vec<Candidate<'a>> {
        // Only critical jobs may take capacity from the guaranteed share of idle work.
        let spared =
            stopping.idle_cpu_beyond_share <= 0 && request.job.priority < Priority::Critical;
        let stoppable = |c: &&ClaimOnMachine| {
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

    /// Returns the work that stopping a task wastes, in CPU-seconds. For a gang this includes
    /// all tasks, as stopping one task stops them all.
    fn waste_of_stop(&self, job: &Job, claim: &Claim, now: Time) -> f64 {
        let tasks = match job.spec.kind {
            Kind::Gang => job.tasks.claims().len() as f64,
            Kind::Array | Kind::Service => 1.0,
        };
        tasks * self.waste(job, claim, now)
    }
}

/// Chooses tasks to stop until one more task of the job fits. Returns the wasted work in
/// CPU-seconds, and the chosen tasks.
fn choose_victims(
    job: &Job,
    candidates: Vec<Candidate>,
    projected: &mut ProjectedUsage,
) -> (f64, Vec<TaskId>) {
    let mut wasted = 0.0;
    let mut victims = Vec::new();
    for candidate in candidates {
        if projected.suffices(job.spec.each) {
            break;
        }
        if !projected.allows(job, &candidate) {
            continue;
        }
        projected.stop(job, &candidate);
        wasted += candidate.waste + STOP_COST_CPU_S;
        victims.push(candidate.task.clone());
    }
    (wasted, victims)
}

/// Returns the cost of a task on a machine, in CPU-seconds: the work wasted to free the
/// capacity, and the image fetch if the machine lacks the image.
fn cost_with_fetch(wasted: f64, job: &Job, machine: &Machine) -> f64 {
    let mut cost = wasted;
    if !machine.cache.has(&job.spec.image) {
        let fetch_s = fetch_s(&job.spec, &machine.kind);
        cost += fetch_s * job.spec.each.cpu as f64 / 1000.0;
        if job
            .start_within
            .is_some_and(|s| fetch_s > LATE_FETCH_FRACTION * s)
        {
            cost += LATE_START_COST_CPU_S;
        }
    }
    cost
}
