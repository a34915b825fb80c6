//! What the worker knows and decides, without I/O or clock: time, messages and
//! what becomes of processes come in, actions go out, to be carried out in their
//! order. An action that must outlive the process is a [`Action::Note`]; whatever
//! follows it happens only once it is on disk.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::types::{
    Amount, Attempt, MachineId, Seq, Session, Time, Token, TypeName, Zone,
};
use sorrelhinge_protocol::worker::{
    Command, Orders, Reply, Report, ReportedImage, ReportedTask, TaskPhase, Why,
};

/// A task's attempt: `run-000412/3` and its number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The task.
    pub piece: String,
    /// The attempt.
    pub attempt: Attempt,
}

/// What the machine is, and the times that hold for it.
#[derive(Clone, Debug)]
pub struct Machine {
    /// Its name.
    pub name: MachineId,
    /// Where it takes direct commands.
    pub addr: SocketAddr,
    /// Its type.
    pub kind: TypeName,
    /// Its zone.
    pub zone: Zone,
    /// A spot machine.
    pub spot: bool,
    /// What it offers.
    pub total: Amount,
    /// Seconds between reports.
    pub report_s: f64,
    /// Seconds that a lease lasts.
    pub lease_s: f64,
    /// Controllers, by name, in the order that they are tried.
    pub controllers: Vec<String>,
}

/// What a task needs of the machine, from its job's description.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Needs {
    /// What it takes while it is there.
    pub each: Amount,
    /// Seconds to save when stopped; none: it can't.
    pub save_s: Option<f64>,
    /// It needs an image before it can run.
    pub image: bool,
}

/// How a process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exit {
    /// By itself, with code 0: the result was reached.
    Done,
    /// By itself, otherwise; or it could not be run.
    Failed,
    /// It was told to save, and did.
    Saved,
    /// It was killed.
    Killed,
    /// It was never begun.
    Never,
}

/// Something that must be on disk before what follows it is done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Note {
    /// The highest token seen.
    Token(Token),
    /// The session.
    Session(Session),
    /// Ticks below this may have been used.
    Tick(u64),
    /// An attempt was taken on: it may run from now on.
    Took(Key, Vec<(String, String)>),
    /// How an attempt ended.
    Ended(Key, Why, bool),
    /// An attempt is not known any more.
    Forgot(Key),
}

/// What is to be done, in this order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write this down.
    Note(Note),
    /// The lease runs from this time: those who run tasks go by it.
    Lease(Time),
    /// Find the description of a task's job.
    Describe(Key),
    /// Have a task's image ready; other agents that may have it, the best first.
    Image(Key, Vec<SocketAddr>),
    /// A task needs its image no more.
    Release(Key),
    /// Run a task, with these devices.
    Run(Key, Vec<(String, String)>),
    /// Tell a task to save and end.
    Save(Key),
    /// End a task with all its processes.
    Kill(Key),
    /// Nothing of an attempt is needed any more.
    Clean(Key),
    /// Send a report to this controller.
    Report(usize, Box<Report>),
}

#[derive(Clone, Debug)]
struct Held {
    phase: TaskPhase,
    cause: Option<Why>,
    needs: Option<Needs>,
    units: Vec<(String, String)>,
    /// Other agents that may have its image.
    from: Vec<SocketAddr>,
    /// It was told to stop.
    stopping: bool,
    /// When saving has taken too long.
    save_until: Option<Time>,
}

/// An attempt's devices, and how it ended and whether its progress was kept;
/// nothing if it has not.
pub type Known = (Vec<(String, String)>, Option<(Why, bool)>);

