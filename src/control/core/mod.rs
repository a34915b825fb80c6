//! What the owner of the block knows and decides, without I/O: time, reports
//! and outcomes come in, transactions, commands and cloud calls go out.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::ops::Bound;
use std::rc::Rc;
use std::sync::Arc;

mod calendar;
mod deleted_machines;
mod lanes;
mod largest_jobs;
mod links;
mod moving;
mod record;
mod renting;
mod sharing;
mod staging;
mod unlinked;

use sorrelhinge_blocks::largest_jobs::Largest;
use sorrelhinge_blocks::served::{Served, Sort, Waits};
use sorrelhinge_blocks::shard::Shard;
use sorrelhinge_overload::fleet_limit::ClaimRate;
use sorrelhinge_overload::reachability::Reachability;
use sorrelhinge_topology::drain::Drain;
use sorrelhinge_topology::renting::Memory;
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::Topology;

pub use self::calendar::WindowStep;
use self::deleted_machines::DeletedMachines;
pub use self::sharing::{LeftTo, Places};
use super::pending::{ChunkId, Due, Haste, Pending};
use crate::cloud::{Listed, MachinePhase, Rental};
use crate::config::Config;
use crate::fleet;
use crate::sched::{
    Claim, ClusterState, DelayRule, Job, Laned, Launch, Machine, Pass, Progress, Sent, Tasks, Team,
};
use crate::state::record::{block_key, chunk_key, job_key, ChunkRecord, JobRecord, Phase};
use crate::state::view::{JobEntry, Versioned, View};
use crate::state::{Change, Txn, When};
use crate::types::{
    Amount, Attempt, Image, JobId, JobSpec, Kind, MachineId, MachineType, Priority, Revision, Seq,
    Session, TaskId, Time, Token, TypeName, Zone,
};
use crate::worker::{
    Command, Orders, Reply, Report, ReportedImage, ReportedTask, Sending, TaskPhase, Why,
};

/// Where a report came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The worker's own reporting.
    Beat,
    /// The same, taken by another controller that was asked to.
    Homed,
    /// The same, passed on by another controller: it can't reach this one.
    Passed,
    /// The answer to a direct command.
    Direct,
}

/// The line to one worker.
#[derive(Debug)]
struct Link {
    addr: SocketAddr,
    session: Session,
    seq: Seq,
    /// The token that commands to this machine carry now.
    token: Token,
    /// The highest token that the worker has reported.
    seen: Token,
    last_heard: Time,
    /// The newest report that another controller spoke of.
    told_of: Seq,
    /// Whether anything that is sent there has an effect.
    reachability: Reachability,
    tasks: BTreeMap<(TaskId, Attempt), (TaskPhase, Option<Why>)>,
    /// A direct command is under way.
    flying: bool,
    /// Direct commands don't get through; next try at this time.
    direct_retry: Time,
    direct_failures: u32,
    /// It is silent and has tasks: it is asked directly.
    suspect: bool,
    /// How often in a row it took a connection and did not answer.
    hangs: u32,
    /// A direct command failed: no new tasks until a report shows that it heard.
    doubted: bool,
    /// Its last report was passed on by another controller.
    passed: bool,
    /// The cloud takes it, or it was chosen to go.
    leaving: bool,
    /// Being deleted: nothing may count on it again.
    deleting: bool,
    /// Not used until then, after failures.
    shunned_until: Time,
    /// Jobs that failed here.
    errors: BTreeSet<JobId>,
    kill_sent: BTreeMap<(TaskId, Attempt), Time>,
    /// Images that it said it hands on.
    images: Vec<ReportedImage>,
}

impl Link {
    /// Whether the last report was made after the worker had learnt the token
    /// that now fences every earlier command to it.
    fn fenced(&self) -> bool {
        self.seen >= self.token
    }
}

/// A machine that is on its way.
#[derive(Clone, Debug)]
struct Coming {
    kind: TypeName,
    zone: Zone,
    spot: bool,
    since: Time,
}

/// Jobs of one class that came of late.
struct Arrivals {
    spec: Rc<JobSpec>,
    recent: VecDeque<(Time, u32)>,
}

