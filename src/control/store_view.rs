//! The local copy of the records and its freshness. All changes of the copy go through
//! [`StoreView`]; every other module only reads the copy.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::time::Duration;

use sorrelhinge_lease_safety::freshness::Freshness;
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

use crate::state::record::{ChunkRecord, JobRecord};
use crate::state::view::{Versioned, View};
use crate::state::{Events, Item};
use crate::types::{JobId, Revision, Time};

/// The last refresh of the local copy of the records that ended. A refresh reads all that is new in
/// the state service.
#[derive(Clone, Copy, Default)]
struct Refresh {
    /// Number of the refresh, counted from 1.
    number: u64,
    /// Whether the state service answered the refresh.
    succeeded: bool,
}

/// The local copy of the records, and its age.
pub(super) struct StoreView {
    view: RefCell<View>,
    /// Time as of which the copy contains all changes.
    freshness: Cell<Freshness>,
    /// Newest revision that another controller announced.
    newest_announced: Cell<Revision>,
    /// Instant since when the copy is known to be older than `newest_announced`.
    lagging_since: Cell<Option<Instant>>,
    refresh_signal: Notify,
    refreshes_started: Cell<u64>,
    refreshed: watch::Sender<Refresh>,
}

impl StoreView {
    /// Creates an empty local copy of the state service's records. The age of the copy counts from
    /// the start of the controller.
    pub(super) fn new() -> Self {
        Self {
            view: RefCell::default(),
            freshness: Cell::new(Freshness::replaced(Time(0.0))),
            newest_announced: Cell::new(Revision(0)),
            lagging_since: Cell::new(None),
            refresh_signal: Notify::new(),
            refreshes_started: Cell::new(0),
            refreshed: watch::Sender::default(),
        }
    }

    /// Borrows the local copy of the records. Callers must not hold the borrow across an await.
    pub(super) fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// Borrows the local copy, or returns `None` while it is borrowed mutably.
    pub(super) fn try_view(&self) -> Option<Ref<'_, View>> {
        self.view.try_borrow().ok()
    }

    /// Borrows the copy mutably, so that the owner of a shard can write what its transaction
    /// recorded. Callers must not hold the borrow across an await.
    pub(super) fn view_for_commit(&self) -> RefMut<'_, View> {
        self.view.borrow_mut()
    }

    /// Puts into the local copy a job's record that this controller wrote.
    pub(super) fn put_job(&self, id: &JobId, record: Versioned<JobRecord>) {
        self.view.borrow_mut().put_job(id, record);
    }

    /// Puts into the local copy a chunk's record that this controller wrote.
    pub(super) fn put_chunk(&self, id: &JobId, chunk: u32, record: Versioned<ChunkRecord>) {
        self.view.borrow_mut().put_chunk(id, chunk, record);
    }

    /// Applies the answer to a watch from `since` that was sent at `asked_at`. Returns whether
    /// the answer continues the copy.
    ///
    /// A watch answers when something changes or when it times out. The answer shows the state
    /// at the end of the watch, but may be delayed on its way. So the answer only proves that
    /// the copy contains all changes made before the watch was sent. An answer that does not
    /// continue the copy proves nothing.
    pub(super) fn apply(&self, since: Revision, events: Events, asked_at: Time) -> bool {
        let continuous = self.view.borrow_mut().apply(since, events);
        if continuous {
            self.record_read(asked_at);
        }
        continuous
    }

    /// Replaces the copy by all records, as the answer to a read that was sent at `asked_at`.
    /// Reads may be answered out of order, and then the copy already is newer.
    pub(super) fn replace(&self, store_revision: Revision, items: Vec<Item>, asked_at: Time) {
        self.view.borrow_mut().replace(store_revision, items);
        self.record_read(asked_at);
    }

    fn record_read(&self, asked_at: Time) {
        self.freshness.set(self.freshness.get().read(asked_at));
    }

    /// Returns the jobs that changed since the last call. Also records whether the copy has
    /// reached the announced revision.
    pub(super) fn take_changed(&self) -> Vec<JobId> {
        let mut view = self.view.borrow_mut();
        if view.store_revision >= self.newest_announced.get() {
            self.lagging_since.set(None);
        }
        view.take_changed()
    }

    /// Records a revision that another controller announced, and requests a refresh if the copy
    /// is older.
    pub(super) fn revision_announced(&self, revision: Revision) {
        if revision > self.view.borrow().store_revision {
            if self.lagging_since.get().is_none() {
                self.lagging_since.set(Some(Instant::now()));
            }
            self.newest_announced
                .set(self.newest_announced.get().max(revision));
            self.request_refresh();
        }
    }

    /// Returns whether the copy has been older than an announced revision for `at_least`.
    pub(super) fn has_lagged_for(&self, at_least: Duration) -> bool {
        let since = self.lagging_since.get();
        since.is_some_and(|t| t.elapsed() >= at_least)
    }

    /// Returns the time as of which the copy contains all changes.
    pub(super) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// Returns how long the state service has not served this controller.
    pub(super) fn age(&self, now: Time) -> Duration {
        Duration::from_secs_f64(self.freshness.get().age_s(now))
    }

    /// Requests a refresh of the local copy of the records.
    pub(super) fn request_refresh(&self) {
        self.refresh_signal.notify_one();
    }

    /// Waits until a refresh of the local copy is requested.
    pub(super) async fn refresh_requested(&self) {
        self.refresh_signal.notified().await;
    }

    /// Begins a refresh of the local copy, and returns the number of the refresh.
    pub(super) fn begin_refresh(&self) -> u64 {
        let number = self.refreshes_started.get() + 1;
        self.refreshes_started.set(number);
        number
    }

    /// Ends the refresh of the local copy with this number, and wakes all tasks that wait for it.
    pub(super) fn end_refresh(&self, number: u64, succeeded: bool) {
        self.refreshed.send_replace(Refresh { number, succeeded });
    }

    /// Returns whether the state service answered the last refresh of the local copy.
    pub(super) fn last_refresh_succeeded(&self) -> bool {
        self.refreshed.borrow().succeeded
    }

    /// Waits, for `patience` at most, until the copy is at least as new as the state service
    /// was at the time of the call. Returns whether the copy is that new. One refresh serves
    /// all waiting callers.
    pub(super) async fn refresh_within(&self, patience: Duration) -> bool {
        let required_number = self.refreshes_started.get() + 1;
        let mut ended = self.refreshed.subscribe();
        self.request_refresh();
        let waited = timeout(patience, async {
            loop {
                let last = *ended.borrow_and_update();
                if last.number >= required_number {
                    return last.succeeded;
                }
                if ended.changed().await.is_err() {
                    return false;
                }
            }
        });
        waited.await.unwrap_or(false)
    }
}
