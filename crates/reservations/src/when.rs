//! When a window's occurrences begin and end. Days and time zones are `jiff`'s,
//! with the tz data that is built in: all controllers of a version agree,
//! whatever is installed on their machines.

use garde::Validate;
use jiff::civil::{Date, Time, Weekday};
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::{SignedDuration, Timestamp, ToSpan};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// One occurrence, in milliseconds of the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span {
    /// When it begins.
    pub start_ms: i64,
    /// When it ends.
    pub end_ms: i64,
}

impl Span {
    /// Whether some moment belongs to both.
    pub fn meets(self, other: Span) -> bool {
        self.start_ms < other.end_ms && other.start_ms < self.end_ms
    }
}

/// A day of the week.
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

/// A time of the day on some or all days of the week.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Rule {
    /// Days of the week; all of them if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 7))]
    pub days: Vec<Day>,
    /// Time of the day: `19:30`.
    #[schemars(with = "String")]
    #[garde(skip)]
    pub at: Time,
    /// Time zone, by its IANA name: `Asia/Ho_Chi_Minh`.
    #[garde(length(bytes, min = 1, max = 64))]
    pub tz: String,
    /// No day before this one: `2026-12-01`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    #[garde(skip)]
    pub from: Option<Date>,
    /// No day after this one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Option<String>")]
    #[garde(skip)]
    pub until: Option<Date>,
}

/// Again and again, whatever day it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Every {
    /// From one beginning to the next: `5m`, `1h 30m`.
    #[schemars(with = "String")]
    #[garde(skip)]
    pub period: SignedDuration,
    /// The first beginning, counted from 1970-01-01T00:00:00Z; none if absent.
    #[serde(default, skip_serializing_if = "SignedDuration::is_zero")]
    #[schemars(with = "String")]
    #[garde(skip)]
    pub offset: SignedDuration,
}

/// When a window occurs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[serde(rename_all = "lowercase")]
pub enum When {
    /// Once, at a moment with its offset: `2026-12-05T19:00:00+07:00`.
    Once(
        #[schemars(with = "String")]
        #[garde(skip)]
        Timestamp,
    ),
    /// By days of the week.
    Weekly(#[garde(dive)] Rule),
    /// Again and again.
    Every(#[garde(dive)] Every),
}

/// Days that are looked at for a rule's next time: a week, one more as the day
/// here need not be the day there, and one that a zone may have left out
/// altogether (a change of the date line).
const SEARCH_DAYS: i32 = 10;

/// When a day's time is. One that a clock skips is the first moment after the
/// gap, so that a window is never left out; one that a clock shows twice is
/// the first of the two, so that it does not begin twice.
fn moment(date: Date, at: Time, tz: &TimeZone) -> Option<i64> {
    let there = tz.to_ambiguous_timestamp(date.to_datetime(at));
    let moment = match there.offset() {
        AmbiguousOffset::Gap { after, .. } => {
            // Read by the later offset it lies before the gap, and the next
            // change of offsets is the gap itself.
            let before = after.to_timestamp(date.to_datetime(at)).ok()?;
            tz.following(before).next()?.timestamp()
        }
        AmbiguousOffset::Unambiguous { .. } | AmbiguousOffset::Fold { .. } => {
            there.compatible().ok()?
        }
    };
    // Whole seconds, as in the records' keys.
    Some(moment.as_second() * 1000)
}

impl Rule {
    fn next(&self, after_ms: i64) -> Option<i64> {
        let tz = TimeZone::get(&self.tz).ok()?;
        let after = Timestamp::from_millisecond(after_ms).ok()?;
        // The day before: its time may have been skipped into the next.
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
    /// The zone that it needs, if any, is known to this program's tz data.
    pub fn zone_known(&self) -> bool {
        match self {
            Self::Weekly(rule) => TimeZone::get(&rule.tz).is_ok(),
            Self::Once(_) | Self::Every(_) => true,
        }
    }

    /// Whether an occurrence begins at this moment. Yes where it can't be
    /// said: tz data of another version may know the zone, and an occurrence
    /// under way is not ended by not knowing.
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

/// The first occurrence that begins after a moment.
pub fn next(when: &When, lasts_s: u32, after_ms: i64) -> Option<Span> {
    let start_ms = start(when, after_ms)?;
    Some(Span {
        start_ms,
        end_ms: start_ms.checked_add(i64::from(lasts_s) * 1000)?,
    })
}

/// The first occurrence that ends after a moment: the one under way, or else
/// the next.
pub fn current_or_next(when: &When, lasts_s: u32, now_ms: i64) -> Option<Span> {
    next(
        when,
        lasts_s,
        now_ms.checked_sub(i64::from(lasts_s) * 1000)?,
    )
}
