//! An image from several sources: its sums, then chunk by chunk from other
//! agents and the origin, as [`Sources`] says, each checked before it is used
//! or handed on, and at last the whole against the sum that the job names.

mod find;
mod http;
mod lanes;

use std::cell::RefCell;
use std::fs::File;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use tokio::task::{spawn_blocking, JoinError, JoinSet};
use tokio::time::sleep;

use crate::checksums::{self, Checksums, ChecksumsError};
use crate::clock;
use crate::describe::Source;
use crate::download::{self, FetchError};
use crate::images::{self, Image};
use crate::part::{self, Part};
use crate::peer_transfer::ImageServer;
use crate::sources::{GiveUpReason, Outcome, Sources, Whom};

use find::Found;
use lanes::Lanes;

/// How often all is begun anew after sums that an agent gave proved wrong.
const MAX_RESTARTS: usize = 4;
/// How often the origin is asked for an image in one piece.
const MAX_WHOLE_TRIES: u32 = 5;
/// How often the origin is asked to confirm sums at the least, in seconds.
const MAX_CONFIRM_S: f64 = 30.0;

/// Why a fetch failed, and whether what has come of it may be of use.
#[derive(Debug, thiserror::Error)]
#[error("{why}")]
pub struct Failed {
    /// What is wrong.
    #[source]
    pub why: FetchFailure,
    /// The chunks that are there are right, and stay for the next try.
    pub keep: bool,
}

