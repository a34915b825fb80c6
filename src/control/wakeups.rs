//! Signals between the controller's loops. A signal that comes while its loop is busy
//! is kept, several are one.

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
    /// There may be something to place or to command.
    pub(super) fn wake_owner(&self) {
        self.owner.notify_one();
    }

    /// Waits for that, for `at_max`.
    pub(super) async fn owner_woken(&self, at_max: Duration) {
        let _ = timeout(at_max, self.owner.notified()).await;
    }

    /// There is something urgent to record.
    pub(super) fn wake_recording(&self) {
        self.recording.notify_one();
    }

    /// Waits for that, for `at_max`.
    pub(super) async fn recording_woken(&self, at_max: Duration) {
        let _ = timeout(at_max, self.recording.notified()).await;
    }

    /// Who owns which shard, or who leads, has changed.
    pub(super) fn wake_assignments(&self) {
        self.assignments.notify_one();
    }

    /// Waits for that, for `at_max`.
    pub(super) async fn assignments_woken(&self, at_max: Duration) {
        let _ = timeout(at_max, self.assignments.notified()).await;
    }
}
