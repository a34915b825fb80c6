//! The pure core against a slow plain model of PROTOCOL's worker, over
//! generated orders of messages, ends of processes and time: commands repeated,
//! late, after `forget`; lower tokens; lost and late answers; leases that end.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sorrelhinge_agent::core::{
    Action, Answer, Core, Exit, Key, Machine, Needs, Note, Recovered, Told,
};
use sorrelhinge_agent::journal::State;
use sorrelhinge_protocol::types::{
    Amount, Attempt, MachineId, Session, Time, Token, TypeName, Zone,
};
use sorrelhinge_protocol::worker::{Command, Orders, Reply, Report, TaskPhase, Why};

const LEASE_S: f64 = 10.0;

fn machine() -> Machine {
    Machine {
        name: MachineId::from("vm-1"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        kind: TypeName::from("t"),
        zone: Zone::from("za"),
        spot: false,
        total: Amount::new(3.0, 0.0, 8.0),
        report_s: 2.0,
        lease_s: LEASE_S,
        controllers: vec!["c-0".into(), "c-1".into()],
    }
}

#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u8),
    /// Direct commands with this token, and a session that matches or not.
    Direct(u8, bool, Vec<(u8, u8, u8)>),
    /// The report under way is answered, with this token.
    Answer(u8, Vec<(u8, u8, u8)>),
    /// It is sent on, or gets no answer.
    Elsewhere(bool),
    /// A task's job is described, or can't be.
    Describe(u8, bool),
    /// A task's image is there, or can't be had.
    Imaged(u8, bool),
    /// A task's processes are gone.
    Exited(u8, u8),
    /// The agent is killed and starts again from its journal.
    Crash,
}

fn commands() -> impl Strategy<Value = Vec<(u8, u8, u8)>> {
    prop::collection::vec((0..4_u8, 0..3_u8, 1..4_u8), 0..4)
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (1..30_u8).prop_map(Step::Wait),
        4 => (0..4_u8, prop::bool::weighted(0.9), commands())
            .prop_map(|(t, s, c)| Step::Direct(t, s, c)),
        4 => (0..4_u8, commands()).prop_map(|(t, c)| Step::Answer(t, c)),
        1 => any::<bool>().prop_map(Step::Elsewhere),
        6 => (0..8_u8, prop::bool::weighted(0.9)).prop_map(|(n, ok)| Step::Describe(n, ok)),
        3 => (0..8_u8, prop::bool::weighted(0.8)).prop_map(|(n, ok)| Step::Imaged(n, ok)),
        4 => (0..8_u8, 0..4_u8).prop_map(|(n, e)| Step::Exited(n, e)),
        1 => Just(Step::Crash),
    ]
}

/// `0`: kill without mercy, `1`: with, `2`: forget, else start.
fn command((what, piece, attempt): &(u8, u8, u8)) -> Command {
    let piece = format!("run-1/{piece}");
    let attempt = Attempt(u64::from(*attempt));
    match what {
        0 => Command::Kill {
            piece,
            attempt,
            mercy_s: if attempt.0 == 1 { 5.0 } else { 0.0 },
        },
        1 => Command::Forget { piece, attempt },
        _ => Command::Start {
            piece,
            attempt,
            units: Vec::new(),
            from: Vec::new(),
        },
    }
}

/// What a task needs: most can save, and one needs an image.
fn needs_of(piece: &str) -> Needs {
    Needs {
        each: Amount::new(1.0, 0.0, 1.0),
        save_s: (piece != "run-1/0").then_some(2.0),
        image: piece == "run-1/3",
    }
}

/// What PROTOCOL says of one attempt, with nothing but its words.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plain {
    Fetching,
    Running,
    Saving,
    Ended(Why),
}

/// The plain worker.
#[derive(Default)]
struct Model {
    token: u64,
    session: u64,
    tasks: BTreeMap<(String, u64), Plain>,
    /// Processes that may run, of any session.
    processes: BTreeMap<(String, u64), bool>,
    /// Described, and waiting for their image; their room is taken.
    imaging: BTreeSet<(String, u64)>,
    renewed: f64,
    results: Vec<String>,
}

