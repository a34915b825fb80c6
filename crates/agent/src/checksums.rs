//! The sums of an image's chunks: what lets an agent use and hand on a part of
//! an image before the whole is there. JSON, version 1:
//!
//! ```json
//! {"version":1,"sha256":"9f86...","bytes":20000000,"chunk":8388608,"sums":["60303a...","fd61...","a3b5..."]}
//! ```
//!
//! `sha256` and `bytes` are the whole archive's; `checksums` has the SHA-256 of each
//! chunk of `chunk` bytes, of which the last may be shorter. It is passed on
//! byte by byte as it came, so that it may itself be known by its sum.

use std::io::Read;
use std::ops::{Range, RangeInclusive};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Bytes of a chunk where nothing else is said.
pub const DEFAULT_CHUNK_BYTES: u64 = 8 << 20;
/// Bytes that a chunk has at the least and at the most: one is in memory while
/// it is checked.
const ALLOWED_CHUNK_BYTES: RangeInclusive<u64> = 4 << 10..=64 << 20;
/// Bytes of a file of sums, at the most: a terabyte in chunks of 8 MiB.
pub const MAX_FILE_BYTES: usize = 9 << 20;
/// The version that this one reads and writes.
const VERSION: u32 = 1;

/// Why a file of sums can't be used.
#[derive(Debug, thiserror::Error)]
pub enum ChecksumsError {
    /// It is not JSON, or not of the format.
    #[error("sums: {0}")]
    Malformed(#[source] serde_json::Error),
    /// Another version wrote it.
    #[error("sums: version {}, not {}", .0, VERSION)]
    Version(u32),
    /// Chunks of so many bytes are not handled.
    #[error("sums: chunks of {0} bytes")]
    Chunk(u64),
    /// The number of sums, of bytes and of a chunk's bytes don't go together.
    #[error("sums: {checksums} of them for {bytes} bytes in chunks of {chunk}")]
    Count {
        /// How many sums there are.
        checksums: usize,
        /// The archive's bytes.
        bytes: u64,
        /// A chunk's bytes.
        chunk: u64,
    },
}

/// SHA-256, as hexadecimal digits.
pub fn sha256(bytes: &[u8]) -> String {
    hexadecimal(Sha256::digest(bytes).as_slice())
}

/// A sum as lower-case hexadecimal digits.
pub(crate) fn hexadecimal(sum: &[u8]) -> String {
    sum.iter().map(|b| format!("{b:02x}")).collect()
}

/// The sums of an image.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checksums {
    version: u32,
    /// SHA-256 of the whole archive.
    pub sha256: String,
    /// Bytes of the whole archive.
    pub bytes: u64,
    chunk: u64,
    #[serde(rename = "sums")]
    checksums: Vec<String>,
}

impl Checksums {
    /// Reads a file of sums. Unknown fields are ignored.
    ///
    /// # Errors
    /// What is wrong with it: malformed, of a later version, or its numbers
    /// don't go together.
    pub fn read(text: &[u8]) -> Result<Self, ChecksumsError> {
        let checksums: Self = serde_json::from_slice(text).map_err(ChecksumsError::Malformed)?;
        if checksums.version != VERSION {
            return Err(ChecksumsError::Version(checksums.version));
        }
        if !ALLOWED_CHUNK_BYTES.contains(&checksums.chunk) {
            return Err(ChecksumsError::Chunk(checksums.chunk));
        }
        if checksums.bytes == 0
            || checksums.bytes.div_ceil(checksums.chunk) != checksums.checksums.len() as u64
        {
            return Err(ChecksumsError::Count {
                checksums: checksums.checksums.len(),
                bytes: checksums.bytes,
                chunk: checksums.chunk,
            });
        }
        Ok(checksums)
    }

    /// Sums up an archive.
    ///
    /// # Errors
    /// The archive can't be read, is empty, or `chunk` (bytes) is out of bounds.
    pub fn of(mut archive: impl Read, chunk: u64) -> std::io::Result<Self> {
        let other = |why: String| Err(std::io::Error::other(why));
        if !ALLOWED_CHUNK_BYTES.contains(&chunk) {
            return other(format!("chunks of {chunk} bytes"));
        }
        let mut whole = Sha256::new();
        let (mut checksums, mut bytes, mut buffer) = (Vec::new(), 0, Vec::new());
        loop {
            buffer.clear();
            archive.by_ref().take(chunk).read_to_end(&mut buffer)?;
            if buffer.is_empty() {
                break;
            }
            whole.update(&buffer);
            bytes += buffer.len() as u64;
            checksums.push(sha256(&buffer));
        }
        if bytes == 0 {
            return other("an empty archive".into());
        }
        Ok(Self {
            version: VERSION,
            sha256: hexadecimal(whole.finalize().as_slice()),
            bytes,
            chunk,
            checksums,
        })
    }

    /// The file's text.
    pub fn text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// How many chunks there are.
    pub fn chunks(&self) -> usize {
        self.checksums.len()
    }

    /// The bytes that a chunk has of the archive.
    pub fn span(&self, chunk: usize) -> Range<u64> {
        let from = chunk as u64 * self.chunk;
        from..(from + self.chunk).min(self.bytes)
    }

    /// The chunks that bytes from `from` to before `to` are in; `to` is not
    /// beyond the end.
    pub fn within(&self, from: u64, to: u64) -> Range<usize> {
        (from / self.chunk) as usize..to.div_ceil(self.chunk) as usize
    }

    /// Whether these are the chunk's bytes.
    pub fn right(&self, chunk: usize, bytes: &[u8]) -> bool {
        self.checksums
            .get(chunk)
            .is_some_and(|sum| *sum == sha256(bytes))
    }
}
