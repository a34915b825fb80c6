//! The record of an occurrence of a window, and its key.

use serde::{Deserialize, Serialize};

use super::{read, VERSION, WINDOW_PREFIX};
use crate::when::Span;

/// How far an occurrence is. Steps only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Near: shortage is looked for, nothing is reserved.
    Planned,
    /// Machines are rented, in steps, and images fetched.
    Warming,
    /// It has begun.
    Held,
    /// It has ended, or its work has: machines are released.
    Releasing,
    /// Nothing of it is left but this record, which says that it was.
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

/// One occurrence. Version 1.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowRecord {
    /// Version of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// When it ends, in milliseconds of the time of day.
    #[serde(rename = "e")]
    pub end_ms: i64,
    /// How far it is.
    #[serde(rename = "s")]
    pub step: Step,
    /// When that step was taken, by the clock of who took it.
    #[serde(rename = "t")]
    pub since_ms: i64,
    /// For how many tasks capacity is reserved.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// It ended because its window was taken out or moved: the only end that
    /// an operator's next pin undoes.
    #[serde(default, rename = "x", skip_serializing_if = "std::ops::Not::not")]
    pub removed: bool,
}

impl WindowRecord {
    /// Reads a record. Of one of a later version that is not understood the
    /// version is left, so that it is not taken for absent and written over.
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

    /// Whether this program knows the record's format; one of a later version
    /// is left alone.
    pub fn known(&self) -> bool {
        self.version <= VERSION
    }
}

/// Where an occurrence's record is: `h/win/NAME@START`, START in seconds since
/// 1970. Beginnings are whole seconds, see [`parse_key`].
pub fn key(name: &str, start_ms: i64) -> String {
    format!("{WINDOW_PREFIX}{name}@{}", start_ms.div_euclid(1000))
}

/// What an occurrence's key says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OccurrenceKey<'a> {
    /// The window's name.
    pub window: &'a str,
    /// When the occurrence begins, in milliseconds since 1970.
    pub start_ms: i64,
}

/// Reads an occurrence's key; none if it is not one.
pub fn parse_key(key: &str) -> Option<OccurrenceKey<'_>> {
    let (window, start) = key.strip_prefix(WINDOW_PREFIX)?.rsplit_once('@')?;
    Some(OccurrenceKey {
        window,
        start_ms: start.parse::<i64>().ok()?.checked_mul(1000)?,
    })
}

/// The occurrence that a record is of.
pub fn span(start_ms: i64, record: &WindowRecord) -> Span {
    Span {
        start_ms,
        end_ms: record.end_ms,
    }
}
