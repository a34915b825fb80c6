//! Keeps the local view fresh, and detects when it may be outdated.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_lease_safety::freshness::watch_s;
use tokio::time::sleep;

use super::{wall_ms, Node};
use crate::state::{RequestPriority, StateError, StoreSnapshot};
use crate::types::Revision;

/// A controller counts as cut off if the state service is silent for this long while other
/// controllers have had news for `WATCH_LAG_LIMIT`.
const STORE_SILENCE_LIMIT: Duration = Duration::from_millis(2500);
/// An announced revision that stays unread for this long shows that the state service serves
/// other controllers.
const WATCH_LAG_LIMIT: Duration = Duration::from_secs(1);
/// Maximum time that a user's request waits for a fresh view. Users wait 2 s for the answer.
pub(super) const FRESH_VIEW_TIMEOUT: Duration = Duration::from_millis(1400);
/// Minimum pause between two refreshes of the local view of the records.
const REFRESH_GAP_MIN: Duration = Duration::from_millis(20);
/// Maximum pause between two refreshes of the local view of the records.
const REFRESH_GAP_MAX: Duration = Duration::from_millis(300);
/// Pause after a failed watch of the state service.
const WATCH_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Pause between two watches of the state service by a controller that owns a shard.
const OWNER_WATCH_PAUSE: Duration = Duration::from_millis(50);
/// Pause between two watches of the state service by a controller that owns no shard.
const FOLLOWER_WATCH_PAUSE: Duration = Duration::from_millis(200);
/// Time that a refresh of the view or a watch may wait until the rate limit of the state service
/// allows it.
const READ_QUEUE_TIMEOUT: Duration = Duration::from_millis(800);

impl Node {
    /// Returns whether this controller can accept requests. It can't while the state service
    /// serves the other controllers but not this one. While the state service serves no
    /// controller, this controller stays healthy: users are better asked to retry than left
    /// without any controller, and no controller needs to be marked healthy again after the
    /// outage.
    ///
    /// This controller also can't accept requests while it reaches neither the state service
    /// nor any other controller. No hint then shows that others are served, so without this
    /// rule the controller would stay healthy.
    pub fn healthy(&self) -> bool {
        if self.peer_contact().is_isolated() {
            return false;
        }
        let view = self.store.view();
        let served = self.store_silence() < STORE_SILENCE_LIMIT;
        let lagging = self.store.has_lagged_for(WATCH_LAG_LIMIT);
        view.loaded && (served || !lagging)
    }

    /// Records a revision that another controller announced. The announcement is a hint.
    pub fn revision_announced(&self, revision: Revision) {
        self.store.revision_announced(revision);
    }

    /// Waits until the view is at least as new as the state service was at the time of the
    /// call. Returns whether the view is that new. One refresh serves all waiting callers.
    pub async fn refresh_view(&self) -> bool {
        self.fresh_within(FRESH_VIEW_TIMEOUT).await
    }

    /// Waits like [`Node::refresh_view`], for `patience` at most.
    pub(super) async fn fresh_within(&self, patience: Duration) -> bool {
        self.store.refresh_within(patience).await
    }

    /// Refreshes the view until it contains a revision, with a pause after each failed refresh.
    pub(super) async fn catch_up(&self, revision: Revision, retry_pause: Duration) {
        while self.store.view().store_revision < revision {
            if !self.refresh_view().await {
                sleep(retry_pause).await;
            }
        }
    }

    /// Refreshes the local view of the records whenever a refresh is requested.
    pub(super) async fn run_refreshes(self: Rc<Self>) {
        loop {
            self.store.refresh_requested().await;
            let number = self.store.begin_refresh();
            let succeeded = self.read_new(Duration::ZERO).await;
            self.store.end_refresh(number, succeeded);
            // The pause limits refreshes to half of this controller's requests.
            let pause = Duration::from_secs_f64(2.0 / self.state.requests.rate().max(1.0));
            sleep(pause.clamp(REFRESH_GAP_MIN, REFRESH_GAP_MAX)).await;
        }
    }

    /// Watches the state service for changes, so that the view is never outdated for long.
    pub(super) async fn watch_store(self: Rc<Self>) {
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

    /// Returns how long the state service has not served this controller.
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
            .follow(since, wait, RequestPriority::Within(READ_QUEUE_TIMEOUT))
            .await
        {
            Ok(events) => {
                let continuous = self.store.apply(since, events, asked);
                let store_revision = self.store.view().store_revision;
                tracing::debug!(%since, %store_revision, asked_s = asked.0, continuous, "records read");
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
        let mut shards_changed = self.shards.retain_granted(&view);
        if shards_changed && view.shard_count() == 1 {
            // A controller that does not own the single shard is not the leader either.
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
        shards_changed |= self.adopt_shards(&view);
        self.freeze_offered_shards(&view);
        let leaderless = view.leader.value.is_none();
        drop(view);
        if shards_changed {
            self.update_rate_limits();
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