/// What was found after a start of the agent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Recovered {
    /// The highest token seen.
    pub token: Token,
    /// The last session.
    pub session: Session,
    /// Ticks below this may have been used.
    pub tick: u64,
    /// Attempts: their devices and how each ended, none if it still runs.
    pub tasks: BTreeMap<Key, Known>,
    /// Attempts of an ended session that are not known to be gone.
    pub dying: BTreeSet<Key>,
    /// Needs of those that still run.
    pub needs: BTreeMap<Key, Needs>,
    /// Tasks whose result was reached on this machine.
    pub results: BTreeSet<String>,
    /// When the last answered report was sent; none: not since the machine
    /// started.
    pub answered: Option<Time>,
}

/// Ticks reserved on disk at a time.
const TICKS_RESERVED: u64 = 1000;
/// The least time between two reports.
const MIN_REPORT_INTERVAL_S: f64 = 0.5;
/// A controller that gave no answer is left for the next after this.
const RETRY_DELAY_S: f64 = 1.0;
/// The wait before a report goes to the controller that another named.
const REDIRECT_DELAY_S: f64 = 0.2;
/// An answer that takes longer does not come.
pub const ANSWER_TIMEOUT_S: f64 = 4.0;
/// Bytes of a report from which on nothing more is taken on, and from which on
/// a start is not even refused: PROTOCOL allows a body of 64 KiB.
const FULL_REPORT_BYTES: usize = 48 << 10;
const MAX_TASKS_BYTES: usize = 58 << 10;
/// Bytes of a task in a report, beside its name.
const TASK_BYTES: usize = 64;
/// Bytes of a report that tell of images: beside [`MAX_TASKS_BYTES`] of tasks they
/// keep it below 64 KiB.
const MAX_IMAGES_BYTES: usize = 3 << 10;
/// Bytes of an image in a report, beside its name.
const IMAGE_BYTES: usize = 64;
/// Sources of a start that are looked at.
const MAX_SOURCES: usize = 64;
/// Results remembered at the most.
const MAX_RESULTS: usize = 10_000;

/// The outcome of a report.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// 200.
    Reply(Reply),
    /// 421 with a controller's name, if it named one.
    Elsewhere(Option<String>),
    /// Any other status, or none.
    None,
}

/// What a direct command is answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Carried out, or refused with 409: the report.
    Report(bool, Box<Report>),
    /// Tasks of an ended session are still being killed: nothing may be said
    /// of what is here.
    NotNow,
}

/// The worker.
#[derive(Clone, Debug)]
pub struct Core {
    machine: Machine,
    token: Token,
    session: Session,
    tick: u64,
    ticks_noted: u64,
    tasks: BTreeMap<Key, Held>,
    /// Killed with their session, not gone yet: nothing is reported until
    /// they are, since a report without them would prove that they are.
    dying: BTreeMap<Key, Amount>,
    results: BTreeSet<String>,
    answered: Time,
    target: usize,
    /// The report under way: when it was sent, and in which session.
    flying: Option<(Time, Session)>,
    reported: Time,
    next: Time,
    changed: bool,
    token_told: Time,
    /// Nothing new is taken on: the disk fails, or the agent is to end.
    closed: bool,
    /// Images that are handed on, as many as a report has room for.
    images: Vec<ReportedImage>,
}

impl Core {
    /// A worker that has just started, or started again. If the lease ran out
    /// in the meantime, its tasks are killed before anything else is done.
    pub fn new(machine: Machine, found: Recovered, now: Time) -> (Self, Vec<Action>) {
        let mut core = Self {
            token: found.token,
            session: Session(found.session.0.max(1)),
            tick: found.tick,
            ticks_noted: found.tick,
            tasks: BTreeMap::new(),
            dying: BTreeMap::new(),
            results: found.results,
            answered: found.answered.unwrap_or(now),
            target: 0,
            flying: None,
            reported: Time(f64::NEG_INFINITY),
            next: now,
            changed: true,
            token_told: Time(f64::NEG_INFINITY),
            closed: false,
            images: Vec::new(),
            machine,
        };
        for (key, (units, ended)) in found.tasks {
            let (phase, cause) = match ended {
                Some((why, _)) => (TaskPhase::Ended, Some(why)),
                None => (TaskPhase::Running, None),
            };
            let held = Held {
                phase,
                cause,
                needs: found.needs.get(&key).copied(),
                units,
                from: Vec::new(),
                stopping: false,
                save_until: None,
            };
            core.tasks.insert(key, held);
        }
        let mut actions = vec![Action::Note(Note::Session(core.session))];
        for key in found.dying {
            let each = found.needs.get(&key).map_or(Amount::default(), |n| n.each);
            actions.push(Action::Kill(key.clone()));
            core.dying.insert(key, each);
        }
        if found.answered.is_none() {
            // A machine that has just started: its lease begins now.
            actions.push(Action::Lease(now));
        }
        core.check_lease(now, &mut actions);
        (core, actions)
    }

