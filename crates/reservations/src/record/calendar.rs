//! Record with all active reservation windows.

use serde::{Deserialize, Serialize};

use super::{read, VERSION};
use crate::settings::{Calendar, Window};

/// Reason why the calendar record can't be changed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// A later program version wrote the calendar record, and this version doesn't know what
    /// its fields mean.
    #[error("the calendar was written by a later version")]
    LaterVersion,
    /// The calendar record does not fit into one value of the state service.
    #[error(
        "calendar: {windows} windows take {bytes} bytes, the state service holds {value_kb} KiB: \
         have fewer of them, shorter names, or one weekly rule instead of many moments"
    )]
    TooLarge {
        /// Number of windows in the record.
        windows: usize,
        /// Size of the record in bytes.
        bytes: usize,
        /// Maximum size of a value in KiB.
        value_kb: u64,
    },
}

/// Reservation window in the calendar record, from the calendar file or from a pin.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Settings of the reservation window.
    #[serde(flatten)]
    pub window: Window,
    /// Whether an operator pinned the window. A newer calendar file replaces a pinned window
    /// only if the file has a window of the same name.
    #[serde(default, rename = "p", skip_serializing_if = "std::ops::Not::not")]
    pub pinned: bool,
}

/// Record of all active reservation windows, in version 1 of the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CalendarRecord {
    /// Version of the record's format.
    #[serde(rename = "v")]
    pub version: u32,
    /// Number of the newest calendar file that was taken over.
    #[serde(rename = "n")]
    pub number: u64,
    /// All active windows, from the calendar file and from pins.
    #[serde(rename = "w", default)]
    pub entries: Vec<Entry>,
}

/// Result of comparing a controller's calendar file with the calendar record.
#[derive(Clone, Debug, PartialEq)]
pub enum Taken {
    /// The file is newer, and the controller must write this record.
    Newer(CalendarRecord),
    /// The file has the number and the windows of the record.
    Same,
    /// The file has the number of the record but other windows. Nothing changes, and the
    /// operator must raise the number.
    Differs,
    /// The record comes from a newer file, so nothing changes. This prevents a controller
    /// with the old file from undoing a rolling restart.
    Older,
    /// A later program version wrote the record, so the controller doesn't change it.
    Later,
}

impl CalendarRecord {
    /// Parses a record. If a later version wrote it in a format that can't be read, the result
    /// has only the version, so that the controller neither treats the record as absent nor
    /// overwrites it. Returns `None` if the text is no record.
    pub fn read(text: &str) -> Option<Self> {
        read(text, |version| Self {
            version,
            number: u64::MAX,
            entries: Vec::new(),
        })
    }

    /// Returns whether this program knows the record's format. If not, the controller neither
    /// writes the record nor advances the step of any occurrence, because windows that it
    /// can't read would appear to be removed.
    pub fn known(&self) -> bool {
        self.version <= VERSION
    }

    /// Returns the window with the name `name`, or `None` if the record has none.
    pub fn window(&self, name: &str) -> Option<&Window> {
        let entry = self.entries.iter().find(|e| e.window.name == name)?;
        Some(&entry.window)
    }

    /// Compares a controller's calendar file with the record and returns the record to write,
    /// if any. Pinned windows stay in the record unless the newer file has a window of the
    /// same name.
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

    /// Builds the record for a calendar file and the given pinned windows.
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

    /// Returns whether a file with the record's number has other windows. Windows that
    /// operators pinned or unpinned since then don't count as a difference.
    fn differs_from(&self, file: &Calendar) -> bool {
        let mut own = self.entries.iter().filter(|e| !e.pinned);
        own.any(|e| !file.windows.contains(&e.window))
    }

    /// Returns the record with an operator's window added, or with the window of the same name
    /// replaced. Returns `None` if nothing changes.
    ///
    /// # Errors
    ///
    /// Returns an error if a later version wrote the record.
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

    /// Returns the record without the window `name`, whether that window was pinned or came
    /// from the file. The window stays removed until a newer file has it. Returns `None` if the
    /// record has no window of this name.
    ///
    /// # Errors
    ///
    /// Returns an error if a later version wrote the record.
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

    /// Checks that the record fits into one value of the state service, whose maximum size is
    /// the setting `value_kb`. All windows are in one record so that they change atomically. A
    /// calendar that is too large is rejected and not truncated.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is larger than a value may be.
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
