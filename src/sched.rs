//! Scheduling without I/O or clock: fair shares, the delay walk, placement
//! checks and preemption over a plain [`Board`].
//!
//! The walk follows Algorithm 1 of the paper (section 4.2) with the changes
//! that `docs/design.md` lists.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;

use crate::types::{
    Amount, Attempt, Image, JobId, JobSpec, Kind, MachineId, MachineType, Priority, TaskId, Time,
    Zone,
};

/// How many seconds of fetching it is worth to leave an ordinary machine to
/// those who can't use spot ones.
const ORDINARY_S: f64 = 3.0;
/// How many CPU-seconds may be wasted to start a job in time that its users
/// wait for.
const LATE_START: f64 = 200.0;
/// As a multiple of a job's patience: it is late after this.
const LATE: f64 = 3.5;
/// On how many machines room is made for one job at a time.
const MOST_ROOMS: u32 = 8;
/// For how long room stays reserved for the job that it was made for.
const RESERVED_S: f64 = 10.0;
/// What a stopped task loses besides its work.
const REQUEUE_S: f64 = 3.0;
/// The same for a machine that should fall idle.
const RETIRING_S: f64 = 3.0;
/// The same for a large machine that others' tasks need.
const SCARCE_S: f64 = 3.0;

/// How far the start command of a claim has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// Not sent by this controller under its present grant.
    No,
    /// Sent directly; no answer yet.
    Flying,
    /// The worker has answered the command.
    Answered,
    /// Sent in the answer to a report.
    InReply,
}

/// What is known of a claimed task on its machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Progress {
    /// Not seen there yet.
    Unseen,
    /// Waiting for its image.
    Fetching,
    /// Running since about this time.
    Running(Time),
    /// Told to stop, saving.
    Saving,
}

/// A task's claim on a machine. It counts until its task is provably gone.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The attempt.
    pub attempt: Attempt,
    /// The machine.
    pub machine: MachineId,
    /// When it was made, or found at a takeover.
    pub since: Time,
    /// Whether the state service has it.
    pub committed: bool,
    /// Its start command.
    pub sent: Sent,
    /// The task itself.
    pub progress: Progress,
    /// The task is to be stopped, with this grace in seconds.
    pub stop: Option<f64>,
}

/// The tasks of one job: done, claimed or pending.
#[derive(Clone, Debug)]
pub struct Tasks {
    count: u32,
    chunk: u32,
    done: Vec<u64>,
    done_count: u32,
    claims: BTreeMap<u32, Claim>,
    next_attempt: BTreeMap<u32, u64>,
    cursor: u32,
}

impl Tasks {
    /// `count` pending tasks, recorded in chunks of `chunk` (at most 64).
    pub fn new(count: u32, chunk: u32) -> Self {
        let chunk = chunk.clamp(1, 64);
        Self {
            count,
            chunk,
            done: vec![0; count.div_ceil(chunk) as usize],
            done_count: 0,
            claims: BTreeMap::new(),
            next_attempt: BTreeMap::new(),
            cursor: 0,
        }
    }
    /// The chunk that holds task `index`.
    pub fn chunk_of(&self, index: u32) -> u32 {
        index / self.chunk
    }
    /// Tasks in a chunk.
    pub fn chunk_size(&self) -> u32 {
        self.chunk
    }
    /// Number of chunks.
    pub fn chunks(&self) -> u32 {
        self.count.div_ceil(self.chunk)
    }
    /// Whether a task is done.
    pub fn is_done(&self, index: u32) -> bool {
        self.done
            .get(self.chunk_of(index) as usize)
            .is_some_and(|word| word >> (index % self.chunk) & 1 == 1)
    }
    /// Marks a task done.
    pub fn set_done(&mut self, index: u32) {
        if index < self.count && !self.is_done(index) {
            let word = self.chunk_of(index) as usize;
            self.done[word] |= 1 << (index % self.chunk);
            self.done_count += 1;
        }
    }
    /// The done tasks of a chunk, one bit each.
    pub fn done_bits(&self, chunk: u32) -> u64 {
        self.done.get(chunk as usize).copied().unwrap_or(0)
    }
    /// Whether every task is done.
    pub fn all_done(&self) -> bool {
        self.done_count == self.count
    }
    /// How many tasks are neither done nor claimed.
    pub fn pending(&self) -> u32 {
        self.count - self.done_count - self.claims.len() as u32
    }
    /// The lowest task that is neither done nor claimed.
    pub fn next_pending(&mut self) -> Option<u32> {
        while self.cursor < self.count {
            if !self.is_done(self.cursor) && !self.claims.contains_key(&self.cursor) {
                return Some(self.cursor);
            }
            self.cursor += 1;
        }
        None
    }
    /// All claims in order.
    pub fn claims(&self) -> &BTreeMap<u32, Claim> {
        &self.claims
    }
    /// One claim, to change.
    pub fn claim_mut(&mut self, index: u32) -> Option<&mut Claim> {
        self.claims.get_mut(&index)
    }
    /// The next attempt number of a chunk. One counter serves its tasks, so
    /// no task ever has an attempt twice.
    pub fn next_attempt(&self, chunk: u32) -> u64 {
        self.next_attempt.get(&chunk).copied().unwrap_or(1)
    }
    /// Sets a chunk's attempt counter, as recorded.
    pub fn set_next_attempt(&mut self, chunk: u32, next: u64) {
        self.next_attempt.insert(chunk, next);
    }
    fn take_attempt(&mut self, index: u32) -> Attempt {
        let next = self.next_attempt.entry(index / self.chunk).or_insert(1);
        let attempt = Attempt(*next);
        *next += 1;
        attempt
    }
}

