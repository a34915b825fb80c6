//! Scheduling without I/O or clock: fair shares, the delay walk, placement
//! checks and preemption over a plain [`Board`].
//!
//! The walk follows Algorithm 1 of the paper (section 4.2) with the changes
//! that `docs/design.md` lists. No decision looks at every machine or every
//! job: the board keeps its sums, its queues and an index of room up to date.

mod machine;
mod preempt;
mod rooms;
mod shares;
mod tasks;

pub use machine::{Cache, Machine};
pub use rooms::{GroupKey, Rooms};
pub use shares::{water_fill, Standing};
pub use tasks::{Claim, Progress, Sent, Tasks};

use std::cell::OnceCell;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;

use rooms::{Nearness, Size};

use crate::types::{
    Amount, JobId, JobSpec, MachineId, MachineType, Priority, TaskId, Time, TypeName, Zone,
};

/// How many seconds of fetching it is worth to leave an ordinary machine to
/// those who can't use spot ones.
const ORDINARY_S: f64 = 8.0;
/// The same for a machine that should fall idle.
const RETIRING_S: f64 = 3.0;
/// The same for a machine that takes commands only now and then.
const SLOW_S: f64 = 4.0;
/// The same for a large machine that others' tasks need.
const SCARCE_S: f64 = 3.0;
/// A machine that is cheaper by this many seconds is clearly better.
const CLEARLY_S: f64 = 0.5;
/// Part of the estimated run time that a task needs at least.
const DUE_RUN: f64 = 0.8;
/// A job that met none of its aims is due at this multiple of the last.
const OVERDUE: f64 = 3.0;

/// The variables of delay scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delay {
    /// May launch anywhere until its next cached launch.
    pub anywhere: bool,
    /// Skipped since then: its wait is the time since, so that no walk has to
    /// add to every job's wait.
    pub skipped_since: Option<Time>,
}

impl Delay {
    /// How long the job has been skipped, in seconds.
    pub fn wait(&self, now: Time) -> f64 {
        self.skipped_since.map_or(0.0, |t| now.since(t))
    }
}

/// A job that is not over, or whose tasks are not provably gone.
#[derive(Clone, Debug)]
pub struct Job {
    /// As submitted.
    pub spec: Rc<JobSpec>,
    /// Its team's place in [`Board::teams`].
    pub team: usize,
    /// When it was submitted.
    pub submitted: Time,
    /// Cancelled: nothing of it may start.
    pub cancelled: bool,
    /// Its tasks.
    pub tasks: Tasks,
    /// Delay scheduling.
    pub delay: Delay,
    /// When it should be done, by its aims or its deadline, earliest first.
    pub aims: Vec<Time>,
    /// The earliest of them that it can still meet, see [`Board::look_at_dues`].
    pub due: Time,
    /// Machines that refused it or failed it, until a time.
    pub avoid: BTreeMap<MachineId, Time>,
    /// Nothing starts before this, after failures on several machines.
    pub hold_until: Time,
    /// Failures in a row.
    pub failures: u32,
    /// How soon its users expect it to start, if an aim says so.
    pub start_within: Option<f64>,
    /// How long it may wait before that endangers its aims.
    pub patience_s: f64,
    /// After waiting this long it misses its aims unless a machine is rented
    /// for it now.
    pub late_s: f64,
    /// Since when it has had pending tasks that found no place.
    pub blocked_since: Option<Time>,
}

impl Job {
    /// Whether it wants a task placed now.
    pub fn wants(&self, now: Time) -> bool {
        !self.cancelled && self.tasks.pending() > 0 && now >= self.hold_until
    }
    /// Whether it has waited so long that its aims are in danger.
    pub fn late(&self, now: Time) -> bool {
        self.blocked_since
            .is_some_and(|t| now.since(t) > self.late_s)
    }
    /// When it should be done: the earliest aim that it can still meet. One
    /// that can meet none any more waits for those that can, yet not for ever.
    fn due_now(&self, now: Time) -> Time {
        let soonest = now.after(DUE_RUN * self.spec.estimate_s);
        let open = self.aims.iter().find(|aim| soonest <= **aim);
        match (open, self.aims.last()) {
            (Some(aim), _) => *aim,
            (None, Some(last)) => self.submitted.after(OVERDUE * last.since(self.submitted)),
            (None, None) => Time(f64::INFINITY),
        }
    }
    /// Its place among its team's jobs: priority, deadline, submission.
    fn place(&self, id: &JobId) -> Place {
        let milli = |s: f64| (s * 1000.0) as i64;
        Place {
            priority: Reverse(self.spec.priority),
            due_ms: milli(self.due.0),
            submitted_ms: milli(self.submitted.0),
            id: id.clone(),
        }
    }
    /// What its pending tasks want.
    fn demand(&self) -> Amount {
        if self.cancelled {
            Amount::default()
        } else {
            self.spec.each.times(i64::from(self.tasks.pending()))
        }
    }
}

