//! Tracks the open connections of clients, and closes an idle one if no socket is free.
//!
//! The number of sockets of a controller is limited. The controller's own connections to the state
//! service, the cloud, other controllers and workers count against the same limit. So sockets for
//! them are reserved, and clients share the rest. No client is refused without an answer. A worker
//! with infrequent heartbeats is asked to reconnect each time. A new connection replaces the
//! connection that has been idle for the longest time. If none is idle, the new client is told to
//! retry.

use std::collections::{BTreeMap, HashMap};

use sorrelhinge_protocol::types::Time;

use crate::admission::{Class, CLASSES};

/// Identifier of a connection. A later connection has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// Limits on the number of open connections of users and workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of open connections of all clients.
    pub max: usize,
    /// Number of worker connections beyond which a new connection from a machine without tasks is
    /// closed after its answer.
    pub idle_workers: usize,
    /// Number of worker connections beyond which a new connection of any worker is closed after its
    /// answer.
    pub workers: usize,
    /// Number of connections of all clients beyond which every connection is closed after its
    /// answer.
    pub users: usize,
}

/// Sockets reserved for connections to the state service and the cloud, for listeners, and for
/// other files that the process keeps open.
const RESERVED_SOCKETS: usize = 48;
/// Sockets reserved for connections to and from each other controller, including old connections
/// that are still closing.
const SOCKETS_PER_PEER: usize = 6;
/// Divisor of the socket limit. At most a third of all sockets is reserved for the controller
/// itself.
const RESERVED_DIVISOR: usize = 3;
/// Share of the client sockets for [`Limits::idle_workers`].
const IDLE_WORKERS_SHARE: f64 = 0.6;
/// Share of the client sockets for [`Limits::workers`].
const WORKERS_SHARE: f64 = 0.8;
/// Share of the client sockets for [`Limits::users`].
const USERS_SHARE: f64 = 0.9;
/// Time for which a new connection without a request is not closed, in seconds.
const NEW_CONNECTION_GRACE_S: f64 = 1.0;

impl Limits {
    /// Returns the limits for a controller with `sockets` sockets and `others` other controllers.
    /// Up to `direct` commands to workers may be in flight.
    pub fn of(sockets: usize, others: usize, direct: usize) -> Self {
        let reserved =
            (RESERVED_SOCKETS + SOCKETS_PER_PEER * others + direct).min(sockets / RESERVED_DIVISOR);
        let max = (sockets - reserved).max(1);
        let share = |p: f64| ((max as f64 * p) as usize).max(1);
        Self {
            max,
            idle_workers: share(IDLE_WORKERS_SHARE),
            workers: share(WORKERS_SHARE),
            users: share(USERS_SHARE),
        }
    }
}

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// The new connection is accepted.
    Taken,
    /// The new connection is accepted, and the given idle connection has to be closed for it.
    InPlaceOf(ConnId),
    /// The new connection is rejected and closed, because no open connection is idle.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    class: Class,
    /// Key of the connection in the idle list of its class. `None` while a request is in progress.
    idle: Option<u64>,
    /// Whether a request was answered on the connection before.
    answered_before: bool,
    /// Whether the connection was chosen to be closed for a new one.
    closing: bool,
}

/// An open connection without a request in progress.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    id: ConnId,
    since: Time,
}

/// Open connections of users and workers.
#[derive(Debug)]
pub struct Sockets {
    limits: Limits,
    all: HashMap<ConnId, Entry>,
    open_by_class: [usize; CLASSES.len()],
    /// Idle connections by class, the longest idle first.
    idle: [BTreeMap<u64, IdleConnection>; CLASSES.len()],
    idle_sequence: u64,
}

/// Order of the classes whose idle connections are closed for a new one. Connections
/// without any request are closed before all others, once their grace period is over.
const EVICTION_ORDER: [Class; 4] = [Class::Idle, Class::Busy, Class::User, Class::New];