/// The three variables of delay scheduling.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Delay {
    /// May launch anywhere until its next cached launch.
    pub anywhere: bool,
    /// How long it has been skipped, in seconds.
    pub wait: f64,
    /// Skipped since the last walk.
    pub skipped: bool,
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
            .is_some_and(|t| now.since(t) > LATE * self.patience_s)
    }
    fn due(&self) -> f64 {
        self.spec
            .deadline_s
            .map_or(f64::INFINITY, |d| self.submitted.0 + d)
    }
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
}

#[derive(Clone, Debug)]
struct Cached {
    image: Image,
    gb: f64,
    /// A task has run on it; until then it may still be on its way.
    ready: bool,
}

/// Images on a machine, modelled: workers don't report them. Least recently
/// used first.
#[derive(Clone, Debug, Default)]
pub struct Cache(Vec<Cached>);

impl Cache {
    /// Whether the image should be there.
    pub fn has(&self, image: &Image) -> bool {
        self.0.iter().any(|c| c.image == *image && c.ready)
    }
    /// Whether the image is there or on its way.
    pub fn expects(&self, image: &Image) -> bool {
        self.0.iter().any(|c| c.image == *image)
    }
    /// An image is used; the oldest ones leave if there is no room. `ran`: a
    /// task runs on it, so it is there.
    pub fn touch(&mut self, image: &Image, gb: f64, room: f64, ran: bool) {
        let ready = ran || self.has(image);
        self.0.retain(|c| c.image != *image);
        self.0.push(Cached {
            image: image.clone(),
            gb,
            ready,
        });
        let mut total: f64 = self.0.iter().map(|c| c.gb).sum();
        while total > room && self.0.len() > 1 {
            total -= self.0.remove(0).gb;
        }
    }
    /// No task waits for the image any more: a fetch under way is given up.
    pub fn give_up(&mut self, image: &Image) {
        self.0.retain(|c| c.image != *image || c.ready);
    }
}

/// A machine as the scheduler sees it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its type.
    pub kind: Rc<MachineType>,
    /// Its zone.
    pub zone: Zone,
    /// A spot machine.
    pub spot: bool,
    /// May get new tasks.
    pub usable: bool,
    /// Tasks that claim it.
    pub claims: BTreeSet<TaskId>,
    /// Sum of their amounts.
    pub used: Amount,
    /// Its images.
    pub cache: Cache,
    /// Room kept for work that can't use spot machines.
    pub kept: Amount,
    /// For which share of the time of late the fleet's plans had no use for it.
    pub unused: f64,
    /// Should fall idle: its work has a cheaper place.
    pub retiring: bool,
    /// Room that is being made for a job, until a time.
    pub reserved: Option<(JobId, Time)>,
    /// Since when it has no claim.
    pub idle_since: Time,
}

