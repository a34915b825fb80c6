//! Which connections are open, and which one ends when there are no more.
//!
//! A controller may have so many sockets and no more, and what it opens itself
//! (to the state service, the cloud, the other controllers and the workers)
//! comes out of the same number. So sockets for those are reserved, and clients
//! share the rest. No client is refused without an answer: a worker that heartbeats
//! seldom is asked to connect anew each time, the longest idle connection gives
//! way to a new one, and where there is none, the new one is answered that it should come back.

use std::collections::{BTreeMap, HashMap};

use sorrelhinge_protocol::types::Time;

use crate::admission::{Class, CLASSES};

/// A connection; a later one has a higher number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnId(pub u64);

/// How many connections of users and workers may be open here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// In all.
    pub max: usize,
    /// Beyond so many workers' connections, a new one of a machine without
    /// tasks ends with its answer.
    pub idle_workers: usize,
    /// Beyond so many, a new one of any worker does.
    pub workers: usize,
    /// Beyond so many connections of any sort, all end with their answers.
    pub users: usize,
}

/// The state service's connections, the cloud's, listeners and what the
/// process has open anyway.
const RESERVED_SOCKETS: usize = 48;
/// To and from each other controller, also while an old connection still ends.
const SOCKETS_PER_PEER: usize = 6;
/// At most this part is set aside.
const RESERVED_DIVISOR: usize = 3;
/// Part of the rest beyond which connections end with each answer.
const IDLE_WORKERS_SHARE: f64 = 0.6;
const WORKERS_SHARE: f64 = 0.8;
const USERS_SHARE: f64 = 0.9;
/// A connection on which nothing was asked yet is not ended for so long, in
/// seconds.
const NEW_CONNECTION_GRACE_S: f64 = 1.0;

impl Limits {
    /// Of `sockets` in all, with so many other controllers, and up to `direct`
    /// commands under way to workers.
    pub fn of(sockets: usize, others: usize, direct: usize) -> Self {
        let aside =
            (RESERVED_SOCKETS + SOCKETS_PER_PEER * others + direct).min(sockets / RESERVED_DIVISOR);
        let max = (sockets - aside).max(1);
        let part = |p: f64| ((max as f64 * p) as usize).max(1);
        Self {
            max,
            idle_workers: part(IDLE_WORKERS_SHARE),
            workers: part(WORKERS_SHARE),
            users: part(USERS_SHARE),
        }
    }
}

/// What is done about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Opened {
    /// It is taken.
    Taken,
    /// It is taken, and this one, which is idle, is to end for it.
    InPlaceOf(ConnId),
    /// All are being answered: it is rejected, and ends.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    class: Class,
    /// Its place among the idle ones of its class.
    idle: Option<u64>,
    /// Something was answered on it before.
    kept: bool,
    /// It was chosen to end for another.
    ending: bool,
}

/// A connection on which nothing is being answered.
#[derive(Clone, Copy, Debug)]
struct IdleConnection {
    id: ConnId,
    since: Time,
}

/// The open connections of users and workers.
#[derive(Debug)]
pub struct Sockets {
    limits: Limits,
    all: HashMap<ConnId, Entry>,
    open_by_class: [usize; CLASSES.len()],
    /// Idle ones by class, the longest idle first.
    idle: [BTreeMap<u64, IdleConnection>; CLASSES.len()],
    count: u64,
}

/// In which order classes give way, once nobody is left who connected and
/// asked nothing.
const EVICTION_ORDER: [Class; 4] = [Class::Idle, Class::Busy, Class::User, Class::New];

impl Sockets {
    /// None yet.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            all: HashMap::new(),
            open_by_class: Default::default(),
            idle: Default::default(),
            count: 0,
        }
    }

    /// How many may be open.
    pub fn limits(&self) -> Limits {
        self.limits
    }

    /// How many are open.
    pub fn open(&self) -> usize {
        self.all.len()
    }

    /// The part of all that is open.
    pub fn used(&self) -> f64 {
        self.all.len() as f64 / self.limits.max as f64
    }

    /// How many connections of workers are open.
    pub fn workers(&self) -> usize {
        self.open_by_class[Class::Busy as usize] + self.open_by_class[Class::Idle as usize]
    }

    /// A connection is idle from now on.
    fn rest(&mut self, id: ConnId, class: Class, kept: bool, now: Time) {
        self.count += 1;
        self.idle[class as usize].insert(self.count, IdleConnection { id, since: now });
        let entry = Entry {
            class,
            idle: Some(self.count),
            kept,
            ending: false,
        };
        if let Some(before) = self.all.insert(id, entry) {
            self.open_by_class[before.class as usize] -= 1;
            // A request that was refused unread was never noted as asked.
            if let Some(place) = before.idle {
                self.idle[before.class as usize].remove(&place);
            }
        }
        self.open_by_class[class as usize] += 1;
    }

    /// Chooses the connection that is ended in place of a new one, if any is idle.
    fn longest_idle(&mut self, now: Time) -> Option<ConnId> {
        let silent = self.idle[Class::New as usize]
            .first_key_value()
            .is_some_and(|(_, first)| now.since(first.since) >= NEW_CONNECTION_GRACE_S);
        let first = silent.then_some(Class::New);
        let class = first.into_iter().chain(EVICTION_ORDER).find(|c| {
            // One that connected just now did so to ask something.
            (*c != Class::New || silent) && !self.idle[*c as usize].is_empty()
        })?;
        let (_, IdleConnection { id, .. }) = self.idle[class as usize].pop_first()?;
        if let Some(entry) = self.all.get_mut(&id) {
            (entry.idle, entry.ending) = (None, true);
        }
        Some(id)
    }

    /// Somebody connected.
    pub fn opened(&mut self, id: ConnId, now: Time) -> Opened {
        let mut opened = Opened::Taken;
        if self.all.len() >= self.limits.max {
            match self.longest_idle(now) {
                Some(other) => opened = Opened::InPlaceOf(other),
                None => return Opened::Full,
            }
        }
        self.rest(id, Class::New, false, now);
        opened
    }

    /// A complete request came: it is being answered.
    pub fn asked(&mut self, id: ConnId, class: Class) {
        let Some(entry) = self.all.get_mut(&id) else {
            return;
        };
        if let Some(place) = entry.idle.take() {
            self.idle[entry.class as usize].remove(&place);
        }
        self.open_by_class[entry.class as usize] -= 1;
        entry.class = class;
        self.open_by_class[class as usize] += 1;
    }

    /// The request has its answer. False if the connection is to end with it.
    pub fn answered(&mut self, id: ConnId, now: Time) -> bool {
        let Some(entry) = self.all.get(&id).copied() else {
            return false;
        };
        let workers = self.workers();
        let crowded = self.all.len() > self.limits.users;
        // New ones give way to those that were kept before: to end all in turn
        // would have everybody connect anew all the time.
        let ends = match entry.class {
            Class::New => false,
            Class::Idle => workers > self.limits.idle_workers && !entry.kept || crowded,
            Class::Busy => workers > self.limits.workers && !entry.kept || crowded,
            Class::User => crowded,
        };
        let ends = ends || entry.ending;
        if !ends {
            self.rest(id, entry.class, true, now);
        }
        !ends
    }

    /// It ended.
    pub fn closed(&mut self, id: ConnId) {
        if let Some(entry) = self.all.remove(&id) {
            self.open_by_class[entry.class as usize] -= 1;
            if let Some(place) = entry.idle {
                self.idle[entry.class as usize].remove(&place);
            }
        }
    }
}
