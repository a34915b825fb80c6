//! Machines with their workers. A switch can be cut: whoever is behind it is
//! silent, and its tasks run until the lease ends.

mod checks;
mod command_copies;
mod executing;
mod failing_starts;
mod faults;
mod figures;
mod progress;
mod task;
mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use crate::history::{AttemptId, Event, Reason, Recorder, TaskName};
use crate::{LEASE_S, ZONES};
use checks::ForgottenAttempt;
pub use command_copies::CommandCopies;
use failing_starts::FailingStarts;
pub use faults::{machines_of, CommandDelay, Faults, Released};
pub use figures::Figures;
pub use task::Task;
pub use worker::add;

/// A machine and its worker.
pub struct Node {
    /// The machine's name.
    pub id: String,
    /// Where its worker takes direct commands.
    pub addr: SocketAddr,
    /// Its zone, a place in [`ZONES`].
    pub zone: u8,
    /// The number of its switch in that zone.
    pub switch: u8,
    /// It was given back, or failed: it is never there again.
    pub gone: bool,
    /// When it has come up.
    pub(crate) up_at: Instant,
    /// When it was rented.
    pub(crate) born: Instant,
    /// The worker's incarnation; a lease that ends begins the next one.
    incarnation: u64,
    sequence: u64,
    /// The highest fencing token seen.
    fencing_token: u64,
    /// When a higher fencing token was last worth a heartbeat of its own.
    token_announced: Option<Instant>,
    /// When the last answered heartbeat was sent: the lease runs from then.
    answered: Instant,
    reported: Instant,
    /// Something changed since the last heartbeat.
    dirty: bool,
    /// The controller that heartbeats go to, by its number.
    target: usize,
    /// Since when it hangs, if it does.
    hung_since: Option<Instant>,
    /// All tasks there, by name and attempt.
    pub tasks: BTreeMap<(String, u64), Task>,
}

/// All machines, and what is known of them from outside.
pub struct Nodes {
    /// By name, those that are gone too.
    pub all: BTreeMap<String, Node>,
    /// Submitted jobs, as their users described them.
    pub jobs: BTreeMap<String, Value>,
    /// Switches that are cut, by zone and number.
    pub cut: BTreeSet<(u8, u8)>,
    /// Encoders that each switch's machines really have, and which work.
    pub encoders: BTreeMap<(u8, u8), Vec<(String, bool)>>,
    /// What went wrong.
    pub wrong: Vec<String>,
    /// Starts that were carried out.
    pub starts: usize,
    /// Heartbeats that a controller answered with 503.
    pub refused_heartbeats: usize,
    /// Machines with workers of their own, as the cloud lists them.
    pub others: BTreeMap<String, Value>,
    /// Tasks that ended `done`.
    pub done: BTreeSet<String>,
    /// Machines whose heartbeats every controller turns away.
    pub rejected_connections: BTreeSet<String>,
    /// The cloud has nothing to rent.
    pub full: bool,
    /// One-way lines: heartbeats get through, answers and commands don't.
    pub deaf: Vec<OneWayFault>,
    /// Heartbeats of late, if copies are to come.
    pub sent: Option<VecDeque<(Instant, String, Value)>>,
    /// A controller that is cut off from all workers, and its grant: neither
    /// heartbeats nor commands get through.
    pub apart: Option<(usize, u64)>,
    /// More that goes wrong by a test's word.
    pub faults: Faults,
    /// Copies of executed direct commands.
    pub command_copies: CommandCopies,
    failing_starts: FailingStarts,
    /// Attempts that workers were told to forget.
    forgotten: BTreeSet<ForgottenAttempt>,
    /// What the load costs.
    pub figures: Figures,
    /// Takes notes of what happens on the machines.
    pub recorder: Recorder,
    /// Where each controller takes heartbeats.
    controllers: Vec<SocketAddr>,
    /// How many machines there have ever been.
    count: u32,
}

/// The one machine type.
pub(crate) const TYPE: &str = "t";
/// CPUs of a machine.
pub(crate) const CPUS: f64 = 4.0;
/// Memory of a machine, gigabytes.
pub(crate) const RAM_GB: f64 = 16.0;
/// A worker waits so long for an answer to its heartbeat (PROTOCOL).
const PATIENCE: Duration = Duration::from_secs(4);
/// Heartbeats kept to be copied.
const MAX_SENT: usize = 6000;

/// Machines that hear nothing: one, those of a zone, or all; of one controller with
/// its grant, or of any.
#[derive(Clone, Debug, Default)]
pub struct OneWayFault {
    /// Only this machine.
    pub machine: Option<String>,
    /// Only machines of this zone.
    pub zone: Option<u8>,
    /// Only what this controller says, by its number and the grant that it commands
    /// with.
    pub to: Option<(usize, u64)>,
}

impl Node {
    /// Takes a fencing token that is not below the highest one seen. A higher one counts as a
    /// change at most once in half a lease (PROTOCOL).
    fn take_token(&mut self, fencing_token: u64) {
        if fencing_token <= self.fencing_token {
            return;
        }
        self.fencing_token = fencing_token;
        let pause = Duration::from_secs_f64(LEASE_S / 2.0);
        if self.token_announced.is_none_or(|at| at.elapsed() >= pause) {
            self.token_announced = Some(Instant::now());
            self.dirty = true;
        }
    }

