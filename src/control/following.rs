//! The local view: kept fresh, and told apart from what may be old.

use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_overload::freshness::watch_s;
use tokio::time::{sleep, timeout, Instant};

use super::{wall_ms, Node, BEHIND, FRESH, STALE, SYNC_GAP, SYNC_GAP_MOST};
use crate::state::{StateError, Urgency};
use crate::types::Revision;

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
        let view = self.view.borrow();
        let served = self.unserved() < STALE;
        let behind = self
            .behind_since
            .get()
            .is_some_and(|t| t.elapsed() >= BEHIND);
        view.loaded && (served || !behind)
    }

    /// A hint from another controller.
    pub fn hinted(&self, revision: Revision) {
        if revision > self.view.borrow().ledger {
            if self.behind_since.get().is_none() {
                self.behind_since.set(Some(Instant::now()));
            }
            self.newest_hint.set(self.newest_hint.get().max(revision));
            self.sync_wanted.notify_one();
        }
    }

    /// Waits until the view is at least as new as the state service was when
    /// this was called. One read serves all who wait.
    pub async fn fresh(&self) -> bool {
        self.fresh_within(FRESH).await
    }

    /// The same, for so long at the most.
    pub(super) async fn fresh_within(&self, patience: Duration) -> bool {
        let need = self.syncs_started.get() + 1;
        let mut done = self.synced.subscribe();
        self.sync_wanted.notify_one();
        let waited = timeout(patience, async {
            loop {
                let (number, ok) = *done.borrow_and_update();
                if number >= need {
                    return ok;
                }
                if done.changed().await.is_err() {
                    return false;
                }
            }
        });
        waited.await.unwrap_or(false)
    }

    /// Reads what is new whenever somebody needs to know that it is all.
    pub(super) async fn sync(self: Rc<Self>) {
        loop {
            self.sync_wanted.notified().await;
            let number = self.syncs_started.get() + 1;
            self.syncs_started.set(number);
            let ok = self.read_new(Duration::ZERO).await;
            self.synced.send_replace((number, ok));
            // Not more than half of this controller's requests.
            let gap = Duration::from_secs_f64(2.0 / self.state.requests.rate().max(1.0));
            sleep(gap.clamp(SYNC_GAP, SYNC_GAP_MOST)).await;
        }
    }

    /// Waits for changes, so that the view is never old for long.
    pub(super) async fn follow(self: Rc<Self>) {
        let wait = Duration::from_secs_f64(watch_s(self.cfg.lease_s, self.cfg.cancel_s));
        loop {
            let ok = self.read_new(wait).await;
            let leading = !self.cores.borrow().is_empty();
            let pause = match (ok, leading) {
                (false, _) => 250,
                (true, true) => 50,
                (true, false) => 200,
            };
            sleep(Duration::from_millis(pause)).await;
        }
    }

    /// For how long the state service has not served this controller.
    pub(super) fn unserved(&self) -> Duration {
        Duration::from_secs_f64(self.freshness.get().age_s(self.now()))
    }

    pub(super) async fn read_new(&self, wait: Duration) -> bool {
        let asked = self.now();
        if !self.view.borrow().loaded {
            return self.read_all().await;
        }
        let since = self.view.borrow().ledger;
        match self
            .state
            .follow(since, wait, Urgency::Within(Duration::from_millis(800)))
            .await
        {
            Ok(events) => {
                let whole = self.view.borrow_mut().apply(since, events);
                // A watch answers when something changes, or when its time is
                // over: what it says was so at its end, but it may have been
                // held up on the way. It too shows all that was so when it was
                // sent; what does not fit the view shows nothing.
                if whole {
                    self.freshness.set(self.freshness.get().read(asked));
                }
                self.view_changed();
                whole
            }
            Err(StateError::TooOld) => self.read_all().await,
            Err(error) => {
                tracing::debug!(%error, "follow");
                false
            }
        }
    }

    pub(super) async fn read_all(&self) -> bool {
        let asked = self.now();
        match self.state.read_all().await {
            Ok((ledger, items)) => {
                tracing::info!(%ledger, keys = items.len(), "read everything");
                self.view.borrow_mut().replace(ledger, items);
                // One that was sent earlier may be answered last: the view is newer then.
                self.freshness.set(self.freshness.get().read(asked));
                self.view_changed();
                true
            }
            Err(error) => {
                tracing::info!(%error, "read everything");
                false
            }
        }
    }

    pub(super) fn view_changed(&self) {
        let mut view = self.view.borrow_mut();
        if view.ledger >= self.newest_hint.get() {
            self.behind_since.set(None);
        }
        let changed = view.take_changed();
        let mut cores = self.cores.borrow_mut();
        let before = cores.len();
        cores.retain(|block, c| {
            let kept = match c.shard.is_part() || view.block_count() > 1 {
                true => c.still_granted(&view),
                false => view.grant.value.number <= c.grant,
            };
            if !kept {
                tracing::info!(%block, grant = c.grant, "the block was granted anew: standing down");
            }
            kept
        });
        let mut shares = cores.len() < before;
        if shares && view.block_count() == 1 {
            // Without a block it does not lead either.
            self.leadership.release();
        }
        for c in cores.values_mut() {
            c.set_drains(&view, self.now());
            c.look_at_limits(&view);
            if !changed.is_empty() {
                c.jobs_changed(&view, &changed, self.now(), wall_ms());
            }
        }
        drop(cores);
        shares |= self.take_up(&view);
        self.heed_offers(&view);
        let leaderless = view.leader.value.is_none();
        drop(view);
        if shares {
            self.set_share();
            self.shares_changed.notify_one();
        }
        if !changed.is_empty() {
            self.work.notify_one();
        }
        if leaderless {
            self.leadership.notify_vacant();
            self.shares_changed.notify_one();
        }
    }
}