/// What is wrong with a fetch.
#[derive(Debug, thiserror::Error)]
pub enum FetchFailure {
    /// The image has more bytes than there is disk space for.
    #[error("larger than the cache: {bytes} bytes of {max}")]
    TooLarge {
        /// The archive's bytes.
        bytes: u64,
        /// Room for images, bytes.
        max: u64,
    },
    /// A part can't be read or written.
    #[error("the disk: {0}")]
    Disk(#[source] std::io::Error),
    /// The archive can't be unpacked or kept, or is another one.
    #[error(transparent)]
    Unpack(std::io::Error),
    /// A step of it was cancelled, or panicked.
    #[error(transparent)]
    Step(#[from] JoinError),
    /// The sums can't be used.
    #[error(transparent)]
    Checksums(#[from] ChecksumsError),
    /// The sums are of another image.
    #[error("another image of this name: its sum is {sha256}")]
    OtherImage {
        /// SHA-256 of that image's archive.
        sha256: String,
    },
    /// The sums that an agent gave are not the origin's.
    #[error("the origin has other sums of it")]
    OtherChecksums,
    /// The origin did not give the archive.
    #[error(transparent)]
    Origin(#[from] FetchError),
    /// Nobody is left who could give a chunk.
    #[error("{why}; last: {last}")]
    GivenUp {
        /// Why nobody is.
        why: GiveUpReason,
        /// The last request that gave nothing.
        last: String,
    },
}

/// A part that is there or has just begun.
struct Begun {
    part: Rc<Part>,
    /// The agent whose word its sums are; none if they are trusted.
    giver: Option<SocketAddr>,
}

/// Why a part was not completed.
enum CompleteError {
    /// The fetch has failed.
    Final(Failed),
    /// The sums may be wrong: they were an agent's word only.
    ChecksumsInDoubt(FetchFailure),
}

/// A failure after which the chunks that have come are of use.
fn keep(why: impl Into<FetchFailure>) -> Failed {
    Failed {
        why: why.into(),
        keep: true,
    }
}

/// A failure after which nothing that has come is of use.
fn lost(why: impl Into<FetchFailure>) -> Failed {
    Failed {
        why: why.into(),
        keep: false,
    }
}

/// A failure of the disk that a part is on.
fn disk(error: std::io::Error) -> Failed {
    lost(FetchFailure::Disk(error))
}

/// One image's fetch.
pub struct Fetch {
    /// The image.
    pub image: Image,
    /// Where it comes from in the end.
    pub origin: Source,
    /// The agents of the starts that need it.
    pub sources: Rc<RefCell<Sources>>,
    /// What is handed on.
    pub image_server: Rc<ImageServer>,
    /// The folder of images.
    pub images: PathBuf,
    /// The folder of parts.
    pub parts: PathBuf,
    /// Room for images, bytes.
    pub max: u64,
    /// One image is unpacked at a time: a fetch that was given up and begun
    /// anew must not unpack into the folder that the first still writes to.
    pub unpacking: Arc<Mutex<()>>,
    /// Told how large the image is, before anything of it is written.
    pub free_capacity: Box<dyn Fn(u64)>,
}

impl Fetch {
    /// Has the image there, whole; how many bytes its archive has.
    ///
    /// # Errors
    /// It can't be had: why, for the log.
    pub async fn run(self) -> Result<u64, Failed> {
        let fetch = Rc::new(self);
        let mut liars = Vec::new();
        for _ in 0..MAX_RESTARTS {
            let Some(Begun { part, giver }) = fetch.part().await? else {
                return fetch.in_one_piece().await;
            };
            let why = match fetch.complete(&part).await {
                Ok(bytes) => return Ok(bytes),
                Err(CompleteError::Final(failed)) => return Err(failed),
                Err(CompleteError::ChecksumsInDoubt(why)) => why.to_string(),
            };
            // The sums were an agent's word, which proves nothing: it may be
            // wrong, and those who gave other bytes than it says right.
            tracing::error!(image = fetch.image.name, source = ?giver, why, "image checksum mismatch");
            liars.extend(giver);
            fetch.restart_without(&liars);
        }
        fetch.in_one_piece().await
    }

    /// Fetches what misses of a part and unpacks it.
    async fn complete(self: &Rc<Self>, part: &Rc<Part>) -> Result<u64, CompleteError> {
        if !part.is_complete() {
            self.chunks(part).await.map_err(|failed| {
                if part.serves_images() || !failed.keep {
                    CompleteError::Final(failed)
                } else {
                    CompleteError::ChecksumsInDoubt(failed.why)
                }
            })?;
        }
        let unpacked = self.unpack(part.archive()).await;
        let bytes = unpacked.map_err(|error| {
            let full = error.kind() == ErrorKind::StorageFull;
            let why = FetchFailure::Unpack(error);
            if full || part.serves_images() {
                CompleteError::Final(lost(why))
            } else {
                CompleteError::ChecksumsInDoubt(why)
            }
        })?;
        let set = part.set_whole();
        set.map_err(|error| CompleteError::Final(lost(FetchFailure::Unpack(error))))?;
        Ok(bytes)
    }

    /// Forgets the part, and begins anew with all agents but those whose sums
    /// proved wrong.
    fn restart_without(&self, liars: &[SocketAddr]) {
        self.image_server.drop_part(&self.image.sha256);
        let all = self.sources.borrow().all_agents();
        let mut anew = self.anew(all);
        for liar in liars {
            anew.came(Whom::Agent(*liar), Outcome::Wrong, 0.0, clock::now());
        }
        *self.sources.borrow_mut() = anew;
    }

    /// Sources of which none has been asked yet.
    fn anew(&self, agents: impl IntoIterator<Item = SocketAddr>) -> Sources {
        let wait = self.image_server.settings().origin_after_s;
        Sources::new(agents, wait, jitter(), clock::now())
    }

    /// What there is of the image, or a part that has just begun; none if
    /// nobody has sums of it.
    async fn part(&self) -> Result<Option<Begun>, Failed> {
        let sha256 = &self.image.sha256;
        let there = self.image_server.part(sha256);
        if let Some(part) = there.clone().filter(|p| p.serves_images()) {
            (self.free_capacity)(part.checksums().bytes);
            self.check(&part).await?;
            return Ok(Some(Begun { part, giver: None }));
        }
        let Some(found) = self.find_checksums().await? else {
            return Ok(None);
        };
        let Found { known, giver } = found;
        let bytes = known.checksums.bytes;
        if bytes > self.max {
            let max = self.max;
            return Err(lost(FetchFailure::TooLarge { bytes, max }));
        }
        (self.free_capacity)(bytes);
        if let Some(part) = there.filter(|p| p.text() == known.text && !known.trusted) {
            self.check(&part).await?;
            return Ok(Some(Begun { part, giver }));
        }
        let part = Part::begin(&self.parts, &self.image, known);
        let part = Rc::new(part.map_err(disk)?);
        self.image_server.keep(part.clone());
        Ok(Some(Begun { part, giver }))
    }

    /// Goes on with the chunks that an earlier run left.
    async fn check(&self, part: &Rc<Part>) -> Result<(), Failed> {
        if part.is_complete() || part.is_checked() {
            return Ok(());
        }
        let (archive, checksums) = (part.archive(), part.checksums().clone());
        let checked = spawn_blocking(move || Part::check(&archive, &checksums)).await;
        let have = checked.map_err(lost)?;
        part.resume(have.map_err(disk)?);
        tracing::info!(
            image = self.image.name,
            chunks = part.count(),
            of = part.checksums().chunks(),
            "image fetch resumed"
        );
        Ok(())
    }

    /// All chunks that miss.
    async fn chunks(self: &Rc<Self>, part: &Rc<Part>) -> Result<(), Failed> {
        {
            // The wait for sums was none for chunks.
            let agents = self.agents();
            *self.sources.borrow_mut() = self.anew(agents);
        }
        let _coming = self
            .image_server
            .comes(&self.image.sha256, &self.image.name);
        let lanes = Rc::new(Lanes {
            fetch: self.clone(),
            part: part.clone(),
            flying: RefCell::default(),
            lines: RefCell::default(),
            last: RefCell::default(),
        });
        // With this dropped, they all end.
        let mut all = JoinSet::new();
        for _ in 0..self.image_server.settings().downloads {
            let lanes = lanes.clone();
            all.spawn_local(async move { lanes.lane().await });
        }
        let ended = async {
            while let Some(ended) = all.join_next().await {
                ended.map_err(lost)??;
            }
            Ok(())
        };
        tokio::select! {
            ended = ended => ended,
            other = self.confirm(part) => Err(other),
        }
    }

    /// Asks the origin for the sums that an agent gave while it was busy or
    /// silent: without its word nothing is handed on before the whole is there,
    /// and a chain of agents would wait for each other one by one. Ends only if
    /// the origin has others.
    async fn confirm(&self, part: &Part) -> Failed {
        let mut wait = 1.0;
        while !part.serves_images() {
            match self.ask_origin_for_checksums().await {
                Ok(text) if text == part.text() => {
                    if let Err(error) = part.trust() {
                        tracing::error!(image = self.image.name, %error, "image not served to other agents");
                    }
                }
                Ok(text) => match self.found(text, true, None) {
                    Ok(_) => return keep(FetchFailure::OtherChecksums),
                    // Of another image of this name: the whole will tell.
                    Err(_) => break,
                },
                Err(Outcome::Nothing | Outcome::Wrong) => break,
                Err(_) => {
                    sleep(Duration::from_secs_f64(wait * (0.5 + jitter()))).await;
                    wait = (wait * 2.0).min(MAX_CONFIRM_S);
                }
            }
        }
        std::future::pending().await
    }

    /// The image from the origin at once, where nobody has sums of it. It is
    /// handed on once it is unpacked: only then is it known to be right.
    async fn in_one_piece(&self) -> Result<u64, Failed> {
        let _coming = self
            .image_server
            .comes(&self.image.sha256, &self.image.name);
        let sha256 = &self.image.sha256;
        let folder = part::folder_of(&self.parts, sha256);
        part::remove(&self.parts, sha256).map_err(disk)?;
        std::fs::create_dir_all(&folder).map_err(disk)?;
        let archive = folder.join("archive");
        self.download(&archive).await?;
        let bytes = self.unpack(archive.clone()).await;
        let bytes = bytes.map_err(|e| lost(FetchFailure::Unpack(e)))?;
        let summed = spawn_blocking(move || {
            Checksums::of(File::open(archive)?, checksums::DEFAULT_CHUNK_BYTES)
        })
        .await;
        let checksums = summed.map_err(lost)?;
        let part =
            checksums.and_then(|checksums| Part::of_whole(&self.parts, &self.image, checksums));
        match part {
            Ok(part) => self.image_server.keep(Rc::new(part)),
            // It is there, and is only not handed on.
            Err(error) => {
                tracing::error!(image = self.image.name, %error, "image not served to other agents");
            }
        }
        Ok(bytes)
    }

    /// The archive from the origin, which is asked again while it is busy.
    async fn download(&self, archive: &Path) -> Result<(), Failed> {
        let mut tries = 0;
        loop {
            tries += 1;
            match download::fetch(&self.origin, &self.image, archive, self.max).await {
                Ok(()) => return Ok(()),
                // A busy origin is not asked again by all at the same moment.
                Err(failed) if tries < MAX_WHOLE_TRIES && failed.again => {
                    let why = failed.to_string();
                    tracing::info!(image = self.image.name, why, "image fetch retried");
                    sleep(Duration::from_secs_f64(f64::from(tries) * (0.5 + jitter()))).await;
                }
                Err(failed) => return Err(lost(failed)),
            }
        }
    }

    /// Unpacks an archive into the cache, unless it is there; its bytes.
    async fn unpack(&self, archive: PathBuf) -> std::io::Result<u64> {
        let (image, images, max) = (self.image.clone(), self.images.clone(), self.max);
        let unpacking = self.unpacking.clone();
        let unpacked = spawn_blocking(move || {
            let _one = unpacking.lock();
            if let Some(bytes) = images::size(&images, &image.sha256) {
                return Ok(bytes);
            }
            let file = File::open(&archive)?;
            file.sync_all()?;
            images::unpack(file, &image, &images, max)
        });
        unpacked
            .await
            .unwrap_or_else(|e| Err(std::io::Error::other(e)))
    }
}

/// From 0 to 1, anew each time.
fn jitter() -> f64 {
    rand::rng().random_range(0.0..1.0)
}