    /// CPUs of all tasks that have not ended.
    fn used_cpus(&self) -> f64 {
        self.tasks
            .values()
            .filter(|task| task.phase != "ended")
            .map(|task| task.cpus)
            .sum()
    }
}

impl Nodes {
    /// None yet, for controllers that take heartbeats at these addresses.
    pub fn new(controllers: Vec<SocketAddr>, recorder: Recorder) -> Self {
        Self {
            all: BTreeMap::new(),
            jobs: BTreeMap::new(),
            cut: BTreeSet::new(),
            encoders: BTreeMap::new(),
            wrong: Vec::new(),
            starts: 0,
            refused_heartbeats: 0,
            others: BTreeMap::new(),
            done: BTreeSet::new(),
            rejected_connections: BTreeSet::new(),
            full: false,
            deaf: Vec::new(),
            sent: None,
            apart: None,
            faults: Faults::default(),
            command_copies: CommandCopies::default(),
            failing_starts: FailingStarts::default(),
            forgotten: BTreeSet::new(),
            figures: Figures::default(),
            recorder,
            controllers,
            count: 0,
        }
    }

    /// Notes that a task is no longer on a machine.
    fn note_left(&self, id: &str, key: &(String, u64), when: Instant, reason: Reason) {
        if let Some(attempt) = attempt_id(id, &key.0, key.1) {
            self.recorder.note_at(when, Event::Left(attempt, reason));
        }
    }

    /// Whether a machine's switch is cut.
    fn is_cut(&self, id: &str) -> bool {
        let node = &self.all[id];
        self.cut.contains(&(node.zone, node.switch))
    }

    /// Whether a machine hears nothing from a controller, told by its number or by
    /// the grant that it commands with.
    fn is_deaf(&self, id: &str, from: impl Fn((usize, u64)) -> bool) -> bool {
        let zone = self.all[id].zone;
        self.deaf.iter().any(|d| {
            d.machine.as_ref().is_none_or(|m| m == id)
                && d.zone.is_none_or(|z| z == zone)
                && d.to.is_none_or(&from)
        })
    }

    /// Heartbeats that are older than so many seconds, the newest of those, a few of
    /// each machine, gone ones too.
    pub fn old_heartbeats(&self, age_s: f64, max: usize) -> Vec<Value> {
        let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
        let sent = self.sent.iter().flatten().rev();
        let old = sent.filter(|(at, ..)| at.elapsed().as_secs_f64() >= age_s);
        let some = old.filter(|(_, id, _)| {
            let count = taken.entry(id).or_default();
            *count += 1;
            *count <= max
        });
        let mut some: Vec<Value> = some.map(|(.., heartbeat)| heartbeat.clone()).collect();
        some.reverse();
        some
    }

    /// Replicas of a service that run and can be reached.
    pub fn copies(&self, uid: &str) -> usize {
        let reached = self
            .all
            .values()
            .filter(|n| !n.gone && !self.cut.contains(&(n.zone, n.switch)));
        let tasks = reached.flat_map(|n| n.tasks.iter());
        tasks
            .filter(|((task_name, _), t)| {
                t.phase == "running" && task_name.rsplit_once('/').is_some_and(|(j, _)| j == uid)
            })
            .count()
    }

    /// Machines that run a job's tasks, with their switches.
    pub fn places(&self, uid: &str) -> Vec<(u8, u8)> {
        let mut places = Vec::new();
        for node in self.all.values().filter(|n| !n.gone) {
            for ((task_name, _), task) in &node.tasks {
                let of = task_name.rsplit_once('/').is_some_and(|(j, _)| j == uid);
                if of && task.phase != "ended" {
                    places.push((node.zone, node.switch));
                }
            }
        }
        places
    }

    /// A machine's next heartbeat.
    fn heartbeat(&mut self, id: &str) -> Value {
        let node = self.all.get_mut(id).expect("it is there");
        node.sequence += 1;
        let ended = node.tasks.values().filter(|task| task.phase == "ended");
        self.figures.reported_ended(ended.count());
        let tasks: Vec<Value> = node
            .tasks
            .iter()
            .map(|((task_name, attempt), t)| {
                json!({"piece": task_name, "try": attempt, "phase": t.phase, "cause": t.exit_reason})
            })
            .collect();
        json!({"box": id, "addr": node.addr, "build": TYPE, "rack": ZONES[node.zone as usize],
            "loaners": false, "shift": node.incarnation, "tick": node.sequence, "baton": node.fencing_token,
            "warning_s": null, "pieces": tasks})
    }

    /// The names of all machines that are up and there.
    pub fn names_up(&self) -> Vec<String> {
        let now = Instant::now();
        let up = self.all.values().filter(|n| !n.gone && n.up_at <= now);
        up.map(|n| n.id.clone()).collect()
    }
}

/// An attempt as the history names it; none if its task has no such name.
fn attempt_id(machine: &str, task_name: &str, attempt: u64) -> Option<AttemptId> {
    Some(AttemptId {
        task: TaskName::parse(task_name)?,
        attempt,
        machine: machine.into(),
    })
}