impl Machine {
    /// A machine without tasks.
    pub fn new(kind: Rc<MachineType>, zone: Zone, spot: bool, now: Time) -> Self {
        Self {
            kind,
            zone,
            spot,
            usable: false,
            claims: BTreeSet::new(),
            used: Amount::default(),
            cache: Cache::default(),
            kept: Amount::default(),
            unused: 0.0,
            retiring: false,
            reserved: None,
            idle_since: now,
        }
    }
    /// Price an hour of a thousandth of a CPU.
    pub fn price_per_cpu(&self) -> f64 {
        let price = if self.spot {
            self.kind.spot_price
        } else {
            self.kind.price
        };
        price / self.kind.total.cpu.max(1) as f64
    }
    /// What is free.
    pub fn free(&self) -> Amount {
        self.kind.total - self.used
    }
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

/// Everything the scheduler decides from.
#[derive(Clone, Debug, Default)]
pub struct Board {
    /// Teams.
    pub teams: Vec<Team>,
    /// Jobs.
    pub jobs: BTreeMap<JobId, Job>,
    /// Machines.
    pub machines: BTreeMap<MachineId, Machine>,
    /// Sizes of tasks seen of late.
    pub shapes: Vec<Amount>,
    /// When the last walk was, for the jobs' waits.
    pub last_walk: Time,
}

/// A team's place in the order: below its guarantee first, then by how far it
/// is below its fair share.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Standing {
    /// Distance below the guarantee, as a share of it; 0 if not below.
    pub below_guarantee: f64,
    /// Distance below the water-filled fair share, as a share of everything.
    pub below_fair: f64,
}

/// The paper's allocation (section 3.1, appendix A): demands below their
/// minimum are met, the others get their minimum, and what is left is poured
/// into the emptiest first.
pub fn water_fill(capacity: f64, minimum: &[f64], demand: &[f64]) -> Vec<f64> {
    let mut share: Vec<f64> = minimum.iter().zip(demand).map(|(m, d)| m.min(*d)).collect();
    let total: f64 = share.iter().sum();
    if total >= capacity {
        let scale = if total > 0.0 { capacity / total } else { 0.0 };
        share.iter_mut().for_each(|s| *s *= scale);
        return share;
    }
    let mut left = capacity - total;
    loop {
        let open: Vec<usize> = (0..share.len())
            .filter(|&i| share[i] < demand[i] - 1e-12)
            .collect();
        let Some(level) = open.iter().map(|&i| share[i]).min_by(f64::total_cmp) else {
            return share;
        };
        if left <= 1e-12 {
            return share;
        }
        // Raise all buckets at the lowest level to the next level above it,
        // the first full bucket, or as far as the water goes.
        let lowest: Vec<usize> = open
            .iter()
            .copied()
            .filter(|&i| share[i] <= level + 1e-12)
            .collect();
        let next = open
            .iter()
            .map(|&i| share[i])
            .filter(|s| *s > level + 1e-12)
            .chain(lowest.iter().map(|&i| demand[i]))
            .min_by(f64::total_cmp)
            .unwrap_or(level);
        let step = (next - level).min(left / lowest.len() as f64);
        for &i in &lowest {
            share[i] += step;
        }
        left -= step * lowest.len() as f64;
    }
}

impl Board {
    /// What all usable machines offer.
    pub fn capacity(&self) -> Amount {
        let mut sum = Amount::default();
        for m in self.machines.values().filter(|m| m.usable) {
            sum += m.kind.total;
        }
        sum
    }

    /// What all teams together are guaranteed.
    pub fn guaranteed(&self) -> Amount {
        let mut sum = Amount::default();
        for team in &self.teams {
            sum += team.guarantee;
        }
        sum
    }