impl Model {
    fn lease(&mut self, now: f64) {
        if now - self.renewed > LEASE_S {
            for (key, phase) in std::mem::take(&mut self.tasks) {
                // Whoever may run is killed; it is gone when its end is seen.
                if matches!(phase, Plain::Running | Plain::Saving) {
                    self.processes.insert(key, true);
                }
            }
            self.imaging.clear();
            self.session += 1;
            self.renewed = now;
        }
    }

    /// Tasks of an ended session that are not gone.
    fn dying(&self) -> bool {
        self.processes
            .iter()
            .any(|(key, killed)| *killed && !self.tasks.contains_key(key))
    }

    fn execute(&mut self, commands: &[Command]) {
        for c in commands {
            match c {
                Command::Start { piece, attempt, .. } => {
                    let key = (piece.clone(), attempt.0);
                    if self.tasks.contains_key(&key) {
                        continue;
                    }
                    let mut others = self.tasks.iter().filter(|((p, _), _)| p == piece);
                    let in_use = others.any(|(_, t)| !matches!(t, Plain::Ended(_)));
                    let phase = if in_use {
                        Plain::Ended(Why::InUse)
                    } else if self.results.contains(piece) {
                        Plain::Ended(Why::Done)
                    } else {
                        Plain::Fetching
                    };
                    self.tasks.insert(key, phase);
                }
                Command::Kill {
                    piece,
                    attempt,
                    mercy_s,
                } => {
                    let key = (piece.clone(), attempt.0);
                    match self.tasks.get_mut(&key) {
                        Some(phase) if *phase == Plain::Fetching => {
                            *phase = Plain::Ended(Why::Stopped);
                            self.imaging.remove(&key);
                        }
                        Some(phase) if *phase == Plain::Running => {
                            let first = !self.processes.get(&key).copied().unwrap_or(false);
                            let saves = needs_of(piece).save_s;
                            if saves.is_some_and(|s| *mercy_s >= s) && first {
                                *phase = Plain::Saving;
                            }
                            self.processes.insert(key, true);
                        }
                        _ => {}
                    }
                }
                Command::Forget { piece, attempt } => {
                    let key = (piece.clone(), attempt.0);
                    if matches!(self.tasks.get(&key), Some(Plain::Ended(_))) {
                        self.tasks.remove(&key);
                    }
                }
            }
        }
    }

    /// A report says what the model holds, nothing else.
    fn agrees(&self, report: &Report) -> Result<(), TestCaseError> {
        prop_assert!(!self.dying(), "a report while tasks are not gone");
        prop_assert_eq!(report.shift.0, self.session);
        prop_assert_eq!(report.baton.0, self.token);
        let said: BTreeMap<(String, u64), Plain> = report
            .pieces
            .iter()
            .map(|p| {
                let phase = match p.phase {
                    TaskPhase::Fetching => Plain::Fetching,
                    TaskPhase::Running => Plain::Running,
                    TaskPhase::Saving => Plain::Saving,
                    _ => Plain::Ended(p.cause.expect("a cause")),
                };
                ((p.piece.clone(), p.attempt.0), phase)
            })
            .collect();
        prop_assert_eq!(&said, &self.tasks);
        Ok(())
    }
}

/// What stands between the core and the machine.
struct World {
    core: Core,
    model: Model,
    journal: State,
    /// When the last answered report was sent, as the file says.
    lease: Option<Time>,
    now: f64,
    flying: Option<(Time, Session)>,
    last_tick: u64,
    highest: u64,
}