    /// The tasks, for those who look at the machine.
    pub fn tasks(&self) -> impl Iterator<Item = (&Key, TaskPhase, Option<Why>)> {
        self.tasks.iter().map(|(k, h)| (k, h.phase, h.cause))
    }
    /// The session and the highest token seen.
    pub fn standing(&self) -> (Session, Token) {
        (self.session, self.token)
    }
    /// Whether an attempt was killed with its session and is not gone yet.
    pub fn is_dying(&self, key: &Key) -> bool {
        self.dying.contains_key(key)
    }
    /// When the report under way was sent.
    pub fn sent(&self) -> Option<Time> {
        self.flying.map(|(sent, _)| sent)
    }
    /// Nothing new is taken on from now on, or is again.
    pub fn close(&mut self, closed: bool) {
        self.closed = closed;
    }
    /// Images that are handed on now, the most wanted first. No change that is
    /// worth a report of its own: it is a hint, and goes along with the next.
    pub fn hands_on(&mut self, images: impl Iterator<Item = ReportedImage>) {
        let mut left = MAX_IMAGES_BYTES;
        let fits = |image: &ReportedImage| {
            let room = left.checked_sub(image.image.len() + IMAGE_BYTES);
            left = room.unwrap_or(0);
            room.is_some()
        };
        self.images = images.take_while(fits).collect();
    }
    fn used(&self) -> Amount {
        let mut sum = Amount::default();
        for held in self.tasks.values().filter(|h| h.phase != TaskPhase::Ended) {
            sum += held.needs.map_or(Amount::default(), |n| n.each);
        }
        for each in self.dying.values() {
            sum += *each;
        }
        sum
    }

    /// If the last answered report was sent more than a lease ago, all tasks
    /// are killed and forgotten, and the next session begins (PROTOCOL, Leases).
    fn check_lease(&mut self, now: Time, actions: &mut Vec<Action>) {
        if now.since(self.answered) <= self.machine.lease_s {
            return;
        }
        for (key, held) in std::mem::take(&mut self.tasks) {
            if held.phase == TaskPhase::Ended || !has_process(&held) {
                actions.push(Action::Release(key.clone()));
                actions.push(Action::Note(Note::Forgot(key.clone())));
                actions.push(Action::Clean(key));
            } else {
                let each = held.needs.map_or(Amount::default(), |n| n.each);
                actions.push(Action::Kill(key.clone()));
                self.dying.insert(key, each);
            }
        }
        self.session = Session(self.session.0 + 1);
        self.answered = now;
        self.changed = true;
        actions.push(Action::Note(Note::Session(self.session)));
        actions.push(Action::Lease(now));
    }

