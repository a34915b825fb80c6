//! A job as the scheduler sees it: what it asks, how urgent it is, and how its waits
//! stand.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_sharding::served::Sort;
use sorrelhinge_topology::policy::Policy;

use super::delay::Delay;
use super::lanes::Laned;
use super::tasks::{Claim, Progress, Tasks};
use crate::types::{Amount, JobSpec, Kind, MachineId, Priority, Time};

/// Part of the estimated run time that a task needs at least.
const DUE_RUN: f64 = 0.8;
/// A job that met none of its objectives is due at this multiple of the last.
const OVERDUE_FACTOR: f64 = 3.0;
/// A job of which nothing was placed for so long, in seconds, may take capacity that is
/// reserved for work that is only expected: the users' rule is that no job waits for
/// 90 s beside capacity that fits it, below its team's limit. The rest is for a takeover.
const RESERVATION_WAIT_S: f64 = 60.0;

/// Objectives that differ by less, in seconds, are the same.
const SAME_OBJECTIVE_S: f64 = 0.5;

/// A job that is not over, or whose tasks are not known to have ended.
#[derive(Clone, Debug)]
pub struct Job {
    /// As submitted.
    pub spec: Rc<JobSpec>,
    /// Its team's place in `ClusterState::teams`.
    pub team: usize,
    /// The highest of its own priority and those of the jobs that need it.
    pub priority: Priority,
    /// When it was submitted, or the last of the jobs that it needs was done.
    pub submitted: Time,
    /// Cancelled: nothing of it may start.
    pub cancelled: bool,
    /// Its tasks.
    pub tasks: Tasks,
    /// Delay scheduling.
    pub delay: Delay,
    /// When it should be done, by its objectives or its deadline, earliest first.
    pub objectives: Vec<Time>,
    /// The earliest of them that it can still meet, see `ClusterState::refresh_due_times`.
    pub due: Time,
    /// Machines that refused it or failed it, until a time.
    pub avoid: BTreeMap<MachineId, Time>,
    /// Nothing starts before this, after failures on several machines.
    pub hold_until: Time,
    /// Failures in a row.
    pub failures: u32,
    /// Its tasks fail wherever they run and none has ended well: the job itself
    /// is mistaken, most likely, until its user withdraws it. See [`Job::open`].
    pub suspected_faulty: bool,
    /// How soon its users expect it to start, if an objective says so.
    pub start_within: Option<f64>,
    /// How long it may wait before that endangers its objectives.
    pub patience_s: f64,
    /// After waiting this long it misses its objectives unless a machine is rented
    /// for it now.
    pub late_s: f64,
    /// Since when it has had pending tasks that found no place.
    pub blocked_since: Option<Time>,
    /// What its placement rules and its class's come to.
    pub policy: Rc<Policy>,
    /// A gang that found no free capacity is not tried again before.
    pub try_at: Time,
    /// A task of it has been placed.
    pub started: bool,
    /// When a task of it was placed last, as far as this owner knows.
    pub last_placed: Option<Time>,
    /// It has waited for too long to begin, see `ClusterState::refresh_due_times`.
    pub aged: bool,
    /// Its standing in its lane, if it is in one.
    pub lane: Option<Laned>,
}

impl Job {
    /// A job that has just come: no objectives, no placement rules, nothing placed.
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
            suspected_faulty: false,
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
    /// How many of its tasks may be placed now. Of a job that is mistaken, most
    /// likely, one is tried at a time, so it costs a start and a few changes now
    /// and then: all its tasks came back at each try once, hundreds at a time.
    pub fn open(&self) -> u32 {
        let pending = self.tasks.pending();
        if self.suspected_faulty {
            pending.min(u32::from(self.tasks.claims().is_empty()))
        } else {
            pending
        }
    }
    /// Whether a task of it has ended well, or runs as a service does.
    pub fn is_sound(&self) -> bool {
        let runs = |c: &Claim| matches!(c.progress, Progress::Running(_));
        self.tasks.done() > 0
            || self.spec.kind == Kind::Service && self.tasks.claims().values().any(runs)
    }
    /// Whether it is in its team's queue.
    pub(super) fn is_queued(&self) -> bool {
        self.tasks.pending() > 0 && !self.cancelled
    }
    /// Whether it has a task to place now.
    pub fn needs_placement(&self, now: Time) -> bool {
        !self.cancelled && self.open() > 0 && now >= self.hold_until
    }
    /// What it counts as when what binds is divided: its class and team.
    pub fn sort(&self) -> Sort {
        (self.spec.class.clone(), self.spec.team.clone())
    }
    /// Whether a machine refused it or failed it of late.
    pub(super) fn avoids(&self, machine: &MachineId, now: Time) -> bool {
        self.avoid.get(machine).is_some_and(|until| now < *until)
    }
    /// Whether it has waited so long that its objectives are in danger.
    pub fn late(&self, now: Time) -> bool {
        self.blocked_since
            .is_some_and(|t| now.since(t) > self.late_s)
    }
    /// Whether it has waited so long for its next task to be placed that capacity reserved
    /// for expected work is open to it. Placing a task begins the wait anew, so that of
    /// a large job one task at a time takes such capacity and the others leave it.
    pub fn may_use_reserved_capacity(&self, now: Time) -> bool {
        now.since(self.last_placed.unwrap_or(self.submitted)) >= RESERVATION_WAIT_S
    }
    /// Whether capacity kept on ordinary machines for work that can't use spot ones is
    /// withheld from it.
    pub(super) fn leaves_reserved_capacity(&self, now: Time) -> bool {
        self.spec.spot && !self.may_use_reserved_capacity(now)
    }
    /// When it should be done: the earliest aim that it can still meet. One
    /// that can meet none any more waits for those that can, yet not for ever.
    pub(super) fn due_now(&self, now: Time) -> Time {
        let soonest = now.after(DUE_RUN * self.spec.estimate_s);
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
    /// What its pending tasks need.
    pub(super) fn demand(&self) -> Amount {
        if self.cancelled {
            Amount::default()
        } else {
            self.spec.each.times(i64::from(self.open()))
        }
    }
}

/// How urgent a job is, with what it inherits from the jobs that need it.
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
    /// Has a job be as urgent. It is due at the first of its objectives until it is looked at.
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
    /// Whether a job is as urgent already: times may differ by what clocks wander.
    pub fn is_of(&self, job: &Job) -> bool {
        let same = |&Time(one): &Time, &Time(other): &Time| (one - other).abs() < SAME_OBJECTIVE_S;
        let mut objectives = self.objectives.iter().zip(&job.objectives);
        job.priority == self.priority
            && job.objectives.len() == self.objectives.len()
            && objectives.all(|(one, other)| same(one, other))
    }
}
