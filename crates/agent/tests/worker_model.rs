//! The pure core against a slow plain model of PROTOCOL's worker, over
//! generated orders of messages, ends of processes and time: commands repeated,
//! late, after `forget`; lower fencing tokens; lost and late answers; leases that end.

mod machines;

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sorrelhinge_agent::core::{
    Action, Answer, CommandOutcome, Core, Exit, Key, Needs, Note, Reaction, Recovered, StartedCore,
};
use sorrelhinge_agent::journal::State;
use sorrelhinge_protocol::types::{Amount, Attempt, FencingToken, Incarnation, Time};
use sorrelhinge_protocol::worker::{
    Command, DirectCommands, ExitReason, Heartbeat, Reply, TaskPhase,
};

use self::machines::{machine, LEASE_S};

#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u8),
    /// Direct commands with this fencing token, and an incarnation that matches or not.
    Direct(u8, bool, Vec<(u8, u8, u8)>),
    /// The heartbeat under way is answered, with this fencing token.
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
fn command((what, task_name, attempt): &(u8, u8, u8)) -> Command {
    let task_name = format!("run-1/{task_name}");
    let attempt = Attempt(u64::from(*attempt));
    match what {
        0 => Command::Kill {
            task_name,
            attempt,
            grace_s: if attempt.0 == 1 { 5.0 } else { 0.0 },
        },
        1 => Command::Forget { task_name, attempt },
        _ => Command::Start {
            task_name,
            attempt,
            units: Vec::new(),
            from: Vec::new(),
        },
    }
}

/// What a task needs: most can save, and one needs an image.
fn needs_of(task_name: &str) -> Needs {
    Needs {
        each: Amount::new(1.0, 0.0, 1.0),
        save_s: (task_name != "run-1/0").then_some(2.0),
        image: task_name == "run-1/3",
    }
}

fn id_of(key: &Key) -> (String, u64) {
    (key.task_name.clone(), key.attempt.0)
}

fn key_of(id: &(String, u64)) -> Key {
    Key {
        task_name: id.0.clone(),
        attempt: Attempt(id.1),
    }
}

/// What PROTOCOL says of one attempt, with nothing but its words.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plain {
    Fetching,
    Running,
    Saving,
    Ended(ExitReason),
}