    /// Time has passed. `jitter`: from -0.25 to 0.25, how much sooner or later
    /// than usual the next report goes out.
    pub fn tick(&mut self, jitter: f64, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let late: Vec<Key> = self
            .tasks
            .iter()
            .filter(|(_, h)| h.save_until.is_some_and(|t| now >= t))
            .map(|(k, _)| k.clone())
            .collect();
        for key in late {
            if let Some(held) = self.tasks.get_mut(&key) {
                held.save_until = None;
            }
            actions.push(Action::Kill(key));
        }
        if let Some((sent, _)) = self.flying {
            if now.since(sent) > ANSWER_TIMEOUT_S {
                self.no_answer(now);
            }
        }
        let due = now >= self.next && (now.since(self.reported) >= self.machine.report_s)
            || self.changed
                && now >= self.next
                && now.since(self.reported) >= MIN_REPORT_INTERVAL_S;
        if due && self.flying.is_none() && self.dying.is_empty() {
            self.reported = now;
            self.next = now;
            self.changed = false;
            self.flying = Some((now, self.session));
            // The wait until the next is measured from this one.
            self.reported = now.after(jitter * self.machine.report_s);
            let report = self.report(&mut actions);
            actions.push(Action::Report(self.target, Box::new(report)));
        }
        actions
    }

    /// What is here now.
    fn report(&mut self, actions: &mut Vec<Action>) -> Report {
        self.tick += 1;
        if self.tick >= self.ticks_noted {
            self.ticks_noted = self.tick + TICKS_RESERVED;
            actions.push(Action::Note(Note::Tick(self.ticks_noted)));
        }
        Report {
            machine: self.machine.name.clone(),
            addr: self.machine.addr,
            build: self.machine.kind.clone(),
            rack: self.machine.zone.clone(),
            loaners: self.machine.spot,
            shift: self.session,
            tick: Seq(self.tick),
            baton: self.token,
            warning_s: None,
            pieces: self
                .tasks
                .iter()
                .map(|(key, held)| ReportedTask {
                    piece: key.piece.clone(),
                    attempt: key.attempt,
                    phase: held.phase,
                    cause: held.cause,
                })
                .collect(),
            images: self.images.clone(),
        }
    }

    fn no_answer(&mut self, now: Time) {
        self.flying = None;
        self.target = (self.target + 1) % self.machine.controllers.len().max(1);
        self.next = now.after(RETRY_DELAY_S);
        self.changed = true;
    }

    /// A report's outcome. One that comes after it was given up on, or of an
    /// earlier session, changes nothing.
    pub fn answered(&mut self, sent: Time, answer: Answer, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let Some((_, session)) = self.flying.filter(|(at, _)| *at == sent) else {
            return actions;
        };
        match answer {
            Answer::Reply(reply) => {
                self.flying = None;
                if session != self.session || reply.baton < self.token {
                    // It stays here while its lease runs out.
                    return actions;
                }
                self.answered = sent;
                actions.push(Action::Lease(sent));
                self.learn(reply.baton, now, &mut actions);
                self.execute(&reply.orders, now, &mut actions);
            }
            Answer::Elsewhere(named) => {
                let at = named.and_then(|n| {
                    let mut names = self.machine.controllers.iter();
                    names.position(|c| *c == n)
                });
                match at.filter(|at| *at != self.target) {
                    Some(at) => {
                        self.flying = None;
                        self.target = at;
                        self.changed = true;
                        // A report that was sent on is not another one.
                        self.reported = Time(f64::NEG_INFINITY);
                        // Two that name each other are not asked all the time.
                        self.next = now.after(REDIRECT_DELAY_S);
                    }
                    None => self.no_answer(now),
                }
            }
            Answer::None => self.no_answer(now),
        }
        actions
    }

    fn learn(&mut self, token: Token, now: Time, actions: &mut Vec<Action>) {
        if token > self.token {
            self.token = token;
            actions.push(Action::Note(Note::Token(token)));
            // A higher token counts as a change at most once in half a lease.
            if now.since(self.token_told) >= self.machine.lease_s / 2.0 {
                self.token_told = now;
                self.changed = true;
            }
        }
    }

