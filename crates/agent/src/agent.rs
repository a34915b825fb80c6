//! The agent's routines: it carries out what [`Core`] decides, serves direct
//! commands, sends heartbeats, and looks after what became of its tasks.
//!
//! In parts: what an earlier agent left (`recovery`), supervisors (`tasks`), images
//! and their fetches (`images`), heartbeats (`heartbeats`), and what it is asked
//! (`server`).

mod heartbeats;
mod images;
mod recovery;
mod server;
mod status;
mod tasks;

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::Rng;
use sorrelhinge_protocol::types::Time;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::heartbeats::Line;
use self::images::Fetching;
use self::recovery::{cache_found, recover, Leftover};
pub use self::status::{status, StatusError};
use self::tasks::Watched;
use crate::attempt::{Folder, StopRequest};
use crate::clock;
use crate::core::{Action, Core, Key, Note, StartedCore};
use crate::describe::{Description, Source};
use crate::images::Cache;
use crate::journal::{Journal, JournalError};
use crate::peer_transfer::ImageServer;
use crate::settings::Settings;
use crate::supervise::write_lease;

/// The largest body that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How often time passes for the core, and supervisors are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// The folder of archives that are handed on, whole or in part.
const PARTS_FOLDER: &str = "hand_on";

/// One machine's agent.
pub struct Agent {
    settings: Settings,
    source: Source,
    program: PathBuf,
    core: RefCell<Core>,
    journal: RefCell<Journal>,
    /// Actions that came while others were being carried out.
    queue: RefCell<VecDeque<Action>>,
    watched: RefCell<BTreeMap<Key, Watched>>,
    descriptions: RefCell<BTreeMap<Key, Description>>,
    lines: RefCell<BTreeMap<usize, Line>>,
    images: RefCell<Cache>,
    fetches: RefCell<BTreeMap<String, Fetching>>,
    /// Handing on, if the settings say so.
    image_server: Option<Rc<ImageServer>>,
    unpacking: Arc<Mutex<()>>,
    /// The disk failed: nothing is taken on, and nothing is said any more,
    /// since what is said could not be kept.
    failed: RefCell<bool>,
    _only: File,
}

/// Why an agent does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder can't be used.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The agent's folder.
        folder: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Its journal can't be used.
    #[error(transparent)]
    Journal(#[from] JournalError),
    /// Another agent uses the folder.
    #[error("{}: another agent uses this folder", folder.display())]
    Taken {
        /// The folder.
        folder: PathBuf,
    },
    /// The address can't be had.
    #[error("agent.listen {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
}

/// Makes an agent's folder, and takes its lock, which is the file that is returned.
///
/// # Errors
/// The folder can't be used, or another agent uses it.
fn take_folder(root: &Path) -> Result<File, StartError> {
    let failed = |source| StartError::Folder {
        folder: root.to_owned(),
        source,
    };
    std::fs::create_dir_all(root.join("attempts")).map_err(failed)?;
    let lock = Folder(root.to_owned()).lock().map_err(failed)?;
    lock.ok_or_else(|| StartError::Taken {
        folder: root.to_owned(),
    })
}

impl Agent {
    /// Takes the folder, reads what an earlier agent left, and finds the tasks
    /// that still run. If the lease ran out meanwhile, they are killed first.
    ///
    /// # Errors
    /// The folder or its journal can't be used, or another agent uses it.
    pub fn open(settings: Settings, program: PathBuf) -> Result<Rc<Self>, StartError> {
        let root = settings.folder.clone();
        let only = take_folder(&root)?;
        let journal = Journal::open(&root)?;
        let Leftover { found, watched } = recover(&root, &journal);
        let image_server = settings
            .hand_on
            .clone()
            .map(|s| Rc::new(ImageServer::new(s)));
        let cache = cache_found(
            &root,
            settings.cache_bytes(),
            image_server.as_deref(),
            &watched,
        )
        .map_err(|source| StartError::Folder {
            folder: root,
            source,
        })?;
        let now = clock::now();
        tracing::info!(tasks = found.tasks.len(), running = watched.len(), incarnation = %found.incarnation, fencing_token = %found.fencing_token, "agent state recovered");
        let StartedCore { core, actions } = Core::recover(settings.machine(), found, now);
        let agent = Rc::new(Self {
            source: settings.source(),
            settings,
            program,
            core: RefCell::new(core),
            journal: RefCell::new(journal),
            queue: RefCell::default(),
            watched: RefCell::new(watched),
            descriptions: RefCell::default(),
            lines: RefCell::default(),
            images: RefCell::new(cache),
            fetches: RefCell::default(),
            image_server,
            unpacking: Arc::default(),
            failed: RefCell::new(false),
            _only: only,
        });
        agent.do_all(actions);
        Ok(agent)
    }

