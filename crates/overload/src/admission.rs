//! Chooses the connection whose request is read next.
//!
//! The async runtime runs ready tasks in order of arrival. With thousands of connections ready to
//! read, a lease renewal would wait for seconds. So only a few connections may read in one turn of
//! the runtime. The others wait in an [`AdmissionQueue`], which chooses their order and their
//! maximum wait.

use std::collections::VecDeque;

use sorrelhinge_protocol::types::Time;

/// Last use of a connection. Connections of an earlier class read first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Class {
    /// No request has arrived on the connection yet. Its client may be a health check, a user, or a
    /// worker that reconnects.
    New,
    /// The connection belongs to a worker whose machine has tasks.
    Busy,
    /// The connection belongs to a user or an operator.
    User,
    /// The connection belongs to a worker whose machine has no tasks.
    Idle,
}

/// All connection classes, in the order in which they read.
pub const CLASSES: [Class; 4] = [Class::New, Class::Busy, Class::User, Class::Idle];

/// Wait of the oldest connection in a queue beyond which the newest one reads first, in seconds.
/// Most of the older requests would time out before their answers, and then no answer would be in
/// time.
const NEWEST_FIRST_AFTER_S: f64 = 1.5;

/// A connection that waits in the admission queue.
#[derive(Debug)]
struct Waiting<T> {
    since: Time,
    connection: T,
}

impl<T> Waiting<T> {
    /// Returns whether the connection has waited for longer than `bound_s` seconds.
    fn exceeds(&self, bound_s: f64, now: Time) -> bool {
        now.since(self.since) > bound_s
    }
}

/// Queue of connections that wait to read. `T` is the handle of one connection.
#[derive(Debug)]
pub struct AdmissionQueue<T> {
    queues: [VecDeque<Waiting<T>>; CLASSES.len()],
    per_turn: usize,
    left: usize,
    patience_s: f64,
}

/// Connections that leave the admission queue in one turn of the runtime.
#[derive(Debug, PartialEq, Eq)]
pub struct Admission<T> {
    /// Connections that may read now.
    pub admitted: Vec<T>,
    /// Connections that have waited for longer than any client waits for an answer. Reading their
    /// requests would be useless.
    pub expired: Vec<T>,
}

impl<T> AdmissionQueue<T> {
    /// Creates a queue that admits `per_turn` connections in each turn of the runtime. A client
    /// times out after `patience_s` seconds.
    pub fn new(per_turn: usize, patience_s: f64) -> Self {
        Self {
            queues: Default::default(),
            per_turn: per_turn.max(CLASSES.len()),
            left: per_turn.max(CLASSES.len()),
            patience_s,
        }
    }

    /// Admits a connection in the current turn without waiting. Returns `false` if the turn is full
    /// or other connections wait, because they go first.
    pub fn try_admit(&mut self) -> bool {
        let free = self.left > 0 && self.waiting() == 0;
        if free {
            self.left -= 1;
        }
        free
    }

    /// Adds a connection that waits for a later turn.
    pub fn enqueue(&mut self, class: Class, connection: T, now: Time) {
        self.queues[class as usize].push_back(Waiting {
            since: now,
            connection,
        });
    }

    /// Returns the number of connections that wait to be read.
    pub fn waiting(&self) -> usize {
        self.queues.iter().map(VecDeque::len).sum()
    }

    /// Starts the next turn of the runtime. Admits one connection of each class first, then fills
    /// the turn in the order of the classes.
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

    /// Returns the longest wait of a queued connection, in seconds.
    pub fn longest_s(&self, now: Time) -> f64 {
        self.queues
            .iter()
            .filter_map(|q| q.front())
            .map(|first| now.since(first.since))
            .fold(0.0, f64::max)
    }
}

/// Removes the next connection from a queue: the oldest one, or the newest one once the oldest has
/// waited too long.
fn take_next<T>(queue: &mut VecDeque<Waiting<T>>, now: Time) -> Option<Waiting<T>> {
    if queue.front()?.exceeds(NEWEST_FIRST_AFTER_S, now) {
        queue.pop_back()
    } else {
        queue.pop_front()
    }
}
