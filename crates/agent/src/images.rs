//! Images: fetched once for all tasks that need one, checked against their sum
//! while they are read, unpacked beside the cache and then moved into it whole,
//! and removed least recently used first. What to do is decided by [`Cache`],
//! without I/O; [`unpack`] is the work.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::path::Path;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::checksums;
use crate::core::Key;

/// The image that a job's tasks need: a tar archive, by its name where archives
/// are, and by the sum of its bytes, which is what it is known by here.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, JsonSchema, Validate,
)]
#[serde(deny_unknown_fields)]
pub struct Image {
    /// Its name: letters, digits, `-`, `_` and `.`, not beginning with a dot.
    #[garde(length(bytes, min = 1, max = 200), custom(plain_name))]
    pub name: String,
    /// SHA-256 of the archive, 64 hexadecimal digits.
    #[garde(length(bytes, min = 64, max = 64), custom(hexadecimal))]
    pub sha256: String,
    /// SHA-256 of the file of sums that the origin has beside the archive: with
    /// it the sums may come from any other agent. Optional.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[garde(inner(length(bytes, min = 64, max = 64), custom(hexadecimal)))]
    // By its name on the wire, which the texts of refusals quote.
    pub sums_sha256: Option<String>,
}

/// A name that can be part of a path.
fn plain_name(name: &str, _: &()) -> garde::Result {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    if name.bytes().all(plain) && !name.starts_with('.') {
        Ok(())
    } else {
        Err(garde::Error::new("not a plain name"))
    }
}

fn hexadecimal(sum: &str, _: &()) -> garde::Result {
    if sum.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f')) {
        Ok(())
    } else {
        Err(garde::Error::new("not lower-case hexadecimal digits"))
    }
}

#[derive(Clone, Debug, Default)]
struct Entry {
    /// There, and how many bytes it takes; else on its way.
    bytes: Option<u64>,
    /// On its way, and how many bytes it will take, once that is known.
    coming: u64,
    /// Tasks that wait for it, or run on it.
    users: BTreeSet<Key>,
    used: u64,
}

/// What is to be done for a task that needs an image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// It is there.
    Ready,
    /// It is on its way.
    Wait,
    /// Fetch it.
    Fetch,
}

/// A part of an image that nobody waits for.
#[derive(Clone, Copy, Debug)]
struct LeftPart {
    /// When it was left, by the cache's own count.
    left: u64,
    bytes: u64,
}

/// An image that is there and that nobody uses: the least recently used is first.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Idle {
    used: u64,
    sha256: String,
    bytes: u64,
}

/// An image that is there whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CachedImage {
    /// SHA-256 of its archive.
    pub sha256: String,
    /// The archive's bytes.
    pub bytes: u64,
}

/// The images of a machine.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    entries: BTreeMap<String, Entry>,
    /// Parts of images that nobody waits for.
    left: BTreeMap<String, LeftPart>,
    max_bytes: u64,
    clock: u64,
}

impl Cache {
    /// A cache of so many bytes, with the images that are there already.
    pub fn new(max_bytes: u64, there: impl IntoIterator<Item = CachedImage>) -> Self {
        let mut cache = Self {
            max_bytes,
            ..Self::default()
        };
        for CachedImage { sha256, bytes } in there {
            let entry = Entry {
                bytes: Some(bytes),
                ..Entry::default()
            };
            cache.entries.insert(sha256, entry);
        }
        cache
    }

    /// A part of an image is there that nobody waits for.
    pub fn leave(&mut self, sum: &str, bytes: u64) {
        self.clock += 1;
        let left = self.clock;
        self.left.insert(sum.to_owned(), LeftPart { left, bytes });
    }

    /// An image on its way will take so many bytes.
    pub fn comes(&mut self, sum: &str, bytes: u64) {
        if let Some(entry) = self.entries.get_mut(sum) {
            entry.coming = bytes;
        }
    }

    /// A task needs an image.
    pub fn want(&mut self, sum: &str, key: &Key) -> Step {
        self.clock += 1;
        let new = !self.entries.contains_key(sum);
        let entry = self.entries.entry(sum.to_owned()).or_default();
        if let Some(part) = self.left.remove(sum) {
            entry.coming = part.bytes;
        }
        entry.users.insert(key.clone());
        entry.used = self.clock;
        match entry.bytes {
            Some(_) => Step::Ready,
            None if new => Step::Fetch,
            None => Step::Wait,
        }
    }

    /// A task needs its image no more. The sum of an image that nobody waits
    /// for now, and whose fetch is to be given up.
    pub fn release(&mut self, key: &Key) -> Option<String> {
        let mut given_up = None;
        self.entries.retain(|sum, entry| {
            let of_it = entry.users.remove(key);
            let over = of_it && entry.bytes.is_none() && entry.users.is_empty();
            if over {
                given_up = Some(sum.clone());
            }
            !over
        });
        given_up
    }

    /// A fetch came to its end: who waited for it. A failed one is forgotten,
    /// so that the next task tries again.
    pub fn fetched(&mut self, sum: &str, bytes: Option<u64>) -> Vec<Key> {
        let Some(entry) = self.entries.get_mut(sum) else {
            return Vec::new();
        };
        let waiting = entry.users.iter().cloned().collect();
        entry.bytes = bytes;
        if bytes.is_none() {
            self.entries.remove(sum);
        }
        waiting
    }

