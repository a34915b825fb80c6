//! The cluster state: jobs, machines and claims, with the sums and indexes derived from
//! them.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_sharding::served::Sort;
use sorrelhinge_topology::gang::Turn;
use sorrelhinge_topology::Topology;

use super::capacity_index::CapacityIndex;
use super::queue::QueuePosition;
use super::{idle, lanes, reservations, Claim, Job, Machine, Team};
use crate::types::{Amount, Attempt, JobId, MachineId, Priority, TaskId, Time, TypeName, Zone};

/// [`Amount`] counts CPUs in thousandths.
const MILLI_PER_CPU: i64 = 1000;

/// Usable machines of a type, with their CPUs in whole units.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TypeUsage {
    /// Number of usable machines.
    pub machines: i64,
    /// CPUs that these machines have.
    pub cpus: i64,
    /// CPUs that tasks use.
    pub used: i64,
    /// CPUs used by tasks that fit no smaller type.
    pub needed: i64,
}

/// Capacity on a machine that is being freed, or was found free, for a job's next task.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    /// Job that the capacity is reserved for.
    pub job: JobId,
    /// Time from which the capacity is free for all jobs.
    pub until: Time,
}

/// Capacity on a machine that is reserved for a gang.
#[derive(Clone, Debug)]
pub(super) struct GangFreeCapacity {
    /// Job of the gang.
    pub job: JobId,
    /// Amount that is reserved.
    pub amount: Amount,
}

/// All state that the scheduler bases its decisions on. Jobs and machines change only
/// through its methods, which update the sums and indexes.
#[derive(Clone, Debug, Default)]
pub struct ClusterState {
    /// Teams, in the order that `Job::team` refers to.
    pub(super) teams: Vec<Team>,
    /// Task sizes seen recently.
    pub shapes: Vec<Amount>,
    /// Least size in GB of images that machines fetch from each other. `None` turns this
    /// off.
    pub staged_gb: Option<f64>,
    /// Zones that have a controller. If the set is empty, every zone counts as having one.
    /// A zone that is cut off continues if one of its controllers reaches the shard's owner
    /// or is the owner. A cut-off zone without a controller loses all its tasks when their
    /// leases expire.
    pub served: BTreeSet<Zone>,
    /// Priority whose jobs are not placed, except those of teams below their guarantee.
    pub blocked_rank: Option<Priority>,
    /// Jobs whose claims are not yet recorded in the state service. `claiming_of` counts
    /// these jobs by class and team.
    pub(super) claiming: BTreeSet<JobId>,
    pub(super) claiming_of: BTreeMap<Sort, usize>,
    /// Largest number of jobs in `claiming`. `None` sets no limit. Claims that are made
    /// faster than they can be recorded only block capacity, and their order is decided too
    /// early.
    pub max_claiming: Option<usize>,
    pub(super) jobs: BTreeMap<JobId, Job>,
    pub(super) machines: BTreeMap<MachineId, Machine>,
    /// For each team, the jobs that have tasks to place.
    pub(super) queues: Vec<BTreeSet<QueuePosition>>,
    /// For each team, the amount that its pending tasks need.
    pub(super) demand: Vec<Amount>,
    /// Index of the usable machines by free capacity.
    pub capacity_index: CapacityIndex,
    /// Capacity that is reserved for a job until a time, by machine.
    pub(super) reserved: BTreeMap<MachineId, Reservation>,
    /// Capacity that is reserved for a gang, by machine.
    pub(super) gang_free_capacity: BTreeMap<MachineId, GangFreeCapacity>,
    pub(super) turn: Turn<JobId>,
    /// Failure domains, or `None` if the feature is off.
    pub(super) topology: Option<Rc<Topology>>,
    /// For each job whose rules count zones across all shards, the number of its tasks in
    /// other shards by zone. `None` means that the zones of some of these tasks are not
    /// known.
    pub(super) elsewhere: HashMap<JobId, Option<BTreeMap<Zone, u32>>>,
    /// Tasks that claim machines which are not known yet.
    pub(super) claims_on_unknown_machines: HashMap<MachineId, BTreeSet<TaskId>>,
    pub(super) capacity: Amount,
    /// Usage and limit of work of idle priority.
    pub(super) idle: idle::Idle,
    /// Jobs in priority lanes, which go ahead of all others.
    pub(super) lanes: lanes::Queue,
    /// Capacity that is reserved for windows of the release calendar.
    pub(super) reservations: reservations::Reservations,
}

impl ClusterState {
    /// Creates a cluster state without jobs and machines.
    pub fn new(teams: Vec<Team>) -> Self {
        Self {
            queues: vec![BTreeSet::new(); teams.len()],
            demand: vec![Amount::default(); teams.len()],
            teams,
            ..Self::default()
        }
    }

    /// Returns the teams in the order that `Job::team` refers to.
    pub fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Returns all jobs by id.
    pub fn jobs(&self) -> &BTreeMap<JobId, Job> {
        &self.jobs
    }

    /// Returns a job by its id.
    pub fn job(&self, id: &JobId) -> Option<&Job> {
        self.jobs.get(id)
    }

    /// Returns a task's claim.
    pub fn claim_of(&self, task: &TaskId) -> Option<&Claim> {
        self.jobs.get(&task.job)?.tasks.claims().get(&task.index)
    }

    /// Returns the claim of a reported attempt. Returns `None` if this attempt has no claim
    /// on this machine.
    pub fn claim_on(&self, machine: &MachineId, task: &TaskId, attempt: Attempt) -> Option<&Claim> {
        let claim = self.claim_of(task);
        claim.filter(|c| c.attempt == attempt && c.machine == *machine)
    }

    /// Returns a task's claim for changes.
    pub fn claim_mut(&mut self, task: &TaskId) -> Option<&mut Claim> {
        self.jobs.get_mut(&task.job)?.tasks.claim_mut(task.index)
    }

    /// Returns all known machines by id.
    pub fn machines(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }

    /// Returns the jobs that have tasks to place, in no particular order.
    pub fn jobs_to_place(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.queues
            .iter()
            .flatten()
            .filter_map(|p| Some((&p.id, self.jobs.get(&p.id)?)))
    }

    /// Returns whether any job has a task to place.
    pub fn has_work(&self) -> bool {
        self.queues.iter().any(|q| !q.is_empty())
    }

    /// Returns the tasks that claim a machine, whether the machine is known or not.
    pub fn claims_on(&self, id: &MachineId) -> Vec<TaskId> {
        let known = self.machines.get(id).map(|m| &m.claims);
        known
            .or(self.claims_on_unknown_machines.get(id))
            .map(|tasks| tasks.iter().cloned().collect())
            .unwrap_or_default()
    }

    /// Returns the machines that tasks claim and that are not known.
    pub fn unknown_machines(&self) -> impl Iterator<Item = &MachineId> {
        self.claims_on_unknown_machines.keys()
    }

    /// Returns the total capacity of all usable machines.
    pub fn capacity(&self) -> Amount {
        self.capacity
    }

    /// Returns the usage of each machine type, because a shortage may affect only one type.
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

    /// Returns the sum of all teams' guarantees.
    pub fn guaranteed(&self) -> Amount {
        let mut sum = Amount::default();
        for team in &self.teams {
            sum += team.guarantee;
        }
        sum
    }
}