impl World {
    /// Carries actions out, and checks what no action may do.
    fn act(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Note(note) => {
                    self.journal.apply(&note);
                    if let Note::Token(t) = note {
                        prop_assert!(t.0 > self.highest, "a token goes back");
                        self.highest = t.0;
                    }
                }
                Action::Lease(since) => self.lease = Some(since),
                Action::Run(key, _) => {
                    let id = (key.piece.clone(), key.attempt.0);
                    prop_assert!(
                        self.journal.tasks.contains_key(&key),
                        "{:?} runs before it is noted",
                        key
                    );
                    let mut same = self.model.processes.keys();
                    prop_assert!(
                        !same.any(|(piece, _)| *piece == key.piece),
                        "{:?} begins beside another process of its task",
                        key
                    );
                    self.model.processes.insert(id.clone(), false);
                    prop_assert_eq!(self.model.tasks.get(&id), Some(&Plain::Running));
                }
                Action::Report(_, report) => {
                    self.said(&report)?;
                    self.flying = Some((self.core.sent().expect("sent"), report.shift));
                }
                Action::Describe(_)
                | Action::Image(..)
                | Action::Release(_)
                | Action::Save(_)
                | Action::Kill(_)
                | Action::Clean(_) => {}
            }
        }
        Ok(())
    }

    fn said(&mut self, report: &Report) -> Result<(), TestCaseError> {
        prop_assert!(report.tick.0 > self.last_tick, "a tick twice");
        self.last_tick = report.tick.0;
        self.model.agrees(report)
    }

    fn nth(&self, n: u8) -> Option<(Key, Plain)> {
        let tasks: Vec<_> = self.model.tasks.iter().collect();
        let (id, phase) = tasks.get(usize::from(n) % tasks.len().max(1))?;
        let key = Key {
            piece: id.0.clone(),
            attempt: Attempt(id.1),
        };
        Some((key, **phase))
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        let now = Time(self.now);
        match step {
            Step::Wait(tenths) => {
                self.now += f64::from(tenths) * 0.1;
                self.model.lease(self.now);
                let actions = self.core.tick(0.0, Time(self.now));
                self.act(actions)?;
            }
            Step::Direct(token, matches, list) => {
                let session = self.model.session + u64::from(!matches);
                let commands: Vec<Command> = list.iter().map(command).collect();
                let orders = Orders {
                    baton: Token(u64::from(token)),
                    shift: Session(session),
                    orders: commands.clone(),
                };
                self.model.lease(self.now);
                let (told, actions) = self.core.orders(&orders, now);
                let taken = matches && u64::from(token) >= self.model.token && !self.model.dying();
                if taken && session == self.model.session {
                    self.model.token = u64::from(token);
                    self.model.execute(&commands);
                }
                self.act(actions)?;
                match told {
                    Told::NotNow => prop_assert!(self.model.dying()),
                    Told::Report(did, report) => {
                        prop_assert_eq!(did, taken);
                        self.said(&report)?;
                    }
                }
            }
            Step::Answer(token, list) => {
                let Some((sent, session)) = self.flying.take() else {
                    return Ok(());
                };
                self.model.lease(self.now);
                let commands: Vec<Command> = list.iter().map(command).collect();
                let token = u64::from(token);
                // After 4 s the worker has given it up.
                let late = self.core.sent() != Some(sent);
                if !late && session.0 == self.model.session && token >= self.model.token {
                    self.model.token = token;
                    self.model.renewed = sent.0;
                    self.model.execute(&commands);
                }
                let reply = Reply {
                    baton: Token(token),
                    orders: commands,
                };
                let actions = self.core.answered(sent, Answer::Reply(reply), now);
                self.act(actions)?;
            }
            Step::Elsewhere(named) => {
                let Some((sent, _)) = self.flying.take() else {
                    return Ok(());
                };
                self.model.lease(self.now);
                let answer = match named {
                    true => Answer::Elsewhere(Some("c-1".into())),
                    false => Answer::None,
                };
                let actions = self.core.answered(sent, answer, now);
                self.act(actions)?;
            }
            Step::Describe(n, found) => {
                let Some((key, Plain::Fetching)) = self.nth(n) else {
                    return Ok(());
                };
                self.model.lease(self.now);
                let id = (key.piece.clone(), key.attempt.0);
                if self.model.imaging.contains(&id) {
                    return Ok(());
                }
                let busy = self.model.processes.len() + self.model.imaging.len();
                let image = needs_of(&key.piece).image;
                if let Some(phase) = self.model.tasks.get_mut(&id) {
                    *phase = match found {
                        false => Plain::Ended(Why::NoSuch),
                        true if busy >= 3 => Plain::Ended(Why::Full),
                        true if image => {
                            self.model.imaging.insert(id);
                            Plain::Fetching
                        }
                        true => Plain::Running,
                    };
                }
                let needs = if found {
                    Ok(needs_of(&key.piece))
                } else {
                    Err(Why::NoSuch)
                };
                let actions = self.core.described(&key, needs, now);
                self.act(actions)?;
            }
            Step::Imaged(n, there) => {
                let Some((key, Plain::Fetching)) = self.nth(n) else {
                    return Ok(());
                };
                self.model.lease(self.now);
                let id = (key.piece.clone(), key.attempt.0);
                if self.model.imaging.remove(&id) {
                    let phase = match there {
                        true => Plain::Running,
                        false => Plain::Ended(Why::Error),
                    };
                    self.model.tasks.insert(id, phase);
                }
                let actions = self.core.imaged(&key, there, now);
                self.act(actions)?;
            }
            Step::Exited(n, how) => {
                let processes: Vec<_> = self.model.processes.keys().cloned().collect();
                let Some(id) = processes.get(usize::from(n) % processes.len().max(1)) else {
                    return Ok(());
                };
                let stopped = self.model.processes.remove(id).unwrap_or(false);
                let exit = match how {
                    0 => Exit::Done,
                    1 => Exit::Failed,
                    2 if stopped => Exit::Saved,
                    _ => Exit::Killed,
                };
                if let Some(phase) = self.model.tasks.get_mut(id) {
                    let why = match exit {
                        Exit::Done => Why::Done,
                        Exit::Saved => Why::Stopped,
                        _ if stopped => Why::Stopped,
                        _ => Why::Error,
                    };
                    *phase = Plain::Ended(why);
                    if why == Why::Done {
                        self.model.results.push(id.0.clone());
                    }
                }
                self.model.lease(self.now);
                let key = Key {
                    piece: id.0.clone(),
                    attempt: Attempt(id.1),
                };
                let actions = self.core.gone(&key, exit, now);
                self.act(actions)?;
            }
            Step::Crash => self.crash()?,
        }
        Ok(())
    }

    /// Killed and started again: what the journal and the folders tell.
    fn crash(&mut self) -> Result<(), TestCaseError> {
        let mut found = self.journal.recovered();
        found.answered = self.lease;
        for (key, (_, ended)) in &found.tasks {
            match ended {
                Some((Why::Done, _)) => {
                    found.results.insert(key.piece.clone());
                }
                Some(_) => {}
                None => {
                    found.needs.insert(key.clone(), needs_of(&key.piece));
                }
            }
        }
        // What was being fetched has no process: it is told to be gone.
        let unborn: Vec<Key> = found
            .tasks
            .iter()
            .filter(|(key, (_, ended))| {
                let id = (key.piece.clone(), key.attempt.0);
                ended.is_none() && !self.model.processes.contains_key(&id)
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.model.results = found.results.iter().cloned().collect();
        // A stop that was under way is not known any more.
        for (id, killed) in &mut self.model.processes {
            if self.model.tasks.contains_key(id) {
                *killed = false;
            }
        }
        for phase in self.model.tasks.values_mut() {
            if *phase == Plain::Saving {
                *phase = Plain::Running;
            }
        }
        for key in &unborn {
            let id = (key.piece.clone(), key.attempt.0);
            if let Some(phase) = self.model.tasks.get_mut(&id) {
                *phase = Plain::Running;
            }
        }
        self.flying = None;
        self.model.imaging.clear();
        let (core, actions) = Core::new(machine(), found, Time(self.now));
        self.core = core;
        let before: Vec<_> = self.model.tasks.keys().cloned().collect();
        self.model.lease(self.now);
        self.act(actions)?;
        for key in unborn {
            let id = (key.piece.clone(), key.attempt.0);
            if self.model.tasks.contains_key(&id) {
                self.model
                    .tasks
                    .insert(id.clone(), Plain::Ended(Why::Stopped));
            }
            if before.contains(&id) {
                self.model.processes.remove(&id);
            }
            let actions = self.core.gone(&key, Exit::Never, Time(self.now));
            self.act(actions)?;
        }
        Ok(())
    }
}

proptest! {
    // One seed: the same verdict every run.
    #![proptest_config(ProptestConfig {
        cases: 1500,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_core_is_protocols_worker(steps in prop::collection::vec(step(), 1..80)) {
        let (core, actions) = Core::new(machine(), Recovered::default(), Time(0.0));
        let mut world = World {
            core,
            model: Model { session: 1, ..Model::default() },
            journal: State::default(),
            lease: None,
            now: 0.0,
            flying: None,
            last_tick: 0,
            highest: 0,
        };
        world.act(actions)?;
        for step in steps {
            world.step(step)?;
        }
    }
}
