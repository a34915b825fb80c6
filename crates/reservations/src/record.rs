//! What the state service keeps: the windows that count, and one record for
//! each occurrence that is near or under way. Short field names: a value is a
//! few KiB at most (`state.value_kb`).

mod calendar;
mod window;

use serde::Deserialize;

pub use self::calendar::{CalendarRecord, Entry, RecordError, Taken};
pub use self::window::{key, parse_key, span, OccurrenceKey, Step, WindowRecord};

/// Where the windows are.
pub const CALENDAR_KEY: &str = "h/calendar";

/// What all occurrences' keys begin with.
pub const WINDOW_PREFIX: &str = "h/win/";

/// Version of both formats.
pub const VERSION: u32 = 1;

/// The version alone, for records whose other fields are not known.
#[derive(Deserialize)]
struct Versioned {
    #[serde(rename = "v")]
    version: u32,
}

/// Reads a record, or else the version of a later one; `None` if it is neither.
fn read<T: for<'a> Deserialize<'a>>(text: &str, later: impl Fn(u32) -> T) -> Option<T> {
    if let Ok(record) = serde_json::from_str(text) {
        return Some(record);
    }
    let found: Versioned = serde_json::from_str(text).ok()?;
    (found.version > VERSION).then(|| later(found.version))
}
