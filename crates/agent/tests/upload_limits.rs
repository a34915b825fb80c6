//! What of an image a request may ask for, and how fast it goes out.

use sorrelhinge_agent::upload::{span, Rate};
use sorrelhinge_protocol::types::Time;

#[test]
fn ranges() {
    assert_eq!(span("bytes=0-0", 10), Some(0..1));
    assert_eq!(span("bytes=3-", 10), Some(3..10));
    assert_eq!(span("bytes=3-99", 10), Some(3..10));
    assert_eq!(span("bytes=-4", 10), Some(6..10));
    assert_eq!(span("bytes=-40", 10), Some(0..10));
    for none in [
        "bytes=10-",
        "bytes=10-12",
        "bytes=5-4",
        "bytes=-0",
        "bytes=-",
        "bytes=0-1,3-4",
        "0-1",
        "bytes=a-b",
        "bytes=1-18446744073709551615",
    ] {
        assert_eq!(span(none, 10), None, "{none}");
    }
}

#[test]
fn the_rate_holds_for_all_together() {
    let mut rate = Rate::new(100.0);
    assert_eq!(rate.wait(50, Time(10.0)), 0.0);
    assert_eq!(rate.wait(50, Time(10.0)), 0.5);
    assert_eq!(rate.wait(50, Time(10.5)), 0.5);
    assert_eq!(
        rate.wait(50, Time(20.0)),
        0.0,
        "what was not used is not owed"
    );
}
