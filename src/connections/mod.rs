//! The connections of users and workers: how many are open, and which is read next. The
//! decisions are in `sorrelhinge-overload`.
//!
//! This file accounts for the connections; `gated` lets their streams be read in turns.

mod gated;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use sorrelhinge_overload::admission::{AdmissionQueue, Class};
use sorrelhinge_overload::sockets::{ConnId, Limits, Opened, Sockets};
use tokio::sync::Notify;
use tokio::task::yield_now;
use tokio::time::Instant;

pub(crate) use self::gated::Gated;
use self::gated::{Pass, PassState};
use crate::types::Time;

/// How many may read in one turn of the runtime.
const PER_TURN: usize = 24;
/// No client waits for an answer for longer, in seconds (PROTOCOL: workers wait 4,
/// users 2 for a poll and 5 for a submission).
const PATIENCE_S: f64 = 4.5;

/// How many connections are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OpenConnections {
    /// In all.
    pub all: usize,
    /// By workers.
    pub workers: usize,
}

/// All connections of users and workers.
pub struct Connections {
    sockets: RefCell<Sockets>,
    admission: RefCell<AdmissionQueue<Rc<Pass>>>,
    /// Wakes [`Connections::take_turns`].
    read_requested: Notify,
    /// Ends an open connection.
    ends: RefCell<HashMap<ConnId, Rc<Notify>>>,
    /// The next connection's id.
    next: Cell<u64>,
    /// Connections that are being rejected with 503.
    rejected_connections: Cell<usize>,
    /// Requests so far that waited too long to be read.
    late: Cell<u64>,
    /// From when on [`Time`] is counted here.
    epoch: Instant,
}

impl Connections {
    /// None yet.
    pub fn new(limits: Limits) -> Rc<Self> {
        Rc::new(Self {
            sockets: RefCell::new(Sockets::new(limits)),
            admission: RefCell::new(AdmissionQueue::new(PER_TURN, PATIENCE_S)),
            read_requested: Notify::new(),
            ends: RefCell::default(),
            next: Cell::new(0),
            rejected_connections: Cell::new(0),
            late: Cell::new(0),
            epoch: Instant::now(),
        })
    }

    fn now(&self) -> Time {
        Time(self.epoch.elapsed().as_secs_f64())
    }

    /// The part of the sockets that is in use.
    pub fn used(&self) -> f64 {
        self.sockets.borrow().used()
    }

    /// How many may be open.
    pub fn limits(&self) -> Limits {
        self.sockets.borrow().limits()
    }

    /// Whether no more workers are accepted.
    pub fn crowded(&self) -> bool {
        let sockets = self.sockets.borrow();
        sockets.open() > sockets.limits().workers
    }

    /// How many are open.
    pub fn open(&self) -> OpenConnections {
        let sockets = self.sockets.borrow();
        OpenConnections {
            all: sockets.open(),
            workers: sockets.workers(),
        }
    }

    /// How many requests so far waited too long to be read.
    pub fn late(&self) -> u64 {
        self.late.get()
    }

    /// How long the longest has waited to be read, in seconds.
    pub fn wait_s(&self) -> f64 {
        self.admission.borrow().longest_s(self.now())
    }

    /// A connection was accepted: it counts as open. None if there is no free socket.
    pub(crate) fn accepted(self: &Rc<Self>) -> Option<Accepted> {
        let id = ConnId(self.next.get());
        self.next.set(id.0 + 1);
        let opened = self.sockets.borrow_mut().opened(id, self.now());
        match opened {
            Opened::Taken => {}
            Opened::InPlaceOf(other) => {
                if let Some(end) = self.ends.borrow().get(&other) {
                    end.notify_one();
                }
            }
            Opened::Full => return None,
        }
        let end = Rc::new(Notify::new());
        self.ends.borrow_mut().insert(id, end.clone());
        let open = Open(Conn {
            id,
            all: self.clone(),
            class: Rc::new(Cell::new(Class::New)),
        });
        Some(Accepted { open, end })
    }

    /// How many connections are being rejected with 503.
    pub(crate) fn rejected_connections(&self) -> usize {
        self.rejected_connections.get()
    }

    /// One more connection is being rejected with 503.
    pub(crate) fn begin_rejection(&self) {
        self.rejected_connections
            .set(self.rejected_connections.get() + 1);
    }

    /// A rejected connection has had its answer.
    pub(crate) fn end_rejection(&self) {
        self.rejected_connections
            .set(self.rejected_connections.get() - 1);
    }

    /// Lets connections that wait be read, a few in each turn of the runtime.
    pub(crate) async fn take_turns(self: Rc<Self>) {
        loop {
            self.read_requested.notified().await;
            loop {
                self.take_turn();
                if self.admission.borrow().waiting() == 0 {
                    break;
                }
                yield_now().await;
            }
        }
    }

    /// One turn: some may read, and those that waited too long end.
    fn take_turn(&self) {
        let admission = self.admission.borrow_mut().admit_next(self.now());
        let expired = admission.expired.len() as u64;
        self.late.set(self.late.get() + expired);
        for pass in admission.admitted {
            pass.decide(PassState::Granted);
        }
        for pass in admission.expired {
            pass.decide(PassState::Late);
        }
    }
}

/// One connection, for the requests on it.
#[derive(Clone)]
pub struct Conn {
    id: ConnId,
    all: Rc<Connections>,
    class: Rc<Cell<Class>>,
}

impl Conn {
    /// A complete request came.
    pub fn asked(&self, class: Class) {
        self.class.set(class);
        self.all.sockets.borrow_mut().asked(self.id, class);
    }

    /// A request was answered. False if the connection is to end with that.
    pub(crate) fn answered(&self) -> bool {
        let now = self.all.now();
        self.all.sockets.borrow_mut().answered(self.id, now)
    }
}

/// A connection that was accepted.
pub(crate) struct Accepted {
    /// It counts as open until this is dropped.
    pub(crate) open: Open,
    /// Notified when it is to end, as another takes its place.
    pub(crate) end: Rc<Notify>,
}

/// Counts a connection as open until it is dropped, however the connection ends.
pub(crate) struct Open(Conn);

impl Open {
    /// The connection, for the requests on it.
    pub(crate) fn conn(&self) -> &Conn {
        &self.0
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        let Conn { id, all, .. } = &self.0;
        all.sockets.borrow_mut().closed(*id);
        all.ends.borrow_mut().remove(id);
    }
}
