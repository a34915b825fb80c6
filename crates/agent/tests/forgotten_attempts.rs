//! Starts of attempts that the agent was told to forget.

mod machines;

use sorrelhinge_agent::core::{
    Action, Core, ForgottenAttempts, Key, Note, Recovered, MAX_FORGOTTEN_ATTEMPTS,
};
use sorrelhinge_agent::journal::State;
use sorrelhinge_protocol::types::{Attempt, FencingToken, Incarnation, Time};
use sorrelhinge_protocol::worker::{Command, DirectCommands};

use self::machines::{machine, LEASE_S};

fn key(number: u64) -> Key {
    Key {
        task_name: "run-1/0".into(),
        attempt: Attempt(number),
    }
}

fn start(number: u64) -> Command {
    Command::Start {
        task_name: key(number).task_name,
        attempt: Attempt(number),
        units: Vec::new(),
        from: Vec::new(),
    }
}

fn kill_and_forget(number: u64) -> [Command; 2] {
    let (task_name, attempt) = (key(number).task_name, Attempt(number));
    [
        Command::Kill {
            task_name: task_name.clone(),
            attempt,
            grace_s: 0.0,
        },
        Command::Forget { task_name, attempt },
    ]
}

/// An agent and its journal.
struct Agent {
    core: Core,
    journal: State,
}

impl Agent {
    fn begin(found: Recovered, journal: State, now: Time) -> Self {
        let started = Core::recover(machine(), found, now);
        let mut agent = Self {
            core: started.core,
            journal,
        };
        agent.note(&started.actions);
        agent
    }

    fn note(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Note(note) = action {
                self.journal.apply(note);
            }
        }
    }

    /// Sends direct commands of the present incarnation, all by the same fencing token.
    fn send(&mut self, incarnation: u64, commands: &[Command]) {
        let direct = DirectCommands {
            fencing_token: FencingToken(7),
            incarnation: Incarnation(incarnation),
            commands: commands.to_vec(),
        };
        let actions = self.core.commands(&direct, Time(1.0)).actions;
        self.note(&actions);
    }

    fn has(&self, number: u64) -> bool {
        self.core.tasks().any(|task| *task.key == key(number))
    }

    /// The agent is killed and starts again from its journal, written anew.
    fn restart(self, now: Time) -> Self {
        let mut journal = State::default();
        let notes = self.journal.notes();
        notes.iter().for_each(|note| journal.apply(note));
        assert_eq!(journal, self.journal);
        let found = Recovered {
            answered: Some(Time(0.0)),
            ..journal.recovered()
        };
        Self::begin(found, journal, now)
    }
}

fn agent_that_forgot(number: u64) -> Agent {
    let mut agent = Agent::begin(Recovered::default(), State::default(), Time(0.0));
    agent.send(1, &[start(number)]);
    assert!(agent.has(number));
    agent.send(1, &kill_and_forget(number));
    assert!(!agent.has(number));
    agent
}

#[test]
fn a_copy_of_a_start_does_not_run_a_forgotten_attempt() {
    let mut agent = agent_that_forgot(1);
    agent.send(1, &[start(1), start(2)]);
    assert!(!agent.has(1));
    assert!(agent.has(2), "another attempt starts");
}

#[test]
fn a_restarted_agent_still_knows_the_attempts_that_it_forgot() {
    let mut agent = agent_that_forgot(1).restart(Time(2.0));
    agent.send(1, &[start(1)]);
    assert!(!agent.has(1));
}

#[test]
fn the_next_incarnation_begins_without_forgotten_attempts() {
    let agent = agent_that_forgot(1);
    assert_eq!(agent.journal.forgotten.iter().count(), 1);
    let agent = agent.restart(Time(2.0 * LEASE_S));
    assert_eq!(agent.journal.incarnation, Incarnation(2));
    assert_eq!(agent.journal.forgotten, ForgottenAttempts::default());
}

#[test]
fn the_attempts_forgotten_last_are_remembered_in_bounded_memory() {
    let mut state = State::default();
    let last = MAX_FORGOTTEN_ATTEMPTS as u64 + 1;
    for number in 1..=last {
        state.apply(&Note::Took(key(number), Vec::new()));
        state.apply(&Note::Forgot(key(number)));
    }
    assert_eq!(state.forgotten.iter().count(), MAX_FORGOTTEN_ATTEMPTS);
    assert!(!state.forgotten.contains(&key(1)));
    assert!(state.forgotten.contains(&key(2)) && state.forgotten.contains(&key(last)));
}
