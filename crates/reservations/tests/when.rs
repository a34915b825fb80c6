//! Tests of occurrences in time zones: selected days with a change of the UTC offset, and
//! generated rules compared with a scan of every minute.

use jiff::civil::time;
use jiff::tz::TimeZone;
use jiff::{SignedDuration, Timestamp};
use proptest::prelude::*;
use sorrelhinge_reservations::when::Day::{Fri, Mon, Sat, Sun, Thu, Tue, Wed};
use sorrelhinge_reservations::when::{current_or_next, next, Every, Rule, When};

fn ms(text: &str) -> i64 {
    text.parse::<Timestamp>().expect(text).as_millisecond()
}

fn daily(at: (i8, i8), tz: &str) -> When {
    When::Weekly(Rule {
        days: Vec::new(),
        at: time(at.0, at.1, 0, 0),
        tz: tz.into(),
        from: None,
        until: None,
    })
}

#[test]
fn days_on_which_a_clock_is_put_on_or_back() {
    let [ny, lhi, apia] = ["America/New_York", "Australia/Lord_Howe", "Pacific/Apia"];
    // Each case has a time of day, a time zone, the start of the search, and the expected next
    // start of the window.
    let cases = [
        // The clock skips 02:00 to 03:00, so the window begins at 03:00 local time.
        ((2, 30), ny, "2026-03-08T05:00:00Z", "2026-03-08T07:00:00Z"),
        // On the following day the window begins at its usual time.
        ((2, 30), ny, "2026-03-08T07:00:00Z", "2026-03-09T06:30:00Z"),
        // The clock shows 01:00 to 02:00 twice, and the window begins only the first time.
        ((1, 30), ny, "2026-11-01T04:00:00Z", "2026-11-01T05:30:00Z"),
        ((1, 30), ny, "2026-11-01T05:30:00Z", "2026-11-02T06:30:00Z"),
        // In this time zone the clock changes by only half an hour.
        ((2, 15), lhi, "2026-10-03T05:30:00Z", "2026-10-03T15:30:00Z"),
        // This time zone skipped the whole day 2011-12-30.
        ((9, 0), apia, "2011-12-29T19:00:00Z", "2011-12-30T10:00:00Z"),
        ((9, 0), apia, "2011-12-30T10:00:00Z", "2011-12-30T19:00:00Z"),
    ];
    for (at, tz, after, expected) in cases {
        let begins = next(&daily(at, tz), 60, ms(after)).map(|s| s.start_ms);
        assert_eq!(begins, Some(ms(expected)), "{at:?} {tz} after {after}");
    }
}

#[test]
fn single_moments_and_short_periods() {
    let once = When::Once("2026-12-05T19:00:00+07:00".parse().expect("a moment"));
    let start = ms("2026-12-05T12:00:00Z");
    let first = next(&once, 60, start - 1).map(|s| (s.start_ms, s.end_ms));
    assert_eq!(first, Some((start, start + 60_000)));
    assert_eq!(next(&once, 60, start), None);
    let current = current_or_next(&once, 60, start + 59_999).map(|s| s.start_ms);
    assert_eq!(current, Some(start));
    assert_eq!(current_or_next(&once, 60, start + 60_000), None);
    assert!(once.begins_at(start) && !once.begins_at(start + 1000));
    let every = When::Every(Every {
        period: SignedDuration::from_mins(5),
        offset: SignedDuration::from_secs(90),
    });
    assert_eq!(next(&every, 60, 0).map(|s| s.start_ms), Some(90_000));
    assert_eq!(next(&every, 60, 90_000).map(|s| s.start_ms), Some(390_000));
    // The time zone is unknown, so every time counts as a possible start.
    let elsewhere = daily((1, 0), "Mars/Olympus");
    assert!(elsewhere.begins_at(start) && next(&elsewhere, 60, 0).is_none());
}

const ZONES: [&str; 6] = [
    "Asia/Ho_Chi_Minh",
    "America/New_York",
    "Europe/Dublin",
    "Australia/Lord_Howe",
    "Asia/Kathmandu",
    "Africa/Casablanca",
];

/// Returns the next start of a rule by a scan of every minute. A window begins when the latest
/// local time shown so far reaches the rule's time of day.
fn slow(rule: &Rule, after_ms: i64) -> Option<i64> {
    let tz = TimeZone::get(&rule.tz).expect("a zone");
    let wall = |ms| tz.to_datetime(Timestamp::from_millisecond(ms).expect("in range"));
    let minute = 60_000;
    let mut at = (after_ms - 2 * 86_400_000).div_euclid(minute) * minute;
    let mut latest = wall(at);
    while at <= after_ms + 9 * 86_400_000 {
        at += minute;
        let shown = wall(at);
        if shown <= latest {
            continue;
        }
        for date in [latest.date(), shown.date()] {
            let day = date.weekday().to_monday_zero_offset();
            let wanted = rule.days.is_empty() || rule.days.iter().any(|d| *d as i8 == day);
            let then = date.to_datetime(rule.at);
            let within =
                rule.from.is_none_or(|f| f <= date) && rule.until.is_none_or(|u| date <= u);
            if wanted && within && latest < then && then <= shown && at > after_ms {
                return Some(at);
            }
        }
        latest = shown;
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// The cases cover all of 2026 and 2027. Dates near the clock changes of March and October
    /// and the early hours in which clocks change are more frequent.
    #[test]
    fn a_rules_next_time_is_what_a_scan_of_every_minute_finds(
        zone in 0..ZONES.len(),
        days in proptest::sample::subsequence(vec![Mon, Tue, Wed, Thu, Fri, Sat, Sun], 0..4),
        hour in prop_oneof![0i8..4, 0i8..24],
        minute in 0i8..60,
        day in prop_oneof![0i64..730, 64i64..92, 270i64..310],
        seconds in 0i64..86_400,
        until in proptest::option::of(0i64..9),
    ) {
        let after_ms = ms("2026-01-01T00:00:00Z") + day * 86_400_000 + seconds * 1000;
        let date = TimeZone::UTC.to_datetime(Timestamp::from_millisecond(after_ms).expect("in range")).date();
        let rule = Rule {
            days,
            at: time(hour, minute, 0, 0),
            tz: ZONES[zone].into(),
            from: None,
            until: until.map(|n| date.saturating_add(SignedDuration::from_hours(24 * n))),
        };
        let expected = slow(&rule, after_ms);
        let found = next(&When::Weekly(rule), 60, after_ms).map(|s| s.start_ms);
        prop_assert_eq!(found, expected);
    }
}
