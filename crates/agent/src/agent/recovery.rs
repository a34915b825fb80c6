//! What an earlier agent left in the folder: attempts that may still run, images,
//! and archives that are handed on.

use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;

use sorrelhinge_protocol::types::Time;
use sorrelhinge_protocol::worker::ExitReason;

use super::tasks::Watched;
use super::PARTS_FOLDER;
use crate::attempt::Folder;
use crate::core::{Key, Recovered};
use crate::images::{self, Cache, CachedImage};
use crate::journal::Journal;
use crate::part::{self, Part};
use crate::peer_transfer::ImageServer;
use crate::supervise::read_lease;

/// What an earlier agent left.
pub(super) struct Leftover {
    /// What the journal and the attempts' folders tell.
    pub(super) found: Recovered,
    /// The supervisors that are to be checked.
    pub(super) watched: BTreeMap<Key, Watched>,
}

/// Reads what an earlier agent left of its attempts.
pub(super) fn recover(root: &Path, journal: &Journal) -> Leftover {
    let mut found = journal.state().recovered();
    found.answered = read_lease(&root.join("lease")).map(Time);
    let mut watched = BTreeMap::new();
    let mut running: Vec<Key> = found.dying.iter().cloned().collect();
    for (key, known) in &found.tasks {
        match known.ended.map(|ending| ending.why) {
            Some(ExitReason::Done) => {
                found.results.insert(key.task_name.clone());
            }
            Some(_) => {}
            None => running.push(key.clone()),
        }
    }
    for key in &running {
        let folder = Folder::of(root, key);
        if let Some(task) = folder.task() {
            found.needs.insert(key.clone(), task.description.needs());
        }
        watched.insert(
            key.clone(),
            Watched {
                folder,
                killing: None,
            },
        );
    }
    Leftover { found, watched }
}

/// The images that are there, with the disk space that archives take, wanted by the
/// attempts that run.
pub(super) fn cache_found(
    root: &Path,
    max_bytes: u64,
    image_server: Option<&ImageServer>,
    watched: &BTreeMap<Key, Watched>,
) -> std::io::Result<Cache> {
    let there = images::there(&root.join("images"))?;
    let mut cache = Cache::new(max_bytes, there.iter().cloned());
    find_parts(root, image_server, &there, &mut cache)?;
    for (key, watched) in watched {
        let image = watched.folder.task().and_then(|t| t.description.image);
        if let Some(image) = image {
            cache.want(&image.sha256, key);
        }
    }
    Ok(cache)
}

/// What earlier runs left to hand on: archives of images that are there are
/// handed on again; the others, and their bytes, may be gone on with. Whatever
/// is of no use is removed.
fn find_parts(
    root: &Path,
    image_server: Option<&ImageServer>,
    there: &[CachedImage],
    cache: &mut Cache,
) -> std::io::Result<()> {
    let folder = root.join(PARTS_FOLDER);
    let Some(image_server) = image_server else {
        return match std::fs::remove_dir_all(folder) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        };
    };
    std::fs::create_dir_all(&folder)?;
    for entry in std::fs::read_dir(&folder)? {
        let sum = entry?.file_name().to_string_lossy().into_owned();
        let is_there = there.iter().any(|image| image.sha256 == sum);
        match Part::found(&folder, &sum) {
            // Without the image beside it, its disk space is not counted otherwise.
            Ok(part) if part.is_complete() || !is_there => {
                if !is_there {
                    cache.leave(&sum, part.checksums().bytes);
                }
                image_server.keep(Rc::new(part));
            }
            _ => part::remove(&folder, &sum)?,
        }
    }
    Ok(())
}
