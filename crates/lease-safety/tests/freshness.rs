//! Checks the bound on the age of the view against the rule that no task outlasts `cancel_s`.

use proptest::prelude::*;
use sorrelhinge_lease_safety::freshness::{horizon_s, watch_s, Freshness, CLOCK_DRIFT};
use sorrelhinge_protocol::types::Time;

/// With the settings of larger sites, the bound leaves the whole margin of 3 s.
#[test]
fn the_usual_bound_keeps_three_seconds() {
    assert_eq!(horizon_s(20.0, 40.0), 17.0);
}

/// Guards against a fixed minimum of one second for the bound. With it, tasks outlasted `cancel_s`
/// if a lease was about as long.
#[test]
fn no_bound_outlasts_cancel_s() {
    assert!(horizon_s(20.0, 20.5) < 0.5);
    let fresh = Freshness::replaced(Time(5.0));
    assert!(!fresh.may_answer_workers(Time(5.0), 20.0, 20.0));
    assert!(!fresh.may_answer_workers(Time(5.0), 20.0, 19.0));
}

/// A read that arrives out of order leaves the age of the view unchanged. A read that replaces the
/// view may make it older.
#[test]
fn an_older_answer_makes_the_view_no_older() {
    let fresh = Freshness::replaced(Time(5.0)).read(Time(7.0));
    assert_eq!(fresh.read(Time(6.0)).age_s(Time(8.0)), 1.0);
    assert_eq!(Freshness::replaced(Time(6.0)).age_s(Time(8.0)), 2.0);
}

/// Longest pause between two watches, in seconds.
const BETWEEN_WATCHES_S: f64 = 0.2;
/// Delay of a slow answer to a watch, in seconds.
const SLOW_ANSWER_S: f64 = 0.3;

/// While nothing changes, each watch is answered at its end and shows the state at the time at
/// which it was sent. With watches of 4 s, the view was too old to answer workers for 2 s of every
/// 4 s if `cancel_s` was a lease plus 9 s. With all settings it was too old to start tasks.
#[test]
fn in_quiet_times_a_watch_renews_the_view_in_time() {
    for (lease_s, cancel_s) in [(3.0, 12.0), (28.0, 48.0), (36.0, 56.0), (20.0, 26.0)] {
        let watch_s = watch_s(lease_s, cancel_s);
        let mut fresh = Freshness::replaced(Time(0.0));
        let mut now = Time(0.0);
        for _ in 0..20 {
            let sent_at = now;
            now = now.after(watch_s + SLOW_ANSWER_S);
            // The view is oldest just before the answer to the watch is applied.
            assert!(
                fresh.may_answer_workers(now, lease_s, cancel_s),
                "{watch_s}"
            );
            assert!(
                now <= fresh.allow_starts_until(lease_s, cancel_s),
                "{watch_s}"
            );
            fresh = fresh.read(sent_at);
            now = now.after(BETWEEN_WATCHES_S);
        }
    }
}

/// A watch keeps a minimum duration even if the bound is close to zero, so it does not cause a
/// flood of requests.
#[test]
fn a_watch_waits_for_a_moment_whatever_the_bounds_are() {
    assert!(watch_s(20.0, 20.1) >= 0.1);
    assert!(watch_s(20.0, 19.0) >= 0.1);
    assert!(watch_s(1.0, 1000.0) <= 4.0);
}

proptest! {
    /// Checks the worst case of the proof: the cancellation is confirmed right after the read was
    /// sent, the check is made as late as allowed, and the clocks are as slow as possible.
    #[test]
    fn the_last_lease_ends_within_cancel_s(
        lease_s in 0.5..120.0f64,
        more_s in -5.0..20.0f64,
        part in 0.0..1.5f64,
    ) {
        let cancel_s = (lease_s + more_s).max(0.1);
        let age_s = part * (cancel_s - lease_s).max(1.0);
        let fresh = Freshness::replaced(Time(1000.0));
        if fresh.may_answer_workers(Time(1000.0 + age_s), lease_s, cancel_s) {
            let ends_s = (age_s + lease_s) * (1.0 + CLOCK_DRIFT);
            prop_assert!(ends_s <= cancel_s * (1.0 - CLOCK_DRIFT) + 1e-6, "{ends_s}");
        }
    }
}
