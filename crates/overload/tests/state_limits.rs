//! Checks which write rate counts as in force after the state service refuses writes.

use sorrelhinge_overload::state_limits::ChangeRate;
use sorrelhinge_protocol::types::Time;

/// Repeated refusals within a second count as one burst, and refused bursts far apart count as
/// chance. Neither is evidence of the lower rate.
#[test]
fn refusals_in_a_burst_are_no_evidence() {
    let mut rate = ChangeRate::new(25.0, Some(18.0));
    for step in 0..100 {
        assert!(!rate.refused(Time(10.0 + f64::from(step) * 0.01)));
    }
    for burst in 0..20 {
        assert!(!rate.refused(Time(20.0 + f64::from(burst) * 8.0)));
    }
    assert_eq!(rate.in_force(), 25.0);
}

#[test]
fn repeated_refusals_lower_the_rate_permanently() {
    let mut rate = ChangeRate::new(25.0, Some(18.0));
    let shown = (0..10).position(|burst| rate.refused(Time(f64::from(burst) * 2.0)));
    assert_eq!(shown, Some(3));
    assert_eq!(rate.in_force(), 18.0);
    assert!(!rate.lower(), "the lower limits are already in force");
    assert!(rate.is_lowered() && rate.in_force() == 18.0);
}

#[test]
fn another_controller_may_announce_the_lower_limits() {
    let mut rate = ChangeRate::new(25.0, Some(18.0));
    assert!(rate.lower());
    assert_eq!(rate.in_force(), 18.0);
}

/// If no lower rate is announced, refusals are no evidence. The smaller limits of values may still
/// come into force, and the write rate stays as it is.
#[test]
fn without_a_lower_rate_the_present_one_stays() {
    for next in [None, Some(30.0)] {
        let mut rate = ChangeRate::new(25.0, next);
        for burst in 0..20 {
            assert!(!rate.refused(Time(f64::from(burst) * 2.0)));
        }
        assert!(!rate.is_lowered());
        assert!(rate.lower() && rate.is_lowered());
        assert_eq!(rate.in_force(), 25.0);
    }
}
