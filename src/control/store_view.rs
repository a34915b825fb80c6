//! The local copy of the records and how fresh it is. All changes of the copy go
//! through [`StoreView`]; every other module only reads it.

use std::cell::{Cell, Ref, RefCell, RefMut};
use std::time::Duration;

use sorrelhinge_lease_safety::freshness::Freshness;
use tokio::sync::{watch, Notify};
use tokio::time::{timeout, Instant};

use crate::state::record::{ChunkRecord, JobRecord};
use crate::state::view::{Versioned, View};
use crate::state::{Events, Item};
use crate::types::{JobId, Revision, Time};

/// The last refresh that ended.
#[derive(Clone, Copy, Default)]
struct Refresh {
    /// Refreshes are counted from 1.
    number: u64,
    /// Whether the state service answered.
    succeeded: bool,
}

/// The local copy of the records, and what is known of its age.
pub(super) struct StoreView {
    view: RefCell<View>,
    /// As of when the copy shows all changes.
    freshness: Cell<Freshness>,
    /// The newest revision that another controller announced.
    newest_hint: Cell<Revision>,
    /// Since when the copy is known to be older than `newest_hint`.
    lagging_since: Cell<Option<Instant>>,
    refresh_wanted: Notify,
    refreshes_started: Cell<u64>,
    refreshed: watch::Sender<Refresh>,
}

impl StoreView {
    /// An empty copy, as old as the controller.
    pub(super) fn new() -> Self {
        Self {
            view: RefCell::default(),
            freshness: Cell::new(Freshness::replaced(Time(0.0))),
            newest_hint: Cell::new(Revision(0)),
            lagging_since: Cell::new(None),
            refresh_wanted: Notify::new(),
            refreshes_started: Cell::new(0),
            refreshed: watch::Sender::default(),
        }
    }

    /// The records as known here. Not to be held across an await.
    pub(super) fn view(&self) -> Ref<'_, View> {
        self.view.borrow()
    }

    /// The same, if nobody changes them at the moment.
    pub(super) fn try_view(&self) -> Option<Ref<'_, View>> {
        self.view.try_borrow().ok()
    }

    /// For the owner of a shard, who writes into the copy what its transaction
    /// recorded. Not to be held across an await.
    pub(super) fn view_for_commit(&self) -> RefMut<'_, View> {
        self.view.borrow_mut()
    }

    /// A job's record was written by this controller.
    pub(super) fn put_job(&self, id: &JobId, record: Versioned<JobRecord>) {
        self.view.borrow_mut().put_job(id, record);
    }

    /// A chunk's record was written by this controller.
    pub(super) fn put_chunk(&self, id: &JobId, chunk: u32, record: Versioned<ChunkRecord>) {
        self.view.borrow_mut().put_chunk(id, chunk, record);
    }

    /// Takes up the answer to a watch from `since` that was sent at `asked_at`; false if
    /// it does not continue the copy.
    ///
    /// A watch answers when something changes, or when its time is over: what it says
    /// was so at its end, but it may have been held up on the way. It too shows all that
    /// was so when it was sent; what does not fit the copy shows nothing.
    pub(super) fn apply(&self, since: Revision, events: Events, asked_at: Time) -> bool {
        let continuous = self.view.borrow_mut().apply(since, events);
        if continuous {
            self.read_sent_at(asked_at);
        }
        continuous
    }

    /// Takes up all records, which were asked for at `asked_at`. One that was sent
    /// earlier may be answered last: the copy is newer then.
    pub(super) fn replace(&self, store_revision: Revision, items: Vec<Item>, asked_at: Time) {
        self.view.borrow_mut().replace(store_revision, items);
        self.read_sent_at(asked_at);
    }

    fn read_sent_at(&self, asked_at: Time) {
        self.freshness.set(self.freshness.get().read(asked_at));
    }

    /// Jobs that changed since the last call; notes whether the copy has caught up with
    /// the announced revision.
    pub(super) fn take_changed(&self) -> Vec<JobId> {
        let mut view = self.view.borrow_mut();
        if view.store_revision >= self.newest_hint.get() {
            self.lagging_since.set(None);
        }
        view.take_changed()
    }

    /// Another controller announced a revision.
    pub(super) fn hinted(&self, revision: Revision) {
        if revision > self.view.borrow().store_revision {
            if self.lagging_since.get().is_none() {
                self.lagging_since.set(Some(Instant::now()));
            }
            self.newest_hint.set(self.newest_hint.get().max(revision));
            self.request_refresh();
        }
    }

    /// Whether the copy has been older than an announced revision for `at_least`.
    pub(super) fn lags_for(&self, at_least: Duration) -> bool {
        let since = self.lagging_since.get();
        since.is_some_and(|t| t.elapsed() >= at_least)
    }

    /// As of when the copy shows all changes.
    pub(super) fn freshness(&self) -> Freshness {
        self.freshness.get()
    }

    /// For how long the state service has not served this controller.
    pub(super) fn age(&self, now: Time) -> Duration {
        Duration::from_secs_f64(self.freshness.get().age_s(now))
    }

    /// Asks for a read of what is new.
    pub(super) fn request_refresh(&self) {
        self.refresh_wanted.notify_one();
    }

    /// Waits until a read of what is new is asked for.
    pub(super) async fn refresh_requested(&self) {
        self.refresh_wanted.notified().await;
    }

    /// A read of what is new begins; returns its number.
    pub(super) fn begin_refresh(&self) -> u64 {
        let number = self.refreshes_started.get() + 1;
        self.refreshes_started.set(number);
        number
    }

    /// The read of that number ended.
    pub(super) fn end_refresh(&self, number: u64, succeeded: bool) {
        self.refreshed.send_replace(Refresh { number, succeeded });
    }

    /// Whether the last read of what is new was answered.
    pub(super) fn last_refresh_succeeded(&self) -> bool {
        self.refreshed.borrow().succeeded
    }

    /// Waits, for `patience` at the most, until the copy is at least as new as the state
    /// service was when this was called; false if it is not. One read serves all who
    /// wait.
    pub(super) async fn refresh_within(&self, patience: Duration) -> bool {
        let need = self.refreshes_started.get() + 1;
        let mut ended = self.refreshed.subscribe();
        self.request_refresh();
        let waited = timeout(patience, async {
            loop {
                let last = *ended.borrow_and_update();
                if last.number >= need {
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
