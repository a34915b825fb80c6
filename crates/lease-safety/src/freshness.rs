//! How old a view of the records may be while workers are answered by it.
//!
//! An answer to a heartbeat renews the worker's lease, and with it the life of every
//! task on the machine. A controller that the state service does not serve cannot
//! see that a job was cancelled through another one. So it answers only for as long
//! as a lease renewed by the answer ends within `cancel_s` (PROTOCOL, "Rules":
//! `ran_cancelled`) of any cancellation that the view may miss.
//!
//! # Why the bound is enough
//!
//! Let the read behind the view be sent at `r`, the cancellation be confirmed at `c`,
//! a heartbeat be sent at `s`, and the check of [`Freshness::may_answer_workers`] be made
//! at `a`, all of one ideal clock.
//!
//! 1. The read is linearizable and a cancellation is confirmed only once it is
//!    recorded, so a cancellation that the view misses has `c > r`.
//! 2. The check is made for a heartbeat that has arrived: `s < a`, however long the
//!    heartbeat was on its way and by whom it was passed on.
//! 3. The worker counts its lease from the *sending* of the heartbeat (PROTOCOL,
//!    "Leases"), so it ends by `s + lease_s < a + lease_s` of the worker's clock. An
//!    answer that is sent late, by a process that stood still after the check,
//!    renews no longer; commands in it are dropped 4 s after `s`.
//! 4. The check passes only while `a - r <= horizon` of the controller's clock.
//!
//! So the lease ends by `r + horizon + lease_s < c + horizon + lease_s`. Each of the
//! two clocks and the one by which `cancel_s` is counted are off by [`CLOCK_DRIFT`] at
//! the most; `longest_safe_s` takes that off. Each controller that answers keeps the same
//! bound by a view of its own, so the number of controllers that renew one lease,
//! and the order of their answers, change nothing. A machine that hangs is no
//! exception: its lease runs on, and was renewed only as above.

use sorrelhinge_protocol::types::Time;

/// Steady clocks of two machines drift apart by this part at the most (PROTOCOL,
/// the list at the top).
pub const CLOCK_DRIFT: f64 = 0.0005;
/// Kept between the end of the last lease and `cancel_s`, in seconds: the worker has
/// to notice that the lease has ended, and to end its tasks.
const MARGIN_S: f64 = 3.0;
/// While `cancel_s` is too short for the whole margin, workers are answered for this
/// long if that is safe, in seconds: usually a read is not older.
const LEAST_S: f64 = 1.0;

/// A task is started only by a view that was read at most so long ago, in seconds.
const START_VIEW_S: f64 = 6.0;
/// A watch waits for changes for this part of the shortest bound on the view's age.
///
/// A watch that nothing changes is answered at its end and shows what was so when it was
/// sent, and only the answer to the next one renews that: in quiet times the view is up
/// to two watches old. So half of the bound is left for answers that are late.
const WATCH_PART: f64 = 0.25;
/// A watch waits for at least and at most so long, in seconds: it counts as a request.
const MIN_WATCH_S: f64 = 0.1;
const WATCH_MAX_S: f64 = 4.0;

/// The moment as of which a view shows all changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Freshness {
    read_sent_at: Time,
}

impl Freshness {
    /// Of a view that a linearizable read sent at `sent_at` has replaced.
    pub fn replaced(sent_at: Time) -> Self {
        Self {
            read_sent_at: sent_at,
        }
    }

    /// A linearizable read sent at `sent_at` was taken into the view. Answers may
    /// overtake each other: an older one makes the view no older.
    #[must_use]
    pub fn read(self, sent_at: Time) -> Self {
        if sent_at > self.read_sent_at {
            Self::replaced(sent_at)
        } else {
            self
        }
    }

    /// Until when tasks may be started by the view.
    ///
    /// An incarnation begins with a full lease, whether or not any heartbeat is answered, so
    /// what is started in it ends only with that: at the latest `lease_s` after the
    /// command was sent, as the incarnation had begun by then. While the state service
    /// refused the owner alone and was then out for all, it went on to start what was
    /// claimed before on machines that were back, also tasks of jobs whose cancellation
    /// had been confirmed elsewhere longer ago than `cancel_s`.
    pub fn allow_starts_until(self, lease_s: f64, cancel_s: f64) -> Time {
        let bound_s = START_VIEW_S.min(horizon_s(lease_s, cancel_s));
        self.read_sent_at.after(bound_s)
    }

    /// Seconds since the last read that the view rests on was sent.
    pub fn age_s(self, now: Time) -> f64 {
        now.since(self.read_sent_at)
    }

    /// Whether a heartbeat that has arrived may be answered by the view.
    pub fn may_answer_workers(self, now: Time, lease_s: f64, cancel_s: f64) -> bool {
        self.age_s(now) <= horizon_s(lease_s, cancel_s)
    }
}

/// How old a view may be while workers are answered by it, in seconds. Negative if
/// `cancel_s` is not longer than a lease: then no answer is safe.
pub fn horizon_s(lease_s: f64, cancel_s: f64) -> f64 {
    let usual = (cancel_s - lease_s - MARGIN_S).max(LEAST_S);
    usual.min(longest_safe_s(lease_s, cancel_s))
}

/// For how long a watch of the state service may wait for changes, in seconds.
///
/// It waited for 4 s, whatever the bounds were. In quiet times the view was then more
/// than 8 s old again and again: heartbeats were turned away where `cancel_s` is less than
/// a lease and 11 s, until leases ended, and no task was started for 2 s of every 4.
pub fn watch_s(lease_s: f64, cancel_s: f64) -> f64 {
    let bound_s = START_VIEW_S.min(horizon_s(lease_s, cancel_s));
    (WATCH_PART * bound_s).clamp(MIN_WATCH_S, WATCH_MAX_S)
}

/// The largest bound for which the proof above holds: the controller's and the
/// worker's clock may be slow, the one that counts `cancel_s` fast.
fn longest_safe_s(lease_s: f64, cancel_s: f64) -> f64 {
    cancel_s * (1.0 - CLOCK_DRIFT) / (1.0 + CLOCK_DRIFT) - lease_s
}