/// Order of the jobs of a team that want tasks placed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    priority: Reverse<Priority>,
    due_ms: i64,
    submitted_ms: i64,
    id: JobId,
}

/// A team and what it uses.
#[derive(Clone, Debug)]
pub struct Team {
    /// Name.
    pub name: Arc<str>,
    /// Guaranteed amount.
    pub guarantee: Amount,
    /// This block's slice of the team's limit.
    pub limit: Amount,
    /// Sum of all its claims.
    pub used: Amount,
    /// Part of the limit that is left to jobs whose users wait for the start.
    pub held_back: Amount,
}

/// A task that the walk placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// The task.
    pub task: TaskId,
    /// Where.
    pub machine: MachineId,
    /// Whether its image was cached there.
    pub cached: bool,
}

/// When waiting for a cached image ends (T1+T2).
#[derive(Clone, Copy, Debug)]
pub struct DelayRule {
    /// As a multiple of the fetch's time (paper 4.3.1: waiting pays only
    /// while a fetch costs more).
    pub fetches: f64,
    /// Upper bound in seconds.
    pub max_s: f64,
}

impl DelayRule {
    fn threshold(&self, spec: &JobSpec, kind: &MachineType) -> f64 {
        (self.fetches * spec.image_gb / kind.fetch_gb_per_s.max(1e-3)).min(self.max_s)
    }
}

/// Everything the scheduler decides from. Jobs and machines are changed
/// through its methods only, which keep its sums and indexes.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// Teams.
    teams: Vec<Team>,
    /// Sizes of tasks seen of late.
    pub shapes: Vec<Amount>,
    jobs: BTreeMap<JobId, Job>,
    machines: BTreeMap<MachineId, Machine>,
    /// Per team, the jobs that want tasks placed.
    queues: Vec<BTreeSet<Place>>,
    /// Per team, what their pending tasks want.
    demand: Vec<Amount>,
    /// Where there is room.
    pub rooms: Rooms,
    /// Room that is being made for a job, until a time.
    reserved: BTreeMap<MachineId, (JobId, Time)>,
    /// Claims on machines that are not known yet.
    homeless: HashMap<MachineId, BTreeSet<TaskId>>,
    capacity: Amount,
}

/// The best place for one more task of a job.
#[derive(Clone, Debug)]
struct Offer {
    cost: f64,
    ordinary: bool,
    free: Size,
    machine: MachineId,
}

impl Offer {
    fn order(&self, other: &Offer) -> std::cmp::Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.ordinary.cmp(&other.ordinary))
            .then(self.free.cmp(&other.free))
            .then(self.machine.cmp(&other.machine))
    }
}

/// Jobs that wait for the types that only they fit, at the start of a pass.
type Needy = BTreeMap<(bool, TypeName, Zone), Vec<JobId>>;

impl Board {
    /// A board without jobs and machines.
    pub fn new(teams: Vec<Team>) -> Self {
        Self {
            queues: vec![BTreeSet::new(); teams.len()],
            demand: vec![Amount::default(); teams.len()],
            teams,
            ..Self::default()
        }
    }

    // ---- what is there --------------------------------------------------

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
    /// A task's claim, to change.
    pub fn claim_mut(&mut self, task: &TaskId) -> Option<&mut Claim> {
        self.jobs.get_mut(&task.job)?.tasks.claim_mut(task.index)
    }
    /// All machines.
    pub fn machines(&self) -> &BTreeMap<MachineId, Machine> {
        &self.machines
    }
    /// The jobs that want tasks placed, in no order.
    pub fn wanting(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.queues
            .iter()
            .flatten()
            .filter_map(|p| Some((&p.id, self.jobs.get(&p.id)?)))
    }
    /// Whether any job wants a task placed.
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
    /// What all teams together are guaranteed.
    pub fn guaranteed(&self) -> Amount {
        let mut sum = Amount::default();
        for team in &self.teams {
            sum += team.guarantee;
        }
        sum
    }

