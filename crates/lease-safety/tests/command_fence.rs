//! Compares the fence of commands with a worker that executes copies of all messages.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use sorrelhinge_lease_safety::command_fence::{CommandFence, ForgetRaise, RESERVED_RAISES};
use sorrelhinge_protocol::types::{FencingToken, Time};

/// Grant of the commands.
const GRANT: u64 = 3;
/// Pause between two raises for forget commands, in seconds and steps.
const PAUSE_S: f64 = 3.0;

/// A message to the worker.
#[derive(Clone, Debug)]
struct Message {
    token: FencingToken,
    starts: Option<u32>,
    forgets: Vec<u32>,
}

/// A worker as PROTOCOL describes it, with tasks that end as soon as they start.
#[derive(Default)]
struct Worker {
    token: FencingToken,
    ended: BTreeSet<u32>,
    forgotten: BTreeSet<u32>,
}

impl Worker {
    /// Executes a message unless its token is too low. Returns whether that ran an attempt which
    /// the worker was told to forget.
    fn execute(&mut self, message: &Message) -> bool {
        if message.token < self.token {
            return false;
        }
        self.token = message.token;
        for attempt in &message.forgets {
            self.ended.remove(attempt);
            self.forgotten.insert(*attempt);
        }
        message.starts.is_some_and(|attempt| {
            self.ended.insert(attempt);
            self.forgotten.contains(&attempt)
        })
    }
}

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// A message starts the next attempt; it may arrive.
    Start { arrives: bool },
    /// A message forgets the attempts that the last heartbeat named and that are fenced. The token
    /// may be raised for it, and it may arrive.
    Forget { may_raise: bool, arrives: bool },
    /// A command gets no answer.
    Unanswered,
    /// A heartbeat arrives.
    Heartbeat,
    /// An earlier message, counted from the latest, arrives once more.
    Copy { back: usize },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        any::<bool>().prop_map(|arrives| Step::Start { arrives }),
        any::<(bool, bool)>().prop_map(|(may_raise, arrives)| Step::Forget { may_raise, arrives }),
        Just(Step::Unanswered),
        Just(Step::Heartbeat),
        (0..20_usize).prop_map(|back| Step::Copy { back }),
    ]
}

/// A sender with its fence, the worker, and all messages between them.
struct World {
    fence: CommandFence,
    worker: Worker,
    sent: Vec<Message>,
    /// Attempts that the last heartbeat named, and the last start when one first named them.
    named: BTreeMap<u32, FencingToken>,
}

impl World {
    fn new() -> Self {
        Self {
            fence: CommandFence::new(FencingToken::of_grant(GRANT)),
            worker: Worker::default(),
            sent: Vec::new(),
            named: BTreeMap::new(),
        }
    }

    /// Returns whether the step ran an attempt that the worker was told to forget.
    fn step(&mut self, number: usize, step: Step) -> bool {
        match step {
            Step::Start { arrives } => self.start(number, arrives),
            Step::Forget { may_raise, arrives } => self.forget(number, may_raise, arrives),
            Step::Unanswered => self.fence.raise(),
            Step::Heartbeat => {
                self.fence.reported(self.worker.token);
                let last_start = self.fence.last_start();
                let known = std::mem::take(&mut self.named);
                let start = |attempt| known.get(attempt).copied().unwrap_or(last_start);
                let named = self.worker.ended.iter();
                self.named = named.map(|attempt| (*attempt, start(attempt))).collect();
            }
            Step::Copy { back } => {
                let earlier = self.sent.iter().rev().nth(back);
                return earlier.is_some_and(|earlier| self.worker.execute(earlier));
            }
        }
        false
    }

    fn start(&mut self, number: usize, arrives: bool) {
        self.fence.start_sent(Time(number as f64));
        let message = Message {
            token: self.fence.token(),
            starts: u32::try_from(number).ok(),
            forgets: Vec::new(),
        };
        self.send(message, arrives);
    }

    fn forget(&mut self, number: usize, may_raise: bool, arrives: bool) {
        if !self.fence.is_proven() {
            return;
        }
        if may_raise {
            self.fence.raise_for_forgets(PAUSE_S, Time(number as f64));
        }
        let fenced = self
            .named
            .iter()
            .filter(|(_, start)| self.fence.fences(**start));
        let message = Message {
            token: self.fence.token(),
            starts: None,
            forgets: fenced.map(|(attempt, _)| *attempt).collect(),
        };
        self.send(message, arrives);
    }

    /// Sends a message. If it does not arrive the sender doesn't know, and raises the token.
    fn send(&mut self, message: Message, arrives: bool) {
        if arrives {
            self.worker.execute(&message);
        } else {
            self.fence.raise();
        }
        self.sent.push(message);
    }
}

proptest! {
    #[test]
    fn no_copy_runs_a_forgotten_attempt(steps in prop::collection::vec(step(), 1..200)) {
        let mut world = World::new();
        for (number, step) in steps.into_iter().enumerate() {
            prop_assert!(!world.step(number, step), "{step:?}");
        }
    }
}

#[test]
fn forgets_wait_for_the_next_start_or_a_pause() {
    let mut fence = CommandFence::new(FencingToken::of_grant(GRANT));
    fence.start_sent(Time(0.0));
    let first = fence.last_start();
    assert!(!fence.fences(first));
    assert_eq!(
        fence.raise_for_forgets(PAUSE_S, Time(1.0)),
        ForgetRaise::TooEarly
    );
    assert!(!fence.fences(first));
    fence.start_sent(Time(1.0));
    assert!(fence.fences(first) && !fence.fences(fence.last_start()));
    assert_eq!(
        fence.raise_for_forgets(PAUSE_S, Time(2.0)),
        ForgetRaise::TooEarly
    );
    assert_eq!(
        fence.raise_for_forgets(PAUSE_S, Time(4.0)),
        ForgetRaise::Raised
    );
    assert!(fence.fences(fence.last_start()));
}

#[test]
fn a_raise_for_starts_and_forgets_needs_no_heartbeat_that_shows_it() {
    let mut fence = CommandFence::new(FencingToken::of_grant(GRANT));
    fence.reported(fence.token());
    fence.start_sent(Time(0.0));
    fence.start_sent(Time(1.0));
    fence.raise_for_forgets(0.0, Time(1.0));
    assert!(fence.is_proven());
    fence.raise();
    assert!(!fence.is_proven());
}

#[test]
fn an_agent_that_lost_its_token_proves_nothing_until_it_has_a_higher_one() {
    let mut fence = CommandFence::new(FencingToken::of_grant(GRANT));
    fence.reported(fence.token());
    fence.start_sent(Time(0.0));
    let started = fence.token();
    fence.reported(FencingToken(0));
    assert!(!fence.is_proven());
    assert!(fence.token() > started);
}

#[test]
fn raises_for_starts_and_forgets_leave_tokens_for_commands_without_an_answer() {
    let first = FencingToken::of_grant(GRANT);
    let mut fence = CommandFence::new(first);
    for _ in 0..=first.raises_left() {
        fence.start_sent(Time(0.0));
    }
    assert_eq!(fence.token().raises_left(), RESERVED_RAISES);
    assert_eq!(
        fence.raise_for_forgets(0.0, Time(1.0)),
        ForgetRaise::Exhausted
    );
    assert!(!fence.fences(fence.last_start()));
    for _ in 0..RESERVED_RAISES {
        fence.raise();
    }
    assert_eq!(fence.token().grant(), GRANT);
    assert_eq!(fence.token().raises_left(), 0);
}