/// The plain worker.
#[derive(Default)]
struct Model {
    fencing_token: u64,
    incarnation: u64,
    tasks: BTreeMap<(String, u64), Plain>,
    /// Attempts that the incarnation was told to forget. PROTOCOL would start them again.
    forgotten: BTreeSet<(String, u64)>,
    /// Processes that may run, of any incarnation.
    processes: BTreeMap<(String, u64), bool>,
    /// Described, and waiting for their image; their free capacity is taken.
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
            self.forgotten.clear();
            self.incarnation += 1;
            self.renewed = now;
        }
    }

    /// Tasks of an ended incarnation that are not gone.
    fn dying(&self) -> bool {
        self.processes
            .iter()
            .any(|(key, killed)| *killed && !self.tasks.contains_key(key))
    }

    fn execute(&mut self, commands: &[Command]) {
        for command in commands {
            match command {
                Command::Start {
                    task_name, attempt, ..
                } => self.start((task_name.clone(), attempt.0)),
                Command::Kill {
                    task_name,
                    attempt,
                    grace_s,
                } => self.kill((task_name.clone(), attempt.0), *grace_s),
                Command::Forget { task_name, attempt } => {
                    let key = (task_name.clone(), attempt.0);
                    if matches!(self.tasks.get(&key), Some(Plain::Ended(_))) {
                        self.tasks.remove(&key);
                        self.forgotten.insert(key);
                    }
                }
            }
        }
    }

    fn start(&mut self, key: (String, u64)) {
        if self.tasks.contains_key(&key) || self.forgotten.contains(&key) {
            return;
        }
        let mut others = self
            .tasks
            .iter()
            .filter(|((task_name, _), _)| *task_name == key.0);
        let in_use = others.any(|(_, phase)| !matches!(phase, Plain::Ended(_)));
        let phase = if in_use {
            Plain::Ended(ExitReason::InUse)
        } else if self.results.contains(&key.0) {
            Plain::Ended(ExitReason::Done)
        } else {
            Plain::Fetching
        };
        self.tasks.insert(key, phase);
    }

    fn kill(&mut self, key: (String, u64), grace_s: f64) {
        match self.tasks.get_mut(&key) {
            Some(phase) if *phase == Plain::Fetching => {
                *phase = Plain::Ended(ExitReason::Stopped);
                self.imaging.remove(&key);
            }
            Some(phase) if *phase == Plain::Running => {
                let first = !self.processes.get(&key).copied().unwrap_or(false);
                let saves = needs_of(&key.0).save_s;
                if saves.is_some_and(|s| grace_s >= s) && first {
                    *phase = Plain::Saving;
                }
                self.processes.insert(key, true);
            }
            _ => {}
        }
    }

    /// A description was found, or not; `busy` attempts take room.
    fn describe(&mut self, id: (String, u64), found: bool, busy: usize) {
        let image = needs_of(&id.0).image;
        if let Some(phase) = self.tasks.get_mut(&id) {
            *phase = match found {
                false => Plain::Ended(ExitReason::NoSuch),
                true if busy >= 3 => Plain::Ended(ExitReason::Full),
                true if image => {
                    self.imaging.insert(id);
                    Plain::Fetching
                }
                true => Plain::Running,
            };
        }
    }

    /// An attempt's processes are gone; `stopped`: it had been told to end.
    fn exited(&mut self, id: &(String, u64), exit: Exit, stopped: bool) {
        if let Some(phase) = self.tasks.get_mut(id) {
            let why = match exit {
                Exit::Done => ExitReason::Done,
                Exit::Saved => ExitReason::Stopped,
                _ if stopped => ExitReason::Stopped,
                _ => ExitReason::Error,
            };
            *phase = Plain::Ended(why);
            if why == ExitReason::Done {
                self.results.push(id.0.clone());
            }
        }
    }

    /// The agent starts again: it knows what the journal and the folders tell.
    fn restart(&mut self, results: Vec<String>, unborn: &[Key]) {
        self.results = results;
        // A stop that was under way is not known any more.
        for (id, killed) in &mut self.processes {
            if self.tasks.contains_key(id) {
                *killed = false;
            }
        }
        for phase in self.tasks.values_mut() {
            if *phase == Plain::Saving {
                *phase = Plain::Running;
            }
        }
        for key in unborn {
            if let Some(phase) = self.tasks.get_mut(&id_of(key)) {
                *phase = Plain::Running;
            }
        }
        self.imaging.clear();
    }

    /// A heartbeat says what the model holds, nothing else.
    fn agrees(&self, heartbeat: &Heartbeat) -> Result<(), TestCaseError> {
        prop_assert!(!self.dying(), "a report while tasks are not gone");
        prop_assert_eq!(heartbeat.incarnation.0, self.incarnation);
        prop_assert_eq!(heartbeat.fencing_token.0, self.fencing_token);
        let said: BTreeMap<(String, u64), Plain> = heartbeat
            .tasks
            .iter()
            .map(|p| {
                let phase = match p.phase {
                    TaskPhase::Fetching => Plain::Fetching,
                    TaskPhase::Running => Plain::Running,
                    TaskPhase::Saving => Plain::Saving,
                    _ => Plain::Ended(p.exit_reason.expect("a cause")),
                };
                ((p.task_name.clone(), p.attempt.0), phase)
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
    /// When the last answered heartbeat was sent, as the file says.
    lease: Option<Time>,
    now: f64,
    flying: Option<(Time, Incarnation)>,
    last_tick: u64,
    highest: u64,
}

impl World {
    /// Carries actions out, and checks what no action may do.
    fn act(&mut self, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Note(note) => self.note(&note)?,
                Action::Lease(since) => self.lease = Some(since),
                Action::Run(key, _) => self.run(&key)?,
                Action::Heartbeat(_, heartbeat) => {
                    self.said(&heartbeat)?;
                    self.flying = Some((self.core.sent().expect("sent"), heartbeat.incarnation));
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

    fn note(&mut self, note: &Note) -> Result<(), TestCaseError> {
        self.journal.apply(note);
        if let Note::FencingToken(fencing_token) = note {
            prop_assert!(fencing_token.0 > self.highest, "a token goes back");
            self.highest = fencing_token.0;
        }
        Ok(())
    }

    fn run(&mut self, key: &Key) -> Result<(), TestCaseError> {
        let id = id_of(key);
        prop_assert!(
            self.journal.tasks.contains_key(key),
            "{:?} runs before it is noted",
            key
        );
        let mut same = self.model.processes.keys();
        prop_assert!(
            !same.any(|(task_name, _)| *task_name == key.task_name),
            "{:?} begins beside another process of its task",
            key
        );
        self.model.processes.insert(id.clone(), false);
        prop_assert_eq!(self.model.tasks.get(&id), Some(&Plain::Running));
        Ok(())
    }

    fn said(&mut self, heartbeat: &Heartbeat) -> Result<(), TestCaseError> {
        prop_assert!(heartbeat.sequence.0 > self.last_tick, "a tick twice");
        self.last_tick = heartbeat.sequence.0;
        self.model.agrees(heartbeat)
    }

    fn nth(&self, n: u8) -> Option<(Key, Plain)> {
        let tasks: Vec<_> = self.model.tasks.iter().collect();
        let (id, phase) = tasks.get(usize::from(n) % tasks.len().max(1))?;
        Some((key_of(id), **phase))
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Wait(tenths) => self.wait(tenths),
            Step::Direct(fencing_token, matches, list) => {
                self.direct(fencing_token, matches, &list)
            }
            Step::Answer(fencing_token, list) => self.answer(fencing_token, &list),
            Step::Elsewhere(named) => self.elsewhere(named),
            Step::Describe(n, found) => self.describe(n, found),
            Step::Imaged(n, there) => self.imaged(n, there),
            Step::Exited(n, how) => self.exited(n, how),
            Step::Crash => self.crash(),
        }
    }

    fn wait(&mut self, tenths: u8) -> Result<(), TestCaseError> {
        self.now += f64::from(tenths) * 0.1;
        self.model.lease(self.now);
        let actions = self.core.tick(0.0, Time(self.now));
        self.act(actions)
    }

    fn direct(
        &mut self,
        fencing_token: u8,
        matches: bool,
        list: &[(u8, u8, u8)],
    ) -> Result<(), TestCaseError> {
        let fencing_token = u64::from(fencing_token);
        let incarnation = self.model.incarnation + u64::from(!matches);
        let commands: Vec<Command> = list.iter().map(command).collect();
        let direct = DirectCommands {
            fencing_token: FencingToken(fencing_token),
            incarnation: Incarnation(incarnation),
            commands: commands.clone(),
        };
        self.model.lease(self.now);
        let Reaction { outcome, actions } = self.core.commands(&direct, Time(self.now));
        let taken = matches && fencing_token >= self.model.fencing_token && !self.model.dying();
        if taken && incarnation == self.model.incarnation {
            self.model.fencing_token = fencing_token;
            self.model.execute(&commands);
        }
        self.act(actions)?;
        match outcome {
            CommandOutcome::NotNow => prop_assert!(self.model.dying()),
            CommandOutcome::Heartbeat {
                taken: did,
                heartbeat,
            } => {
                prop_assert_eq!(did, taken);
                self.said(&heartbeat)?;
            }
        }
        Ok(())
    }

    fn answer(&mut self, fencing_token: u8, list: &[(u8, u8, u8)]) -> Result<(), TestCaseError> {
        let Some((sent, incarnation)) = self.flying.take() else {
            return Ok(());
        };
        self.model.lease(self.now);
        let commands: Vec<Command> = list.iter().map(command).collect();
        let fencing_token = u64::from(fencing_token);
        // After 4 s the worker has given it up.
        let late = self.core.sent() != Some(sent);
        if !late
            && incarnation.0 == self.model.incarnation
            && fencing_token >= self.model.fencing_token
        {
            self.model.fencing_token = fencing_token;
            self.model.renewed = sent.0;
            self.model.execute(&commands);
        }
        let reply = Reply {
            fencing_token: FencingToken(fencing_token),
            commands,
        };
        let answer = Answer::Reply(reply);
        let actions = self.core.answered(sent, answer, Time(self.now));
        self.act(actions)
    }

    fn elsewhere(&mut self, named: bool) -> Result<(), TestCaseError> {
        let Some((sent, _)) = self.flying.take() else {
            return Ok(());
        };
        self.model.lease(self.now);
        let answer = if named {
            Answer::Elsewhere(Some("c-1".into()))
        } else {
            Answer::None
        };
        let actions = self.core.answered(sent, answer, Time(self.now));
        self.act(actions)
    }

    fn describe(&mut self, n: u8, found: bool) -> Result<(), TestCaseError> {
        let Some((key, Plain::Fetching)) = self.nth(n) else {
            return Ok(());
        };
        self.model.lease(self.now);
        let id = id_of(&key);
        if self.model.imaging.contains(&id) {
            return Ok(());
        }
        let busy = self.model.processes.len() + self.model.imaging.len();
        self.model.describe(id, found, busy);
        let needs = if found {
            Ok(needs_of(&key.task_name))
        } else {
            Err(ExitReason::NoSuch)
        };
        let actions = self.core.described(&key, needs, Time(self.now));
        self.act(actions)
    }

    fn imaged(&mut self, n: u8, there: bool) -> Result<(), TestCaseError> {
        let Some((key, Plain::Fetching)) = self.nth(n) else {
            return Ok(());
        };
        self.model.lease(self.now);
        let id = id_of(&key);
        if self.model.imaging.remove(&id) {
            let phase = if there {
                Plain::Running
            } else {
                Plain::Ended(ExitReason::Error)
            };
            self.model.tasks.insert(id, phase);
        }
        let actions = self.core.imaged(&key, there, Time(self.now));
        self.act(actions)
    }

    fn exited(&mut self, n: u8, how: u8) -> Result<(), TestCaseError> {
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
        self.model.exited(id, exit, stopped);
        self.model.lease(self.now);
        let actions = self.core.gone(&key_of(id), exit, Time(self.now));
        self.act(actions)
    }

    /// Killed and started again: what the journal and the folders tell.
    fn crash(&mut self) -> Result<(), TestCaseError> {
        let found = self.found();
        // What was being fetched has no process: it is told to be gone.
        let unborn: Vec<Key> = found
            .tasks
            .iter()
            .filter(|(key, known)| {
                known.ended.is_none() && !self.model.processes.contains_key(&id_of(key))
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.model
            .restart(found.results.iter().cloned().collect(), &unborn);
        self.flying = None;
        let StartedCore { core, actions } = Core::recover(machine(), found, Time(self.now));
        self.core = core;
        let before: Vec<_> = self.model.tasks.keys().cloned().collect();
        self.model.lease(self.now);
        self.act(actions)?;
        for key in unborn {
            let id = id_of(&key);
            if let Some(phase) = self.model.tasks.get_mut(&id) {
                *phase = Plain::Ended(ExitReason::Stopped);
            }
            if before.contains(&id) {
                self.model.processes.remove(&id);
            }
            let actions = self.core.gone(&key, Exit::Never, Time(self.now));
            self.act(actions)?;
        }
        Ok(())
    }

    /// What an agent finds when it starts.
    fn found(&self) -> Recovered {
        let mut found = self.journal.recovered();
        found.answered = self.lease;
        for (key, known) in &found.tasks {
            match known.ended.map(|ending| ending.why) {
                Some(ExitReason::Done) => {
                    found.results.insert(key.task_name.clone());
                }
                Some(_) => {}
                None => {
                    found.needs.insert(key.clone(), needs_of(&key.task_name));
                }
            }
        }
        found
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
        let StartedCore { core, actions } = Core::recover(machine(), Recovered::default(), Time(0.0));
        let mut world = World {
            core,
            model: Model { incarnation: 1, ..Model::default() },
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