/// A transaction under way, with what it records.
#[derive(Debug)]
pub struct Batch {
    /// The transaction.
    pub txn: Txn,
    /// Chunks under keys of their own; none: deleted.
    chunks: Vec<(ChunkId, Option<ChunkRecord>)>,
    /// Jobs' own records: completed ones, and those that hold their claims.
    jobs: Vec<(JobId, JobRecord)>,
    /// An image's wave.
    wave: Option<staging::Step>,
}

/// Direct commands to send.
#[derive(Debug)]
pub struct Dispatch {
    /// To which machine.
    pub machine: MachineId,
    /// Where it is.
    pub addr: SocketAddr,
    /// What to send.
    pub orders: Orders,
}

/// The block owner's knowledge.
pub struct Core {
    cfg: Rc<Config>,
    /// The jobs, machines and shares.
    pub cluster_state: ClusterState,
    /// The grant's number and the revision that wrote it.
    pub grant: u64,
    grant_stamp: Revision,
    /// Which block it is.
    pub shard: Shard,
    /// It is handed on: nothing more is claimed, and what is under way settles.
    frozen_since: Option<Time>,
    /// Room that others' tasks may take, and what was left to others.
    sharing: sharing::Sharing,
    places: Places,
    served: Served,
    largest: Largest,
    last_served: Time,
    /// Who starved when that was last told.
    starved: BTreeSet<Sort>,
    types: HashMap<TypeName, Rc<MachineType>>,
    links: BTreeMap<MachineId, Link>,
    coming: BTreeMap<MachineId, Coming>,
    pending: Pending,
    /// Images that machines ran before this owner knew them.
    ran_before: HashMap<MachineId, Vec<(Image, f64)>>,
    /// Machines that commands may have to go to, the most important first.
    active: BTreeSet<(u8, MachineId)>,
    /// The takeover was a moment ago.
    young: bool,
    /// Nothing was placed yet; not all machines were heard.
    idle_yet: bool,
    unheard_yet: bool,
    /// Machines to try again at a time, in milliseconds.
    retries: BTreeSet<(u64, MachineId)>,
    /// Machines where room appeared, and the one that was walked last.
    touched: BTreeSet<MachineId>,
    walked: MachineId,
    /// What walks share, and since when.
    pass: Option<(Time, Pass)>,
    flying: usize,
    refused: HashMap<(TypeName, Zone, bool), Time>,
    rentals: u64,
    renting: u32,
    /// How many machines can be served, if that was found to be a bound.
    most_machines: Option<usize>,
    /// What is claimed a second, and since that was last looked at.
    claim_rate: ClaimRate,
    claimed_cpu: i64,
    /// Until then silence tells nothing.
    deaf_until: Time,
    /// No task is started after this; no bound until one is told.
    starts_until: Time,
    /// Machines on which starts were due since.
    starts_withheld: BTreeSet<MachineId>,
    missing: BTreeMap<MachineId, u32>,
    /// A machine list was read under this grant.
    listed: bool,
    /// By class, and by the smallest machine type that a task fits: their
    /// room is not the same.
    arrivals: BTreeMap<(Rc<str>, Option<TypeName>), Arrivals>,
    /// Deleted machines that a late list, or a late copy of a report, may still
    /// show.
    deleted: BTreeMap<MachineId, Time>,
    /// Those to note for later owners, and those that earlier ones noted.
    gone: DeletedMachines,
    gone_before: BTreeSet<MachineId>,
    started: Time,
    /// The time of day when it started, in milliseconds.
    started_ms: u64,
    /// Windows of the release calendar.
    windows: calendar::Windows,
    /// What operators drain.
    drains: Vec<Drain>,
    /// Images that go from machine to machine.
    staging: staging::Staging,
    /// Domains that lost machines of late.
    stability: Stability,
    /// Where machines came up of late.
    memory: Memory,
    /// Jobs that lost a claim: a gang among them may have to start anew.
    gangs: BTreeSet<JobId>,
    last_repair: Option<Time>,
    /// When each job that waits was last spoken of in the log.
    told: BTreeMap<JobId, Time>,
    /// Work arrived or room appeared: walk all machines.
    pub walk_all: bool,
    last_fleet: Time,
    last_plan: Time,
    last_look: Time,
}