    // ---- changes --------------------------------------------------------

    /// Jobs whose aims have passed give way to jobs that can still meet theirs
    /// (the paper's section 3 leaves the order within a team open).
    pub fn look_at_dues(&mut self, now: Time) {
        let moved: Vec<(Place, Time)> = self
            .queues
            .iter()
            .flatten()
            .filter_map(|place| {
                let job = self.jobs.get(&place.id)?;
                let due = job.due_now(now);
                (due != job.due).then(|| (place.clone(), due))
            })
            .collect();
        for (place, due) in moved {
            if let Some(job) = self.jobs.get_mut(&place.id) {
                self.queues[job.team].remove(&place);
                job.due = due;
                self.queues[job.team].insert(job.place(&place.id));
            }
        }
    }

    /// A job appears.
    pub fn add_job(&mut self, id: JobId, job: Job) {
        self.demand[job.team] += job.demand();
        if job.demand() != Amount::default() {
            self.queues[job.team].insert(job.place(&id));
        }
        self.jobs.insert(id, job);
    }

    /// Changes a job, other than its claims.
    pub fn edit_job<R>(&mut self, id: &JobId, change: impl FnOnce(&mut Job) -> R) -> Option<R> {
        let job = self.jobs.get_mut(id)?;
        let before = (job.demand(), job.tasks.pending() > 0 && !job.cancelled);
        let result = change(job);
        let after = (job.demand(), job.tasks.pending() > 0 && !job.cancelled);
        self.demand[job.team] -= before.0;
        self.demand[job.team] += after.0;
        if before.1 != after.1 {
            let place = job.place(id);
            if after.1 {
                self.queues[job.team].insert(place);
            } else {
                job.blocked_since = None;
                self.queues[job.team].remove(&place);
            }
        }
        Some(result)
    }

    /// A job goes. It must have no claims.
    pub fn remove_job(&mut self, id: &JobId) {
        self.edit_job(id, |job| job.cancelled = true);
        self.jobs.remove(id);
    }

    /// Changes a machine, other than its claims.
    pub fn edit_machine<R>(
        &mut self,
        id: &MachineId,
        change: impl FnOnce(&mut Machine) -> R,
    ) -> Option<R> {
        let machine = self.machines.get_mut(id)?;
        let before = machine.usable;
        let result = change(machine);
        match (before, machine.usable) {
            (false, true) => self.capacity += machine.kind.total,
            (true, false) => self.capacity -= machine.kind.total,
            _ => {}
        }
        self.rooms.file(id, machine);
        Some(result)
    }