impl Sockets {
    /// Creates the state without any open connection.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            all: HashMap::new(),
            open_by_class: Default::default(),
            idle: Default::default(),
            idle_sequence: 0,
        }
    }

    /// Returns the limits on open connections.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of open connections of users and workers.
    pub fn open(&self) -> usize {
        self.all.len()
    }

    /// Returns the open connections as a share of the maximum.
    pub fn used(&self) -> f64 {
        self.all.len() as f64 / self.limits.max as f64
    }

    /// Returns the number of open connections of workers.
    pub fn workers(&self) -> usize {
        self.open_by_class[Class::Busy as usize] + self.open_by_class[Class::Idle as usize]
    }

    /// Marks a connection as idle from now on.
    fn mark_idle(&mut self, id: ConnId, class: Class, answered_before: bool, now: Time) {
        self.idle_sequence += 1;
        self.idle[class as usize].insert(self.idle_sequence, IdleConnection { id, since: now });
        let entry = Entry {
            class,
            idle: Some(self.idle_sequence),
            answered_before,
            closing: false,
        };
        if let Some(before) = self.all.insert(id, entry) {
            self.open_by_class[before.class as usize] -= 1;
            // The connection may still be in the idle list, because a request that was refused
            // unread is never recorded by `asked`.
            if let Some(key) = before.idle {
                self.idle[before.class as usize].remove(&key);
            }
        }
        self.open_by_class[class as usize] += 1;
    }

    /// Chooses the idle connection to close for a new one. Returns `None` if none is idle.
    fn longest_idle(&mut self, now: Time) -> Option<ConnId> {
        let grace_over = self.idle[Class::New as usize]
            .first_key_value()
            .is_some_and(|(_, first)| now.since(first.since) >= NEW_CONNECTION_GRACE_S);
        let first = grace_over.then_some(Class::New);
        let class = first.into_iter().chain(EVICTION_ORDER).find(|c| {
            // A client that has just connected is about to send a request.
            (*c != Class::New || grace_over) && !self.idle[*c as usize].is_empty()
        })?;
        let (_, IdleConnection { id, .. }) = self.idle[class as usize].pop_first()?;
        if let Some(entry) = self.all.get_mut(&id) {
            (entry.idle, entry.closing) = (None, true);
        }
        Some(id)
    }

    /// Records a new connection, and decides whether to accept it.
    pub fn opened(&mut self, id: ConnId, now: Time) -> Opened {
        let mut opened = Opened::Taken;
        if self.all.len() >= self.limits.max {
            match self.longest_idle(now) {
                Some(other) => opened = Opened::InPlaceOf(other),
                None => return Opened::Full,
            }
        }
        self.mark_idle(id, Class::New, false, now);
        opened
    }

    /// Records that a complete request arrived on a connection and is being answered.
    pub fn asked(&mut self, id: ConnId, class: Class) {
        let Some(entry) = self.all.get_mut(&id) else {
            return;
        };
        if let Some(key) = entry.idle.take() {
            self.idle[entry.class as usize].remove(&key);
        }
        self.open_by_class[entry.class as usize] -= 1;
        entry.class = class;
        self.open_by_class[class as usize] += 1;
    }

    /// Records that the request on a connection was answered. Returns `false` if the connection has
    /// to be closed.
    pub fn answered(&mut self, id: ConnId, now: Time) -> bool {
        let Some(entry) = self.all.get(&id).copied() else {
            return false;
        };
        let workers = self.workers();
        let crowded = self.all.len() > self.limits.users;
        // Connections that were answered before stay open longer than new ones. Closing all of them
        // in turn would make all clients reconnect all the time.
        let closes = match entry.class {
            Class::New => false,
            Class::Idle => workers > self.limits.idle_workers && !entry.answered_before || crowded,
            Class::Busy => workers > self.limits.workers && !entry.answered_before || crowded,
            Class::User => crowded,
        };
        let closes = closes || entry.closing;
        if !closes {
            self.mark_idle(id, entry.class, true, now);
        }
        !closes
    }

    /// Records that a connection was closed.
    pub fn closed(&mut self, id: ConnId) {
        if let Some(entry) = self.all.remove(&id) {
            self.open_by_class[entry.class as usize] -= 1;
            if let Some(key) = entry.idle {
                self.idle[entry.class as usize].remove(&key);
            }
        }
    }
}
