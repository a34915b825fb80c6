//! Jobs as the scheduler sees them: what they ask for, how urgent they are, and how long
//! they have waited.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_sharding::served::Sort;
use sorrelhinge_topology::policy::Policy;

use super::delay::Delay;
use super::lanes::Laned;
use super::suspicion::Suspicion;
use super::tasks::{Claim, Progress, Tasks};
use crate::types::{Amount, JobSpec, Kind, MachineId, Priority, Time};

/// Least part of its estimated run time that a task needs. A job can still meet an
/// objective that is at least this far away.
const MIN_RUN_SHARE: f64 = 0.8;
/// A job that can meet none of its objectives is due at this multiple of the time from its
/// submission to its last objective.
const OVERDUE_FACTOR: f64 = 3.0;
/// Time in seconds without a placed task after which a job may use capacity that is
/// reserved for expected work. The users' rule is that no job below its team's limit waits
/// 90 s beside capacity that fits it. The remaining 30 s are for a takeover.
const RESERVATION_WAIT_S: f64 = 60.0;

/// Time in seconds for which a test of a suspected job waits for free capacity before a machine is
/// rented for it. A faulty job then seldom costs a machine.
const TEST_RENT_WAIT_S: f64 = 30.0;

/// Objectives that differ by less than this many seconds count as equal.
const SAME_OBJECTIVE_S: f64 = 0.5;

/// Job that is not over, or whose tasks are not all known to have ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// Specification as submitted.
    pub spec: Rc<JobSpec>,
    /// Index of the job's team in `ClusterState::teams`.
    pub team: usize,
    /// Highest of the job's own priority and those of the jobs that depend on it.
    pub priority: Priority,
    /// Time when the job was submitted, or when the last of its dependencies was done.
    pub submitted: Time,
    /// Whether the job is cancelled. No task of a cancelled job may start.
    pub cancelled: bool,
    /// State of the job's tasks.
    pub tasks: Tasks,
    /// State of the job's delay scheduling.
    pub delay: Delay,
    /// Times by which the job should be done, by its objectives or its deadline, earliest
    /// first.
    pub objectives: Vec<Time>,
    /// Earliest objective that the job can still meet, see
    /// `ClusterState::refresh_due_times`.
    pub due: Time,
    /// Machines that refused or failed the job's tasks, each with the time until which the
    /// job avoids the machine.
    pub avoid: BTreeMap<MachineId, Time>,
    /// Time before which no task of the job starts, after failures on several machines.
    pub hold_until: Time,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Set while the job's tasks fail wherever they run and none has ended well. The job
    /// itself is then probably faulty until its user withdraws it. See [`Job::open`].
    pub suspicion: Option<Suspicion>,
    /// Time in seconds within which the job's users expect it to start, if an objective
    /// sets one.
    pub start_within: Option<f64>,
    /// Time in seconds that the job may wait before its objectives are in danger.
    pub patience_s: f64,
    /// Wait in seconds after which the job misses its objectives unless a machine is rented
    /// for it now.
    pub late_s: f64,
    /// Time since which the job has had pending tasks that could not be placed.
    pub blocked_since: Option<Time>,
    /// Placement policy that results from the job's own rules and those of its class.
    pub policy: Rc<Policy>,
    /// Time before which a gang that found no free capacity is not tried again.
    pub try_at: Time,
    /// Whether any task of the job has been placed.
    pub started: bool,
    /// Time when a task of the job was last placed, as far as the shard's current owner has
    /// seen it.
    pub last_placed: Option<Time>,
    /// Whether the job has waited too long to begin, see `ClusterState::refresh_due_times`.
    pub aged: bool,
    /// State of the job in its priority lane, if it is in one.
    pub lane: Option<Laned>,
}