/// How often it is told who is served, in seconds, and how often at the most if
/// that changes.
const SERVED_S: f64 = 30.0;
const SERVED_LEAST_S: f64 = 5.0;

/// Part of its start aim after which room is made for a job.
const PREEMPT_START: f64 = 0.15;
/// The same for other jobs, as a multiple of their patience.
const PREEMPT_SLACK: f64 = 2.0;
/// For how long a job tells what may come.
const RECENT_S: f64 = 180.0;
const MOST_ARRIVALS: usize = 2000;
/// A machine may go once plans had no use for it for this share of the time.
const UNUSED_SHARE: f64 = 0.6;
/// Once nothing has run for so long, and nothing waits, machines go.
const IDLE_S: f64 = 20.0;
/// A machine with tasks that is silent for this many report intervals is asked
/// directly. One that takes the connection and does not answer hangs, and its
/// tasks with it, while one that can't be reached may only be cut off.
const SUSPECT_REPORTS: f64 = 1.6;
/// But not before this, in seconds: anything may stand still for a moment.
const SUSPECT_LEAST_S: f64 = 5.0;
/// Asked twice in vain it is given back, or once and silent for so many.
const HANGS_REPORTS: f64 = 2.2;
const FLEET_LOG_S: f64 = 10.0;
/// Steps of the walks in one turn: jobs and places that are looked at.
const WALK_STEPS: u64 = 4000;
/// For so long walks share what they have in common, in seconds.
const PASS_S: f64 = 0.2;
/// For how long after a takeover machines are asked by what is on them.
const YOUNG_S: f64 = 60.0;
const KILL_AGAIN_S: f64 = 2.0;
/// After so many attempts without a result a new owner takes a job for mistaken.
const WASTED: u64 = 8;
const TXN_BYTES: usize = 48 << 10;
/// Direct commands under way at a time.
pub const MOST_FLYING: usize = 48;
/// How often all machines are looked at for what only time changes.
const LOOK_S: f64 = 1.0;
/// More room for replicas: the more there is, the more likely some of it has
/// the image, and a fetch takes longer than their users wait.
const SERVICE_ROOM: f64 = 1.7;

impl Core {
    /// Takes up the grant of all machines.
    pub fn load(
        cfg: Rc<Config>,
        types: &[MachineType],
        view: &View,
        grant: (u64, Revision),
        topology: Option<Rc<Topology>>,
        now: Time,
        wall_ms: u64,
    ) -> Self {
        Self::load_block(
            cfg,
            types,
            view,
            (Shard::WHOLE, grant, Places::default()),
            topology,
            now,
            wall_ms,
        )
    }

