//! What the state service holds: the windows that count, and one record for
//! each occurrence that is near or under way. Short field names: a value is a
//! few KiB at most (`state.value_kb`).

use serde::{Deserialize, Serialize};

use crate::settings::{Calendar, Window};
use crate::when::Span;

/// Where the windows are.
pub const CALENDAR_KEY: &str = "h/calendar";

/// What all occurrences' keys begin with.
pub const WINDOW_PREFIX: &str = "h/win/";

/// Version of both formats.
pub const VERSION: u32 = 1;

/// Why the calendar's record can't be changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A later version wrote it: what that means by its fields is not known here.
    #[error("the calendar was written by a later version")]
    LaterVersion,
    /// It does not fit into one value of the state service.
    #[error(
        "calendar: {windows} windows take {bytes} bytes, the state service holds {value_kb} KiB: \
         have fewer of them, shorter names, or one weekly rule instead of many moments"
    )]
    TooLarge {
        /// How many windows it has.
        windows: usize,
        /// The bytes that they take.
        bytes: usize,
        /// What a value may have, in KiB.
        value_kb: u64,
    },
}

/// A window, and where it is from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The window.
    #[serde(flatten)]
    pub window: Window,
    /// An operator pinned it: a newer file changes it only by its name.
    #[serde(default, rename = "p", skip_serializing_if = "std::ops::Not::not")]
    pub pinned: bool,
}

/// All windows that count. Version 1.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CalendarRecord {
    /// Version of the format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Number of the newest file.
    #[serde(rename = "n")]
    pub number: u64,
    /// The windows.
    #[serde(rename = "w", default)]
    pub entries: Vec<Entry>,
}

/// What a controller's file says beside the record.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// The file is newer: this is to be written.
    Newer(CalendarRecord),
    /// The file is the record's.
    Same,
    /// The same number with other windows: nothing changes, and the operator
    /// is told to raise the number.
    Differs,
    /// The record is of a newer file: nothing changes. So an older controller
    /// in a rolling restart changes nothing.
    Older,
    /// The record is of a later version of the format: left alone.
    Later,
}

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

impl CalendarRecord {
    /// Reads a record. Of one of a later version that is not understood the
    /// version is left, so that it is not taken for absent and written over.
    pub fn read(text: &str) -> Option<Self> {
        read(text, |version| Self {
            version,
            number: u64::MAX,
            entries: Vec::new(),
        })
    }

    /// Whether this program knows the record's format. While it doesn't, it
    /// neither writes it nor takes any occurrence's step: windows that it can't
    /// read would look as if they had been taken out.
    pub fn known(&self) -> bool {
        self.version <= VERSION
    }

    /// The windows, by name.
    pub fn window(&self, name: &str) -> Option<&Window> {
        let entry = self.entries.iter().find(|e| e.window.name == name)?;
        Some(&entry.window)
    }

    /// What a controller's file changes. Pinned windows stay, but for those
    /// that the newer file has itself.
    pub fn take(recorded: Option<&CalendarRecord>, file: &Calendar) -> Taken {
        let Some(recorded) = recorded else {
            return Taken::Newer(Self::of_file(file, []));
        };
        if !recorded.known() {
            return Taken::Later;
        }
        match file.number.cmp(&recorded.number) {
            std::cmp::Ordering::Less => Taken::Older,
            std::cmp::Ordering::Equal if recorded.differs_from(file) => Taken::Differs,
            std::cmp::Ordering::Equal => Taken::Same,
            std::cmp::Ordering::Greater => {
                let stays =
                    |e: &&Entry| e.pinned && file.windows.iter().all(|w| w.name != e.window.name);
                let pins = recorded.entries.iter().filter(stays).cloned();
                Taken::Newer(Self::of_file(file, pins))
            }
        }
    }

    /// The record of a file, with these pinned windows.
    fn of_file(file: &Calendar, pins: impl IntoIterator<Item = Entry>) -> Self {
        let own = file.windows.iter().map(|window| Entry {
            window: window.clone(),
            pinned: false,
        });
        Self {
            version: VERSION,
            number: file.number,
            entries: own.chain(pins).collect(),
        }
    }

    /// Whether a file of the same number has other windows. Pins and unpins since then
    /// are no difference of the file's.
    fn differs_from(&self, file: &Calendar) -> bool {
        let mut own = self.entries.iter().filter(|e| !e.pinned);
        own.any(|e| !file.windows.contains(&e.window))
    }

    /// An operator's window added, or put in the place of one of its name;
    /// `None` if nothing changes. The error says why it can't be.
    pub fn pin(
        recorded: Option<&CalendarRecord>,
        window: &Window,
    ) -> Result<Option<CalendarRecord>, RecordError> {
        let mut record = recorded.cloned().unwrap_or(CalendarRecord {
            version: VERSION,
            number: 0,
            entries: Vec::new(),
        });
        record.changeable()?;
        let entry = Entry {
            window: window.clone(),
            pinned: true,
        };
        match record
            .entries
            .iter_mut()
            .find(|e| e.window.name == window.name)
        {
            Some(old) if *old == entry => return Ok(None),
            Some(old) => *old = entry,
            None => record.entries.push(entry),
        }
        Ok(Some(record))
    }

    /// A window taken out, an operator's or the file's, until a newer file has
    /// it; `None` if there is none of the name.
    pub fn unpin(&self, name: &str) -> Result<Option<CalendarRecord>, RecordError> {
        self.changeable()?;
        let mut record = self.clone();
        record.entries.retain(|e| e.window.name != name);
        Ok(Some(record).filter(|r| r.entries.len() < self.entries.len()))
    }

    fn changeable(&self) -> Result<(), RecordError> {
        if self.known() {
            Ok(())
        } else {
            Err(RecordError::LaterVersion)
        }
    }

    /// Whether it fits into one value of the state service, `value_kb` of the
    /// settings. It is one record so that all windows change at once; more
    /// than it can hold is refused rather than cut.
    pub fn fits(&self, value_kb: u64) -> Result<(), RecordError> {
        let bytes = serde_json::to_vec(self).map_or(usize::MAX, |text| text.len());
        if bytes as u64 <= value_kb.saturating_mul(1024) {
            return Ok(());
        }
        Err(RecordError::TooLarge {
            windows: self.entries.len(),
            bytes,
            value_kb,
        })
    }
}

/// How far an occurrence is. Steps only go forward.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Near: shortage is looked for, nothing is held.
    Planned,
    /// Room is rented, in steps, and images fetched.
    Warming,
    /// It has begun.
    Held,
    /// It has ended, or its work has: room is let go.
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
    /// How many tasks' room is held.
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

/// The window's name and the occurrence's beginning, in milliseconds.
pub fn parse_key(key: &str) -> Option<(&str, i64)> {
    let (name, start) = key.strip_prefix(WINDOW_PREFIX)?.rsplit_once('@')?;
    Some((name, start.parse::<i64>().ok()?.checked_mul(1000)?))
}

/// The occurrence that a record is of.
pub fn span(start_ms: i64, record: &WindowRecord) -> Span {
    Span {
        start_ms,
        end_ms: record.end_ms,
    }
}
