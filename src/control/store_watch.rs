//! The local view: kept fresh, and told apart from what may be old.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_lease_safety::freshness::watch_s;
use tokio::time::sleep;

use super::{wall_ms, Node};
use crate::state::{RequestPriority, StateError, StoreSnapshot};
use crate::types::Revision;

/// Without news from the state service for this long, and while others have some
/// for `WATCH_LAG_LIMIT`, a controller is cut off.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(2500);
/// An announced revision that is not read for this long shows that others are served.
const WATCH_LAG_LIMIT: Duration = Duration::from_secs(1);
/// A user's request waits for a new view for so long: users wait 2 s.
pub(super) const FRESH_VIEW_TIMEOUT: Duration = Duration::from_millis(1400);
/// The least pause between two reads of what is new.
const SYNC_GAP: Duration = Duration::from_millis(20);
/// The longest pause between two reads of what is new.
const SYNC_GAP_MAX: Duration = Duration::from_millis(300);
/// The pause after a watch that failed.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// The pause after a watch of a controller that owns a shard.
const OWNER_WATCH_PAUSE: Duration = Duration::from_millis(50);
/// The pause after a watch of one that owns none.
const FOLLOWER_WATCH_PAUSE: Duration = Duration::from_millis(200);
/// A read of what is new waits for its turn so long.
const READ_PATIENCE: Duration = Duration::from_millis(800);

impl Node {
    /// Whether requests can be taken: not while the others are served by the
    /// state service and this controller is not. While nobody is, users are
    /// better told to come back than sent nowhere, and nothing has to be
    /// marked healthy again once the outage is over. Nor while neither the state
    /// service nor any other controller is heard: no hint tells then that others
    /// are served, and it stayed healthy.
    pub fn healthy(&self) -> bool {
        if self.peer_contact().is_isolated() {
            return false;
        }
        let view = self.store.view();
        let served = self.store_silence() < STORE_SILENCE_LIMIT;
        let behind = self.store.lags_for(WATCH_LAG_LIMIT);
        view.loaded && (served || !behind)
    }

    /// A hint from another controller.
    pub fn hinted(&self, revision: Revision) {
        self.store.hinted(revision);
    }

    /// Waits until the view is at least as new as the state service was when
    /// this was called. One read serves all who wait.
    pub async fn fresh(&self) -> bool {
        self.fresh_within(FRESH_VIEW_TIMEOUT).await
    }

    /// The same, for so long at the most.
    pub(super) async fn fresh_within(&self, patience: Duration) -> bool {
        self.store.refresh_within(patience).await
    }

    /// Reads until the view shows a revision, with a pause after each read that failed.
    pub(super) async fn catch_up(&self, revision: Revision, retry_pause: Duration) {
        while self.store.view().store_revision < revision {
            if !self.fresh().await {
                sleep(retry_pause).await;
            }
        }
    }

    /// Reads what is new whenever somebody needs to know that it is all.
    pub(super) async fn sync(self: Rc<Self>) {
        loop {
            self.store.refresh_requested().await;
            let number = self.store.begin_refresh();
            let succeeded = self.read_new(Duration::ZERO).await;
            self.store.end_refresh(number, succeeded);
            // Not more than half of this controller's requests.
            let gap = Duration::from_secs_f64(2.0 / self.state.requests.rate().max(1.0));
            sleep(gap.clamp(SYNC_GAP, SYNC_GAP_MAX)).await;
        }
    }

    /// Waits for changes, so that the view is never old for long.
    pub(super) async fn follow(self: Rc<Self>) {
        let wait = Duration::from_secs_f64(watch_s(self.cfg.lease_s, self.cfg.cancel_s));
        loop {
            let ok = self.read_new(wait).await;
            let owns_shards = !self.shards.is_empty();
            let pause = match (ok, owns_shards) {
                (false, _) => WATCH_RETRY_PAUSE,
                (true, true) => OWNER_WATCH_PAUSE,
                (true, false) => FOLLOWER_WATCH_PAUSE,
            };
            sleep(pause).await;
        }
    }

    /// For how long the state service has not served this controller.
    pub(super) fn store_silence(&self) -> Duration {
        self.store.age(self.now())
    }

    pub(super) async fn read_new(&self, wait: Duration) -> bool {
        let asked = self.now();
        if !self.store.view().loaded {
            return self.read_all().await;
        }
        let since = self.store.view().store_revision;
        match self
            .state
            .follow(since, wait, RequestPriority::Within(READ_PATIENCE))
            .await
        {
            Ok(events) => {
                let continuous = self.store.apply(since, events, asked);
                self.view_changed();
                continuous
            }
            Err(StateError::TooOld) => self.read_all().await,
            Err(error) => {
                tracing::debug!(%error, "store watch failed");
                false
            }
        }
    }

    pub(super) async fn read_all(&self) -> bool {
        let asked = self.now();
        match self.state.read_all().await {
            Ok(StoreSnapshot {
                store_revision,
                items,
            }) => {
                tracing::info!(%store_revision, keys = items.len(), "all records read");
                self.store.replace(store_revision, items, asked);
                self.view_changed();
                true
            }
            Err(error) => {
                tracing::info!(%error, "full read failed");
                false
            }
        }
    }

    pub(super) fn view_changed(&self) {
        let changed = self.store.take_changed();
        let view = self.store.view();
        let mut shares = self.shards.retain_granted(&view);
        if shares && view.shard_count() == 1 {
            // Without a shard it does not lead either.
            self.leadership.release();
        }
        let mut cores = self.shards.owned_mut();
        for c in cores.values_mut() {
            c.set_drains(&view, self.now());
            c.refresh_quotas(&view);
            if !changed.is_empty() {
                c.jobs_changed(&view, &changed, self.now(), wall_ms());
            }
        }
        drop(cores);
        shares |= self.adopt_shards(&view);
        self.freeze_offered_shards(&view);
        let leaderless = view.leader.value.is_none();
        drop(view);
        if shares {
            self.set_share();
            self.wakeups.wake_assignments();
        }
        if !changed.is_empty() {
            self.wakeups.wake_owner();
        }
        if leaderless {
            self.leadership.notify_vacant();
            self.wakeups.wake_assignments();
        }
    }
}