impl Job {
    /// Creates a job without objectives, placement rules or placed tasks.
    pub fn new(spec: Rc<JobSpec>, team: usize, submitted: Time, tasks: Tasks) -> Self {
        Self {
            priority: spec.priority,
            spec,
            team,
            submitted,
            cancelled: false,
            tasks,
            delay: Delay::default(),
            objectives: Vec::new(),
            due: Time(f64::INFINITY),
            avoid: BTreeMap::new(),
            hold_until: Time(0.0),
            failures: 0,
            suspicion: None,
            start_within: None,
            patience_s: 5.0,
            late_s: 60.0,
            blocked_since: None,
            policy: Rc::default(),
            try_at: Time(0.0),
            started: false,
            last_placed: None,
            aged: false,
            lane: None,
        }
    }
    /// Returns how many of the job's tasks may be placed now. A job that is probably faulty
    /// tests itself with a few tasks.
    pub fn open(&self) -> u32 {
        let pending = self.tasks.pending();
        let claims = self.tasks.claims().len() as u32;
        self.suspicion
            .map_or(pending, |suspicion| suspicion.open(pending, claims))
    }
    /// Returns whether a machine may be rented for the job's open tasks. A test of a suspected
    /// job first waits a while for free capacity.
    pub fn may_rent(&self, now: Time) -> bool {
        self.suspicion.is_none() || now.since(self.hold_until) >= TEST_RENT_WAIT_S
    }
    /// Returns whether a task of the job has ended well, or runs if the job is a service.
    pub fn is_sound(&self) -> bool {
        let runs = |c: &Claim| matches!(c.progress, Progress::Running(_));
        self.tasks.done() > 0
            || self.spec.kind == Kind::Service && self.tasks.claims().values().any(runs)
    }
    /// Returns whether the job is in its team's queue.
    pub(super) fn is_queued(&self) -> bool {
        self.tasks.pending() > 0 && !self.cancelled
    }
    /// Returns whether the job has a task to place now.
    pub fn needs_placement(&self, now: Time) -> bool {
        !self.cancelled && self.open() > 0 && now >= self.hold_until
    }
    /// Returns the job's class and team, by which a binding limit is divided among jobs.
    pub fn sort(&self) -> Sort {
        (self.spec.class.clone(), self.spec.team.clone())
    }
    /// Returns whether the job avoids a machine that recently refused or failed its tasks.
    pub(super) fn avoids(&self, machine: &MachineId, now: Time) -> bool {
        self.avoid.get(machine).is_some_and(|until| now < *until)
    }
    /// Returns whether the job has waited so long that its objectives are in danger.
    pub fn late(&self, now: Time) -> bool {
        self.blocked_since
            .is_some_and(|t| now.since(t) > self.late_s)
    }
    /// Returns whether the job has waited so long for its next placement that it may use
    /// capacity reserved for expected work. Each placement restarts this wait, so that a
    /// large job takes such capacity one task at a time and its other tasks leave it free.
    pub fn may_use_reserved_capacity(&self, now: Time) -> bool {
        now.since(self.last_placed.unwrap_or(self.submitted)) >= RESERVATION_WAIT_S
    }
    /// Returns whether the job may not use capacity on ordinary machines that is kept for
    /// work that can't use spot machines.
    pub(super) fn leaves_reserved_capacity(&self, now: Time) -> bool {
        self.spec.spot && !self.may_use_reserved_capacity(now)
    }
    /// Returns when the job should be done: the earliest objective that it can still meet.
    /// A job that can meet none waits for jobs that can, but not forever.
    pub(super) fn due_now(&self, now: Time) -> Time {
        let soonest = now.after(MIN_RUN_SHARE * self.spec.estimate_s);
        let open = self
            .objectives
            .iter()
            .find(|objective| soonest <= **objective);
        match (open, self.objectives.last()) {
            (Some(objective), _) => *objective,
            (None, Some(last)) => self
                .submitted
                .after(OVERDUE_FACTOR * last.since(self.submitted)),
            (None, None) => Time(f64::INFINITY),
        }
    }
    /// Returns the amount that the job's pending tasks need.
    pub(super) fn demand(&self) -> Amount {
        if self.cancelled {
            Amount::default()
        } else {
            self.spec.each.times(i64::from(self.open()))
        }
    }
}

/// Urgency of a job, including what it inherits from the jobs that depend on it.
#[derive(Clone, Debug, PartialEq)]
pub struct JobUrgency {
    /// See [`Job::priority`].
    pub priority: Priority,
    /// See [`Job::objectives`].
    pub objectives: Vec<Time>,
    /// See [`Job::patience_s`].
    pub patience_s: f64,
    /// See [`Job::late_s`].
    pub late_s: f64,
}

impl JobUrgency {
    /// Sets a job's urgency. The job is due at its first objective until `ClusterState`
    /// computes its due time again.
    pub fn apply(&self, job: &mut Job) {
        job.priority = self.priority;
        job.objectives.clone_from(&self.objectives);
        job.due = self
            .objectives
            .first()
            .copied()
            .unwrap_or(Time(f64::INFINITY));
        job.patience_s = self.patience_s;
        job.late_s = self.late_s;
    }
    /// Returns whether a job already has this urgency. Objectives may differ slightly
    /// because clocks drift.
    pub fn is_of(&self, job: &Job) -> bool {
        let same = |&Time(one): &Time, &Time(other): &Time| (one - other).abs() < SAME_OBJECTIVE_S;
        let mut objectives = self.objectives.iter().zip(&job.objectives);
        job.priority == self.priority
            && job.objectives.len() == self.objectives.len()
            && objectives.all(|(one, other)| same(one, other))
    }
}