    /// Serves, heartbeats and looks after tasks until `stop` resolves. Tasks go on
    /// under their supervisors; the next agent finds them.
    ///
    /// # Errors
    /// The address of the settings can't be had.
    pub async fn run(
        self: &Rc<Self>,
        stop: impl std::future::Future<Output = ()>,
    ) -> Result<(), StartError> {
        let listen = self.settings.listen;
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|source| StartError::Listen {
                address: listen,
                source,
            })?;
        self.run_on(listener, stop).await;
        Ok(())
    }

    /// The same on a listener that is there already.
    pub async fn run_on(
        self: &Rc<Self>,
        listener: TcpListener,
        stop: impl std::future::Future<Output = ()>,
    ) {
        let listen = self.settings.listen;
        spawn_local(server::serve(self.clone(), listener));
        tracing::info!(machine = %self.settings.name, %listen, "serving");
        tokio::select! {
            () = self.clone().time() => {}
            () = stop => {}
        }
    }

    /// Lets time pass for the core, and checks supervisors, for ever.
    async fn time(self: Rc<Self>) {
        loop {
            // The lease first: a machine that has slept must not do anything
            // else before its tasks are killed.
            let jitter = rand::rng().random_range(-0.25..0.25);
            if let Some(image_server) = &self.image_server {
                self.core
                    .borrow_mut()
                    .serves_images(image_server.reported_images().into_iter());
            }
            let actions = self.core.borrow_mut().tick(jitter, clock::now());
            self.do_all(actions);
            self.check_supervisors();
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Carries actions out, in their order. What is noted is on disk before
    /// whatever follows it.
    fn do_all(self: &Rc<Self>, actions: Vec<Action>) {
        self.queue.borrow_mut().extend(actions);
        loop {
            let mut notes: Vec<Note> = Vec::new();
            let next = loop {
                match self.queue.borrow_mut().pop_front() {
                    Some(Action::Note(note)) => notes.push(note),
                    other => break other,
                }
            };
            if !notes.is_empty() && !*self.failed.borrow() {
                if let Err(error) = self.journal.borrow_mut().note(&notes) {
                    tracing::error!(%error, "journal write failed; no new tasks accepted");
                    *self.failed.borrow_mut() = true;
                    self.core.borrow_mut().close(true);
                }
            }
            let Some(action) = next else { return };
            self.act(action);
        }
    }

    /// Carries out one action. Once the journal has failed only what ends tasks is
    /// done.
    fn act(self: &Rc<Self>, action: Action) {
        let failed = *self.failed.borrow();
        match action {
            Action::Note(_) => {}
            Action::Lease(since) => self.keep_lease(since),
            Action::Save(key) => self.stop(&key, StopRequest::Save),
            Action::Kill(key) => self.stop(&key, StopRequest::Kill),
            // Without a journal nothing new is begun, and nothing is said.
            _ if failed => {}
            Action::Describe(key) => self.describe(key),
            Action::Image(key, from) => self.want_image(&key, from),
            Action::Release(key) => self.release(&key),
            Action::Run(key, units) => self.begin(key, units),
            Action::Clean(key) => self.clean(&key),
            Action::Heartbeat(target, heartbeat) => {
                let agent = self.clone();
                spawn_local(async move { agent.send(target, *heartbeat).await });
            }
        }
    }

    /// Tells those who run tasks since when the lease runs.
    fn keep_lease(&self, since: Time) {
        if let Err(error) = write_lease(&self.settings.folder.join("lease"), since.0) {
            // Those who run tasks end them when the old one is over.
            tracing::error!(%error, "lease write failed");
        }
    }

    /// Removes an attempt's folder.
    fn clean(&self, key: &Key) {
        if let Err(error) = Folder::of(&self.settings.folder, key).remove() {
            tracing::error!(task = %key.task_name, %error, "attempt folder removal failed");
        }
    }

    /// Finds the description of a task's job.
    fn describe(self: &Rc<Self>, key: Key) {
        let agent = self.clone();
        spawn_local(async move {
            let found = agent.source.find(&key.task_name).await;
            let needs = found.map(|description| {
                let needs = description.needs();
                agent
                    .descriptions
                    .borrow_mut()
                    .insert(key.clone(), description);
                needs
            });
            let now = clock::now();
            let actions = agent.core.borrow_mut().described(&key, needs, now);
            let ends = !actions.iter().any(|a| matches!(a, Action::Image(..)));
            agent.do_all(actions);
            if ends {
                agent.descriptions.borrow_mut().remove(&key);
            }
        });
    }

    /// A task needs its description and its image no more.
    fn release(&self, key: &Key) {
        self.descriptions.borrow_mut().remove(key);
        let given_up = self.images.borrow_mut().release(key);
        if let Some(sum) = given_up {
            self.give_up(&sum);
        }
    }
}
