//! Images: wanted, fetched, handed on, and removed from the cache.

use std::cell::RefCell;
use std::fs::File;
use std::net::SocketAddr;
use std::rc::Rc;

use sorrelhinge_protocol::types::Time;
use tokio::task::{spawn_local, AbortHandle};

use super::{Agent, PARTS_FOLDER};
use crate::clock;
use crate::core::Key;
use crate::describe::Source;
use crate::download;
use crate::fetch::{Failed, Fetch, FetchFailure};
use crate::images::{self, Image, Step};
use crate::part;
use crate::peer_transfer::ImageServer;
use crate::sources::Sources;

/// An image's fetch: what ends it, and whom it may take from.
pub(super) struct Fetching {
    pub(super) abort: AbortHandle,
    pub(super) sources: Rc<RefCell<Sources>>,
}

impl Agent {
    /// Has a task's image there, or begins to fetch it; `from`: agents that may have
    /// it.
    pub(super) fn want_image(self: &Rc<Self>, key: &Key, from: Vec<SocketAddr>) {
        let image = self
            .descriptions
            .borrow()
            .get(key)
            .and_then(|d| d.image.clone());
        let (Some(image), Some(source)) = (image, self.settings.image_source()) else {
            tracing::error!(task = %key.task_name, "agent.images not set, and the job needs an image");
            self.imaged(vec![key.clone()], false);
            return;
        };
        let from = self.near_agents(from);
        let now = clock::now();
        let step = self.images.borrow_mut().want(&image.sha256, key);
        match step {
            Step::Wait => {
                if let Some(fetch) = self.fetches.borrow().get(&image.sha256) {
                    fetch.sources.borrow_mut().add(from, now);
                }
                return;
            }
            Step::Ready => {}
            Step::Fetch => {
                self.start_fetch(source, image, from, now);
                return;
            }
        }
        self.imaged(vec![key.clone()], true);
    }

    /// Which of the agents that a start named may be asked for chunks.
    fn near_agents(&self, from: Vec<SocketAddr>) -> Vec<SocketAddr> {
        // Where nothing is handed on, nothing is taken; and of any other network
        // nothing is, whoever names it. Itself is no source either.
        match &self.image_server {
            Some(image_server) => {
                let own = self.settings.machine().addr;
                let near = |a: &SocketAddr| *a != own && image_server.is_near(a.ip());
                from.into_iter().filter(near).collect()
            }
            None => Vec::new(),
        }
    }

    /// Begins to fetch an image, from these agents and its origin.
    fn start_fetch(
        self: &Rc<Self>,
        source: Source,
        image: Image,
        from: Vec<SocketAddr>,
        now: Time,
    ) {
        let (agent, sum) = (self.clone(), image.sha256.clone());
        let sources = Rc::new(RefCell::new(Sources::new(from, 0.0, 0.0, now)));
        let shared = sources.clone();
        let fetch = spawn_local(async move { agent.fetch(source, image, shared).await });
        let abort = fetch.abort_handle();
        let fetching = Fetching { abort, sources };
        self.fetches.borrow_mut().insert(sum, fetching);
    }

    /// Nobody waits for an image any more: its fetch ends. The chunks that have
    /// come stay for the next one that wants it, as long as there is disk space.
    pub(super) fn give_up(&self, sum: &str) {
        if let Some(fetch) = self.fetches.borrow_mut().remove(sum) {
            fetch.abort.abort();
        }
        let Some(image_server) = &self.image_server else {
            return;
        };
        match image_server.part(sum) {
            Some(part) => self.images.borrow_mut().leave(sum, part.checksums().bytes),
            None => self.remove_part(sum),
        }
    }

    /// Hands an image's archive on no more, and removes it.
    fn remove_part(&self, sum: &str) {
        let Some(image_server) = &self.image_server else {
            return;
        };
        image_server.drop_part(sum);
        if let Err(error) = part::remove(&self.settings.folder.join(PARTS_FOLDER), sum) {
            tracing::error!(image = sum, %error, "partial image removal failed");
        }
    }

