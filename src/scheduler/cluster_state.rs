//! The cluster state: jobs, machines, claims, and the sums and indexes kept of them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_sharding::served::Sort;
use sorrelhinge_topology::gang::Turn;
use sorrelhinge_topology::Topology;

use super::capacity_index::CapacityIndex;
use super::queue::Place;
use super::{idle, lanes, reservations, Claim, Job, Machine, Team};
use crate::types::{Amount, Attempt, JobId, MachineId, Priority, TaskId, Time, TypeName, Zone};

/// Amounts of CPU are counted in thousandths.
const MILLI_PER_CPU: i64 = 1000;

/// Usable machines of a type, and whole CPUs on them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TypeUsage {
    /// Machines.
    pub machines: i64,
    /// Their CPUs.
    pub cpus: i64,
    /// CPUs used by tasks.
    pub used: i64,
    /// CPUs used by tasks that fit no smaller type.
    pub needed: i64,
}

/// Capacity on a machine that is being freed, or was found, for a job's next task.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// For whom.
    pub job: JobId,
    /// It is free for all from then on.
    pub until: Time,
}

/// Capacity on a machine that is reserved for a gang.
#[derive(Clone, Debug)]
pub(super) struct GangFreeCapacity {
    /// The gang.
    pub job: JobId,
    /// So much.
    pub amount: Amount,
}

/// Everything the scheduler decides from. Jobs and machines are changed
/// through its methods only, which keep its sums and indexes.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Teams.
    pub(super) teams: Vec<Team>,
    /// Sizes of tasks seen of late.
    pub shapes: Vec<Amount>,
    /// Images of at least so many GB go from machine to machine; none: none does.
    pub staged_gb: Option<f64>,
    /// Zones with a controller; none known: all count as such. A zone that is
    /// cut off goes on if a controller there reaches the owner or is it, and
    /// loses all its tasks with their leases if there is none.
    pub served: BTreeSet<Zone>,
    /// Jobs of this rank are not placed, but for teams below their guarantee.
    pub blocked_rank: Option<Priority>,
    /// Jobs with claims that wait to be recorded, and how many of each class and
    /// team.
    pub(super) claiming: BTreeSet<JobId>,
    pub(super) claiming_of: BTreeMap<Sort, usize>,
    /// How many there may be; none: any number. What is claimed faster than it
    /// can be recorded only blocks capacity, and its order is decided too early.
    pub max_claiming: Option<usize>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) machines: BTreeMap<MachineId, Machine>,
    /// Per team, the jobs that have tasks to place.
    pub(super) queues: Vec<BTreeSet<Place>>,
    /// Per team, what their pending tasks need.
    pub(super) demand: Vec<Amount>,
    /// Where there is free capacity.
    pub capacity_index: CapacityIndex,
    /// Room that is being made for a job, until a time.
    pub(super) reserved: BTreeMap<MachineId, Reservation>,
    /// What is reserved for a gang, by machine.
    pub(super) gang_free_capacity: BTreeMap<MachineId, GangFreeCapacity>,
    pub(super) turn: Turn<JobId>,
    /// Failure domains, if the feature is on.
    pub(super) topology: Option<Rc<Topology>>,
    /// Where other shards have tasks of jobs whose zones count together; none: that
    /// is not known of all of them.
    pub(super) elsewhere: HashMap<JobId, Option<BTreeMap<Zone, u32>>>,
    /// Claims on machines that are not known yet.
    pub(super) homeless: HashMap<MachineId, BTreeSet<TaskId>>,
    pub(super) capacity: Amount,
    /// What work of idle priority may take.
    pub(super) idle: idle::Idle,
    /// Who goes ahead of all others.
    pub(super) lanes: lanes::Queue,
    /// What is reserved for windows of the release calendar.
    pub(super) reservations: reservations::Reservations,
}

impl ClusterState {
    /// A cluster state without jobs and machines.
    pub fn new(teams: Vec<Team>) -> Self {
        Self {
            queues: vec![BTreeSet::new(); teams.len()],
            demand: vec![Amount::default(); teams.len()],
            teams,
            ..Self::default()
        }
    }

    /// The teams.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// All jobs.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// One job.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// A task's claim.
    pub fn claim_of(&self, task: &TaskId) -> Option<&Claim> {
        self.jobs.get(&task.job)?.tasks.claims().get(&task.index)
    }

    /// The claim of a reported attempt: none if nobody claims it on this machine.
    pub fn claim_on(&self, machine: &MachineId, task: &TaskId, attempt: Attempt) -> Option<&Claim> {
        let claim = self.claim_of(task);
        claim.filter(|c| c.attempt == attempt && c.machine == *machine)
    }

    /// A task's claim, to change.
    pub fn claim_mut(&mut self, task: &TaskId) -> Option<&mut Claim> {
        self.jobs.get_mut(&task.job)?.tasks.claim_mut(task.index)
    }

    /// All machines.
    pub fn machines(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }

    /// The jobs that have tasks to place, in no order.
    pub fn jobs_to_place(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.queues
            .iter()
            .flatten()
            .filter_map(|p| Some((&p.id, self.jobs.get(&p.id)?)))
    }

    /// Whether any job has a task to place.
    pub fn has_work(&self) -> bool {
        self.queues.iter().any(|q| !q.is_empty())
    }

    /// Tasks that claim a machine, known or not.
    pub fn claims_on(&self, id: &MachineId) -> Vec<TaskId> {
        let known = self.machines.get(id).map(|m| &m.claims);
        known
            .or(self.homeless.get(id))
            .map(|tasks| tasks.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Machines that tasks claim and that are not known.
    pub fn unknown_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.homeless.keys()
    }

    /// What all usable machines offer.
    pub fn capacity(&self) -> Amount {
        self.capacity
    }

    /// What is used of each machine type: what is short may be only one type.
    pub fn use_of_types(&self) -> BTreeMap<TypeName, TypeUsage> {
        let mut totals: BTreeMap<TypeName, TypeUsage> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.usable) {
            let total = totals.entry(m.kind.name.clone()).or_default();
            let needed = m.claims.iter().filter_map(|t| self.jobs.get(&t.job));
            let needed = needed.filter(|j| self.needs(j.spec.each, &m.kind));
            let needed: i64 = needed.map(|j| j.spec.each.cpu).sum();
            total.machines += 1;
            total.cpus += m.kind.total.cpu / MILLI_PER_CPU;
            total.used += m.used.cpu / MILLI_PER_CPU;
            total.needed += needed / MILLI_PER_CPU;
        }
        totals
    }

    /// What all teams together are guaranteed.
    pub fn guaranteed(&self) -> Amount {
        let mut sum = Amount::default();
        for team in &self.teams {
            sum += team.guarantee;
        }
        sum
    }
}
