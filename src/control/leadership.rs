//! The lease that entitles this controller to act: as the leader or, with several shards, as a
//! member that owns some of them. Only this module decides until when the lease is exclusive
//! and whether this controller reaches workers well enough to keep it.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use sorrelhinge_sharding::reach::Reach;
use tokio::sync::Notify;
use tokio::time::{timeout, Instant};

use crate::types::{LeaseId, MachineId, Time};

/// Time for which a controller defers to others after it resigned because it could not reach
/// the workers.
const RESIGNATION_BACKOFF: Duration = Duration::from_secs(30);
/// Interval at which a controller without a lease checks whether there is a leader, if no
/// change wakes it earlier.
const VACANCY_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// The lease in the state service, and the state that decides whether to keep or to seek it.
pub(super) struct Leadership {
    lease: Cell<Option<LeaseId>>,
    /// No other controller can become leader before this instant.
    exclusive_until: Cell<Instant>,
    /// This controller defers to others until this instant.
    resigned_until: Cell<Instant>,
    /// Wakes the election loop when there is no leader.
    vacant: Notify,
    /// Evidence of whether this controller reaches the workers.
    reach: RefCell<Reach>,
}

impl Leadership {
    /// Creates the state of a controller that has no lease and may seek one.
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

    /// Returns this controller's lease in the state service, unless it is known to have ended.
    pub(super) fn lease(&self) -> Option<LeaseId> {
        self.lease.get()
    }

    /// Records that the lease was granted and is attached to this controller's record. The
    /// lease was requested at `asked_at`, so the state service counts its duration from then or
    /// later.
    pub(super) fn acquired(&self, lease: LeaseId, asked_at: Instant, lease_duration: Duration) {
        self.lease.set(Some(lease));
        self.renewed(asked_at, lease_duration);
    }

    /// Records that a request sent at `asked_at` renewed the lease.
    pub(super) fn renewed(&self, asked_at: Instant, lease_duration: Duration) {
        self.exclusive_until.set(asked_at + lease_duration);
    }

    /// Forgets the lease locally and returns it, so that the caller can end it in the state
    /// service. The exclusive period stays the same, because no other controller can lead
    /// before the lease ends there.
    pub(super) fn release(&self) -> Option<LeaseId> {
        self.lease.take()
    }

    /// Returns whether no other controller can act as leader yet. Machines may be added or
    /// removed only then.
    pub(super) fn is_exclusive(&self) -> bool {
        Instant::now() < self.exclusive_until.get()
    }

    /// Defers to the other controllers for `RESIGNATION_BACKOFF`.
    pub(super) fn defer_to_others(&self) {
        self.resigned_until
            .set(Instant::now() + RESIGNATION_BACKOFF);
        self.forget_reachability();
    }

    /// Returns whether this controller defers to the others.
    pub(super) fn defers_to_others(&self) -> bool {
        Instant::now() < self.resigned_until.get()
    }

    /// Wakes the election loop because there is no leader.
    pub(super) fn notify_vacant(&self) {
        self.vacant.notify_one();
    }

    /// Waits until there may be no leader, for `VACANCY_CHECK_INTERVAL` at most.
    pub(super) async fn wait_for_vacancy(&self) {
        let _ = timeout(VACANCY_CHECK_INTERVAL, self.vacant.notified()).await;
    }

    /// Discards the evidence, from an earlier term of ownership, of whether workers are reachable.
    pub(super) fn forget_reachability(&self) {
        *self.reach.borrow_mut() = Reach::default();
    }

    /// Records that a worker sent a heartbeat directly to this controller, or answered a
    /// command.
    pub(super) fn worker_reached(&self) {
        self.reach.borrow_mut().direct();
    }

    /// Records that another controller forwarded a worker's heartbeat.
    pub(super) fn heartbeat_relayed(&self, now: Time) {
        self.reach.borrow_mut().passed(now);
    }

    /// Records that a command to a worker was not delivered.
    pub(super) fn command_failed(&self, machine: &MachineId, now: Time) {
        self.reach.borrow_mut().failed(machine, now);
    }

    /// Returns whether this controller can't reach the workers any more.
    pub(super) fn is_cut_off(&self, now: Time) -> bool {
        self.reach.borrow().cut_off(now)
    }
}