    /// Takes up the grant of a block: everything recorded of it is on the cluster state,
    /// and every claim counts until a report that carries the new token says
    /// otherwise.
    pub fn load_block(
        cfg: Rc<Config>,
        types: &[MachineType],
        view: &View,
        (shard, (grant, grant_stamp), places): (Shard, (u64, Revision), Places),
        topology: Option<Rc<Topology>>,
        now: Time,
        wall_ms: u64,
    ) -> Self {
        let teams = cfg
            .teams
            .iter()
            .map(|t| Team {
                name: t.name.clone(),
                guarantee: t.guarantee,
                // Of one block that holds all machines; of several each has
                // its part, see `look_at_limits`.
                limit: t.limit,
                used: Amount::default(),
                held_back: Amount::default(),
            })
            .collect();
        let staging = staging::Staging::load(&cfg, shard, view);
        let mut core = Self {
            cfg,
            cluster_state: ClusterState::new(teams),
            grant,
            grant_stamp,
            shard,
            frozen_since: None,
            sharing: sharing::Sharing::default(),
            places,
            served: Served::default(),
            largest: Largest::default(),
            last_served: now,
            starved: BTreeSet::new(),
            types: HashMap::new(),
            links: BTreeMap::new(),
            coming: BTreeMap::new(),
            pending: Pending::default(),
            ran_before: view.history.images(),
            active: BTreeSet::new(),
            young: true,
            idle_yet: true,
            unheard_yet: true,
            retries: BTreeSet::new(),
            touched: BTreeSet::new(),
            walked: MachineId::from(""),
            pass: None,
            flying: 0,
            refused: HashMap::new(),
            rentals: 0,
            renting: 0,
            most_machines: None,
            claim_rate: ClaimRate::default(),
            claimed_cpu: 0,
            deaf_until: now,
            starts_until: Time(f64::INFINITY),
            starts_withheld: BTreeSet::new(),
            missing: BTreeMap::new(),
            listed: false,
            arrivals: BTreeMap::new(),
            deleted: BTreeMap::new(),
            gone: DeletedMachines::load(view, shard),
            gone_before: view
                .gone
                .values()
                .flat_map(|held| held.value.machines.iter().cloned())
                .collect(),
            started: now,
            started_ms: wall_ms,
            windows: calendar::Windows::default(),
            drains: Vec::new(),
            staging,
            stability: Stability::default(),
            memory: Memory::default(),
            gangs: BTreeSet::new(),
            last_repair: None,
            told: BTreeMap::new(),
            walk_all: true,
            last_fleet: now,
            last_plan: now,
            last_look: now,
        };
        let others = core.cfg.others.iter().map(|o| o.zone.clone());
        core.cluster_state.staged_gb = core.cfg.tuning.staging_least_gb;
        core.cluster_state.served = others.chain([core.cfg.zone.clone()]).collect();
        core.set_types(types);
        core.cluster_state.set_topology(topology, |_| None);
        core.set_drains(view, now);
        core.look_at_limits(view);
        // Of several blocks each places an equal part of what comes.
        let part = view.history.arrivals().enumerate();
        let part = part.filter(|(n, _)| *n as u32 % shard.of == shard.block.0);
        for (_, (accepted_ms, spec)) in part {
            let age = wall_ms.saturating_sub(*accepted_ms) as f64 / 1000.0;
            core.arrived(spec, Time(now.0 - age));
        }
        let mut jobs: Vec<(&JobId, &JobEntry)> = view.jobs().collect();
        jobs.sort_by(|a, b| a.0.cmp(b.0));
        for (id, entry) in jobs {
            core.add_job(id, entry, now, wall_ms);
        }
        core.look_at_windows(view, wall_ms as i64, now);
        // Else nobody would go ahead after a takeover until the first look, and the
        // order would be that of the acceptors' clocks.
        core.cluster_state
            .look_at_lanes(&core.cfg.lanes, now, wall_ms);
        core
    }

    /// The grant's lowest token.
    fn base_token(&self) -> Token {
        Token::of_grant(self.grant)
    }

    fn add_job(&mut self, id: &JobId, entry: &JobEntry, now: Time, wall_ms: u64) {
        if self.shard.homes(id) || self.claims_here(entry) {
            self.add_known(id, entry, now, wall_ms);
        }
    }

