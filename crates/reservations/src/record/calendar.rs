//! The record of the windows that count.

use serde::{Deserialize, Serialize};

use super::{read, VERSION};
use crate::settings::{Calendar, Window};

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
    /// has to raise the number.
    Differs,
    /// The record is of a newer file: nothing changes. So an older controller
    /// in a rolling restart changes nothing.
    Older,
    /// The record is of a later version of the format: left alone.
    Later,
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
    ///
    /// # Errors
    ///
    /// The record is of a later version, or its windows are refused.
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
    ///
    /// # Errors
    ///
    /// The record is of a later version.
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
    /// than fits is refused rather than cut.
    ///
    /// # Errors
    ///
    /// It is larger than a value may be.
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
