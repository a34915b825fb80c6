//! Record of an occurrence of a reservation window, and the key of this record.

use serde::{Deserialize, Serialize};

use super::{read, VERSION, WINDOW_PREFIX};
use crate::when::Span;

/// Step that an occurrence of a window has reached. Steps only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// The occurrence begins soon. The owner looks for shortages and reserves nothing yet.
    Planned,
    /// The owner rents machines in steps, and the machines fetch the images.
    Warming,
    /// The occurrence has begun, and its capacity is reserved.
    Held,
    /// The occurrence or all of its tasks have ended, and the owner releases the machines.
    Releasing,
    /// The occurrence is over and has no machines. Only its record remains, so that no
    /// controller begins the occurrence again.
    Over,
}

impl std::fmt::Display for Step {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::Planned => "planned",
            Self::Warming => "warming",
            Self::Held => "held",
            Self::Releasing => "releasing",
            Self::Over => "over",
        })
    }
}

/// Record of one occurrence of a window, in version 1 of the format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    /// Version of the record's format.
    #[serde(rename = "v")]
    pub version: u32,
    /// End of the occurrence as Unix time in milliseconds.
    #[serde(rename = "e")]
    pub end_ms: i64,
    /// Step that the occurrence has reached.
    #[serde(rename = "s")]
    pub step: Step,
    /// Unix time in milliseconds at which the occurrence reached the step, by the clock of the
    /// controller that recorded it.
    #[serde(rename = "t")]
    pub since_ms: i64,
    /// Number of tasks for which the occurrence reserves capacity.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// Whether the occurrence ended because its window was removed or moved. An operator's next
    /// pin undoes only this kind of end.
    #[serde(default, rename = "x", skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

impl WindowRecord {
    /// Parses a record. If a later version wrote it in a format that can't be read, the result
    /// has only the version, so that the controller neither treats the record as absent nor
    /// overwrites it. Returns `None` if the text is no record.
    pub fn read(text: &str) -> Option<Self> {
        read(text, |version| Self {
            version,
            end_ms: i64::MAX,
            step: Step::Planned,
            since_ms: 0,
            tasks: 0,
            removed: false,
        })
    }

    /// Returns whether this program knows the record's format. A controller doesn't change a
    /// record of a later version.
    pub fn known(&self) -> bool {
        self.version <= VERSION
    }
}

/// Returns the key of an occurrence's record: `h/win/NAME@START`, with START as Unix time in
/// seconds. Occurrences begin at whole seconds, see [`parse_key`].
pub fn key(name: &str, start_ms: i64) -> String {
    format!("{WINDOW_PREFIX}{name}@{}", start_ms.div_euclid(1000))
}

/// Parsed key of an occurrence's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OccurrenceKey<'a> {
    /// Name of the window.
    pub window: &'a str,
    /// Start of the occurrence as Unix time in milliseconds.
    pub start_ms: i64,
}

/// Parses the key of an occurrence's record. Returns `None` if the key is no such key.
pub fn parse_key(key: &str) -> Option<OccurrenceKey<'_>> {
    let (window, start) = key.strip_prefix(WINDOW_PREFIX)?.rsplit_once('@')?;
    Some(OccurrenceKey {
        window,
        start_ms: start.parse::<i64>().ok()?.checked_mul(1000)?,
    })
}

/// Returns the start and the end of the occurrence that the record describes.
pub fn span(start_ms: i64, record: &WindowRecord) -> Span {
    Span {
        start_ms,
        end_ms: record.end_ms,
    }
}
