//! The lease that this controller's authority rests on: as the leader, or, with
//! several shards, as a member that owns some of them. Only this module says until
//! when it holds and whether workers are reached well enough to keep it.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use sorrelhinge_sharding::reach::Reach;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::types::{LeaseId, MachineId, Time};

/// A controller that gave up what it owned, as workers can't be reached from it,
/// leaves it to the others for so long.
const RESIGNATION_BACKOFF: Duration = Duration::from_secs(30);
/// How long a controller without a lease waits for a change before it looks again
/// whether there is a leader.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The lease in the state service, and what decides whether to keep or to seek it.
pub(super) struct Leadership {
    lease: Cell<Option<LeaseId>>,
    /// Before this instant no other controller can have become leader.
    exclusive_until: Cell<Instant>,
    /// Before this instant others go first.
    resigned_until: Cell<Instant>,
    /// Signalled when there is no leader.
    vacant: Notify,
    /// Whether workers are reached from here.
    reach: RefCell<Reach>,
}

impl Leadership {
    /// Without a lease, and fit to seek one.
    pub(super) fn new() -> Self {
        let now = Instant::now();
        Self {
            lease: Cell::new(None),
            exclusive_until: Cell::new(now),
            resigned_until: Cell::new(now),
            vacant: Notify::new(),
            reach: RefCell::default(),
        }
    }

    /// The lease, as long as it is not known to have ended.
    pub(super) fn lease(&self) -> Option<LeaseId> {
        self.lease.get()
    }

    /// The lease was granted and is attached to this controller's record. `asked_at`:
    /// when it was requested, so the service counts `life` from then or later.
    pub(super) fn acquired(&self, lease: LeaseId, asked_at: Instant, life: Duration) {
        self.lease.set(Some(lease));
        self.renewed(asked_at, life);
    }

    /// The lease was renewed by a request sent at `asked_at`.
    pub(super) fn renewed(&self, asked_at: Instant, life: Duration) {
        self.exclusive_until.set(asked_at + life);
    }

    /// Gives the lease up on this side; returns it, to be ended in the state service.
    /// The period of exclusivity stays: others can't lead before the lease ends there.
    pub(super) fn release(&self) -> Option<LeaseId> {
        self.lease.take()
    }

    /// Whether no other controller can act as leader yet: only then may machines be
    /// scaled out or in.
    pub(super) fn is_exclusive(&self) -> bool {
        Instant::now() < self.exclusive_until.get()
    }

    /// Lets the other controllers go first for `RESIGNATION_BACKOFF`.
    pub(super) fn defer_to_others(&self) {
        self.resigned_until
            .set(Instant::now() + RESIGNATION_BACKOFF);
        self.forget_reachability();
    }

    /// Whether others are to go first.
    pub(super) fn defers_to_others(&self) -> bool {
        Instant::now() < self.resigned_until.get()
    }

    /// Says that there is no leader.
    pub(super) fn notify_vacant(&self) {
        self.vacant.notify_one();
    }

    /// Waits until there may be no leader.
    pub(super) async fn wait_for_vacancy(&self) {
        let _ = timeout(VACANCY_CHECK_INTERVAL, self.vacant.notified()).await;
    }

    /// Forgets what was seen as the owner before.
    pub(super) fn forget_reachability(&self) {
        *self.reach.borrow_mut() = Reach::default();
    }

    /// A worker reported here itself, or answered a command.
    pub(super) fn worker_reached(&self) {
        self.reach.borrow_mut().direct();
    }

    /// A worker's heartbeat came by way of another controller.
    pub(super) fn heartbeat_relayed(&self, now: Time) {
        self.reach.borrow_mut().passed(now);
    }

    /// A command to a worker was not delivered.
    pub(super) fn command_failed(&self, machine: &MachineId, now: Time) {
        self.reach.borrow_mut().failed(machine, now);
    }

    /// Whether workers can't be reached from here any more.
    pub(super) fn is_cut_off(&self, now: Time) -> bool {
        self.reach.borrow().cut_off(now)
    }
}
