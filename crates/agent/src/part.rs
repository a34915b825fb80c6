//! An image's archive in chunks, beside the cache: kept while it comes, also
//! over a cut or a restart, and handed on as far as it is checked.
//!
//! | file in `hand_on/SUM/` | content |
//! | --- | --- |
//! | `about` | [`About`], version 1 |
//! | `checksums` | the file of sums, as it came |
//! | `archive` | the archive; until it is whole, holes where chunks miss |
//! | `complete` | there once the archive's own sum was found right |
//!
//! Which chunks are there is written nowhere: after a restart each is read and
//! summed again, so that a crash that lost bytes can't leave one that is said
//! to be there and is not.

use std::cell::{Cell, RefCell};
use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::attempt::write_whole;
use crate::checksums::Checksums;
use crate::images::Image;

/// Which image it is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct About {
    version: u32,
    /// The image.
    pub image: Image,
    /// Whether the sums come from whom they may come: the origin, or known by
    /// the sum that the job's description names. Others only say what to fetch;
    /// nothing is handed on by them.
    trusted: bool,
}

/// An image's sums, as they came.
#[derive(Clone, Debug)]
pub struct KnownChecksums {
    /// The file of sums.
    pub text: Bytes,
    /// What it says.
    pub checksums: Checksums,
    /// Whether they come from whom they may come, see [`About`].
    pub trusted: bool,
}

/// An image's archive, whole or in part.
#[derive(Debug)]
pub struct Part {
    folder: PathBuf,
    about: About,
    trusted: Cell<bool>,
    text: Bytes,
    checksums: Arc<Checksums>,
    have: RefCell<Vec<bool>>,
    complete: Cell<bool>,
    /// Whether it is known which chunks are there.
    checked: Cell<bool>,
}

/// The folder of an image's part.
pub fn folder_of(root: &Path, sha256: &str) -> PathBuf {
    root.join(sha256)
}

