//! Bounds how old a controller's view of the records may be while it answers heartbeats of workers.
//!
//! An answer to a heartbeat renews the worker's lease, so every task on the machine keeps running.
//! A controller that can't reach the state service does not see that another controller cancelled a
//! job. It therefore answers heartbeats only while a lease that the answer renews ends within
//! `cancel_s` of any cancellation that the view may miss (PROTOCOL, "Rules": `ran_cancelled`).
//!
//! # Why the bound is enough
//!
//! The proof uses four times on one ideal clock. The controller sends the read that its view rests
//! on at `r`, and the cancellation is confirmed at `c`. The worker sends a heartbeat at `s`, and
//! the controller calls [`Freshness::may_answer_workers`] at `a`.
//!
//! 1. The read is linearizable, and a cancellation is confirmed only once it is recorded. A
//!    cancellation that the view misses therefore has `c > r`.
//! 2. The controller checks a heartbeat after it has arrived, so `s < a`. This holds for any
//!    network delay and for any controller that forwarded the heartbeat.
//! 3. The worker counts its lease from the *sending* of the heartbeat (PROTOCOL, "Leases"). The
//!    lease ends by `s + lease_s < a + lease_s` on the worker's clock. A process that pauses after
//!    the check sends its answer late, which makes the lease no longer. The worker drops the
//!    commands in such an answer 4 s after `s`.
//! 4. The check passes only while `a - r <= horizon` on the controller's clock.
//!
//! So the lease ends by `r + horizon + lease_s < c + horizon + lease_s`. The controller's clock,
//! the worker's clock and the clock that counts `cancel_s` are each off by at most [`CLOCK_DRIFT`],
//! which `longest_safe_s` subtracts. Each controller that answers keeps the same bound with its own
//! view. The proof therefore holds for any number of controllers that renew one lease, and for any
//! order of their answers. It also holds for a machine that hangs, because its lease was renewed in
//! the same way and goes on to expire.

use sorrelhinge_protocol::types::Time;

/// Maximum relative drift between the monotonic clocks of two machines (PROTOCOL, the list at the
/// top).
pub const CLOCK_DRIFT: f64 = 0.0005;
/// Margin between the end of the last lease and `cancel_s`, the time limit for ending the tasks of
/// a cancelled job, in seconds. In this time the worker notices that the lease has expired, and
/// ends its tasks.
const MARGIN_S: f64 = 3.0;
/// Maximum age of the view for answers to workers if `cancel_s` is too short for the whole margin,
/// in seconds. It applies only as far as it is safe. The last read is usually not older than this.
const MIN_HORIZON_S: f64 = 1.0;

/// Maximum age of the view of the records from which a controller may start tasks, in seconds.
const MAX_START_VIEW_AGE_S: f64 = 6.0;
/// Duration of a watch of the state service, as a share of the shortest bound on the age of the
/// view.
///
/// A watch without a change is answered only at its end, and the answer shows the state at the time
/// at which the watch was sent. The view is therefore up to two watches old while nothing changes.
/// This share leaves half of the bound for late answers.
const WATCH_SHARE: f64 = 0.25;
/// Minimum duration of a watch of the state service, in seconds. Each watch counts as a request to
/// the state service.
const MIN_WATCH_S: f64 = 0.1;
/// Maximum duration of a watch of the state service, in seconds.
const MAX_WATCH_S: f64 = 4.0;

/// Time up to which a controller's view of the records contains all changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Freshness {
    read_sent_at: Time,
}

impl Freshness {
    /// Creates the freshness of a view that was replaced by a linearizable read sent at `sent_at`.
    pub fn replaced(sent_at: Time) -> Self {
        Self {
            read_sent_at: sent_at,
        }
    }

    /// Records that a linearizable read sent at `sent_at` was applied to the view. Answers may
    /// arrive out of order, so a read older than the last one leaves the freshness unchanged.
    #[must_use]
    pub fn read(self, sent_at: Time) -> Self {
        if sent_at > self.read_sent_at {
            Self::replaced(sent_at)
        } else {
            self
        }
    }

    /// Returns the time until which the controller may start tasks based on this view.
    ///
    /// An agent incarnation begins with a full lease, whether or not a heartbeat is answered. A
    /// task that is started in it may run until that lease expires, at the latest `lease_s` after
    /// the start command was sent, because the incarnation had begun by then. Without this bound,
    /// an owner went on to start claimed tasks on machines that had returned, while the state
    /// service first refused that owner alone and then failed for all controllers. Some of the jobs
    /// had been cancelled through another controller longer ago than `cancel_s`.
    pub fn allow_starts_until(self, lease_s: f64, cancel_s: f64) -> Time {
        let bound_s = MAX_START_VIEW_AGE_S.min(horizon_s(lease_s, cancel_s));
        self.read_sent_at.after(bound_s)
    }

    /// Returns the age of the view in seconds, since its last read was sent.
    pub fn age_s(self, now: Time) -> f64 {
        now.since(self.read_sent_at)
    }

    /// Returns whether the controller may answer a heartbeat that has arrived, based on this view.
    pub fn may_answer_workers(self, now: Time, lease_s: f64, cancel_s: f64) -> bool {
        self.age_s(now) <= horizon_s(lease_s, cancel_s)
    }
}

/// Returns the maximum age of the view for answers to workers, in seconds. The result is negative
/// if `cancel_s` is not longer than a lease, because no answer is safe then.
pub fn horizon_s(lease_s: f64, cancel_s: f64) -> f64 {
    let usual = (cancel_s - lease_s - MARGIN_S).max(MIN_HORIZON_S);
    usual.min(longest_safe_s(lease_s, cancel_s))
}

/// Returns how long a watch of the state service may wait for changes, in seconds.
///
/// With a fixed 4 s watch, the view was repeatedly more than 8 s old while nothing changed. If
/// `cancel_s` was less than a lease plus 11 s, controllers refused heartbeats until leases expired.
/// They also started no task for 2 s of every 4 s.
pub fn watch_s(lease_s: f64, cancel_s: f64) -> f64 {
    let bound_s = MAX_START_VIEW_AGE_S.min(horizon_s(lease_s, cancel_s));
    (WATCH_SHARE * bound_s).clamp(MIN_WATCH_S, MAX_WATCH_S)
}

/// Returns the maximum age of the view for which the proof in the module documentation holds, in
/// seconds. The clocks of the controller and the worker may be slow, and the clock that counts
/// `cancel_s` may be fast.
fn longest_safe_s(lease_s: f64, cancel_s: f64) -> f64 {
    cancel_s * (1.0 - CLOCK_DRIFT) / (1.0 + CLOCK_DRIFT) - lease_s
}