    /// Direct commands.
    pub fn orders(&mut self, orders: &Orders, now: Time) -> (Told, Vec<Action>) {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        if !self.dying.is_empty() {
            return (Told::NotNow, actions);
        }
        let taken = orders.baton >= self.token && orders.shift == self.session;
        if taken {
            self.learn(orders.baton, now, &mut actions);
            self.execute(&orders.orders, now, &mut actions);
        }
        let report = self.report(&mut actions);
        (Told::Report(taken, Box::new(report)), actions)
    }

    /// `GET /status`.
    pub fn status(&mut self, now: Time) -> (Told, Vec<Action>) {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        if !self.dying.is_empty() {
            return (Told::NotNow, actions);
        }
        let report = self.report(&mut actions);
        (Told::Report(true, Box::new(report)), actions)
    }

    fn execute(&mut self, orders: &[Command], now: Time, actions: &mut Vec<Action>) {
        for order in orders {
            match order {
                Command::Start {
                    piece,
                    attempt,
                    units,
                    from,
                } => {
                    let key = Key {
                        piece: piece.clone(),
                        attempt: *attempt,
                    };
                    let sources = from.iter().take(MAX_SOURCES).copied().collect();
                    self.start(key, units.clone(), sources, actions);
                }
                Command::Kill {
                    piece,
                    attempt,
                    mercy_s,
                } => {
                    let key = Key {
                        piece: piece.clone(),
                        attempt: *attempt,
                    };
                    self.kill(&key, *mercy_s, now, actions);
                }
                Command::Forget { piece, attempt } => {
                    let key = Key {
                        piece: piece.clone(),
                        attempt: *attempt,
                    };
                    let ended = |h: &Held| h.phase == TaskPhase::Ended;
                    if self.tasks.get(&key).is_some_and(ended) {
                        self.tasks.remove(&key);
                        self.changed = true;
                        actions.push(Action::Note(Note::Forgot(key.clone())));
                        actions.push(Action::Clean(key));
                    }
                }
            }
        }
    }

    /// `start`. If this attempt is here in any state, it has no effect.
    fn start(
        &mut self,
        key: Key,
        units: Vec<(String, String)>,
        from: Vec<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        if self.tasks.contains_key(&key) {
            return;
        }
        let said: usize = self.tasks.keys().map(|k| k.piece.len() + TASK_BYTES).sum();
        if said >= MAX_TASKS_BYTES {
            // It is repeated once others are forgotten.
            return;
        }
        let other = |(k, h): (&Key, &Held)| k.piece == key.piece && h.phase != TaskPhase::Ended;
        let in_use = self.tasks.iter().any(other);
        let taken = |h: &Held| {
            h.phase != TaskPhase::Ended && h.units.iter().any(|unit| units.contains(unit))
        };
        let refused = if in_use {
            Some(Why::InUse)
        } else if self.closed || said >= FULL_REPORT_BYTES || self.tasks.values().any(taken) {
            Some(Why::Full)
        } else if self.results.contains(&key.piece) {
            // Its result is here.
            Some(Why::Done)
        } else {
            None
        };
        actions.push(Action::Note(Note::Took(key.clone(), units.clone())));
        let held = Held {
            phase: TaskPhase::Fetching,
            cause: None,
            needs: None,
            units,
            from,
            stopping: false,
            save_until: None,
        };
        self.tasks.insert(key.clone(), held);
        self.changed = true;
        match refused {
            Some(why) => self.end(&key, why, false, actions),
            None => actions.push(Action::Describe(key)),
        }
    }

    fn end(&mut self, key: &Key, why: Why, kept: bool, actions: &mut Vec<Action>) {
        let Some(held) = self.tasks.get_mut(key) else {
            return;
        };
        held.phase = TaskPhase::Ended;
        held.cause = Some(why);
        held.save_until = None;
        self.changed = true;
        actions.push(Action::Note(Note::Ended(key.clone(), why, kept)));
        actions.push(Action::Release(key.clone()));
        if why == Why::Done {
            if self.results.len() >= MAX_RESULTS {
                self.results.pop_first();
            }
            self.results.insert(key.piece.clone());
        }
    }