    /// Keeps the cache's bound.
    fn evict_unused_images(&self) {
        let out = self.images.borrow_mut().evict();
        for sum in out {
            tracing::info!(image = sum, "removed from the cache");
            self.remove_part(&sum);
            let place = self.settings.folder.join("images").join(&sum);
            match std::fs::remove_dir_all(place) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                    tracing::error!(image = sum, %error, "image removal failed");
                }
                _ => {}
            }
        }
    }

    /// Fetches an image, and tells whoever waits for it how that ended.
    async fn fetch(self: Rc<Self>, source: Source, image: Image, sources: Rc<RefCell<Sources>>) {
        let fetched = match self.image_server.clone() {
            Some(image_server) => {
                self.fetch_from_all(source, &image, sources, image_server)
                    .await
            }
            None => self.fetch_alone(&source, &image).await,
        };
        self.fetches.borrow_mut().remove(&image.sha256);
        let bytes = fetched.as_ref().ok().copied();
        let waiting = self.images.borrow_mut().fetched(&image.sha256, bytes);
        if let Err(failed) = fetched {
            self.fetch_failed(&image, &failed);
        }
        self.evict_unused_images();
        self.imaged(waiting, bytes.is_some());
    }

    /// An image from other agents and its origin, chunk by chunk.
    async fn fetch_from_all(
        self: &Rc<Self>,
        source: Source,
        image: &Image,
        sources: Rc<RefCell<Sources>>,
        image_server: Rc<ImageServer>,
    ) -> Result<u64, Failed> {
        let agent = Rc::downgrade(self);
        let sum = image.sha256.clone();
        let fetch = Fetch {
            image: image.clone(),
            origin: source,
            sources,
            image_server,
            images: self.settings.folder.join("images"),
            parts: self.settings.folder.join(PARTS_FOLDER),
            max: self.settings.cache_bytes(),
            unpacking: self.unpacking.clone(),
            free_capacity: Box::new(move |bytes| {
                if let Some(agent) = agent.upgrade() {
                    agent.images.borrow_mut().comes(&sum, bytes);
                    agent.evict_unused_images();
                }
            }),
        };
        fetch.run().await
    }

    /// A fetch failed: what has come of it stays only if it may be of use.
    fn fetch_failed(&self, image: &Image, failed: &Failed) {
        let error = failed.to_string();
        tracing::error!(image = image.name, error, "image fetch failed");
        let part = self
            .image_server
            .as_ref()
            .and_then(|h| h.part(&image.sha256));
        match part.filter(|_| failed.keep) {
            Some(part) => {
                let bytes = part.checksums().bytes;
                self.images.borrow_mut().leave(&image.sha256, bytes);
            }
            None => self.remove_part(&image.sha256),
        }
    }

    /// An image from its origin, where nothing is handed on.
    async fn fetch_alone(&self, source: &Source, image: &Image) -> Result<u64, Failed> {
        let root = self.settings.folder.join("images");
        let archive = root.join(format!(".{}.tar", image.sha256));
        let max = self.settings.cache_bytes();
        let unpacked = match download::fetch(source, image, &archive, max).await {
            Ok(()) => {
                let (wanted, from) = (image.clone(), archive.clone());
                let unpacked = tokio::task::spawn_blocking(move || {
                    images::unpack(File::open(from)?, &wanted, &root, max)
                });
                match unpacked.await {
                    Ok(result) => result.map_err(FetchFailure::Unpack),
                    Err(error) => Err(FetchFailure::Step(error)),
                }
            }
            Err(failed) => Err(FetchFailure::Origin(failed)),
        };
        let _ = std::fs::remove_file(&archive);
        unpacked.map_err(|why| Failed { why, keep: false })
    }

    /// Tells the core that these attempts' image is there, or can't be had.
    fn imaged(self: &Rc<Self>, keys: Vec<Key>, there: bool) {
        for key in keys {
            let actions = self.core.borrow_mut().imaged(&key, there, clock::now());
            self.queue.borrow_mut().extend(actions);
        }
        // Not at once: this may be in the middle of carrying others out.
        let agent = self.clone();
        spawn_local(async move { agent.do_all(Vec::new()) });
    }
}
