//! Signals between the controller's loops. A signal that arrives while its loop is busy is
//! kept. Several pending signals count as one.

use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

/// One signal for each loop that waits for work.
#[derive(Default)]
pub(super) struct Wakeups {
    owner: Notify,
    recording: Notify,
    assignments: Notify,
}

impl Wakeups {
    /// Wakes the owner's loop because there may be tasks to place or commands to send.
    pub(super) fn wake_owner(&self) {
        self.owner.notify_one();
    }

    /// Waits until the owner's loop is woken, for `max_wait` at most.
    pub(super) async fn owner_woken(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.owner.notified()).await;
    }

    /// Wakes the recording loop because there is an urgent write.
    pub(super) fn wake_recording(&self) {
        self.recording.notify_one();
    }

    /// Waits until the recording loop is woken, for `max_wait` at most.
    pub(super) async fn recording_woken(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.recording.notified()).await;
    }

    /// Wakes the assignment loop because the leader or the owner of a shard has changed.
    pub(super) fn wake_assignments(&self) {
        self.assignments.notify_one();
    }

    /// Waits until the assignment loop is woken, for `max_wait` at most.
    pub(super) async fn assignments_woken(&self, max_wait: Duration) {
        let _ = timeout(max_wait, self.assignments.notified()).await;
    }
}
