//! What the agent must not forget, in an append-only file. Version 1:
//!
//! | bytes | content |
//! | --- | --- |
//! | 0..4 | `SHJ1` |
//! | 4..8 | version, little endian: 1 |
//! | then, for each entry | |
//! | 4 | length of the payload, little endian, at most 65,536 |
//! | 4 | CRC-32 of the payload, little endian |
//! | length | payload: a [`Note`] as JSON |
//!
//! An entry that is cut short or does not match its sum ends the journal: it
//! was being written when the machine stopped, and nothing that was to follow
//! it has been done. An entry is on disk (`fdatasync`) when [`Journal::note`]
//! returns. The file is written anew, beside the old one and then in its place,
//! once it holds much more than what is still of use.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::{Path, PathBuf};

use sorrelhinge_protocol::types::{FencingToken, Incarnation};

use crate::core::{Ending, ForgottenAttempts, Key, Known, Note, Recovered};

const MAGIC: &[u8; 4] = b"SHJ1";
const VERSION: u32 = 1;
const MAX_ENTRY_BYTES: u32 = 65_536;
/// Entries after which the file is written anew, if most are of no use.
const REWRITE_AFTER_ENTRIES: usize = 4096;

/// Why a journal can't be used.
#[derive(Debug, thiserror::Error)]
pub enum JournalError {
    /// The file can't be read or written.
    #[error("{}: {source}", path.display())]
    Io {
        /// The file, or its folder.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not a journal, or a later version wrote it.
    #[error("{}: {source}", path.display())]
    Format {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: FormatError,
    },
}

impl JournalError {
    /// Adds the file to what went wrong there.
    fn io(path: &Path) -> impl Fn(std::io::Error) -> Self {
        let path = path.to_owned();
        move |source| Self::Io {
            path: path.clone(),
            source,
        }
    }
}

/// Why bytes are no journal that this version reads.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FormatError {
    /// There are not enough bytes for the head.
    #[error("shorter than its head")]
    NoHead,
    /// The head is not a journal's.
    #[error("not a journal")]
    NoJournal,
    /// Another version wrote it.
    #[error("version {0}; this program knows {v}", v = VERSION)]
    Version(u32),
    /// An entry, by its number, is whole and of no known kind.
    #[error("entry {0} is whole, but not one of version {v}", v = VERSION)]
    Entry(usize),
}

/// What was read of a journal.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Entries {
    /// What the entries that are whole come to.
    pub state: State,
    /// How many they are.
    pub count: usize,
    /// The bytes that they and the head take.
    pub bytes: usize,
}

/// What all entries together come to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// The highest fencing token.
    pub fencing_token: FencingToken,
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Ticks below this may have been used.
    pub sequence: u64,
    /// Attempts that were taken on and not forgotten.
    pub tasks: BTreeMap<Key, Known>,
    /// Attempts of an ended incarnation that are not known to be gone.
    pub dying: BTreeSet<Key>,
    /// Attempts that the present incarnation was told to forget.
    pub forgotten: ForgottenAttempts,
}

impl State {
    /// Takes in an entry.
    pub fn apply(&mut self, note: &Note) {
        match note {
            Note::FencingToken(fencing_token) => {
                self.fencing_token = self.fencing_token.max(*fencing_token);
            }
            Note::Incarnation(incarnation) if *incarnation > self.incarnation => {
                // An incarnation takes its tasks along.
                self.incarnation = *incarnation;
                self.forgotten.clear();
                let tasks = std::mem::take(&mut self.tasks);
                self.dying.extend(tasks.into_keys());
            }
            Note::Incarnation(_) => {}
            Note::Tick(sequence) => self.sequence = self.sequence.max(*sequence),
            Note::Took(key, units) => {
                let units = units.clone();
                let known = Known { units, ended: None };
                self.tasks.insert(key.clone(), known);
            }
            Note::Ended(key, why, kept) => {
                if let Some(known) = self.tasks.get_mut(key) {
                    let (why, kept) = (*why, *kept);
                    known.ended = Some(Ending { why, kept });
                }
            }
            Note::Forgot(key) => {
                self.tasks.remove(key);
                let of_earlier_incarnation = self.dying.remove(key);
                if !of_earlier_incarnation {
                    self.forgotten.insert(key);
                }
            }
        }
    }

    /// The fewest entries that come to this: what a journal that is written anew
    /// holds.
    pub fn notes(&self) -> Vec<Note> {
        let mut notes = vec![
            Note::FencingToken(self.fencing_token),
            Note::Tick(self.sequence),
        ];
        let dying = self.dying.iter().cloned();
        notes.extend(dying.map(|key| Note::Took(key, Vec::new())));
        // It ends the incarnation of those before it.
        notes.push(Note::Incarnation(self.incarnation));
        notes.extend(self.forgotten.iter().cloned().map(Note::Forgot));
        for (key, known) in &self.tasks {
            notes.push(Note::Took(key.clone(), known.units.clone()));
            if let Some(Ending { why, kept }) = known.ended {
                notes.push(Note::Ended(key.clone(), why, kept));
            }
        }
        notes
    }

