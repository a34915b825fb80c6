//! The bound on answers to workers, against the rule that it is for.

use proptest::prelude::*;
use sorrelhinge_lease_safety::freshness::{horizon_s, watch_s, Freshness, CLOCK_DRIFT};
use sorrelhinge_protocol::types::Time;

/// As the settings of larger sites have it: the whole margin is kept.
#[test]
fn the_usual_bound_keeps_three_seconds() {
    assert_eq!(horizon_s(20.0, 40.0), 17.0);
}

/// A bound of at least one second let tasks outlast `cancel_s` where a lease is as
/// long, or nearly.
#[test]
fn no_bound_outlasts_cancel_s() {
    assert!(horizon_s(20.0, 20.5) < 0.5);
    let fresh = Freshness::replaced(Time(5.0));
    assert!(!fresh.may_answer_workers(Time(5.0), 20.0, 20.0));
    assert!(!fresh.may_answer_workers(Time(5.0), 20.0, 19.0));
}

/// An answer that overtook another makes the view no older; one that replaces it does.
#[test]
fn an_older_answer_makes_the_view_no_older() {
    let fresh = Freshness::replaced(Time(5.0)).read(Time(7.0));
    assert_eq!(fresh.read(Time(6.0)).age_s(Time(8.0)), 1.0);
    assert_eq!(Freshness::replaced(Time(6.0)).age_s(Time(8.0)), 2.0);
}

/// The longest pause between two watches, and what a slow answer takes, in seconds.
const BETWEEN_WATCHES_S: f64 = 0.2;
const SLOW_ANSWER_S: f64 = 0.3;

/// Nothing changes: each watch is answered at its end, and shows what was so when it was
/// sent. With watches of 4 s the view was too old for answers for 2 s of every 4 where
/// `cancel_s` is a lease and 9 s, and too old for starts everywhere.
#[test]
fn in_quiet_times_a_watch_renews_the_view_in_time() {
    for (lease_s, cancel_s) in [(3.0, 12.0), (28.0, 48.0), (36.0, 56.0), (20.0, 26.0)] {
        let watch_s = watch_s(lease_s, cancel_s);
        let mut fresh = Freshness::replaced(Time(0.0));
        let mut now = Time(0.0);
        for _ in 0..20 {
            let sent_at = now;
            now = now.after(watch_s + SLOW_ANSWER_S);
            // Just before the answer is taken in.
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

/// A bound that is next to nothing costs no flood of requests.
#[test]
fn a_watch_waits_for_a_moment_whatever_the_bounds_are() {
    assert!(watch_s(20.0, 20.1) >= 0.1);
    assert!(watch_s(20.0, 19.0) >= 0.1);
    assert!(watch_s(1.0, 1000.0) <= 4.0);
}

proptest! {
    /// The worst case of the proof: confirmed right after the read was sent, checked
    /// as late as allowed, by the slowest clocks.
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
