//! What the owner of the block knows and decides, without I/O: time, reports
//! and outcomes come in, transactions, commands and cloud calls go out.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use super::pending::{ChunkId, Due, Pending};
use crate::cloud::{Listed, MachinePhase, Rental};
use crate::config::Config;
use crate::fleet;
use crate::sched::{
    Board, Claim, Delay, DelayRule, Job, Launch, Machine, Progress, Sent, Tasks, Team,
};
use crate::state::record::{chunk_key, job_key, ChunkRecord, JobRecord, Phase, GRANT};
use crate::state::view::{JobEntry, Versioned, View};
use crate::state::{Change, Txn, When};
use crate::types::{
    Amount, Attempt, Image, JobId, JobSpec, Kind, MachineId, MachineType, Revision, Seq, Session,
    TaskId, Time, Token, TypeName, Zone,
};
use crate::worker::{Command, Orders, Reply, Report, ReportedTask, Sending, TaskPhase, Why};

/// Where a report came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The worker's own reporting.
    Beat,
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
    tasks: BTreeMap<(TaskId, Attempt), (TaskPhase, Option<Why>)>,
    /// A direct command is under way.
    flying: bool,
    /// Direct commands don't get through; next try at this time.
    direct_retry: Time,
    direct_failures: u32,
    /// A direct command failed: no new tasks until a report comes.
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
    pub board: Board,
    /// The grant's number and the revision that wrote it.
    pub grant: u64,
    grant_stamp: Revision,
    types: HashMap<TypeName, Rc<MachineType>>,
    links: BTreeMap<MachineId, Link>,
    coming: BTreeMap<MachineId, Coming>,
    pending: Pending,
    /// Images that machines ran before this owner knew them.
    ran_before: HashMap<MachineId, Vec<(Image, f64)>>,
    /// Machines that commands may have to go to.
    active: BTreeSet<MachineId>,
    /// Machines to try again at a time, in milliseconds.
    retries: BTreeSet<(u64, MachineId)>,
    /// Machines where room appeared.
    touched: BTreeSet<MachineId>,
    flying: usize,
    refused: HashMap<(TypeName, Zone, bool), Time>,
    rentals: u64,
    renting: u32,
    missing: BTreeMap<MachineId, u32>,
    /// By class, and by the smallest machine type that a task fits: their
    /// room is not the same.
    arrivals: BTreeMap<(Rc<str>, Option<TypeName>), Arrivals>,
    /// Deleted machines that a late list may still show.
    deleted: BTreeMap<MachineId, Time>,
    started: Time,
    /// Work arrived or room appeared: walk all machines.
    pub walk_all: bool,
    last_fleet: Time,
    last_plan: Time,
    last_look: Time,
    last_preempt: Time,
}

/// Part of its start aim after which room is made for a job.
const PREEMPT_START: f64 = 0.15;
/// The same for other jobs, as a multiple of their patience.
const PREEMPT_SLACK: f64 = 2.0;
/// For how long a job tells what may come.
const RECENT_S: f64 = 180.0;
const MOST_ARRIVALS: usize = 2000;
/// A machine may go once plans had no use for it for this share of the time.
const UNUSED_SHARE: f64 = 0.6;
const FLEET_LOG_S: f64 = 10.0;
const KILL_AGAIN_S: f64 = 2.0;
const TXN_BYTES: usize = 48 << 10;
/// Direct commands under way at a time.
const MOST_FLYING: usize = 48;
/// How often all machines are looked at for what only time changes.
const LOOK_S: f64 = 1.0;
/// More room for replicas: the more there is, the more likely some of it has
/// the image, and a fetch takes longer than their users wait.
const SERVICE_ROOM: f64 = 1.7;
/// How often room is made.
const PREEMPT_EVERY_S: f64 = 0.4;

impl Core {
    /// Takes up the grant: everything recorded is on the board, and every
    /// claim counts until a report that carries the new token says otherwise.
    pub fn load(
        cfg: Rc<Config>,
        types: &[MachineType],
        view: &View,
        (grant, grant_stamp): (u64, Revision),
        now: Time,
        wall_ms: u64,
    ) -> Self {
        let teams = cfg
            .teams
            .iter()
            .map(|t| Team {
                name: t.name.clone(),
                guarantee: t.guarantee,
                // One block holds all machines, so its slice of a limit is
                // the whole limit.
                limit: t.limit,
                used: Amount::default(),
                held_back: Amount::default(),
            })
            .collect();
        let mut core = Self {
            cfg,
            board: Board::new(teams),
            grant,
            grant_stamp,
            types: HashMap::new(),
            links: BTreeMap::new(),
            coming: BTreeMap::new(),
            pending: Pending::default(),
            ran_before: view.history.images(),
            active: BTreeSet::new(),
            retries: BTreeSet::new(),
            touched: BTreeSet::new(),
            flying: 0,
            refused: HashMap::new(),
            rentals: 0,
            renting: 0,
            missing: BTreeMap::new(),
            arrivals: BTreeMap::new(),
            deleted: BTreeMap::new(),
            started: now,
            walk_all: true,
            last_fleet: now,
            last_plan: now,
            last_look: now,
            last_preempt: now,
        };
        core.set_types(types);
        for (accepted_ms, spec) in view.history.arrivals() {
            let age = wall_ms.saturating_sub(*accepted_ms) as f64 / 1000.0;
            core.arrived(spec, Time(now.0 - age));
        }
        let mut jobs: Vec<(&JobId, &JobEntry)> = view.jobs().collect();
        jobs.sort_by(|a, b| a.0.cmp(b.0));
        for (id, entry) in jobs {
            core.add_job(id, entry, now, wall_ms);
        }
        core
    }

    /// The grant's lowest token.
    fn base_token(&self) -> Token {
        Token::of_grant(self.grant)
    }