    /// A machine appears; claims found earlier on it are entered.
    pub fn add_machine(&mut self, id: MachineId, machine: Machine) {
        if machine.usable {
            self.capacity += machine.kind.total;
        }
        self.machines.insert(id.clone(), machine);
        for task in self.homeless.remove(&id).unwrap_or_default() {
            if let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec.clone()) {
                self.occupy(&id, &task, &spec);
            }
        }
        self.edit_machine(&id, |_| ());
    }

    /// A machine is gone. Nothing may claim it any more.
    pub fn remove_machine(&mut self, id: &MachineId) {
        self.edit_machine(id, |m| m.usable = false);
        self.machines.remove(id);
        self.reserved.remove(id);
        self.homeless.remove(id);
    }

    fn occupy(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec) {
        self.edit_machine(id, |m| {
            m.claims.insert(task.clone());
            m.used += spec.each;
            if spec.spot && !m.spot {
                m.movable += spec.each;
            }
            m.cache
                .touch(&spec.image, spec.image_gb, m.kind.cache_gb, false);
        });
    }

    /// Claims a pending task on a machine.
    pub fn claim(&mut self, task: &TaskId, m_id: &MachineId, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let claim = Claim {
            attempt: job.tasks.take_attempt(task.index),
            machine: m_id.clone(),
            since: now,
            committed: false,
            sent: Sent::No,
            progress: Progress::Unseen,
            stop: None,
        };
        self.put_claim(task, claim);
    }

    /// Enters a claim, new or found in the record.
    pub fn put_claim(&mut self, task: &TaskId, claim: Claim) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let (spec, team) = (job.spec.clone(), job.team);
        self.teams[team].used += spec.each;
        if self.machines.contains_key(&claim.machine) {
            self.occupy(&claim.machine, task, &spec);
        } else {
            self.homeless
                .entry(claim.machine.clone())
                .or_default()
                .insert(task.clone());
        }
        if self
            .reserved
            .get(&claim.machine)
            .is_some_and(|(j, _)| *j == task.job)
        {
            self.reserved.remove(&claim.machine);
        }
        self.edit_job(&task.job, |job| job.tasks.insert_claim(task.index, claim));
    }

    /// Marks a claimed task to be stopped, with time to save if that is of use
    /// and there is no hurry.
    pub fn stop(&mut self, task: &TaskId, hurry: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let saves = job.spec.checkpoint_s > 0.0 && !job.cancelled && !hurry;
        let grace = if saves { job.spec.save_s + 1.0 } else { 0.0 };
        if let Some(claim) = job.tasks.claim_mut(task.index) {
            if claim.stop.is_none_or(|g| grace < g) {
                claim.stop = Some(grace);
            }
        }
    }

    /// Removes a claim whose task is provably gone, or was never started.
    pub fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let claim = self.edit_job(&task.job, |job| job.tasks.remove_claim(task.index))??;
        let job = self.jobs.get(&task.job)?;
        let (spec, team) = (job.spec.clone(), job.team);
        self.teams[team].used -= spec.each;
        let awaited = self.machines.get(&claim.machine).is_some_and(|m| {
            m.claims.iter().any(|t| {
                t != task
                    && self
                        .jobs
                        .get(&t.job)
                        .is_some_and(|j| j.spec.image == spec.image)
            })
        });
        let known = self.edit_machine(&claim.machine, |m| {
            if m.claims.remove(task) {
                m.used -= spec.each;
                if spec.spot && !m.spot {
                    m.movable -= spec.each;
                }
            }
            if !awaited {
                m.cache.give_up(&spec.image);
            }
            if m.claims.is_empty() {
                m.idle_since = now;
            }
        });
        if known.is_none() {
            if let Some(tasks) = self.homeless.get_mut(&claim.machine) {
                tasks.remove(task);
                if tasks.is_empty() {
                    self.homeless.remove(&claim.machine);
                }
            }
        }
        Some(claim)
    }

    /// A claimed task was seen running, so its image is there.
    pub fn ran(&mut self, task: &TaskId) {
        let Some(claim) = self.claim_of(task) else {
            return;
        };
        let machine = claim.machine.clone();
        let Some(spec) = self.jobs.get(&task.job).map(|j| j.spec.clone()) else {
            return;
        };
        self.edit_machine(&machine, |m| {
            m.cache
                .touch(&spec.image, spec.image_gb, m.kind.cache_gb, true);
        });
    }

    // ---- order ----------------------------------------------------------

    /// Every team's standing now.
    pub fn standings(&self) -> Vec<Standing> {
        let capacity = self.capacity;
        let size = |a: Amount| {
            let part = |x: i64, of: i64| if of > 0 { x as f64 / of as f64 } else { 0.0 };
            part(a.cpu, capacity.cpu).max(part(a.gpu, capacity.gpu))
        };
        let minimum: Vec<f64> = self.teams.iter().map(|t| size(t.guarantee)).collect();
        let demand: Vec<f64> = self
            .teams
            .iter()
            .zip(&self.demand)
            .map(|(t, d)| size(t.used + *d).min(size(t.limit)))
            .collect();
        let fair = water_fill(1.0, &minimum, &demand);
        self.teams
            .iter()
            .enumerate()
            .map(|(i, t)| {
                let used = size(t.used);
                let short = minimum[i].min(demand[i]) - used;
                Standing {
                    below_guarantee: if short > 1e-9 {
                        short / minimum[i]
                    } else {
                        0.0
                    },
                    below_fair: fair[i] - used,
                }
            })
            .collect()
    }

    /// The teams in the order of the walk.
    fn team_order(&self) -> Vec<usize> {
        let standings = self.standings();
        let mut order: Vec<usize> = (0..self.teams.len()).collect();
        order.sort_by(|&a, &b| {
            let (sa, sb) = (standings[a], standings[b]);
            sb.below_guarantee
                .total_cmp(&sa.below_guarantee)
                .then(sb.below_fair.total_cmp(&sa.below_fair))
                .then(a.cmp(&b))
        });
        order
    }

    /// The jobs that want a task placed, in the order of the walk.
    fn in_order(&self, now: Time) -> impl Iterator<Item = (&JobId, &Job)> {
        self.team_order()
            .into_iter()
            .flat_map(move |team| {
                let queue = &self.queues[team];
                queue
                    .iter()
                    .filter_map(|p| Some((&p.id, self.jobs.get(&p.id)?)))
            })
            .filter(move |(_, job)| now >= job.hold_until)
    }

    // ---- where a task may go --------------------------------------------

    fn kind_suits(spec: &JobSpec, spot: bool, kind: &MachineType, zone: &Zone) -> bool {
        spec.each.fits(kind.total)
            && (spec.spot || !spot)
            && spec.zone.as_ref().is_none_or(|z| z == zone)
            && spec.types.as_ref().is_none_or(|t| t.contains(&kind.name))
    }

    /// Whether a machine's type, zone and kind suit a job at all.
    pub fn suits(spec: &JobSpec, machine: &Machine) -> bool {
        Self::kind_suits(spec, machine.spot, &machine.kind, &machine.zone)
    }

    /// How many tasks of a job are in each zone; none if a claim is on a
    /// machine whose zone is not known yet, which forbids every placement that
    /// depends on zones.
    fn zones_of(&self, job: &Job) -> Option<BTreeMap<&Zone, u32>> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            for claim in job.tasks.claims().values() {
                *zones
                    .entry(&self.machines.get(&claim.machine)?.zone)
                    .or_insert(0) += 1;
            }
        }
        Some(zones)
    }

    fn zone_allows(job: &Job, zones: &BTreeMap<&Zone, u32>, zone: &Zone) -> bool {
        let here = zones.get(zone).copied().unwrap_or(0);
        (!job.spec.one_zone || zones.is_empty() || here > 0)
            && (!job.spec.spread || here < job.spec.tasks.div_ceil(2))
    }

    /// Whether one more task of a job stays within its team's limit.
    pub fn limit_allows(&self, job: &Job) -> bool {
        let team = &self.teams[job.team];
        let mut left = team.limit - team.used;
        if job.start_within.is_none() {
            left -= team.held_back;
        }
        job.spec.each.fits_team(left)
    }

    /// Leaves part of a team's limit to jobs whose users wait for the start.
    pub fn hold_back(&mut self, team: usize, amount: Amount) {
        self.teams[team].held_back = amount;
    }

    /// Room on a machine for a job, less what is kept or reserved for others.
    fn room_for(&self, id: &JobId, spot: bool, m_id: &MachineId, now: Time) -> Amount {
        let Some(machine) = self.machines.get(m_id) else {
            return Amount::default();
        };
        let mut free = machine.free();
        if let Some((other, until)) = self.reserved.get(m_id) {
            if other != id && now < *until {
                if let Some(job) = self.jobs.get(other).filter(|j| j.wants(now)) {
                    free -= job.spec.each;
                }
            }
        }
        if spot {
            free -= machine.kept;
        }
        free
    }

    /// Whether tasks of this size fit no smaller type than this one.
    fn needs(&self, each: Amount, kind: &MachineType) -> bool {
        !self
            .rooms
            .kinds()
            .any(|k| k.total.cpu < kind.total.cpu && each.fits(k.total))
    }

    /// What placing a job on a machine of this sort costs, in seconds: its
    /// image's fetch, and for taking what others need more.
    fn place_cost(
        &self,
        spec: &JobSpec,
        near: Nearness,
        (spot, retiring, slow, kind): (bool, bool, bool, &MachineType),
    ) -> f64 {
        let fetch = spec.image_gb / kind.fetch_gb_per_s.max(1e-3);
        let mut cost = match near {
            Nearness::Ready => 0.0,
            Nearness::Coming => fetch / 2.0,
            Nearness::Absent => fetch,
        };
        if spec.spot && !spot {
            cost += ORDINARY_S;
        }
        if retiring {
            cost += RETIRING_S;
        }
        if slow {
            cost += SLOW_S;
        }
        // Large machines are left to tasks that fit no smaller one.
        let scarce = self.shapes.iter().any(|s| {
            s.fits(kind.total)
                && self
                    .rooms
                    .kinds()
                    .any(|k| !s.fits(k.total) && spec.each.fits(k.total))
        });
        if scarce && !self.needs(spec.each, kind) {
            cost += SCARCE_S;
        }
        cost
    }

    /// Which jobs wait that fit only types as large as each group's.
    fn needy(&self, now: Time) -> Needy {
        let mut needy = Needy::new();
        let smallest = self.rooms.kinds().min_by_key(|k| k.total.cpu);
        for (id, job) in self.wanting() {
            if smallest.is_none_or(|k| job.spec.each.fits(k.total)) || !job.wants(now) {
                continue;
            }
            for (key, group) in self.rooms.groups() {
                if Self::kind_suits(&job.spec, key.spot, &group.kind, &key.zone)
                    && self.needs(job.spec.each, &group.kind)
                    && self.limit_allows(job)
                {
                    let ids = needy
                        .entry((key.spot, key.kind.clone(), key.zone.clone()))
                        .or_default();
                    // Two tell whether there is another than one itself.
                    if ids.len() < 2 && ids.last() != Some(id) {
                        ids.push(id.clone());
                    }
                }
            }
        }
        needy
    }

    /// Whether another job waits that fits only machines as large as this one,
    /// while this one fits smaller ones and has not waited for long.
    fn left_to_others(
        &self,
        (id, job): (&JobId, &Job),
        (spot, kind, zone): (bool, &MachineType, &Zone),
        needy: &OnceCell<Needy>,
        now: Time,
    ) -> bool {
        if job.start_within.is_some() || self.needs(job.spec.each, kind) {
            return false;
        }
        let waited = job.blocked_since.map_or(0.0, |t| now.since(t));
        let more_urgent = |other: &JobId| {
            let other = self.jobs.get(other);
            other.is_some_and(|o| job.spec.priority > o.spec.priority)
        };
        needy
            .get_or_init(|| self.needy(now))
            .get(&(spot, kind.name.clone(), zone.clone()))
            .and_then(|ids| ids.iter().find(|other| *other != id))
            .is_some_and(|other| {
                waited
                    < if more_urgent(other) {
                        job.patience_s
                    } else {
                        job.late_s
                    }
            })
    }

    /// The best machine for one more task of a job, if any has room.
    fn best(&self, id: &JobId, job: &Job, needy: &OnceCell<Needy>, now: Time) -> Option<Offer> {
        if !self.limit_allows(job) {
            return None;
        }
        let spec = &job.spec;
        let zones = self.zones_of(job)?;
        let pass = |m_id: &MachineId| {
            (job.avoid.is_empty() || job.avoid.get(m_id).is_none_or(|until| now >= *until))
                && (!self.reserved.contains_key(m_id)
                    || spec.each.fits(self.room_for(id, spec.spot, m_id, now)))
        };
        let mut best: Option<Offer> = None;
        for (key, group) in self.rooms.groups() {
            let kind = &*group.kind;
            if !Self::kind_suits(spec, key.spot, kind, &key.zone)
                || !Self::zone_allows(job, &zones, &key.zone)
                || self.left_to_others((id, job), (key.spot, kind, &key.zone), needy, now)
            {
                continue;
            }
            for near in [Nearness::Ready, Nearness::Coming, Nearness::Absent] {
                let cost = self.place_cost(spec, near, (key.spot, key.retiring, key.slow, kind));
                if best.as_ref().is_some_and(|b| cost > b.cost) {
                    break;
                }
                let found = self.rooms.first(
                    key,
                    group,
                    (spec.each, spec.spot),
                    (&spec.image, near),
                    &pass,
                );
                let Some((free, machine)) = found else {
                    continue;
                };
                let offer = Offer {
                    cost,
                    ordinary: !key.spot,
                    free,
                    machine,
                };
                if best.as_ref().is_none_or(|b| offer.order(b).is_lt()) {
                    best = Some(offer);
                }
                break;
            }
        }
        best
    }

    fn cached_somewhere(&self, spec: &JobSpec) -> bool {
        self.rooms.groups().any(|(key, group)| {
            Self::kind_suits(spec, key.spot, &group.kind, &key.zone)
                && Rooms::has_image(group, &spec.image)
        })
    }

    // ---- the walk -------------------------------------------------------

    /// Whether delay scheduling lets a job launch on a machine now. Only a
    /// job that could find its image elsewhere waits.
    fn may_launch(&self, job: &Job, m_id: &MachineId, rule: DelayRule, now: Time) -> bool {
        let Some(machine) = self.machines.get(m_id) else {
            return false;
        };
        machine.cache.has(&job.spec.image)
            || job.delay.anywhere
            || job.delay.wait(now) >= rule.threshold(&job.spec, &machine.kind)
            || !self.cached_somewhere(&job.spec)
    }

    fn launch(&mut self, id: &JobId, m_id: &MachineId, now: Time) -> Option<Launch> {
        let cached = {
            let job = self.jobs.get(id)?;
            self.machines.get(m_id)?.cache.has(&job.spec.image)
        };
        let job = self.jobs.get_mut(id)?;
        let index = job.tasks.next_pending()?;
        // A launch on a cached image takes the job back to waiting for one;
        // any other leaves it free to launch anywhere.
        job.delay = Delay {
            anywhere: !cached,
            skipped_since: None,
        };
        let task = TaskId {
            job: id.clone(),
            index,
        };
        self.claim(&task, m_id, now);
        Some(Launch {
            task,
            machine: m_id.clone(),
            cached,
        })
    }

    fn skip(&mut self, skipped: Vec<JobId>, now: Time) {
        for id in skipped {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delay.skipped_since.get_or_insert(now);
            }
        }
    }

    /// Fills one machine, after its report: the walk of delay scheduling,
    /// until nothing more launches. Launched tasks are claimed on the board.
    pub fn walk(&mut self, m_id: &MachineId, rule: DelayRule, now: Time) -> Vec<Launch> {
        let mut launches = Vec::new();
        loop {
            let usable = self
                .machines
                .get(m_id)
                .is_some_and(|m| m.usable && m.free().cpu > 0);
            if !usable || !self.has_work() {
                return launches;
            }
            let mut skipped = Vec::new();
            let picked = self.pick(m_id, rule, &mut skipped, now);
            self.skip(skipped, now);
            let Some(launch) = picked.and_then(|id| self.launch(&id, m_id, now)) else {
                return launches;
            };
            launches.push(launch);
        }
    }

    fn pick(
        &self,
        m_id: &MachineId,
        rule: DelayRule,
        skipped: &mut Vec<JobId>,
        now: Time,
    ) -> Option<JobId> {
        let machine = self.machines.get(m_id)?;
        let needy = OnceCell::new();
        let sort = (machine.spot, machine.retiring, machine.slow, &*machine.kind);
        for (id, job) in self.in_order(now) {
            self.rooms.steps.set(self.rooms.steps.get() + 1);
            if !job.spec.each.fits(machine.free()) {
                continue;
            }
            let placeable = Self::suits(&job.spec, machine)
                && job
                    .spec
                    .each
                    .fits(self.room_for(id, job.spec.spot, m_id, now))
                && job.avoid.get(m_id).is_none_or(|until| now >= *until)
                && self
                    .zones_of(job)
                    .is_some_and(|zones| Self::zone_allows(job, &zones, &machine.zone))
                && self.limit_allows(job);
            let group = (machine.spot, &*machine.kind, &machine.zone);
            if !placeable || self.left_to_others((id, job), group, &needy, now) {
                continue;
            }
            let near = if machine.cache.has(&job.spec.image) {
                Nearness::Ready
            } else if machine.cache.expects(&job.spec.image) {
                Nearness::Coming
            } else {
                Nearness::Absent
            };
            let cost = self.place_cost(&job.spec, near, sort);
            let better = cost > CLEARLY_S
                && self
                    .best(id, job, &needy, now)
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
    /// asked again.
    pub fn place(&mut self, rule: DelayRule, now: Time) -> Vec<Launch> {
        let needy = OnceCell::from(self.needy(now));
        let mut launches = Vec::new();
        let mut tried: HashSet<JobId> = HashSet::new();
        loop {
            let mut skipped = Vec::new();
            let mut found = None;
            for (id, job) in self.in_order(now) {
                if tried.contains(id) {
                    continue;
                }
                self.rooms.steps.set(self.rooms.steps.get() + 1);
                match self.best(id, job, &needy, now) {
                    Some(offer) if self.may_launch(job, &offer.machine, rule, now) => {
                        found = Some((id.clone(), offer.machine));
                        break;
                    }
                    Some(_) => skipped.push(id.clone()),
                    None => {}
                }
                tried.insert(id.clone());
            }
            self.skip(skipped, now);
            let Some((id, machine)) = found else { break };
            match self.launch(&id, &machine, now) {
                Some(launch) => launches.push(launch),
                None => {
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