    /// A task's description was found, or why it can't be run.
    pub fn described(&mut self, key: &Key, needs: Result<Needs, Why>, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let waits = |h: &Held| h.phase == TaskPhase::Fetching && h.needs.is_none();
        if !self.tasks.get(key).is_some_and(waits) {
            return actions;
        }
        let free = self.machine.total - self.used();
        match needs {
            Err(why) => self.end(key, why, false, &mut actions),
            Ok(needs) if !needs.each.fits(free) => self.end(key, Why::Full, false, &mut actions),
            Ok(needs) => {
                let mut from = Vec::new();
                if let Some(held) = self.tasks.get_mut(key) {
                    held.needs = Some(needs);
                    from = std::mem::take(&mut held.from);
                }
                if needs.image {
                    // Its room is its own from now on.
                    actions.push(Action::Image(key.clone(), from));
                } else {
                    self.begin(key, &mut actions);
                }
            }
        }
        actions
    }

    fn begin(&mut self, key: &Key, actions: &mut Vec<Action>) {
        if let Some(held) = self.tasks.get_mut(key) {
            held.phase = TaskPhase::Running;
            self.changed = true;
            actions.push(Action::Run(key.clone(), held.units.clone()));
        }
    }

    /// A task's image is there, whole; or it can't be had.
    pub fn imaged(&mut self, key: &Key, there: bool, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        self.check_lease(now, &mut actions);
        let waits = |h: &Held| h.phase == TaskPhase::Fetching && h.needs.is_some_and(|n| n.image);
        if self.tasks.get(key).is_some_and(waits) {
            match there {
                true => self.begin(key, &mut actions),
                false => self.end(key, Why::Error, false, &mut actions),
            }
        }
        actions
    }

    /// `kill`: a task that can save does if there is time enough, any other is
    /// ended at once. It is reported as running until it is proven gone.
    fn kill(&mut self, key: &Key, mercy_s: f64, now: Time, actions: &mut Vec<Action>) {
        let Some(held) = self.tasks.get_mut(key) else {
            return;
        };
        match held.phase {
            TaskPhase::Ended => {}
            _ if !has_process(held) => self.end(key, Why::Stopped, false, actions),
            TaskPhase::Saving if mercy_s > 0.0 => {}
            _ => {
                let saves = held.needs.and_then(|n| n.save_s);
                let first = !held.stopping;
                held.stopping = true;
                if first && saves.is_some_and(|s| mercy_s >= s) {
                    held.phase = TaskPhase::Saving;
                    held.save_until = Some(now.after(mercy_s));
                    self.changed = true;
                    actions.push(Action::Save(key.clone()));
                } else {
                    held.save_until = None;
                    actions.push(Action::Kill(key.clone()));
                }
            }
        }
    }

    /// A task's processes are gone, all of them.
    pub fn gone(&mut self, key: &Key, exit: Exit, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.dying.remove(key).is_some() {
            actions.push(Action::Release(key.clone()));
            actions.push(Action::Note(Note::Forgot(key.clone())));
            actions.push(Action::Clean(key.clone()));
            self.changed = true;
        }
        self.check_lease(now, &mut actions);
        let Some(held) = self.tasks.get(key).filter(|h| has_process(h)) else {
            return actions;
        };
        // A result that was reached is a result, whatever came meanwhile.
        let (why, kept) = match exit {
            Exit::Done => (Why::Done, false),
            Exit::Saved => (Why::Stopped, true),
            _ if held.stopping => (Why::Stopped, false),
            // Nothing speaks against the machine, or the job.
            Exit::Never => (Why::Stopped, false),
            Exit::Failed | Exit::Killed => (Why::Error, false),
        };
        self.end(key, why, kept, &mut actions);
        actions
    }
}

/// Whether a task's process was started, or is about to be.
fn has_process(held: &Held) -> bool {
    matches!(held.phase, TaskPhase::Running | TaskPhase::Saving)
}
