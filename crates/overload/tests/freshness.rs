//! The bound on answers to workers, against the rule that it is for.

use proptest::prelude::*;
use sorrelhinge_overload::freshness::{horizon_s, Freshness, CLOCK_DRIFT};
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