/// Removes what is there of an image. It is no error if nothing is.
///
/// # Errors
/// The disk's.
pub fn remove(root: &Path, sha256: &str) -> Result<()> {
    match std::fs::remove_dir_all(folder_of(root, sha256)) {
        Err(e) if e.kind() != ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

impl Part {
    /// Begins a part: nothing of it is there yet.
    ///
    /// # Errors
    /// The disk's.
    pub fn begin(root: &Path, image: &Image, known: KnownChecksums) -> Result<Self> {
        remove(root, &image.sha256)?;
        let folder = folder_of(root, &image.sha256);
        std::fs::create_dir_all(&folder)?;
        File::create(folder.join("archive"))?.set_len(known.checksums.bytes)?;
        let have = vec![false; known.checksums.chunks()];
        let part = Self::new(folder, image, known, have);
        part.write_about()?;
        Ok(part)
    }

    /// A part of which these chunks are there.
    fn new(folder: PathBuf, image: &Image, known: KnownChecksums, have: Vec<bool>) -> Self {
        let KnownChecksums {
            text,
            checksums,
            trusted,
        } = known;
        let about = About {
            version: 1,
            image: image.clone(),
            trusted,
        };
        Self {
            folder,
            about,
            trusted: Cell::new(trusted),
            text,
            checksums: Arc::new(checksums),
            have: RefCell::new(have),
            complete: Cell::new(false),
            checked: Cell::new(true),
        }
    }

    /// Writes down which image it is, and the file of sums.
    fn write_about(&self) -> Result<()> {
        write_whole(&self.folder.join("sums"), &self.text)?;
        // Last: without it the folder is nothing.
        let about = About {
            trusted: self.trusted.get(),
            ..self.about.clone()
        };
        write_whole(&self.folder.join("about"), &serde_json::to_vec(&about)?)
    }

    /// What an earlier run left of an image, its chunks not checked yet
    /// unless it was whole.
    ///
    /// # Errors
    /// Something is missing or malformed; then it is of no use.
    pub fn found(root: &Path, sha256: &str) -> Result<Self> {
        let folder = folder_of(root, sha256);
        let about: About = serde_json::from_slice(&std::fs::read(folder.join("about"))?)?;
        let text = Bytes::from(std::fs::read(folder.join("sums"))?);
        let checksums = Checksums::read(&text).map_err(Error::other)?;
        let length = std::fs::metadata(folder.join("archive"))?.len();
        if about.version != 1 || about.image.sha256 != sha256 || length != checksums.bytes {
            return Err(Error::other("it does not go together"));
        }
        let complete = folder.join("whole").exists();
        let have = vec![complete; checksums.chunks()];
        let trusted = about.trusted;
        let known = KnownChecksums {
            text,
            checksums,
            trusted,
        };
        let part = Self::new(folder, &about.image, known, have);
        part.complete.set(complete);
        part.checked.set(complete);
        Ok(part)
    }

    /// An archive that was fetched in one piece and found right: its sums are
    /// its own.
    ///
    /// # Errors
    /// The disk's.
    pub fn of_whole(root: &Path, image: &Image, checksums: Checksums) -> Result<Self> {
        let have = vec![true; checksums.chunks()];
        let known = KnownChecksums {
            text: Bytes::from(checksums.text()),
            checksums,
            trusted: false,
        };
        let part = Self::new(folder_of(root, &image.sha256), image, known, have);
        part.write_about()?;
        part.set_whole()?;
        Ok(part)
    }

    /// Where its archive is.
    pub fn archive(&self) -> PathBuf {
        self.folder.join("archive")
    }
    /// Which image it is.
    pub fn about(&self) -> &About {
        &self.about
    }
    /// Its sums.
    pub fn checksums(&self) -> &Arc<Checksums> {
        &self.checksums
    }
    /// The file of sums.
    pub fn text(&self) -> Bytes {
        self.text.clone()
    }
    /// The archive's own sum was found right: it is what the job names. The
    /// sums have proven themselves with it.
    pub fn is_complete(&self) -> bool {
        self.complete.get()
    }
    /// Writes down that the archive's own sum was found right; the archive is
    /// on the disk.
    ///
    /// # Errors
    /// The disk's.
    pub fn set_whole(&self) -> Result<()> {
        write_whole(&self.folder.join("whole"), b"")?;
        self.complete.set(true);
        Ok(())
    }
    /// Whether its sums, and the chunks that they prove, may be handed on.
    pub fn serves_images(&self) -> bool {
        self.trusted.get() || self.complete.get()
    }
    /// The sums were found to be the origin's.
    ///
    /// # Errors
    /// The disk's; then they are not trusted.
    pub fn trust(&self) -> Result<()> {
        self.trusted.set(true);
        let written = self.write_about();
        self.trusted.set(written.is_ok());
        written
    }
    /// Whether a chunk is there and checked.
    pub fn has(&self, chunk: usize) -> bool {
        self.have.borrow().get(chunk).copied().unwrap_or(false)
    }
    /// How many chunks are there and checked.
    pub fn count(&self) -> usize {
        self.have.borrow().iter().filter(|have| **have).count()
    }
    /// The first chunk that misses and that `skip` doesn't name.
    pub fn missing(&self, skip: impl Fn(usize) -> bool) -> Option<usize> {
        let have = self.have.borrow();
        (0..have.len()).find(|chunk| !have[*chunk] && !skip(*chunk))
    }
    /// A chunk was written, after it was found right.
    pub fn got(&self, chunk: usize) {
        if let Some(have) = self.have.borrow_mut().get_mut(chunk) {
            *have = true;
        }
    }

    /// Which chunks of an archive are right: the work behind [`Self::resume`].
    ///
    /// # Errors
    /// The disk's.
    pub fn check(archive: &Path, checksums: &Checksums) -> Result<Vec<bool>> {
        let file = File::open(archive)?;
        let look = |chunk| {
            let span = checksums.span(chunk);
            let mut bytes = vec![0; (span.end - span.start) as usize];
            file.read_exact_at(&mut bytes, span.start)?;
            Ok(checksums.right(chunk, &bytes))
        };
        (0..checksums.chunks()).map(look).collect()
    }
    /// Whether it is known which chunks are there.
    pub fn is_checked(&self) -> bool {
        self.checked.get()
    }
    /// Goes on with the chunks that were found right.
    pub fn resume(&self, have: Vec<bool>) {
        self.checked.set(true);
        if have.len() == self.checksums.chunks() {
            *self.have.borrow_mut() = have;
        }
    }
}

/// Checks a chunk and writes it in its place; whether it was right. A wrong one
/// is not written.
///
/// # Errors
/// The disk's: it is full, or fails.
pub fn check_and_write(
    archive: &Path,
    checksums: &Checksums,
    chunk: usize,
    bytes: &[u8],
) -> Result<bool> {
    if !checksums.right(chunk, bytes) {
        return Ok(false);
    }
    let file = OpenOptions::new().write(true).open(archive)?;
    file.write_all_at(bytes, checksums.span(chunk).start)?;
    Ok(true)
}