    /// Every team's standing now.
    pub fn standings(&self, now: Time) -> Vec<Standing> {
        let capacity = self.capacity();
        let size = |a: Amount| {
            let part = |x: i64, of: i64| if of > 0 { x as f64 / of as f64 } else { 0.0 };
            part(a.cpu, capacity.cpu).max(part(a.gpu, capacity.gpu))
        };
        let mut wanted: Vec<Amount> = self.teams.iter().map(|t| t.used).collect();
        for job in self.jobs.values().filter(|j| j.wants(now)) {
            wanted[job.team] += job.spec.each.times(i64::from(job.tasks.pending()));
        }
        let minimum: Vec<f64> = self.teams.iter().map(|t| size(t.guarantee)).collect();
        let demand: Vec<f64> = self
            .teams
            .iter()
            .zip(&wanted)
            .map(|(t, w)| size(*w).min(size(t.limit)))
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

    /// The jobs that want a task placed, in the order of the walk.
    pub fn order(&self, now: Time) -> Vec<JobId> {
        let standings = self.standings(now);
        let mut jobs: Vec<(&JobId, &Job)> =
            self.jobs.iter().filter(|(_, j)| j.wants(now)).collect();
        jobs.sort_by(|(a_id, a), (b_id, b)| {
            let (sa, sb) = (standings[a.team], standings[b.team]);
            sb.below_guarantee
                .total_cmp(&sa.below_guarantee)
                .then(sb.below_fair.total_cmp(&sa.below_fair))
                .then(b.spec.priority.cmp(&a.spec.priority))
                .then(a.due().total_cmp(&b.due()))
                .then(a.submitted.0.total_cmp(&b.submitted.0))
                .then(a_id.cmp(b_id))
        });
        jobs.into_iter().map(|(id, _)| id.clone()).collect()
    }

    /// Whether a machine's type, zone and kind suit a job at all.
    pub fn suits(spec: &JobSpec, machine: &Machine) -> bool {
        spec.each.fits(machine.kind.total)
            && (spec.spot || !machine.spot)
            && spec.zone.as_ref().is_none_or(|z| *z == machine.zone)
            && spec
                .types
                .as_ref()
                .is_none_or(|t| t.contains(&machine.kind.name))
    }

    /// Whether one more task of a job may be in a zone, given where its other
    /// claims are. A claim on a machine whose zone is not known yet forbids
    /// every placement that depends on zones.
    pub fn zone_allows(&self, job: &Job, zone: &Zone) -> bool {
        if !job.spec.one_zone && !job.spec.spread {
            return true;
        }
        let mut here = 0;
        for claim in job.tasks.claims().values() {
            match self.machines.get(&claim.machine) {
                None => return false,
                Some(m) if m.zone == *zone => here += 1,
                Some(_) if job.spec.one_zone => return false,
                Some(_) => {}
            }
        }
        !job.spec.spread || here < job.spec.tasks.div_ceil(2)
    }

    /// Whether one more task of a job stays within its team's limit.
    pub fn limit_allows(&self, job: &Job) -> bool {
        let team = &self.teams[job.team];
        (team.used + job.spec.each).fits_team(team.limit)
    }

    fn room_for(&self, id: &JobId, machine: &Machine, now: Time) -> Amount {
        let mut free = machine.free();
        if let Some((other, until)) = &machine.reserved {
            if other != id && now < *until {
                if let Some(job) = self.jobs.get(other).filter(|j| j.wants(now)) {
                    free -= job.spec.each;
                }
            }
        }
        if self.jobs.get(id).is_some_and(|j| j.spec.spot) {
            free -= machine.kept;
        }
        free
    }

    fn may_place(
        &self,
        id: &JobId,
        job: &Job,
        m_id: &MachineId,
        machine: &Machine,
        now: Time,
    ) -> bool {
        machine.usable
            && Self::suits(&job.spec, machine)
            && job.spec.each.fits(self.room_for(id, machine, now))
            && job.avoid.get(m_id).is_none_or(|until| now >= *until)
            && self.zone_allows(job, &machine.zone)
            && self.limit_allows(job)
    }

    /// What placing a job on a machine costs, in seconds: its image's fetch,
    /// and for taking what others need more.
    fn place_cost(&self, job: &Job, machine: &Machine) -> f64 {
        let mut cost = 0.0;
        if !machine.cache.has(&job.spec.image) {
            let fetch = job.spec.image_gb / machine.kind.fetch_gb_per_s.max(1e-3);
            cost += if machine.cache.expects(&job.spec.image) {
                fetch / 2.0
            } else {
                fetch
            };
        }
        if job.spec.spot && !machine.spot {
            cost += ORDINARY_S;
        }
        if machine.retiring {
            cost += RETIRING_S;
        }
        // Large machines are left to tasks that fit no smaller one.
        let scarce = self.shapes.iter().any(|s| {
            s.fits(machine.kind.total)
                && self
                    .machines
                    .values()
                    .any(|m| m.usable && !s.fits(m.kind.total) && job.spec.each.fits(m.kind.total))
        });
        if scarce && !self.shapes_need(&job.spec.each, machine) {
            cost += SCARCE_S;
        }
        cost
    }

    /// Whether tasks of this size fit no smaller machine than this one.
    fn shapes_need(&self, each: &Amount, machine: &Machine) -> bool {
        !self.machines.values().any(|m| {
            m.usable && m.kind.total.cpu < machine.kind.total.cpu && each.fits(m.kind.total)
        })
    }

    /// Whether another job waits that fits only machines as large as this one,
    /// while this one fits smaller ones and has not waited for long.
    fn left_to_others(&self, id: &JobId, job: &Job, machine: &Machine, now: Time) -> bool {
        let waited = job.blocked_since.map_or(0.0, |t| now.since(t));
        job.start_within.is_none()
            && waited < job.patience_s
            && !self.shapes_need(&job.spec.each, machine)
            && self.jobs.iter().any(|(other_id, other)| {
                other_id != id
                    && other.wants(now)
                    && Self::suits(&other.spec, machine)
                    && self.shapes_need(&other.spec.each, machine)
                    && self.limit_allows(other)
            })
    }

    /// Whether another machine with room suits a job clearly better now.
    fn better_elsewhere(&self, id: &JobId, job: &Job, m_id: &MachineId, now: Time) -> bool {
        let Some(machine) = self.machines.get(m_id) else {
            return false;
        };
        let cost = self.place_cost(job, machine);
        cost > 0.5
            && self.machines.iter().any(|(other, m)| {
                other != m_id
                    && self.may_place(id, job, other, m, now)
                    && self.place_cost(job, m) + 0.5 < cost
            })
    }

    fn cached_somewhere(&self, spec: &JobSpec) -> bool {
        self.machines
            .values()
            .any(|m| m.usable && m.cache.has(&spec.image) && Self::suits(spec, m))
    }

    /// Adds the time since the last walk to every skipped job's wait.
    fn age(&mut self, now: Time) {
        let elapsed = now.since(self.last_walk);
        self.last_walk = now;
        for job in self.jobs.values_mut() {
            if job.delay.skipped {
                job.delay.wait += elapsed;
                job.delay.skipped = false;
            }
        }
    }

    /// Fills one machine: the walk of delay scheduling, until nothing more
    /// launches. The launched tasks are claimed on the board.
    pub fn walk(&mut self, m_id: &MachineId, rule: DelayRule, now: Time) -> Vec<Launch> {
        self.age(now);
        let mut launches = Vec::new();
        while let Some((job, cached)) = self.pick(m_id, rule, now) {
            let Some(index) = self.jobs.get_mut(&job).and_then(|j| j.tasks.next_pending()) else {
                break;
            };
            if let Some(j) = self.jobs.get_mut(&job) {
                // A launch on a cached image takes the job back to waiting
                // for one; any other leaves it free to launch anywhere.
                j.delay = Delay {
                    anywhere: !cached,
                    wait: 0.0,
                    skipped: false,
                };
            }
            let task = TaskId { job, index };
            self.claim(&task, m_id, now);
            launches.push(Launch {
                task,
                machine: m_id.clone(),
                cached,
            });
        }
        launches
    }

    fn pick(&mut self, m_id: &MachineId, rule: DelayRule, now: Time) -> Option<(JobId, bool)> {
        if !self.machines.get(m_id)?.usable {
            return None;
        }
        for id in self.order(now) {
            let (Some(machine), Some(job)) = (self.machines.get(m_id), self.jobs.get(&id)) else {
                continue;
            };
            if !self.may_place(&id, job, m_id, machine, now) {
                continue;
            }
            if self.left_to_others(&id, job, machine, now)
                || self.better_elsewhere(&id, job, m_id, now)
            {
                continue;
            }
            let cached = machine.cache.has(&job.spec.image);
            if cached
                || job.delay.anywhere
                || job.delay.wait >= rule.threshold(&job.spec, &machine.kind)
            {
                return Some((id, cached));
            }
            if !self.cached_somewhere(&job.spec) {
                // Waiting can't help: no block has the image. The job's level
                // stays as it was.
                return Some((id, false));
            }
            if let Some(job) = self.jobs.get_mut(&id) {
                job.delay.skipped = true;
            }
        }
        None
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
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let each = job.spec.each;
        self.teams[job.team].used += each;
        if let Some(m) = self.machines.get_mut(&claim.machine) {
            m.claims.insert(task.clone());
            m.used += each;
            m.cache
                .touch(&job.spec.image, job.spec.image_gb, m.kind.cache_gb, false);
            if m.reserved.as_ref().is_some_and(|(j, _)| *j == task.job) {
                m.reserved = None;
            }
        }
        job.tasks.claims.insert(task.index, claim);
    }

    /// Marks a claimed task to be stopped, with time to save if that is of use
    /// and there is no hurry.
    pub fn stop(&mut self, task: &TaskId, hurry: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        let saves = job.spec.checkpoint_s > 0.0 && !job.cancelled && !hurry;
        let grace = if saves { job.spec.save_s + 1.0 } else { 0.0 };
        if let Some(claim) = job.tasks.claims.get_mut(&task.index) {
            if claim.stop.is_none_or(|g| grace < g) {
                claim.stop = Some(grace);
            }
        }
    }

    /// Removes a claim whose task is provably gone, or was never started.
    pub fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let job = self.jobs.get_mut(&task.job)?;
        let claim = job.tasks.claims.remove(&task.index)?;
        job.tasks.cursor = job.tasks.cursor.min(task.index);
        let each = job.spec.each;
        self.teams[job.team].used -= each;
        let image = job.spec.image.clone();
        let jobs = &self.jobs;
        if let Some(m) = self.machines.get_mut(&claim.machine) {
            if m.claims.remove(task) {
                m.used -= each;
            }
            let awaited = |t: &TaskId| jobs.get(&t.job).is_some_and(|j| j.spec.image == image);
            if !m.claims.iter().any(awaited) {
                m.cache.give_up(&image);
            }
            if m.claims.is_empty() {
                m.idle_since = now;
            }
        }
        Some(claim)
    }

