//! Records of reservation windows in the state service: one record with all active windows,
//! and one record for each occurrence that begins soon or is under way. Field names are short
//! because a value has a few KiB at most (`state.value_kb`).

mod calendar;
mod window;

use serde::Deserialize;

pub use self::calendar::{CalendarRecord, Entry, RecordError, Taken};
pub use self::window::{key, parse_key, span, OccurrenceKey, Step, WindowRecord};

/// Key of the record with all active windows.
pub const CALENDAR_KEY: &str = "h/calendar";

/// Prefix of the keys of all occurrences' records.
pub const WINDOW_PREFIX: &str = "h/win/";

/// Version of the formats of the calendar record and the occurrence records.
pub const VERSION: u32 = 1;

/// Version field of a record whose other fields this program can't read.
#[derive(Deserialize)]
struct Versioned {
    #[serde(rename = "v")]
    version: u32,
}

/// Parses a record. If only its version can be read and is later than [`VERSION`], returns the
/// result of `later`. Returns `None` otherwise.
fn read<T: for<'a> Deserialize<'a>>(text: &str, later: impl Fn(u32) -> T) -> Option<T> {
    if let Ok(record) = serde_json::from_str(text) {
        return Some(record);
    }
    let found: Versioned = serde_json::from_str(text).ok()?;
    (found.version > VERSION).then(|| later(found.version))
}