    /// What a worker starts with.
    pub fn recovered(&self) -> Recovered {
        Recovered {
            fencing_token: self.fencing_token,
            incarnation: self.incarnation,
            sequence: self.sequence,
            tasks: self.tasks.clone(),
            dying: self.dying.clone(),
            forgotten: self.forgotten.clone(),
            ..Recovered::default()
        }
    }
}

/// Reads entries as far as they are whole.
///
/// # Errors
/// The bytes are no journal, or a later version wrote them.
pub fn read(bytes: &[u8]) -> Result<Entries, FormatError> {
    let Some((head, mut rest)) = bytes.split_at_checked(8) else {
        return Err(FormatError::NoHead);
    };
    let version = u32::from_le_bytes([head[4], head[5], head[6], head[7]]);
    if &head[..4] != MAGIC {
        return Err(FormatError::NoJournal);
    }
    if version != VERSION {
        return Err(FormatError::Version(version));
    }
    let mut state = State::default();
    let mut count = 0;
    while let Some((frame, after)) = rest.split_at_checked(8) {
        let length = u32::from_le_bytes([frame[0], frame[1], frame[2], frame[3]]);
        let sum = u32::from_le_bytes([frame[4], frame[5], frame[6], frame[7]]);
        if length > MAX_ENTRY_BYTES {
            break;
        }
        let Some((payload, after)) = after.split_at_checked(length as usize) else {
            break;
        };
        if crc32fast::hash(payload) != sum {
            break;
        }
        let Ok(note) = serde_json::from_slice::<Note>(payload) else {
            return Err(FormatError::Entry(count));
        };
        state.apply(&note);
        count += 1;
        rest = after;
    }
    Ok(Entries {
        state,
        count,
        bytes: bytes.len() - rest.len(),
    })
}

/// An entry as it stands in the file.
fn frame(note: &Note) -> Vec<u8> {
    // A note has string keys and finite numbers: it always serializes.
    let payload = serde_json::to_vec(note).unwrap_or_default();
    let mut out = Vec::with_capacity(payload.len() + 8);
    out.extend((payload.len() as u32).to_le_bytes());
    out.extend(crc32fast::hash(&payload).to_le_bytes());
    out.extend(payload);
    out
}

/// The open journal.
pub struct Journal {
    path: PathBuf,
    file: File,
    state: State,
    entries: usize,
}

impl Journal {
    /// Opens the journal in a folder, or begins one. What a write that was cut
    /// short left is taken off.
    ///
    /// # Errors
    /// The disk's, or the file is no journal of this version.
    pub fn open(folder: &Path) -> Result<Self, JournalError> {
        let path = folder.join("journal");
        let io = JournalError::io(&path);
        let mut bytes = Vec::new();
        if path.exists() {
            let mut file = File::open(&path).map_err(&io)?;
            file.read_to_end(&mut bytes).map_err(&io)?;
        }
        let found = match bytes.len() {
            // The machine stopped while the first bytes were written.
            0..8 => Entries::default(),
            _ => read(&bytes).map_err(|source| JournalError::Format {
                path: path.clone(),
                source,
            })?,
        };
        let mut file = OpenOptions::new()
            .create(true)
            .read(true)
            .append(true)
            .open(&path)
            .map_err(&io)?;
        file.set_len(found.bytes as u64).map_err(&io)?;
        if found.bytes == 0 {
            file.write_all(MAGIC).map_err(&io)?;
            file.write_all(&VERSION.to_le_bytes()).map_err(&io)?;
        }
        file.sync_all().map_err(&io)?;
        Ok(Self {
            path,
            file,
            state: found.state,
            entries: found.count,
        })
    }

    /// What it says.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Writes entries down. They are on disk when this returns.
    ///
    /// # Errors
    /// The disk's; then it is not certain what of them is kept.
    pub fn note(&mut self, notes: &[Note]) -> Result<(), JournalError> {
        let bytes: Vec<u8> = notes.iter().flat_map(frame).collect();
        let io = JournalError::io(&self.path);
        self.file.write_all(&bytes).map_err(&io)?;
        self.file.sync_data().map_err(&io)?;
        for note in notes {
            self.state.apply(note);
        }
        self.entries += notes.len();
        if self.entries >= REWRITE_AFTER_ENTRIES && self.entries > 4 * self.state.notes().len() {
            self.compact()?;
        }
        Ok(())
    }

    /// Writes the journal anew with what is still of use.
    fn compact(&mut self) -> Result<(), JournalError> {
        let beside = self.path.with_extension("new");
        let io = JournalError::io(&beside);
        let notes = self.state.notes();
        let mut file = File::create(&beside).map_err(&io)?;
        file.write_all(MAGIC).map_err(&io)?;
        file.write_all(&VERSION.to_le_bytes()).map_err(&io)?;
        for note in &notes {
            file.write_all(&frame(note)).map_err(&io)?;
        }
        file.sync_all().map_err(&io)?;
        std::fs::rename(&beside, &self.path).map_err(&io)?;
        if let Some(folder) = self.path.parent() {
            let synced = File::open(folder).and_then(|f| f.sync_all());
            synced.map_err(JournalError::io(folder))?;
        }
        self.file = OpenOptions::new()
            .read(true)
            .append(true)
            .open(&self.path)
            .map_err(JournalError::io(&self.path))?;
        self.entries = notes.len();
        Ok(())
    }
}