    /// A claimed task was seen running, so its image is there.
    pub fn ran(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get(&task.job) else {
            return;
        };
        let Some(claim) = job.tasks.claims().get(&task.index) else {
            return;
        };
        if let Some(m) = self.machines.get_mut(&claim.machine) {
            m.cache
                .touch(&job.spec.image, job.spec.image_gb, m.kind.cache_gb, true);
        }
    }

    /// A machine appears; claims found earlier on it are entered.
    pub fn add_machine(&mut self, id: MachineId, mut machine: Machine) {
        for (job_id, job) in &self.jobs {
            for (&index, claim) in job.tasks.claims() {
                if claim.machine == id {
                    machine.claims.insert(TaskId {
                        job: job_id.clone(),
                        index,
                    });
                    machine.used += job.spec.each;
                    machine.cache.touch(
                        &job.spec.image,
                        job.spec.image_gb,
                        machine.kind.cache_gb,
                        false,
                    );
                }
            }
        }
        self.machines.insert(id, machine);
    }

    /// What stopping a claim's task now would waste, in CPU-seconds.
    fn waste(job: &Job, claim: &Claim, now: Time) -> f64 {
        let ran = match claim.progress {
            Progress::Running(since) => now.since(since),
            _ => 0.0,
        };
        let lost = if job.spec.checkpoint_s > 0.0 {
            ran.min(job.spec.save_s)
        } else {
            ran
        };
        (lost + REQUEUE_S) * job.spec.each.cpu as f64 / 1000.0
    }