    fn add_job(&mut self, id: &JobId, entry: &JobEntry, now: Time, wall_ms: u64) {
        let record = &entry.record.value;
        let over = record.phase != Phase::Live;
        // A done job's tasks have all ended, whatever a chunk that was not
        // deleted yet still claims.
        if record.phase == Phase::Done || over && !entry.claims_any() {
            for &chunk in entry.chunks.keys() {
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
        for (chunk, held) in entry.all_chunks() {
            tasks.set_next_attempt(chunk, held.next_attempt);
            for bit in 0..tasks.chunk_size() {
                if held.done >> bit & 1 == 1 {
                    tasks.set_done(chunk * record.chunk + bit);
                }
            }
            for (place, attempt, machine) in &held.claims {
                let index = chunk * record.chunk + place;
                if index < record.tasks {
                    claims.push((index, *attempt, machine.clone()));
                }
            }
        }
        let spec = Rc::new((**spec).clone());
        tracing::debug!(job = %id, class = %spec.class, team = %spec.team, tasks = spec.tasks, image = %spec.image.as_str(), "job");
        let class = spec.class.clone();
        let slack = self.slack(&spec);
        let late_s = (slack - 1.5 * self.boot_s()).max(0.3 * slack).max(1.0);
        let patience_s = (0.3 * self.slack(&spec)).clamp(1.0, 30.0);
        let submitted = Time(now.0 - age);
        let aims = self.aims(&spec, submitted);
        let job = Job {
            due: aims.first().copied().unwrap_or(Time(f64::INFINITY)),
            aims,
            spec,
            team,
            submitted,
            cancelled: record.phase == Phase::Cancelled,
            tasks,
            delay: Delay::default(),
            avoid: BTreeMap::new(),
            hold_until: Time(0.0),
            failures: 0,
            patience_s,
            late_s,
            start_within: self.cfg.start_aims.get(&class).copied(),
            blocked_since: None,
        };
        let all_done = job.tasks.all_done();
        self.board.add_job(id.clone(), job);
        for (index, attempt, machine) in claims {
            let claim = Claim {
                attempt,
                machine,
                since: now,
                committed: true,
                sent: Sent::Flying,
                progress: Progress::Unseen,
                stop: None,
            };
            self.board.put_claim(
                &TaskId {
                    job: id.clone(),
                    index,
                },
                claim,
            );
        }
        if all_done && !over {
            self.pending.finished(id.clone());
        }
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

    /// Room to keep for each class that came of late: a typical job of it.
    fn expected(&mut self, now: Time) -> Vec<fleet::Expected> {
        for a in self.arrivals.values_mut() {
            a.recent.retain(|(t, _)| now.since(*t) < RECENT_S);
        }
        self.arrivals.retain(|_, a| !a.recent.is_empty());
        self.board.shapes = self.arrivals.values().map(|a| a.spec.each).collect();
        self.hold_back();
        let headroom = self.cfg.tuning.headroom;
        let firsts = self.arrivals.values().filter_map(|a| a.recent.front());
        let first = Time(firsts.map(|(t, _)| t.0).fold(now.0, f64::min));
        self.arrivals
            .values()
            .map(|a| {
                let sum: u32 = a.recent.iter().map(|(_, n)| (*n).min(1000)).sum();
                let mean = f64::from(sum) / a.recent.len() as f64;
                // Tasks that come while a machine boots, and how much that
                // varies when they come in jobs.
                let span = now.since(first).clamp(30.0, RECENT_S);
                let boot = 1.5 * self.boot_s();
                let come = f64::from(sum) / span * boot;
                let burst = (come * mean).sqrt();
                let tasks = match a.spec.kind {
                    // Replicas stay: none makes room for the next.
                    Kind::Service => SERVICE_ROOM * (come + burst),
                    Kind::Array => 0.6 * burst * self.haste(&a.spec),
                };
                fleet::Expected {
                    spec: a.spec.clone(),
                    tasks: (headroom * tasks).ceil() as u32,
                }
            })
            .collect()
    }

    /// Within each team's limit, room for a job of the classes whose users
    /// wait for its start: other work of the team must not take the last.
    fn hold_back(&mut self) {
        let mut most: HashMap<Arc<str>, Amount> = HashMap::new();
        for a in self.arrivals.values() {
            if self.cfg.start_aims.contains_key(&a.spec.class) {
                let largest = a.recent.iter().map(|(_, n)| *n).max().unwrap_or(0);
                let job = a.spec.each.times(i64::from(largest.min(1000)));
                let held = most.entry(a.spec.team.clone()).or_default();
                if held.cpu < job.cpu {
                    *held = job;
                }
            }
        }
        for (i, team) in self.cfg.teams.iter().enumerate() {
            let held = most.get(&team.name).copied().unwrap_or_default();
            // A small part of the limit only.
            let held = if held.cpu * 10 <= team.limit.cpu {
                held
            } else {
                Amount::default()
            };
            self.board.hold_back(i, held);
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
            match self.board.job(id) {
                None => {
                    if entry.record.value.phase == Phase::Live {
                        self.add_job(id, entry, now, wall_ms);
                        if let Some(job) = self.board.job(id) {
                            let (spec, at) = (job.spec.clone(), job.submitted);
                            self.arrived(&spec, at);
                        }
                    }
                }
                Some(job) => {
                    if entry.record.value.phase == Phase::Cancelled && !job.cancelled {
                        self.board.edit_job(id, |job| job.cancelled = true);
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
        let over = view
            .job(id)
            .is_some_and(|e| e.record.value.phase != Phase::Live);
        if !over {
            return;
        }
        let Some(job) = self.board.job(id) else {
            return;
        };
        if !job.tasks.claims().is_empty() {
            return;
        }
        if let Some(entry) = view.job(id) {
            // The job's own record is not to claim anything for ever.
            if entry.record.value.inline.is_some() && entry.claims_any() {
                self.pending.released((id.clone(), 0), now);
                return;
            }
            for &chunk in entry.chunks.keys() {
                self.pending.useless((id.clone(), chunk), now);
            }
        }
        self.board.remove_job(id);
    }

    /// Drops claims of a cancelled job, or of tasks to be stopped, whose start
    /// was certainly never sent; the others are stopped.
    fn settle_stopped(&mut self, id: &JobId, now: Time) {
        let Some(job) = self.board.job(id) else {
            return;
        };
        let cancelled = job.cancelled;
        let mut unsent = Vec::new();
        let mut stop = Vec::new();
        for (&index, claim) in job.tasks.claims() {
            // Whatever is to happen there, its machine is told.
            self.active.insert(claim.machine.clone());
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
            self.board.stop(&task, false);
        }
    }

    /// The chunk that a task is recorded in.
    fn chunk_of(&self, task: &TaskId) -> ChunkId {
        let job = self.board.job(&task.job);
        let chunk = job.map_or(0, |j| j.tasks.chunk_of(task.index));
        (task.job.clone(), chunk)
    }

    fn release(&mut self, task: &TaskId, now: Time) -> Option<Claim> {
        let claim = self.board.release(task, now)?;
        self.pending.released(self.chunk_of(task), now);
        self.touched.insert(claim.machine.clone());
        Some(claim)
    }

    fn launched(&mut self, launches: Vec<Launch>) {
        for launch in launches {
            tracing::debug!(task = %launch.task, machine = %launch.machine, cached = launch.cached, "claim");
            let hurry = self
                .board
                .job(&launch.task.job)
                .is_some_and(|j| j.start_within.is_some());
            self.pending.claimed(self.chunk_of(&launch.task), hurry);
        }
    }

    // ---- machines -------------------------------------------------------

    /// The cloud's machine types.
    pub fn set_types(&mut self, types: &[MachineType]) {
        self.types = types
            .iter()
            .map(|t| (t.name.clone(), Rc::new(t.clone())))
            .collect();
    }

    /// Whether the machine types are known.
    pub fn has_types(&self) -> bool {
        !self.types.is_empty()
    }

    fn link(
        &mut self,
        id: &MachineId,
        addr: SocketAddr,
        kind: &TypeName,
        zone: &Zone,
        spot: bool,
        now: Time,
    ) -> Option<&mut Link> {
        if !self.links.contains_key(id) {
            let kind = self.types.get(kind)?.clone();
            self.coming.remove(id);
            let mut machine = Machine::new(kind, zone.clone(), spot, now);
            for (image, gb) in self.ran_before.remove(id).unwrap_or_default() {
                machine.cache.touch(&image, gb, machine.kind.cache_gb, true);
            }
            self.board.add_machine(id.clone(), machine);
            let link = Link {
                addr,
                session: Session(1),
                seq: Seq(0),
                token: self.base_token(),
                seen: Token(0),
                last_heard: now,
                tasks: BTreeMap::new(),
                flying: false,
                direct_retry: now,
                direct_failures: 0,
                doubted: false,
                passed: false,
                leaving: false,
                deleting: false,
                shunned_until: Time(0.0),
                errors: BTreeSet::new(),
                kill_sent: BTreeMap::new(),
            };
            self.links.insert(id.clone(), link);
            self.active.insert(id.clone());
        }
        self.links.get_mut(id)
    }

    /// Takes in a worker's report. False if a newer grant than ours commands
    /// the worker.
    pub fn report(&mut self, report: &Report, source: Source, now: Time) -> bool {
        if report.baton.grant() > self.grant {
            return false;
        }
        let Some(link) = self.link(
            &report.machine,
            report.addr,
            &report.build,
            &report.rack,
            report.loaners,
            now,
        ) else {
            return true;
        };
        // A late report tells of the past: its tasks may have changed since.
        if (report.shift, report.tick) <= (link.session, link.seq) {
            return true;
        }
        link.addr = report.addr;
        link.session = report.shift;
        link.seq = report.tick;
        link.seen = link.seen.max(report.baton);
        link.last_heard = now;
        link.doubted = false;
        link.passed = source == Source::Passed;
        if source == Source::Beat {
            link.direct_retry = Time(link.direct_retry.0.min(now.0 + 1.0));
        }
        if report.warning_s.is_some() {
            link.leaving = true;
        }
        link.tasks = report
            .pieces
            .iter()
            .filter_map(|p: &ReportedTask| Some(((p.id()?, p.attempt), (p.phase, p.cause))))
            .collect();
        if report.baton >= link.token {
            self.reconcile(&report.machine, source, now);
        }
        self.active.insert(report.machine.clone());
        self.refresh_machine(&report.machine, now);
        true
    }

    fn refresh_machine(&mut self, id: &MachineId, now: Time) {
        let silence = 2.5 * self.cfg.report_s + 1.0;
        let Some(link) = self.links.get(id) else {
            return;
        };
        let usable = link.fenced()
            && !link.doubted
            && !link.leaving
            && !link.deleting
            && now >= link.shunned_until
            && now.since(link.last_heard) < silence;
        let leaving = link.leaving || link.deleting;
        let doubted = link.doubted;
        // Commands go there only in replies to its reports.
        let slow = link.passed || link.direct_failures > 0;
        let was = self.board.machines().get(id).map(|m| (m.usable, m.slow));
        if was.is_some_and(|was| was != (usable, slow)) {
            self.board.edit_machine(id, |m| {
                m.usable = usable;
                m.slow = slow;
            });
            self.touched.insert(id.clone());
        }
        if !leaving && !doubted {
            return;
        }
        self.active.insert(id.clone());
        for task in self.board.claims_on(id) {
            let unsent = self
                .board
                .claim_of(&task)
                .is_some_and(|c| c.sent == Sent::No);
            if unsent {
                // It has a better place where commands get through.
                self.release(&task, now);
                self.walk_all = true;
            } else if leaving {
                self.board.stop(&task, false);
            }
        }
    }

    /// Compares the claims on a machine with an authoritative report: one
    /// that carries the token which fences all earlier commands.
    fn reconcile(&mut self, id: &MachineId, source: Source, now: Time) {
        if !self.board.machines().contains_key(id) {
            return;
        }
        for task in self.board.claims_on(id) {
            let Some(job) = self.board.job(&task.job) else {
                continue;
            };
            let (spec, cancelled) = (job.spec.clone(), job.cancelled);
            let Some(claim) = self.board.claim_mut(&task) else {
                continue;
            };
            let Some(link) = self.links.get(id) else {
                return;
            };
            match link.tasks.get(&(task.clone(), claim.attempt)).copied() {
                Some((TaskPhase::Ended, why)) => {
                    self.ended(id, &task, &spec, why.unwrap_or(Why::Other), now);
                }
                Some((phase, _)) => {
                    claim.sent = Sent::Answered;
                    let before = claim.progress;
                    claim.progress = match (phase, before) {
                        (TaskPhase::Fetching, _) => Progress::Fetching,
                        (TaskPhase::Saving, _) => Progress::Saving,
                        (_, Progress::Running(since)) => Progress::Running(since),
                        _ => Progress::Running(now),
                    };
                    let after = claim.progress;
                    if matches!(after, Progress::Running(_)) && before != after {
                        self.board.ran(&task);
                    }
                }
                None => match claim.sent {
                    Sent::No => {}
                    // Only the next report of the worker's own shows whether
                    // it took a reply: a direct answer may overtake it.
                    Sent::InReply if source == Source::Direct => {}
                    // An answer is still to come, and tells.
                    Sent::Flying if link.flying => {}
                    Sent::Flying | Sent::InReply => {
                        claim.sent = Sent::No;
                        if cancelled || claim.stop.is_some() {
                            self.release(&task, now);
                        }
                    }
                    Sent::Answered => {
                        tracing::info!(task = %task, machine = %id, "task is gone");
                        self.release(&task, now);
                    }
                },
            }
        }
    }

    fn ended(&mut self, id: &MachineId, task: &TaskId, spec: &JobSpec, why: Why, now: Time) {
        self.release(task, now);
        if self.board.job(&task.job).is_none_or(|j| j.cancelled) {
            return;
        }
        match why {
            Why::Done if spec.kind == Kind::Array => {
                let all_done = self.board.edit_job(&task.job, |job| {
                    job.tasks.set_done(task.index);
                    job.failures = 0;
                    job.tasks.all_done()
                });
                if all_done == Some(true) {
                    self.pending.finished(task.job.clone());
                }
                if let Some(link) = self.links.get_mut(id) {
                    link.errors.clear();
                }
            }
            Why::Error => self.failed(id, task, now),
            Why::Full | Why::InUse => {
                let until = now.after(2.0 * self.cfg.report_s);
                self.board.edit_job(&task.job, |job| {
                    job.avoid.insert(id.clone(), until);
                });
            }
            Why::NoSuch => {
                self.board.edit_job(&task.job, |job| {
                    job.failures += 1;
                    job.hold_until = now.after(f64::from(job.failures).exp2().min(30.0));
                });
            }
            Why::Done | Why::Stopped | Why::Other => {}
        }
        // Its task may have a place elsewhere.
        self.walk_all |= why != Why::Done;
        if why != Why::Done {
            tracing::info!(task = %task, machine = %id, ?why, "task ended");
        }
    }

    /// A task failed. Mostly the machine is faulty, so it is shunned; a job
    /// that fails on several machines is itself mistaken, waits longer each
    /// time and is held against no machine.
    fn failed(&mut self, id: &MachineId, task: &TaskId, now: Time) {
        let mistaken = self.board.edit_job(&task.job, |job| {
            job.failures += 1;
            job.avoid.retain(|_, until| now < *until);
            job.avoid.insert(id.clone(), now.after(60.0));
            let mistaken = job.avoid.len() >= 3;
            if mistaken {
                job.hold_until = now.after(f64::from(job.failures.min(6)).exp2().min(40.0));
            }
            mistaken
        });
        if mistaken == Some(true) {
            for link in self.links.values_mut() {
                if link.errors.remove(&task.job) && link.errors.is_empty() {
                    link.shunned_until = Time(0.0);
                }
            }
        } else if let Some(link) = self.links.get_mut(id) {
            link.errors.insert(task.job.clone());
            link.shunned_until = now.after(20.0);
            if link.errors.len() >= 2 {
                link.leaving = true;
            }
        }
    }

    /// The answer to a report: token and commands that need no hurry, and the
    /// starts if they can't be sent directly.
    pub fn reply(&mut self, id: &MachineId, view: &View, now: Time) -> Reply {
        let starts = self.links.get(id).is_some_and(|l| {
            !l.flying && (l.passed || l.direct_failures > 0 && now < l.direct_retry)
        });
        let orders = self.commands(id, view, starts.then_some(Sent::InReply), now);
        let token = self.links.get(id).map_or(self.base_token(), |l| l.token);
        Reply {
            baton: token,
            orders,
        }
    }

    /// Commands for a machine. Starts are included, and marked sent, if
    /// `starts` says how.
    fn commands(
        &mut self,
        id: &MachineId,
        view: &View,
        starts: Option<Sent>,
        now: Time,
    ) -> Vec<Command> {
        let mut orders = Vec::new();
        let Some(link) = self.links.get_mut(id) else {
            return orders;
        };
        if !link.fenced() {
            return orders;
        }
        let Some(usable) = self.board.machines().get(id).map(|m| m.usable) else {
            return orders;
        };
        link.kill_sent.retain(|key, _| link.tasks.contains_key(key));
        for ((task, attempt), (phase, _)) in &link.tasks {
            let piece = task.to_string();
            let job = self.board.job(&task.job);
            let claim = job
                .and_then(|j| j.tasks.claims().get(&task.index))
                .filter(|c| c.attempt == *attempt && c.machine == *id);
            if *phase == TaskPhase::Ended {
                // Only once the result is recorded, and while no start of
                // this attempt can still arrive: it would run again.
                if claim.is_none() && !recorded_claim(view, task, *attempt) {
                    orders.push(Command::Forget {
                        piece,
                        attempt: *attempt,
                    });
                }
                continue;
            }
            let grace = match claim {
                // Nobody claims it any more: it must not run on.
                None => Some(0.0),
                // Also when the cancellation was found in the record at a
                // takeover, and no change of the job was ever seen.
                Some(_) if job.is_some_and(|j| j.cancelled) => Some(0.0),
                Some(claim) => claim.stop,
            };
            let Some(mercy_s) = grace else { continue };
            let key = (task.clone(), *attempt);
            let saving = *phase == TaskPhase::Saving && mercy_s > 0.0;
            let due = link
                .kill_sent
                .get(&key)
                .is_none_or(|t| now.since(*t) >= KILL_AGAIN_S);
            if !saving && due {
                link.kill_sent.insert(key, now);
                orders.push(Command::Kill {
                    piece,
                    attempt: *attempt,
                    mercy_s,
                });
            }
        }
        if let (Some(sent), true) = (starts, usable) {
            for task in self.board.claims_on(id) {
                if self.board.job(&task.job).is_none_or(|j| j.cancelled) {
                    continue;
                }
                let Some(claim) = self.board.claim_mut(&task) else {
                    continue;
                };
                if claim.committed && claim.sent == Sent::No && claim.stop.is_none() {
                    claim.sent = sent;
                    orders.push(Command::Start {
                        piece: task.to_string(),
                        attempt: claim.attempt,
                    });
                }
            }
        }
        orders
    }

    /// Direct commands that should go out now, so many at a time that neither
    /// sockets nor the processor are short for the reports that answer them.
    pub fn dispatch(&mut self, view: &View, now: Time) -> Vec<Dispatch> {
        let mut out = Vec::new();
        let mut waiting = BTreeSet::new();
        while self.flying < MOST_FLYING {
            let Some(id) = self.active.pop_first() else {
                break;
            };
            let Some(link) = self.links.get(&id) else {
                continue;
            };
            if link.flying || link.deleting {
                // The answer brings it back.
                continue;
            }
            if now < link.direct_retry {
                let at = (link.direct_retry.0 * 1000.0).ceil().max(0.0) as u64;
                self.retries.insert((at, id));
                continue;
            }
            if link.direct_failures > 0 && self.flying >= MOST_FLYING / 4 {
                // Those that may hang must not keep the others waiting.
                waiting.insert(((now.after(0.5).0 * 1000.0) as u64, id));
                continue;
            }
            if link.passed && link.fenced() {
                // The reply to its next report takes the commands there.
                continue;
            }
            let orders = self.commands(&id, view, Some(Sent::Flying), now);
            let Some(link) = self.links.get_mut(&id) else {
                continue;
            };
            let forgets_only = orders.iter().all(|o| matches!(o, Command::Forget { .. }));
            // Forgetting waits for the next report; a worker that does not
            // know our token is told at once, and one that a command did not
            // reach is tried again.
            if forgets_only && link.fenced() && link.direct_failures == 0 {
                if !link.kill_sent.is_empty() {
                    waiting.insert(((now.after(KILL_AGAIN_S).0 * 1000.0) as u64, id));
                }
                continue;
            }
            link.flying = true;
            self.flying += 1;
            out.push(Dispatch {
                machine: id,
                addr: link.addr,
                orders: Orders {
                    baton: link.token,
                    shift: link.session,
                    orders,
                },
            });
        }
        self.retries.extend(waiting);
        out
    }

    /// What became of direct commands. False if we are deposed.
    pub fn dispatched(&mut self, id: &MachineId, outcome: Sending, now: Time) -> bool {
        self.flying = self.flying.saturating_sub(1);
        let claims = self.board.claims_on(id);
        let Some(link) = self.links.get_mut(id) else {
            return true;
        };
        link.flying = false;
        self.active.insert(id.clone());
        let mut mark = |from: Sent, to: Sent| {
            for task in &claims {
                if let Some(c) = self.board.claim_mut(task).filter(|c| c.sent == from) {
                    c.sent = to;
                }
            }
        };
        match outcome {
            Sending::Executed(report) => {
                link.direct_failures = 0;
                link.passed = false;
                link.direct_retry = now;
                // The session that took the command may end right after it;
                // the report decides what is there.
                mark(Sent::Flying, Sent::Answered);
                self.report(&report, Source::Direct, now)
            }
            Sending::Refused(report) => {
                link.direct_failures = 0;
                // Not at once: a report that was overtaken leaves the session
                // as it was.
                link.direct_retry = now.after(0.02);
                let inherited = !link.fenced();
                if !inherited {
                    mark(Sent::Flying, Sent::No);
                }
                self.report(&report, Source::Direct, now)
            }
            Sending::NotSent | Sending::Unknown => {
                if matches!(outcome, Sending::NotSent) {
                    // Claims found at the takeover stay in doubt until a
                    // report carries our token.
                    if link.fenced() {
                        mark(Sent::Flying, Sent::No);
                    }
                } else {
                    // The commands may be carried out minutes late, unless a
                    // higher token gets there first. Until a report carries
                    // it, nothing on this machine is settled.
                    link.token = link.token.raised();
                }
                link.direct_failures += 1;
                link.doubted = true;
                let pause = 0.25 * f64::from(link.direct_failures.min(5)).exp2();
                link.direct_retry = now.after(pause);
                tracing::info!(machine = %id, token = %link.token, "direct command failed");
                self.refresh_machine(id, now);
                true
            }
        }
    }

    // ---- the record -----------------------------------------------------

    /// Whether something is to be recorded that should not wait.
    pub fn has_urgent(&self) -> bool {
        self.pending.urgent()
    }

    fn snapshot(&self, id: &JobId, chunk: u32) -> Option<ChunkRecord> {
        let job = self.board.job(id)?;
        let size = job.tasks.chunk_size();
        let from = chunk * size;
        let claims = job
            .tasks
            .claims()
            .range(from..from + size)
            .map(|(&i, c)| (i - from, c.attempt, c.machine.clone()))
            .collect();
        Some(ChunkRecord {
            next_attempt: job.tasks.next_attempt(chunk),
            done: job.tasks.done_bits(chunk),
            claims,
        })
    }

    /// The next transaction, if anything is to be recorded. Every one is
    /// guarded by the grant, the jobs' records and the chunks. `spare`: there
    /// are more changes left than urgent ones need.
    pub fn next_batch(
        &mut self,
        view: &View,
        most_ops: usize,
        spare: bool,
        now: Time,
    ) -> Option<Batch> {
        let mut batch = Batch {
            txn: Txn {
                when: vec![When {
                    key: GRANT.into(),
                    stamp: self.grant_stamp,
                }],
                apply: Vec::new(),
            },
            chunks: Vec::new(),
            jobs: Vec::new(),
        };
        let mut guarded: BTreeSet<JobId> = BTreeSet::new();
        let mut written: BTreeSet<JobId> = BTreeSet::new();
        let mut again = Vec::new();
        let mut bytes = 0;
        while batch.txn.apply.len() < most_ops && bytes <= TXN_BYTES {
            let Some(due) = self.pending.take(spare, now) else {
                break;
            };
            let id = match &due {
                Due::Finished(id) | Due::Chunk((id, _)) => id.clone(),
            };
            let Some(entry) = view.job(&id) else { continue };
            let held = &entry.record.value;
            if written.contains(&id) {
                // Its record is in this transaction already.
                again.push(due);
                continue;
            }
            let record = match &due {
                Due::Finished(_) if held.phase != Phase::Live => continue,
                // A completed job's record alone says it; its chunks can go.
                Due::Finished(_) => Some(held.done()),
                Due::Chunk((_, chunk)) if held.inline.is_some() => {
                    let Some(inline) = self.snapshot(&id, *chunk) else {
                        continue;
                    };
                    if held.inline.as_ref() == Some(&inline) || held.phase == Phase::Done {
                        continue;
                    }
                    Some(JobRecord {
                        inline: Some(inline),
                        ..held.clone()
                    })
                }
                Due::Chunk(_) => None,
            };
            let change = match (&record, due) {
                (Some(record), _) => {
                    bytes += 400 + record.inline.as_ref().map_or(0, |r| 40 * r.claims.len());
                    Some(Change::write(job_key(&id), record, None))
                }
                (None, Due::Chunk((_, chunk))) => {
                    let over = held.phase != Phase::Live;
                    let held = entry.chunks.get(&chunk);
                    let keep = self
                        .snapshot(&id, chunk)
                        .filter(|r| !over || !r.claims.is_empty());
                    let change = match &keep {
                        Some(record) if held.is_some_and(|h| h.value == *record) => None,
                        Some(record) => Some(Change::write(chunk_key(&id, chunk), record, None)),
                        None if held.is_none() => None,
                        None => Some(Change::Delete {
                            delete: chunk_key(&id, chunk),
                        }),
                    };
                    if change.is_some() {
                        bytes += 200 + keep.as_ref().map_or(0, |r| 40 * r.claims.len());
                        batch.txn.when.push(When {
                            key: chunk_key(&id, chunk),
                            stamp: held.map_or(Revision(0), |h| h.stamp),
                        });
                        batch.chunks.push(((id.clone(), chunk), keep));
                    }
                    change
                }
                (None, Due::Finished(_)) => None,
            };
            let Some(change) = change else { continue };
            batch.txn.apply.push(change);
            if guarded.insert(id.clone()) {
                batch.txn.when.push(When {
                    key: job_key(&id),
                    stamp: entry.record.stamp,
                });
            }
            if let Some(record) = record {
                written.insert(id.clone());
                batch.jobs.push((id, record));
            }
        }
        for due in again {
            match due {
                Due::Finished(id) => self.pending.finished(id),
                Due::Chunk(chunk) => self.pending.released(chunk, now),
            }
        }
        (!batch.txn.apply.is_empty()).then_some(batch)
    }

    /// A transaction was carried out.
    pub fn committed(&mut self, batch: Batch, revision: Revision, view: &mut View, now: Time) {
        for ((id, chunk), record) in batch.chunks {
            match record {
                Some(value) => {
                    self.confirm(&id, chunk, &value, now);
                    let stamp = revision;
                    view.put_chunk(&id, chunk, Versioned { stamp, value });
                }
                None => view.drop_chunk(&id, chunk, revision),
            }
        }
        for (id, value) in batch.jobs {
            if value.phase == Phase::Done {
                tracing::info!(job = %id, "done");
            }
            if let Some(inline) = &value.inline {
                self.confirm(&id, 0, inline, now);
            }
            let stamp = revision;
            view.put_job(&id, Versioned { stamp, value });
            self.forget_job(view, &id, now);
        }
    }

    fn confirm(&mut self, id: &JobId, chunk: u32, record: &ChunkRecord, now: Time) {
        let Some(size) = self.board.job(id).map(|j| j.tasks.chunk_size()) else {
            return;
        };
        for (place, attempt, machine) in &record.claims {
            let task = TaskId {
                job: id.clone(),
                index: chunk * size + place,
            };
            if let Some(claim) = self.board.claim_mut(&task) {
                if claim.attempt == *attempt && !claim.committed {
                    claim.committed = true;
                    self.active.insert(machine.clone());
                }
            }
        }
        self.settle_stopped(id, now);
    }

    /// A transaction was not carried out, or already had been in an earlier
    /// try; the view is newer than it. False if the grant is no longer ours.
    pub fn conflicted(&mut self, batch: Batch, view: &View, now: Time) -> bool {
        let mut chunks = batch.chunks;
        for (id, record) in batch.jobs {
            if record.phase != Phase::Done {
                chunks.push(((id, 0), record.inline));
                continue;
            }
            let live = view
                .job(&id)
                .is_some_and(|e| e.record.value.phase == Phase::Live);
            if live && self.board.job(&id).is_some_and(|j| j.tasks.all_done()) {
                self.pending.finished(id);
            } else {
                self.forget_job(view, &id, now);
            }
        }
        for ((id, chunk), record) in chunks {
            let held = view.job(&id).and_then(|e| e.chunk(chunk));
            match (&record, held) {
                (Some(ours), Some(held)) if ours == held => self.confirm(&id, chunk, ours, now),
                (Some(_), _) => self.pending.claimed((id, chunk), false),
                (None, _) => self.pending.useless((id, chunk), now),
            }
        }
        view.grant.stamp == self.grant_stamp
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
        let launches = self.board.walk(id, self.rule(), now);
        self.launched(launches);
    }

    /// Places what can be placed: on machines where room appeared, and
    /// anywhere if work arrived or waits may have passed.
    pub fn place(&mut self, now: Time) {
        for id in std::mem::take(&mut self.touched) {
            self.walk(&id, now);
        }
        if std::mem::take(&mut self.walk_all) && self.board.has_work() {
            let launches = self.board.place(self.rule(), now);
            self.launched(launches);
        }
    }

    /// Regular work: look at what only time changes, place, preempt.
    pub fn tick(&mut self, now: Time) {
        let due = ((now.0 * 1000.0) as u64 + 1, MachineId::from(""));
        let later = self.retries.split_off(&due);
        let retries = std::mem::replace(&mut self.retries, later);
        self.active.extend(retries.into_iter().map(|(_, id)| id));
        if now.since(self.last_look) >= LOOK_S {
            self.last_look = now;
            self.board.look_at_dues(now);
            let ids: Vec<MachineId> = self.links.keys().cloned().collect();
            for id in ids {
                self.refresh_machine(&id, now);
            }
        }
        self.walk_all = true;
        self.place(now);
        let preempting = self.cfg.tuning.preempt && now.since(self.started) > 3.0;
        if preempting && now.since(self.last_preempt) >= PREEMPT_EVERY_S {
            self.last_preempt = now;
            // Stopping costs more than it brings unless the wait is long for
            // the job's own aims: whoever is stopped waits in turn, and its
            // image may have to be fetched again.
            let patience = |job: &Job| match job.start_within {
                Some(within) => PREEMPT_START * within,
                None => PREEMPT_SLACK * job.patience_s,
            };
            for task in self.board.preempt(patience, now) {
                tracing::info!(task = %task, "preempted");
                self.settle_stopped(&task.job, now);
            }
        }
    }

    // ---- the fleet ------------------------------------------------------

    /// The machine list arrived: learn of machines, and of those that are gone.
    pub fn listed(&mut self, list: &[Listed], now: Time) {
        let names: BTreeSet<&MachineId> = list.iter().map(|m| &m.uid).collect();
        let late = 4.0 * self.cfg.list_lag_s + 10.0;
        self.deleted.retain(|_, at| now.since(*at) < late);
        for m in list {
            // The list is late: a machine that is gone must not come back as
            // one to be asked, or waited for.
            if self.deleted.contains_key(&m.uid) {
                continue;
            }
            self.missing.remove(&m.uid);
            if self.links.contains_key(&m.uid) {
                if m.phase == MachinePhase::Failed {
                    // It stopped by itself. That proves nothing about its
                    // tasks; the answer to deleting it will.
                    self.give_back(&m.uid);
                }
                continue;
            }
            if m.phase == MachinePhase::Running {
                if let Some(addr) = m.addr {
                    // Up, and perhaps running tasks that a record claims: ask it.
                    self.link(&m.uid, addr, &m.build, &m.rack, m.loaners, now);
                    continue;
                }
            }
            self.coming.entry(m.uid.clone()).or_insert(Coming {
                kind: m.build.clone(),
                zone: m.rack.clone(),
                spot: m.loaners,
                since: Time(now.0 - m.held_s),
            });
            if m.phase == MachinePhase::Failed {
                self.give_back(&m.uid);
            }
        }
        // A machine that was heard of before and is missing from several
        // lists in a row is probably gone; deleting it proves that.
        let known: Vec<MachineId> = self
            .links
            .keys()
            .chain(self.coming.keys())
            .cloned()
            .collect();
        for id in known {
            if names.contains(&id) {
                continue;
            }
            let heard = self.links.get(&id).map(|l| l.last_heard);
            let silent = heard.is_none_or(|t| now.since(t) > self.cfg.report_s * 1.5);
            let fresh = self
                .coming
                .get(&id)
                .is_some_and(|c| now.since(c.since) < 3.0 * self.cfg.list_lag_s + 5.0);
            if silent && !fresh {
                let count = self.missing.entry(id.clone()).or_insert(0);
                *count += 1;
                if *count >= 2 {
                    self.give_back(&id);
                }
            }
        }
        // Claims can name machines that neither list nor report shows.
        if now.since(self.started) > 3.0 * self.cfg.list_lag_s + 2.0 * self.cfg.report_s {
            let ghosts: Vec<MachineId> = self
                .board
                .unknown_machines()
                .filter(|id| !names.contains(id))
                .cloned()
                .collect();
            for id in ghosts {
                self.give_back(&id);
            }
        }
    }

    fn give_back(&mut self, id: &MachineId) {
        match self.links.get_mut(id) {
            Some(link) => link.deleting = true,
            None => {
                self.coming.entry(id.clone()).or_insert(Coming {
                    kind: TypeName::from(""),
                    zone: Zone::from(""),
                    spot: false,
                    since: Time(f64::NEG_INFINITY),
                });
                self.missing.insert(id.clone(), u32::MAX / 2);
            }
        }
    }

    /// What is used and free, for the log.
    fn log_fleet(&self) {
        let mut sums = [[0_i64; 3]; 2];
        for m in self.board.machines().values() {
            let sum = &mut sums[usize::from(m.spot)];
            sum[0] += 1;
            sum[1] += m.kind.total.cpu / 1000;
            sum[2] += m.used.cpu / 1000;
        }
        let pending: u32 = self.board.wanting().map(|(_, j)| j.tasks.pending()).sum();
        let teams: Vec<String> = self
            .board
            .teams()
            .iter()
            .map(|t| format!("{}:{}", t.name, t.used.cpu / 1000))
            .collect();
        let retiring = self
            .board
            .machines()
            .values()
            .filter(|m| m.retiring)
            .count();
        tracing::info!(
            ordinary = sums[0][0],
            cpus = sums[0][1],
            used = sums[0][2],
            spot = sums[1][0],
            spot_cpus = sums[1][1],
            spot_used = sums[1][2],
            coming = self.coming.len(),
            retiring,
            pending,
            teams = teams.join(","),
            "fleet"
        );
    }

    /// Machines to delete now, and machines to rent.
    pub fn fleet(&mut self, now: Time) -> (Vec<MachineId>, Vec<Rental>) {
        if now.since(self.last_fleet) >= FLEET_LOG_S {
            self.last_fleet = now;
            self.log_fleet();
        }
        let heard = self
            .links
            .values()
            .filter(|l| now.since(l.last_heard) < 2.5 * self.cfg.report_s)
            .count();
        // If most are silent it is this controller that can't hear.
        let hearing = heard * 2 > self.links.len() && now.since(self.started) > self.cfg.silent_s();
        let mut gone = Vec::new();
        for (id, link) in &mut self.links {
            let machine = self.board.machines().get(id);
            let empty = machine.is_none_or(|m| m.claims.is_empty());
            if link.leaving && empty && link.tasks.values().all(|(p, _)| *p == TaskPhase::Ended) {
                link.deleting = true;
            }
            if hearing && now.since(link.last_heard) > self.cfg.silent_s() {
                link.deleting = true;
            }
            if link.deleting {
                gone.push(id.clone());
            }
        }
        let types = &self.types;
        for (id, c) in &self.coming {
            let boot = types.get(&c.kind).map_or(30.0, |t| t.boot_s);
            let stuck = now.since(c.since) > 2.5 * boot + 10.0;
            let missing = self.missing.get(id).is_some_and(|n| *n >= 2);
            if stuck || missing {
                gone.push(id.clone());
            }
        }
        let coming: Vec<fleet::Coming> = self
            .coming
            .iter()
            .filter(|(id, _)| !gone.contains(id))
            .filter_map(|(_, c)| {
                Some(fleet::Coming {
                    kind: types.get(&c.kind)?.clone(),
                    spot: c.spot,
                    zone: c.zone.clone(),
                })
            })
            .collect();
        let mut offered: Vec<Rc<MachineType>> = types.values().cloned().collect();
        offered.sort_by(|a, b| a.name.cmp(&b.name));
        let settled = now.since(self.started) > 2.0 * self.cfg.report_s;
        if !settled || self.renting > 0 {
            return (gone, Vec::new());
        }
        let expected = self.expected(now);
        let refused = &self.refused;
        let open = |kind: &TypeName, zone: &Zone, spot: bool| {
            refused
                .get(&(kind.clone(), zone.clone(), spot))
                .is_none_or(|until| now >= *until)
        };
        let boot_s = self.boot_s();
        let patient = |spec: &JobSpec| self.slack(spec) > boot_s;
        let input = fleet::Input {
            patient: &patient,
            boot_s,
            board: &self.board,
            types: &offered,
            coming: &coming,
            expected: &expected,
            open: &open,
        };
        let plan = fleet::plan(&input, now);
        // Only what had no use for long falls idle on purpose: a machine with
        // a warm cache is worth more than a new one.
        let share = 1.0 - (-now.since(self.last_plan) / self.cfg.tuning.idle_s.max(1.0)).exp();
        self.last_plan = now;
        // What the teams are guaranteed stays there, the cheapest part of it.
        let mut left = self.board.capacity().cpu;
        let floor = self.board.guaranteed().cpu as f64 * self.cfg.tuning.floor;
        let mut retiring: Vec<(f64, MachineId)> = Vec::new();
        let mut unused: Vec<(MachineId, f64)> = Vec::new();
        for (id, m) in self.board.machines() {
            let now_unused = f64::from(u8::from(plan.unused.contains(id)));
            let part = m.unused + (now_unused - m.unused) * share;
            if now_unused > 0.0 && part > UNUSED_SHARE {
                retiring.push((-m.price_per_cpu(), id.clone()));
            }
            unused.push((id.clone(), part));
        }
        retiring.sort_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)));
        let mut going: BTreeSet<MachineId> = BTreeSet::new();
        for (_, id) in retiring {
            let Some(m) = self.board.machines().get(&id) else {
                continue;
            };
            if (left - m.kind.total.cpu) as f64 >= floor {
                left -= m.kind.total.cpu;
                going.insert(id);
            }
        }
        let mut give_back: Vec<MachineId> = Vec::new();
        for (id, part) in unused {
            let kept = plan.kept.get(&id).copied().unwrap_or_default();
            let retiring = going.contains(&id);
            self.board.edit_machine(&id, |m| {
                m.unused = part;
                m.kept = kept;
                m.retiring = retiring;
                if retiring && m.claims.is_empty() && now.since(m.idle_since) > 2.0 {
                    give_back.push(id.clone());
                }
            });
        }
        for id in give_back {
            if let Some(link) = self.links.get_mut(&id) {
                link.leaving = true;
            }
            self.refresh_machine(&id, now);
        }
        let mut rentals = Vec::new();
        for want in plan.rent {
            self.rentals += 1;
            self.renting += 1;
            rentals.push(Rental {
                // Unique: the grant's number was written before, and this
                // owner counts its own requests.
                hire: format!("r-{}-{}", self.grant, self.rentals),
                build: want.kind,
                rack: want.zone,
                loaners: want.spot,
                number: want.count,
            });
        }
        (gone, rentals)
    }

    /// A rental's outcome: the machines, or none if there is no capacity or
    /// the call failed.
    pub fn rented(&mut self, rental: &Rental, machines: Result<Vec<MachineId>, bool>, now: Time) {
        self.renting = self.renting.saturating_sub(1);
        let key = (rental.build.clone(), rental.rack.clone(), rental.loaners);
        let short = |got: usize| got < rental.number as usize;
        match machines {
            Ok(machines) => {
                if short(machines.len()) {
                    self.refused.insert(key, now.after(10.0));
                }
                for id in machines {
                    if !self.links.contains_key(&id) {
                        self.coming.insert(
                            id,
                            Coming {
                                kind: rental.build.clone(),
                                zone: rental.rack.clone(),
                                spot: rental.loaners,
                                since: now,
                            },
                        );
                    }
                }
            }
            Err(no_capacity) => {
                self.refused
                    .insert(key, now.after(if no_capacity { 10.0 } else { 3.0 }));
            }
        }
    }

    /// Machines were deleted: they and their tasks are gone.
    pub fn deleted(&mut self, machines: &[MachineId], now: Time) {
        for id in machines {
            for task in self.board.claims_on(id) {
                tracing::info!(task = %task, machine = %id, "gone with its machine");
                self.release(&task, now);
            }
            self.walk_all = true;
            self.deleted.insert(id.clone(), now);
            self.links.remove(id);
            self.coming.remove(id);
            self.missing.remove(id);
            self.board.remove_machine(id);
        }
    }
}

fn recorded_claim(view: &View, task: &TaskId, attempt: Attempt) -> bool {
    let live = |entry: &&JobEntry| entry.record.value.phase != Phase::Done;
    view.job(&task.job).filter(live).is_some_and(|entry| {
        let size = entry.record.value.chunk.max(1);
        entry.chunk(task.index / size).is_some_and(|c| {
            c.claims
                .iter()
                .any(|(place, a, _)| *place == task.index % size && *a == attempt)
        })
    })
}
