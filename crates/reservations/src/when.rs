//! Times at which a window's occurrences begin and end. The `jiff` crate computes days and
//! time zones from its built-in tz data. So all controllers of the same version agree,
//! whatever tz data their machines have.

use garde::Validate;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{SignedDuration, Timestamp, ToSpan};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Time span of one occurrence of a window, in Unix time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// Start of the occurrence in milliseconds.
    pub start_ms: i64,
    /// End of the occurrence in milliseconds, which is no longer part of the span.
    pub end_ms: i64,
}

impl Span {
    /// Returns whether the two time spans overlap.
    pub fn meets(self, other: Span) -> bool {
        self.start_ms < other.end_ms && other.start_ms < self.end_ms
    }
}

/// Day of the week on which a window occurs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Day {
    /// Monday.
    Mon,
    /// Tuesday.
    Tue,
    /// Wednesday.
    Wed,
    /// Thursday.
    Thu,
    /// Friday.
    Fri,
    /// Saturday.
    Sat,
    /// Sunday.
    Sun,
}

impl Day {
    fn is(self, day: Weekday) -> bool {
        self as i8 == day.to_monday_zero_offset()
    }
}

/// Weekly rule for the starts of a window: a time of day on some or all days of the week.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Rule {
    /// Days of the week on which the window begins; all days if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 7))]
    pub days: Vec<Day>,
    /// Time of day at which the window begins, such as `19:30`.
    #[schemars(with = "String")]
    #[garde(skip)]
    pub at: Time,
    /// Time zone of the days and times, by its IANA name, such as `Asia/Ho_Chi_Minh`.
    #[garde(length(bytes, min = 1, max = 64))]
    pub tz: String,
    /// First day on which the window can begin, such as `2026-12-01`; no bound if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    #[garde(skip)]
    pub from: Option<Date>,
    /// Last day on which the window can begin; no bound if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    #[garde(skip)]
    pub until: Option<Date>,
}

/// Periodic rule for the starts of a window, which does not depend on days.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Every {
    /// Time from one start of the window to the next, such as `5m` or `1h 30m`.
    #[schemars(with = "String")]
    #[garde(skip)]
    pub period: SignedDuration,
    /// Time from 1970-01-01T00:00:00Z to a start of the window; zero if absent. The other
    /// starts differ from this one by multiples of the period.
    #[serde(default, skip_serializing_if = "SignedDuration::is_zero")]
    #[schemars(with = "String")]
    #[garde(skip)]
    pub offset: SignedDuration,
}

/// Rule for the times at which a window begins.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "lowercase")]
pub enum When {
    /// The window begins once, at a time with its UTC offset, such as
    /// `2026-12-05T19:00:00+07:00`.
    Once(
        #[schemars(with = "String")]
        #[garde(skip)]
        Timestamp,
    ),
    /// The window begins at a time of day on some or all days of the week.
    Weekly(#[garde(dive)] Rule),
    /// The window begins periodically.
    Every(#[garde(dive)] Every),
}

/// Number of days in which the search for a weekly rule's next start looks. The search needs
/// a week, one more day because the current date may differ between time zones, and one more
/// because a time zone may have skipped a whole day (a change of the date line).
const SEARCH_DAYS: i32 = 10;

/// Returns the Unix time in milliseconds of a time of day on a date. If the local clock skips
/// this time, the result is the end of the gap, so that no window is skipped. If the local
/// clock shows this time twice, the result is the first of the two, so that the window does
/// not begin twice.
fn moment(date: Date, at: Time, tz: &TimeZone) -> Option<i64> {
    let there = tz.to_ambiguous_timestamp(date.to_datetime(at));
    let moment = match there.offset() {
        AmbiguousOffset::Gap { after, .. } => {
            // With the UTC offset that applies after the gap, the skipped time converts to an
            // instant before the gap. So the next change of the offset is the gap itself.
            let before = after.to_timestamp(date.to_datetime(at)).ok()?;
            tz.following(before).next()?.timestamp()
        }
        AmbiguousOffset::Unambiguous { .. } | AmbiguousOffset::Fold { .. } => {
            there.compatible().ok()?
        }
    };
    // The time is cut to whole seconds, because keys of records contain whole seconds.
    Some(moment.as_second() * 1000)
}

impl Rule {
    fn next(&self, after_ms: i64) -> Option<i64> {
        let tz = TimeZone::get(&self.tz).ok()?;
        let after = Timestamp::from_millisecond(after_ms).ok()?;
        // The search begins a day earlier, because the start of that day may have been moved
        // into the next day by a gap.
        let here = tz.to_datetime(after).date().yesterday().ok()?;
        let first = self.from.map_or(here, |from| from.max(here));
        (0..SEARCH_DAYS)
            .filter_map(|n| first.checked_add(n.days()).ok())
            .take_while(|date| self.until.is_none_or(|until| *date <= until))
            .filter(|date| self.days.is_empty() || self.days.iter().any(|d| d.is(date.weekday())))
            .filter_map(|date| moment(date, self.at, &tz))
            .find(|start| *start > after_ms)
    }
}

impl Every {
    fn next(&self, after_ms: i64) -> Option<i64> {
        let period = self.period.as_secs().checked_mul(1000)?;
        let offset = self.offset.as_secs().checked_mul(1000)?;
        if period <= 0 {
            return None;
        }
        let elapsed = after_ms.checked_sub(offset)?.div_euclid(period);
        elapsed
            .checked_add(1)?
            .checked_mul(period)?
            .checked_add(offset)
    }
}

impl When {
    /// Returns whether this program's tz data has the time zone of the rule. The result is
    /// `true` for a rule without a time zone.
    pub fn zone_known(&self) -> bool {
        match self {
            Self::Weekly(rule) => TimeZone::get(&rule.tz).is_ok(),
            Self::Once(_) | Self::Every(_) => true,
        }
    }

    /// Returns whether an occurrence begins at the time `start_ms`. The result is also `true`
    /// if the time zone is unknown. Another version's tz data may have the zone, and the missing
    /// data must not end an occurrence that is under way.
    pub fn begins_at(&self, start_ms: i64) -> bool {
        !self.zone_known() || start(self, start_ms - 1) == Some(start_ms)
    }
}

fn start(when: &When, after_ms: i64) -> Option<i64> {
    match when {
        When::Once(moment) => Some(moment.as_second() * 1000).filter(|start| *start > after_ms),
        When::Weekly(rule) => rule.next(after_ms),
        When::Every(every) => every.next(after_ms),
    }
}

/// Returns the first occurrence that begins after the time `after_ms`, or `None` if there is
/// none.
pub fn next(when: &When, lasts_s: u32, after_ms: i64) -> Option<Span> {
    let start_ms = start(when, after_ms)?;
    Some(Span {
        start_ms,
        end_ms: start_ms.checked_add(i64::from(lasts_s) * 1000)?,
    })
}

/// Returns the first occurrence that ends after the time `now_ms`. This is the occurrence under
/// way or else the next one. Returns `None` if there is neither.
pub fn current_or_next(when: &When, lasts_s: u32, now_ms: i64) -> Option<Span> {
    next(
        when,
        lasts_s,
        now_ms.checked_sub(i64::from(lasts_s) * 1000)?,
    )
}