    /// Chooses tasks to stop for jobs that found no place for `patience`
    /// seconds, in the allowed cases only: for a higher priority, or to give a
    /// team its guarantee out of what another team runs beyond its own.
    /// Reserves the room. Live services are never chosen.
    pub fn preempt(&mut self, patience: impl Fn(&Job) -> f64, now: Time) -> Vec<TaskId> {
        let mut stops = Vec::new();
        for id in self.order(now) {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let waited = job.blocked_since.map_or(0.0, |t| now.since(t));
            if waited < patience(job) {
                continue;
            }
            let hurry = job.start_within.is_some();
            let wanted = job.tasks.pending().min(MOST_ROOMS);
            let reserved = self
                .machines
                .values()
                .filter(|m| {
                    m.reserved
                        .as_ref()
                        .is_some_and(|(j, until)| *j == id && now < *until)
                })
                .count() as u32;
            for _ in reserved..wanted {
                let Some(job) = self.jobs.get(&id) else { break };
                let Some((m_id, victims)) = self.make_room(&id, job, now) else {
                    break;
                };
                for task in &victims {
                    self.stop(task, hurry);
                }
                if let Some(m) = self.machines.get_mut(&m_id) {
                    m.reserved = Some((id.clone(), now.after(RESERVED_S)));
                }
                stops.extend(victims);
            }
        }
        stops
    }

