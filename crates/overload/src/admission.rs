//! Whose request is read next.
//!
//! A routine that is ready to read waits behind all others that are: with
//! thousands of them, a lease's renewal would wait for seconds. So only a few
//! may read in one turn of the runtime; who finds no pass waits here, where
//! order and patience are ours to choose.

use std::collections::VecDeque;

use sorrelhinge_protocol::types::Time;

/// What a connection was last used for, in the order in which they read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// For nothing yet: a health check, a user, or a worker that comes back.
    New,
    /// By a worker whose machine has tasks.
    Busy,
    /// By a user or an operator.
    User,
    /// By a worker whose machine has none.
    Idle,
}

/// All classes, first to last.
pub const CLASSES: [Class; 4] = [Class::New, Class::Busy, Class::User, Class::Idle];

/// Beyond this wait, in seconds, the newest reads first: most of those behind
/// it would be given up before an answer, and then none would be in time.
const NEWEST_FIRST_AFTER_S: f64 = 1.5;

/// Who waits to read. `T` stands for whoever waits.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queues: [VecDeque<(Time, T)>; CLASSES.len()],
    per_turn: usize,
    left: usize,
    patience_s: f64,
}

/// What a turn comes to.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission<T> {
    /// These may read now.
    pub admitted: Vec<T>,
    /// These have waited for longer than anybody waits for an answer: reading
    /// what they ask would be in vain.
    pub expired: Vec<T>,
}

impl<T> AdmissionQueue<T> {
    /// `per_turn` may read in a turn. Whoever asked has given up after
    /// `patience_s` seconds.
    pub fn new(per_turn: usize, patience_s: f64) -> Self {
        Self {
            queues: Default::default(),
            per_turn: per_turn.max(CLASSES.len()),
            left: per_turn.max(CLASSES.len()),
            patience_s,
        }
    }

    /// Whether one more may read in this turn, ahead of nobody who waits.
    pub fn try_admit(&mut self) -> bool {
        let free = self.left > 0 && self.waiting() == 0;
        if free {
            self.left -= 1;
        }
        free
    }

    /// Waits for a later turn.
    pub fn enqueue(&mut self, class: Class, who: T, now: Time) {
        self.queues[class as usize].push_back((now, who));
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// The next turn: one of each class, then in the order of the classes.
    pub fn admit_next(&mut self, now: Time) -> Admission<T> {
        let mut admission = Admission {
            admitted: Vec::new(),
            expired: Vec::new(),
        };
        for queue in &mut self.queues {
            while queue
                .front()
                .is_some_and(|(since, _)| now.since(*since) > self.patience_s)
            {
                admission
                    .expired
                    .extend(queue.pop_front().map(|(_, who)| who));
            }
        }
        self.left = self.per_turn;
        for max in [1, self.per_turn] {
            for queue in &mut self.queues {
                for _ in 0..max.min(self.left) {
                    let crowded = queue
                        .front()
                        .is_some_and(|(since, _)| now.since(*since) > NEWEST_FIRST_AFTER_S);
                    let next = if crowded {
                        queue.pop_back()
                    } else {
                        queue.pop_front()
                    };
                    let Some((_, who)) = next else { break };
                    self.left -= 1;
                    admission.admitted.push(who);
                }
            }
        }
        admission
    }

    /// How long the longest has waited, in seconds.
    pub fn longest_s(&self, now: Time) -> f64 {
        self.queues
            .iter()
            .filter_map(|q| q.front())
            .map(|(since, _)| now.since(*since))
            .fold(0.0, f64::max)
    }
}