    /// Images to remove so that the cache keeps its bound: parts that nobody
    /// waits for, then the least recently used of those that nobody uses. One
    /// on its way has its disk space already.
    pub fn evict(&mut self) -> Vec<String> {
        let of = |e: &Entry| e.bytes.unwrap_or(e.coming);
        let mut total: u64 = self.entries.values().map(of).sum();
        total += self.left.values().map(|part| part.bytes).sum::<u64>();
        let mut idle: Vec<Idle> = self
            .entries
            .iter()
            .filter(|(_, e)| e.users.is_empty())
            .filter_map(|(sum, e)| {
                Some(Idle {
                    used: e.used,
                    sha256: sum.clone(),
                    bytes: e.bytes?,
                })
            })
            .collect();
        idle.sort();
        let mut out = Vec::new();
        while total > self.max_bytes {
            let oldest = self.left.iter().min_by_key(|(_, part)| part.left);
            let Some(sum) = oldest.map(|(sum, _)| sum.clone()) else {
                break;
            };
            total -= self.left.remove(&sum).map_or(0, |part| part.bytes);
            out.push(sum);
        }
        for Idle { sha256, bytes, .. } in idle {
            if total <= self.max_bytes {
                break;
            }
            total -= bytes;
            self.entries.remove(&sha256);
            out.push(sha256);
        }
        out
    }
}

/// Reads and counts what passes, and sums it up.
struct Summing<R> {
    from: R,
    sum: Sha256,
    left: u64,
}

impl<R: Read> Read for Summing<R> {
    fn read(&mut self, buffer: &mut [u8]) -> std::io::Result<usize> {
        let length = self.from.read(buffer)?;
        self.sum.update(&buffer[..length]);
        self.left = self
            .left
            .checked_sub(length as u64)
            .ok_or_else(|| std::io::Error::other("larger than the cache"))?;
        Ok(length)
    }
}

/// Unpacks an archive beside the cache, and moves it in if its sum is right:
/// `root/SUM` is there whole or not at all. How many bytes it has.
///
/// # Errors
/// What is wrong with the archive, or the disk; then nothing is left of it.
pub fn unpack(from: impl Read, image: &Image, root: &Path, max_bytes: u64) -> std::io::Result<u64> {
    let beside = root.join(format!(".{}.new", image.sha256));
    remove_folder(&beside)?;
    std::fs::create_dir_all(&beside)?;
    let unpacked = unpack_beside(from, image, &beside, max_bytes).and_then(|bytes| {
        std::fs::rename(&beside, root.join(&image.sha256))?;
        File::open(root)?.sync_all()?;
        Ok(bytes)
    });
    if unpacked.is_err() {
        remove_folder(&beside)?;
    }
    unpacked
}

/// Removes a folder. It is no error if there is none.
fn remove_folder(folder: &Path) -> std::io::Result<()> {
    match std::fs::remove_dir_all(folder) {
        Err(error) if error.kind() != std::io::ErrorKind::NotFound => Err(error),
        _ => Ok(()),
    }
}

/// Unpacks an archive into a folder, on the disk when this returns, if its sum is
/// right.
fn unpack_beside(
    from: impl Read,
    image: &Image,
    beside: &Path,
    max_bytes: u64,
) -> std::io::Result<u64> {
    let mut reader = Summing {
        from,
        sum: Sha256::new(),
        left: max_bytes,
    };
    // No path of the archive leads out of the folder.
    tar::Archive::new(&mut reader).unpack(beside)?;
    // The sum is of all bytes, also those behind the archive's end.
    std::io::copy(&mut reader, &mut std::io::sink())?;
    let bytes = max_bytes - reader.left;
    let sum = checksums::hexadecimal(reader.sum.finalize().as_slice());
    if sum != image.sha256 {
        return Err(std::io::Error::other(format!("its sum is {sum}")));
    }
    std::fs::write(beside.join(SIZE_FILE), bytes.to_string())?;
    sync(beside)?;
    Ok(bytes)
}

/// The file in an image's folder that tells its size.
const SIZE_FILE: &str = ".sorrelhinge-bytes";

/// How many bytes an image's archive has, if it is there whole.
pub fn size(root: &Path, sha256: &str) -> Option<u64> {
    let size = std::fs::read_to_string(root.join(sha256).join(SIZE_FILE));
    size.ok()?.parse().ok()
}

/// Has all files of a folder on the disk when it returns.
fn sync(folder: &Path) -> std::io::Result<()> {
    for entry in std::fs::read_dir(folder)? {
        let entry = entry?;
        let kind = entry.file_type()?;
        if kind.is_dir() {
            sync(&entry.path())?;
        } else if kind.is_file() {
            File::open(entry.path())?.sync_all()?;
        }
    }
    File::open(folder)?.sync_all()
}

/// The images that are there whole; what an earlier run left half done is
/// removed.
///
/// # Errors
/// The disk's.
pub fn there(root: &Path) -> std::io::Result<Vec<CachedImage>> {
    std::fs::create_dir_all(root)?;
    let mut out = Vec::new();
    for entry in std::fs::read_dir(root)? {
        let entry = entry?;
        let name = entry.file_name().to_string_lossy().into_owned();
        match size(root, &name) {
            Some(bytes) if !name.starts_with('.') => out.push(CachedImage {
                sha256: name,
                bytes,
            }),
            _ if entry.file_type()?.is_dir() => std::fs::remove_dir_all(entry.path())?,
            _ => std::fs::remove_file(entry.path())?,
        }
    }
    Ok(out)
}