    /// What a team's tasks take that are being stopped.
    fn leaving(&self, team: usize) -> Amount {
        let mut sum = Amount::default();
        for job in self.jobs.values().filter(|j| j.team == team) {
            let stopped = job
                .tasks
                .claims()
                .values()
                .filter(|c| c.stop.is_some())
                .count();
            sum += job.spec.each.times(stopped as i64);
        }
        sum
    }

    fn make_room(&self, id: &JobId, job: &Job, now: Time) -> Option<(MachineId, Vec<TaskId>)> {
        let team = &self.teams[job.team];
        let within_guarantee = (team.used + job.spec.each).fits_team(team.guarantee);
        // At the team's limit only the team's own work can make room.
        let over = team.used - self.leaving(job.team) + job.spec.each;
        let limited = !over.fits_team(team.limit);
        let mut best: Option<(f64, MachineId, Vec<TaskId>)> = None;
        for (m_id, machine) in &self.machines {
            if !machine.usable
                || machine
                    .reserved
                    .as_ref()
                    .is_some_and(|(_, until)| now < *until)
                || !Self::suits(&job.spec, machine)
                || job.avoid.get(m_id).is_some_and(|until| now < *until)
                || !self.zone_allows(job, &machine.zone)
            {
                continue;
            }
            let mut candidates: Vec<(Priority, f64, &TaskId)> = Vec::new();
            let mut free = self.room_for(id, machine, now);
            let mut beyond: Vec<Amount> = self.teams.iter().map(|t| t.used - t.guarantee).collect();
            for task in &machine.claims {
                let Some(other) = self.jobs.get(&task.job) else {
                    continue;
                };
                let Some(claim) = other.tasks.claims().get(&task.index) else {
                    continue;
                };
                if claim.stop.is_some() {
                    // Leaving already.
                    free += other.spec.each;
                    beyond[other.team] -= other.spec.each;
                } else if other.spec.kind != Kind::Service && claim.committed {
                    candidates.push((other.spec.priority, Self::waste(other, claim, now), task));
                }
            }
            candidates.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)));
            let mut victims = Vec::new();
            let mut cost = 0.0;
            let mut used = over;
            for (priority, waste, task) in candidates {
                if job.spec.each.fits(free) && used.fits_team(team.limit) {
                    break;
                }
                let Some(other) = self.jobs.get(&task.job) else {
                    continue;
                };
                let each = other.spec.each;
                let left = beyond[other.team];
                let borrowed = other.team != job.team && each.fits_team(left);
                // A lower priority gives way, unless that would push a team
                // below its guarantee for one that is beyond its own: the two
                // would then take turns stopping each other. Production has
                // no such turns: nothing stops it.
                let lower = priority < job.spec.priority
                    && (job.spec.priority == Priority::Critical
                        || within_guarantee
                        || borrowed
                        || other.team == job.team);
                let own = other.team == job.team;
                if limited && !own {
                    continue;
                }
                if lower || (within_guarantee && borrowed) {
                    free += each;
                    if own {
                        used -= each;
                    }
                    beyond[other.team] -= each;
                    cost += waste + 0.1;
                    victims.push(task.clone());
                }
            }
            if !job.spec.each.fits(free) || !used.fits_team(team.limit) {
                continue;
            }
            if !machine.cache.has(&job.spec.image) {
                let fetch = job.spec.image_gb / machine.kind.fetch_gb_per_s.max(1e-3);
                cost += fetch * job.spec.each.cpu as f64 / 1000.0;
                if job.start_within.is_some_and(|s| fetch > 0.8 * s) {
                    cost += LATE_START;
                }
            }
            if best.as_ref().is_none_or(|(c, _, _)| cost < *c) {
                best = Some((cost, m_id.clone(), victims));
            }
        }
        best.map(|(_, m, v)| (m, v))
    }

    /// The order in which machines are offered to a job that just arrived:
    /// spot machines first, which leaves ordinary ones to those who need
    /// them, then the fullest first, so that whole machines fall idle.
    pub fn offer_order(&self) -> Vec<MachineId> {
        let mut machines: Vec<(&MachineId, &Machine)> =
            self.machines.iter().filter(|(_, m)| m.usable).collect();
        machines.sort_by(|(a_id, a), (b_id, b)| {
            b.spot
                .cmp(&a.spot)
                .then(b.claims.is_empty().cmp(&a.claims.is_empty()).reverse())
                .then(a.free().cpu.cmp(&b.free().cpu))
                .then(a_id.cmp(b_id))
        });
        machines.into_iter().map(|(id, _)| id.clone()).collect()
    }
}