    fn add_known(&mut self, id: &JobId, entry: &JobEntry, now: Time, wall_ms: u64) {
        let record = &entry.record.value;
        let over = record.phase != Phase::Live;
        let homed = self.shard.homes(id);
        // A done job's tasks have all ended, whatever a chunk that was not
        // deleted yet still claims.
        if record.phase == Phase::Done || over && !self.claims_here(entry) {
            for &chunk in entry.chunks.keys().filter(|_| homed) {
                self.pending.useless((id.clone(), chunk), now);
            }
            return;
        }
        let Some(spec) = &record.spec else {
            tracing::error!(job = %id, "record has no description");
            return;
        };
        let Some(team) = self.cfg.teams.iter().position(|t| t.name == spec.team) else {
            tracing::error!(job = %id, team = %spec.team, "unknown team");
            return;
        };
        let age = wall_ms.saturating_sub(record.accepted_ms) as f64 / 1000.0;
        let mut tasks = Tasks::new(record.tasks, record.chunk);
        let mut claims = Vec::new();
        // Attempts that came to nothing.
        let mut wasted = 0;
        for (chunk, held) in entry.all_chunks() {
            tasks.set_next_attempt(chunk, held.next_attempt);
            let of_use = held.claims.len() as u64 + u64::from(held.done.count_ones());
            wasted += held.next_attempt.saturating_sub(1 + of_use);
            for bit in 0..tasks.chunk_size() {
                if held.done >> bit & 1 == 1 {
                    tasks.set_done(chunk * record.chunk + bit);
                }
            }
            for (place, attempt, machine) in &held.claims {
                let index = chunk * record.chunk + place;
                if !self.shard.covers(machine) {
                    continue;
                }
                if self.gone_before.contains(machine) {
                    // Its task went with it, recorded or not.
                    self.pending.released((id.clone(), chunk), now);
                    continue;
                }
                if index < record.tasks {
                    let units = held.units.iter().find(|(p, _)| p == place);
                    let units = units.map(|(_, u)| u.clone());
                    claims.push((index, *attempt, machine.clone(), units));
                }
            }
        }
        let spec = Rc::new((**spec).clone().opened());
        tracing::debug!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks, image = %spec.image.as_str(), "job");
        let class = spec.class.clone();
        let slack = self.slack(&spec);
        let late_s = (slack - 1.5 * self.boot_s()).max(0.3 * slack).max(1.0);
        let patience_s = (0.3 * self.slack(&spec)).clamp(1.0, 30.0);
        let submitted = Time(now.0 - age);
        let aims = self.aims(&spec, submitted);
        // So many attempts came to nothing, and none has ended well: one task
        // tells the next owner whether the job is mistaken, rather than all.
        let doubted = spec.kind == Kind::Array
            && tasks.done() == 0
            && wasted >= u64::from(spec.tasks).clamp(3, WASTED);
        let lane = self
            .cfg
            .lanes
            .of(&spec.class, spec.priority, spec.deadline_s.is_some());
        let job = Job {
            lane: lane.map(|lane| Laned::new(lane, entry.place)),
            doubted,
            failures: if doubted { 2 } else { 0 },
            due: aims.first().copied().unwrap_or(Time(f64::INFINITY)),
            aims,
            cancelled: record.phase == Phase::Cancelled,
            patience_s,
            late_s,
            start_within: self.starts_within(&class),
            policy: ClusterState::policy_of(self.cluster_state.topology().map(|t| &**t), &spec),
            ..Job::new(spec, team, submitted, tasks)
        };
        // An earlier version's record names no units.
        let devices = job.spec.placement.as_ref();
        let holds = devices.is_some_and(|w| w.lost || !w.devices.is_empty());
        let all_done = job.tasks.all_done();
        if homed && !over {
            self.served.accepted(&job.sort());
            if !claims.is_empty() || job.tasks.done() > 0 {
                self.served.started(&job.sort(), None);
            }
        }
        let started = !claims.is_empty() || job.tasks.done() > 0;
        self.cluster_state
            .add_job(id.clone(), Job { started, ..job });
        if homed && !over {
            self.largest_came(id, now);
        }
        for (index, attempt, machine, units) in claims {
            let claim = Claim {
                attempt,
                machine,
                since: now,
                committed: true,
                sent: Sent::Found,
                progress: Progress::Unseen,
                stop: None,
                unnamed: holds && units.is_none(),
                units: units.unwrap_or_default(),
            };
            self.cluster_state.put_claim(
                &TaskId {
                    job: id.clone(),
                    index,
                },
                claim,
            );
        }
        self.share(id, entry);
        if all_done && !over && homed {
            self.finished(id.clone(), now);
        }
        // A gang that was claimed in part, or lost a part, starts anew.
        self.gangs.insert(id.clone());
        self.walk_all = true;
    }

    fn arrived(&mut self, spec: &Rc<JobSpec>, at: Time) {
        let smallest = self
            .types
            .values()
            .filter(|t| spec.each.fits(t.total))
            .min_by_key(|t| t.total.cpu)
            .map(|t| t.name.clone());
        let class = (Rc::from(&*spec.class), smallest);
        let arrivals = self.arrivals.entry(class).or_insert_with(|| Arrivals {
            spec: spec.clone(),
            recent: VecDeque::new(),
        });
        arrivals.spec = spec.clone();
        arrivals.recent.push_back((at, spec.tasks));
        if arrivals.recent.len() > MOST_ARRIVALS {
            arrivals.recent.pop_front();
        }
    }

    /// How much a class depends on room that is there already: what a new
    /// machine takes to boot, against the time that its aims leave.
    fn haste(&self, spec: &JobSpec) -> f64 {
        (self.boot_s() / self.slack(spec).max(1.0)).clamp(0.2, 2.0)
    }

    /// The shortest usual boot.
    fn boot_s(&self) -> f64 {
        self.types
            .values()
            .map(|t| t.boot_s)
            .fold(f64::INFINITY, f64::min)
    }

    /// How soon a class's jobs are to start, if that is sooner than a machine
    /// that is rented for them could be up: their users wait for the start.
    /// Others with a start aim have time, as those with a finish aim have.
    fn starts_within(&self, class: &str) -> Option<f64> {
        let within = self.cfg.start_aims.get(class).copied();
        within.filter(|s| *s < self.boot_s())
    }

    /// When a job should be done, by its class's aims and its deadline.
    fn aims(&self, spec: &JobSpec, submitted: Time) -> Vec<Time> {
        let within = self.cfg.finish_aims.get(&spec.class);
        let times = self.cfg.deadline_aims.get(&spec.class);
        let times = times.map_or(&[1.0][..], Vec::as_slice);
        let deadline = spec.deadline_s.into_iter();
        let deadlines = deadline.flat_map(|d| times.iter().map(move |t| d * t));
        let mut aims: Vec<Time> = within
            .into_iter()
            .flatten()
            .copied()
            .chain(deadlines)
            .map(|s| submitted.after(s))
            .collect();
        aims.sort_by(|a, b| a.0.total_cmp(&b.0));
        aims
    }

    /// How long a job of this sort may wait before it misses an aim.
    fn slack(&self, spec: &JobSpec) -> f64 {
        let start = self.cfg.start_aims.get(&spec.class).copied();
        let finish = self.cfg.finish_aims.get(&spec.class);
        let finish = finish.and_then(|aims| aims.first().copied());
        let finish = finish
            .into_iter()
            .chain(spec.deadline_s)
            .fold(f64::INFINITY, f64::min);
        start.unwrap_or(f64::INFINITY).min(finish - spec.estimate_s)
    }

    /// Jobs changed in the state service: new ones, and cancelled ones.
    pub fn jobs_changed(&mut self, view: &View, changed: &[JobId], now: Time, wall_ms: u64) {
        for id in changed {
            let Some(entry) = view.job(id) else { continue };
            match self.cluster_state.job(id) {
                None => {
                    if entry.record.value.phase == Phase::Live && self.shard.homes(id) {
                        self.add_job(id, entry, now, wall_ms);
                        if let Some(job) = self.cluster_state.job(id) {
                            let (spec, at) = (job.spec.clone(), job.submitted);
                            self.arrived(&spec, at);
                        }
                    }
                }
                Some(job) => {
                    let cancelled = job.cancelled;
                    self.catch_up(id, entry, now);
                    if entry.record.value.phase == Phase::Cancelled && !cancelled {
                        self.cluster_state.edit_job(id, |job| job.cancelled = true);
                        self.largest_over(id, "cancelled", now);
                        self.clear(id);
                        self.pending.not_finished(id);
                        self.settle_stopped(id, now);
                    }
                }
            }
            self.forget_job(view, id, now);
        }
    }

    /// Removes a job that is over and leaves nothing behind.
    fn forget_job(&mut self, view: &View, id: &JobId, now: Time) {
        let Some(entry) = view.job(id) else { return };
        let over = entry.record.value.phase != Phase::Live;
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let homed = job.tasks.at_home();
        if !over && (homed || job.tasks.pending() > 0) || !job.tasks.claims().is_empty() {
            return;
        }
        if !homed {
            // What it claimed here is first taken out of the record.
            if !self.claims_here(entry) {
                self.cluster_state.remove_job(id);
            }
            return;
        }
        // The job's own record is not to claim anything for ever.
        if entry.record.value.inline.is_some() && self.claims_here(entry) {
            self.pending.released((id.clone(), 0), now);
            return;
        }
        for &chunk in entry.chunks.keys() {
            self.pending.useless((id.clone(), chunk), now);
        }
        self.cluster_state.remove_job(id);
    }

    /// Drops claims of a cancelled job, or of tasks to be stopped, whose start
    /// was certainly never sent; the others are stopped.
    fn settle_stopped(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let cancelled = job.cancelled;
        let mut unsent = Vec::new();
        let mut stop = Vec::new();
        for (&index, claim) in job.tasks.claims() {
            // Whatever is to happen there, its machine is told.
            self.active.insert((0, claim.machine.clone()));
            let task = TaskId {
                job: id.clone(),
                index,
            };
            if cancelled || claim.stop.is_some() {
                if claim.sent == Sent::No {
                    unsent.push(task);
                } else if cancelled {
                    stop.push(task);
                }
            }
        }
        for task in unsent {
            self.release(&task, now);
        }
        for task in stop {
            self.cluster_state.stop(&task, false);
        }
    }

    /// The chunk that a task is recorded in.
    fn chunk_of(&self, task: &TaskId) -> ChunkId {
        let job = self.cluster_state.job(&task.job);
        let chunk = job.map_or(0, |j| j.tasks.chunk_of(task.index));
        (task.job.clone(), chunk)
    }

    fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let claim = self.cluster_state.release(task, now)?;
        self.gangs.insert(task.job.clone());
        self.pending.released(self.chunk_of(task), now);
        self.touched.insert(claim.machine.clone());
        Some(claim)
    }

    /// Tells how long it took to hear of all machines, for the log.
    fn look_who_is_heard(&mut self, now: Time) {
        let unheard = self.links.values().filter(|l| !l.fenced()).count();
        let missing = self.cluster_state.unknown_machines().count();
        let all = self.links.len() + missing;
        if self.unheard_yet && all > 0 && (unheard + missing) * 50 <= all {
            self.unheard_yet = false;
            let after_s = (now.since(self.started) * 10.0).round() / 10.0;
            tracing::info!(
                after_s,
                machines = all,
                "heard of all machines but one in fifty"
            );
        }
    }

    fn launched(&mut self, launches: Vec<Launch>, now: Time) {
        if self.idle_yet && !launches.is_empty() {
            self.idle_yet = false;
            let after_s = (now.since(self.started) * 10.0).round() / 10.0;
            tracing::info!(after_s, "first task placed");
        }
        for launch in launches {
            tracing::debug!(task = %launch.task, machine = %launch.machine, cached = launch.cached, "claim");
            let job = self.cluster_state.job(&launch.task.job);
            let haste = job.map_or(Haste::Usual, Haste::of);
            let first = job.filter(|j| !j.started && j.tasks.at_home());
            if let Some((sort, wait_s)) = first.map(|j| (j.sort(), now.since(j.submitted))) {
                self.served.started(&sort, Some(wait_s));
                self.largest_began(&launch.task.job, wait_s, now);
                self.cluster_state
                    .edit_job(&launch.task.job, |j| j.started = true);
            }
            let job = self.cluster_state.job(&launch.task.job);
            self.claimed_cpu += job.map_or(0, |j| j.spec.each.cpu);
            let Some(sort) = job.map(Job::sort) else {
                continue;
            };
            let chunk = self.chunk_of(&launch.task);
            self.pending.claimed(chunk, haste, sort, now);
        }
    }

    // ---- placing --------------------------------------------------------

    fn rule(&self) -> DelayRule {
        DelayRule {
            fetches: self.cfg.tuning.delay_fetches,
            max_s: self.cfg.tuning.delay_max_s,
        }
    }

    /// Walks one machine, after its report.
    pub fn walk(&mut self, id: &MachineId, now: Time) {
        if self.is_frozen() {
            return;
        }
        if self
            .pass
            .as_ref()
            .is_none_or(|(at, _)| now.since(*at) >= PASS_S)
        {
            self.pass = Some((now, Pass::default()));
        }
        // A new owner's first report of a machine walks it at once: others' work
        // had a part of what was held.
        if self.windows.hold() {
            self.cluster_state.top_up_holds(id, now);
        }
        let pass = self.pass.as_ref().map(|(_, pass)| pass);
        let launches = self.cluster_state.walk_in(pass, id, self.rule(), now);
        self.launched(launches, now);
    }

    /// Where room appeared, windows have what they lack before anybody else.
    fn top_up(&mut self, now: Time) {
        if self.windows.hold() {
            for id in &self.touched {
                self.cluster_state.top_up_holds(id, now);
            }
        }
    }

    /// Places what can be placed on machines where room appeared, one after the
    /// other by name, as far as one turn allows: with thousands of them and a
    /// long queue all walks together took eight seconds once, and the leader's
    /// lease was lost meanwhile.
    pub fn place(&mut self, now: Time) {
        self.top_up(now);
        let begun = self.cluster_state.capacity_index.steps.get();
        while self.cluster_state.capacity_index.steps.get() - begun < WALK_STEPS {
            let after = (Bound::Excluded(&self.walked), Bound::Unbounded);
            let next = self.touched.range(after).next().cloned();
            let Some(id) = next.or_else(|| self.touched.first().cloned()) else {
                return;
            };
            self.touched.remove(&id);
            self.walk(&id, now);
            self.walked = id;
        }
    }

    /// Places what can be placed anywhere, if work arrived or waits may have
    /// passed.
    pub fn place_all(&mut self, now: Time) {
        if !self.is_frozen() && std::mem::take(&mut self.walk_all) && self.cluster_state.has_work()
        {
            self.top_up(now);
            let launches = self.cluster_state.place(self.rule(), now);
            self.launched(launches, now);
        }
    }

    /// Regular work: look at what only time changes, and place.
    pub fn tick(&mut self, now: Time) {
        let due = ((now.0 * 1000.0) as u64 + 1, MachineId::from(""));
        let later = self.retries.split_off(&due);
        let retries = std::mem::replace(&mut self.retries, later);
        for (_, id) in retries {
            self.wake(&id);
        }
        self.young = now.since(self.started) < YOUNG_S;
        if now.since(self.last_look) >= LOOK_S {
            self.last_look = now;
            self.cluster_state.look_at_dues(now);
            let wall_ms = self.wall_ms(now);
            self.cluster_state
                .look_at_lanes(&self.cfg.lanes, now, wall_ms);
            self.cluster_state.look_at_idle(now);
            self.look_at_drains(now);
            self.look_at_waves(now);
            self.tell_served(now);
            if self.unheard_yet {
                self.look_who_is_heard(now);
            }
            let ids: Vec<MachineId> = self.links.keys().cloned().collect();
            for id in ids {
                self.refresh_machine(&id, now);
            }
        }
        self.wake_staged(now);
        self.settle_gangs(now);
        self.move_on(now);
        self.walk_all = true;
        self.place(now);
    }

    /// Says in the log what each class and team gets, now and then and when it
    /// changes who starves.
    fn tell_served(&mut self, now: Time) {
        let mut waits: BTreeMap<Sort, Waits> = BTreeMap::new();
        for (_, job) in self.cluster_state.wanting().filter(|(_, j)| !j.started) {
            let w = waits.entry(job.sort()).or_default();
            w.jobs += 1;
            w.oldest_s = w.oldest_s.max(now.since(job.submitted));
        }
        self.largest_late(now);
        let lines = self.served.lines(&waits);
        let starving = lines.iter().filter(|l| l.starves);
        let starving: BTreeSet<Sort> = starving.map(|l| l.sort.clone()).collect();
        let due = match starving == self.starved {
            true => SERVED_S,
            false => SERVED_LEAST_S,
        };
        if now.since(self.last_served) < due {
            return;
        }
        self.last_served = now;
        self.starved = starving;
        self.tell_lanes(now);
        for l in lines {
            tracing::info!(
                block = %self.shard.block,
                class = %l.sort.0,
                team = %l.sort.1,
                accepted = l.accepted,
                started = l.started,
                done = l.done,
                waiting = l.waits.jobs,
                oldest_s = (l.waits.oldest_s * 10.0).round() / 10.0,
                starves = l.starves,
                "served"
            );
        }
    }

    /// Stops tasks for others that have waited too long.
    pub fn preempt(&mut self, now: Time) {
        if self.cfg.tuning.preempt && now.since(self.started) > 3.0 && !self.is_frozen() {
            // Stopping costs more than it brings unless the wait is long for
            // the job's own aims: whoever is stopped waits in turn, and its
            // image may have to be fetched again.
            let patience = |job: &Job| match job.start_within {
                Some(within) => PREEMPT_START * within,
                None => PREEMPT_SLACK * job.patience_s,
            };
            for task in self.cluster_state.preempt(patience, now) {
                tracing::info!(task = %task, "preempted");
                self.settle_stopped(&task.job, now);
            }
        }
    }
}
