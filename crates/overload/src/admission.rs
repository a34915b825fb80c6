//! Which connection is read next.
//!
//! A task that is ready to read waits behind all others that are: with
//! thousands of them, a lease's renewal would wait for seconds. So only a few
//! may read in one turn of the runtime; the others wait here, in an order and
//! for a time that are chosen.

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

/// Beyond this wait, in seconds, the newest reads first: most of the older ones
/// would time out before their answers, and then none would be in time.
const NEWEST_FIRST_AFTER_S: f64 = 1.5;

/// A connection in the queue.
#[derive(Debug)]
struct Waiting<T> {
    since: Time,
    connection: T,
}

impl<T> Waiting<T> {
    /// Whether it has waited for longer than `bound_s` seconds.
    fn exceeds(&self, bound_s: f64, now: Time) -> bool {
        now.since(self.since) > bound_s
    }
}

/// The connections that wait to be read; `T` stands for one of them.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queues: [VecDeque<Waiting<T>>; CLASSES.len()],
    per_turn: usize,
    left: usize,
    patience_s: f64,
}

/// The result of a turn.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission<T> {
    /// These may read now.
    pub admitted: Vec<T>,
    /// These have waited for longer than any client waits for an answer: reading
    /// their requests would be in vain.
    pub expired: Vec<T>,
}

impl<T> AdmissionQueue<T> {
    /// `per_turn` may read in a turn. A client times out after `patience_s` seconds.
    pub fn new(per_turn: usize, patience_s: f64) -> Self {
        Self {
            queues: Default::default(),
            per_turn: per_turn.max(CLASSES.len()),
            left: per_turn.max(CLASSES.len()),
            patience_s,
        }
    }

    /// Whether one more may read in this turn: none that waits is passed over.
    pub fn try_admit(&mut self) -> bool {
        let free = self.left > 0 && self.waiting() == 0;
        if free {
            self.left -= 1;
        }
        free
    }

    /// Waits for a later turn.
    pub fn enqueue(&mut self, class: Class, connection: T, now: Time) {
        self.queues[class as usize].push_back(Waiting {
            since: now,
            connection,
        });
    }

    /// How many wait.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// The next turn: one of each class, then in the order of the classes.
    pub fn admit_next(&mut self, now: Time) -> Admission<T> {
        let expired = self.take_expired(now);
        let mut admitted = Vec::new();
        self.left = self.per_turn;
        for max in [1, self.per_turn] {
            for queue in &mut self.queues {
                for _ in 0..max.min(self.left) {
                    let Some(next) = take_next(queue, now) else {
                        break;
                    };
                    self.left -= 1;
                    admitted.push(next.connection);
                }
            }
        }
        Admission { admitted, expired }
    }

    fn take_expired(&mut self, now: Time) -> Vec<T> {
        let mut expired = Vec::new();
        for queue in &mut self.queues {
            while queue
                .front()
                .is_some_and(|first| first.exceeds(self.patience_s, now))
            {
                expired.extend(queue.pop_front().map(|first| first.connection));
            }
        }
        expired
    }

    /// How long the longest has waited, in seconds.
    pub fn longest_s(&self, now: Time) -> f64 {
        self.queues
            .iter()
            .filter_map(|q| q.front())
            .map(|first| now.since(first.since))
            .fold(0.0, f64::max)
    }
}

/// The next of a queue: the oldest, or the newest once the oldest has waited too long.
fn take_next<T>(queue: &mut VecDeque<Waiting<T>>, now: Time) -> Option<Waiting<T>> {
    if queue.front()?.exceeds(NEWEST_FIRST_AFTER_S, now) {
        queue.pop_back()
    } else {
        queue.pop_front()
    }
}
