//! The agent's routines: it carries out what [`Core`] decides, serves direct
//! commands, sends reports, and looks after what became of its tasks.

use std::cell::RefCell;
use std::collections::{BTreeMap, VecDeque};
use std::convert::Infallible;
use std::fs::File;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::process::Stdio;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::service::service_fn;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use rand::Rng;
use serde::Deserialize;
use sorrelhinge_protocol::types::Time;
use sorrelhinge_protocol::worker::{Orders, Report, TaskPhase, Why};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, timeout};

use crate::attempt::{Folder, Found, Task};
use crate::clock;
use crate::core::{Action, Answer, Core, Key, Note, Told, ANSWER_TIMEOUT_S};
use crate::describe::{self, Description, Source};
use crate::fetch::Fetch;
use crate::hand_on::{self, Hands};
use crate::images::{self, Cache, Image, Step};
use crate::journal::Journal;
use crate::part::{self, Part};
use crate::settings::Settings;
use crate::sources::Sources;
use crate::supervise::{read_lease, write_lease};

const MAX_BODY_BYTES: usize = 4 << 20;
/// How often time passes for the core, and processes are looked at.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A supervisor that has not ended its task by then is killed with it.
const KILL_TIMEOUT_S: f64 = 3.0;

/// The folder of archives that are handed on, whole or in part.
const PARTS_FOLDER: &str = "hand_on";

/// A supervisor that is to be looked at.
struct Watched {
    folder: Folder,
    /// Since when it has been told to kill.
    killing: Option<Time>,
}

/// An image's fetch: what ends it, and whom it may take from.
struct Fetching {
    abort: AbortHandle,
    sources: Rc<RefCell<Sources>>,
}

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
    lines: RefCell<BTreeMap<usize, SendRequest<Full<Bytes>>>>,
    images: RefCell<Cache>,
    fetches: RefCell<BTreeMap<String, Fetching>>,
    /// Handing on, if the settings say so.
    hands: Option<Rc<Hands>>,
    unpacking: Arc<Mutex<()>>,
    /// The disk failed: nothing is taken on, and nothing is said any more,
    /// since what is said could not be kept.
    failed: RefCell<bool>,
    _only: File,
}

#[derive(Deserialize)]
struct Foreman {
    foreman: Option<String>,
}

/// Why an agent does not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The folder or its journal can't be used.
    #[error("{0}")]
    Folder(String),
    /// Another agent uses the folder.
    #[error("{0}: another agent uses this folder")]
    Taken(String),
    /// The address can't be had.
    #[error("agent.listen {0}: {1}")]
    Listen(SocketAddr, std::io::Error),
}

impl Agent {
    /// Takes the folder, reads what an earlier agent left, and finds the tasks
    /// that still run. If the lease ran out meanwhile, they are killed first.
    pub fn open(settings: Settings, program: PathBuf) -> Result<Rc<Self>, StartError> {
        let root = settings.folder.clone();
        let at = |e: &dyn std::fmt::Display| StartError::Folder(format!("{}: {e}", root.display()));
        std::fs::create_dir_all(root.join("attempts")).map_err(|e| at(&e))?;
        let own = Folder(root.clone());
        let only = own.lock().map_err(|e| at(&e))?;
        let only = only.ok_or_else(|| StartError::Taken(root.display().to_string()))?;
        let journal = Journal::open(&root).map_err(|e| StartError::Folder(e.to_string()))?;
        let mut found = journal.state().recovered();
        found.answered = read_lease(&root.join("lease")).map(Time);
        let mut watched = BTreeMap::new();
        let mut running: Vec<Key> = found.dying.iter().cloned().collect();
        for (key, (_, ended)) in &found.tasks {
            match ended {
                Some((Why::Done, _)) => {
                    found.results.insert(key.piece.clone());
                }
                Some(_) => {}
                None => running.push(key.clone()),
            }
        }
        for key in &running {
            let folder = Folder::of(&root, key);
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
        let there = images::there(&root.join("images")).map_err(|e| at(&e))?;
        let hands = settings.hand_on.clone().map(|s| Rc::new(Hands::new(s)));
        let parts = parts(&root, hands.as_deref(), &there).map_err(|e| at(&e))?;
        let mut cache = Cache::new(settings.cache_bytes(), there);
        for (sum, bytes) in parts {
            cache.leave(&sum, bytes);
        }
        for (key, watched) in &watched {
            let image = watched.folder.task().and_then(|t| t.description.image);
            if let Some(image) = image {
                cache.want(&image.sha256, key);
            }
        }
        let now = clock::now();
        tracing::info!(tasks = found.tasks.len(), running = watched.len(), session = %found.session, token = %found.token, "found");
        let (core, actions) = Core::new(settings.machine(), found, now);
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
            hands,
            unpacking: Arc::default(),
            failed: RefCell::new(false),
            _only: only,
        });
        agent.do_all(actions);
        Ok(agent)
    }

    /// Serves, reports and looks after tasks until `stop` resolves. Tasks go on
    /// under their supervisors; the next agent finds them.
    pub async fn run(
        self: &Rc<Self>,
        stop: impl std::future::Future<Output = ()>,
    ) -> Result<(), StartError> {
        let listen = self.settings.listen;
        let listener = TcpListener::bind(listen)
            .await
            .map_err(|e| StartError::Listen(listen, e))?;
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
        spawn_local(serve(self.clone(), listener));
        tracing::info!(machine = %self.settings.name, %listen, "serving");
        tokio::select! {
            () = self.clone().time() => {}
            () = stop => {}
        }
    }

    async fn time(self: Rc<Self>) {
        loop {
            // The lease first: a machine that has slept must not do anything
            // else before its tasks are killed.
            let jitter = rand::rng().random_range(-0.25..0.25);
            if let Some(hands) = &self.hands {
                self.core.borrow_mut().hands_on(hands.told().into_iter());
            }
            let actions = self.core.borrow_mut().tick(jitter, clock::now());
            self.do_all(actions);
            self.look();
            sleep(TICK_INTERVAL).await;
        }
    }

    /// Which tasks have ended.
    fn look(self: &Rc<Self>) {
        let now = clock::now();
        let mut gone = Vec::new();
        for (key, watched) in self.watched.borrow().iter() {
            match watched.folder.look() {
                Found::Exited(exit) => gone.push((key.clone(), exit)),
                Found::Runs
                    if watched
                        .killing
                        .is_some_and(|t| now.since(t) > KILL_TIMEOUT_S) =>
                {
                    watched.folder.kill_hard();
                }
                Found::Runs => {}
            }
        }
        for (key, exit) in gone {
            self.watched.borrow_mut().remove(&key);
            tracing::info!(task = %key.piece, attempt = %key.attempt, ?exit, "ended");
            let actions = self.core.borrow_mut().gone(&key, exit, now);
            self.do_all(actions);
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
                    tracing::error!(%error, "the journal can't be written: nothing new is taken on");
                    *self.failed.borrow_mut() = true;
                    self.core.borrow_mut().close(true);
                }
            }
            let Some(action) = next else { return };
            self.act(action);
        }
    }

    fn act(self: &Rc<Self>, action: Action) {
        let failed = *self.failed.borrow();
        let root = &self.settings.folder;
        match action {
            Action::Note(_) => {}
            Action::Lease(since) => {
                if let Err(error) = write_lease(&root.join("lease"), since.0) {
                    // Those who run tasks end them when the old one is over.
                    tracing::error!(%error, "the lease can't be written");
                }
            }
            Action::Save(key) => self.stop(&key, true),
            Action::Kill(key) => self.stop(&key, false),
            // Without a journal nothing new is begun, and nothing is said.
            _ if failed => {}
            Action::Describe(key) => {
                let agent = self.clone();
                spawn_local(async move {
                    let found = agent.source.find(&key.piece).await;
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
            Action::Image(key, from) => self.want_image(&key, from),
            Action::Release(key) => {
                self.descriptions.borrow_mut().remove(&key);
                let given_up = self.images.borrow_mut().release(&key);
                if let Some(sum) = given_up {
                    self.give_up(&sum);
                }
            }
            Action::Run(key, units) => self.begin(key, units),
            Action::Clean(key) => {
                if let Err(error) = Folder::of(root, &key).remove() {
                    tracing::error!(task = %key.piece, %error, "the attempt's folder stays");
                }
            }
            Action::Report(target, report) => {
                let agent = self.clone();
                spawn_local(async move { agent.send(target, *report).await });
            }
        }
    }

    // ---- images ---------------------------------------------------------

    fn want_image(self: &Rc<Self>, key: &Key, from: Vec<SocketAddr>) {
        let image = self
            .descriptions
            .borrow()
            .get(key)
            .and_then(|d| d.image.clone());
        let (Some(image), Some(source)) = (image, self.settings.image_source()) else {
            tracing::error!(task = %key.piece, "agent.images: not set, and the job needs one");
            self.imaged(vec![key.clone()], false);
            return;
        };
        // Where nothing is handed on, nothing is taken; and of any other network
        // nothing is, whoever names it. Itself is no source either.
        let from: Vec<SocketAddr> = match &self.hands {
            Some(hands) => {
                let own = self.settings.machine().addr;
                let near = |a: &SocketAddr| *a != own && hands.is_near(a.ip());
                from.into_iter().filter(near).collect()
            }
            None => Vec::new(),
        };
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
                let (agent, sum) = (self.clone(), image.sha256.clone());
                let sources = Rc::new(RefCell::new(Sources::new(from, 0.0, 0.0, now)));
                let shared = sources.clone();
                let fetch = spawn_local(async move { agent.fetch(source, image, shared).await });
                let abort = fetch.abort_handle();
                let fetching = Fetching { abort, sources };
                self.fetches.borrow_mut().insert(sum, fetching);
                return;
            }
        }
        self.imaged(vec![key.clone()], true);
    }

    /// Nobody waits for an image any more: its fetch ends. The chunks that have
    /// come stay for the next one that wants it, as long as there is room.
    fn give_up(&self, sum: &str) {
        if let Some(fetch) = self.fetches.borrow_mut().remove(sum) {
            fetch.abort.abort();
        }
        let Some(hands) = &self.hands else { return };
        match hands.part(sum) {
            Some(part) => self.images.borrow_mut().leave(sum, part.sums().bytes),
            None => self.remove_part(sum),
        }
    }

    fn remove_part(&self, sum: &str) {
        let Some(hands) = &self.hands else { return };
        hands.drop_part(sum);
        if let Err(error) = part::remove(&self.settings.folder.join(PARTS_FOLDER), sum) {
            tracing::error!(image = sum, %error, "its part stays");
        }
    }

    /// Keeps the cache's bound.
    fn make_room(&self) {
        let out = self.images.borrow_mut().evict();
        for sum in out {
            tracing::info!(image = sum, "removed from the cache");
            self.remove_part(&sum);
            let place = self.settings.folder.join("images").join(&sum);
            match std::fs::remove_dir_all(place) {
                Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                    tracing::error!(image = sum, %error, "it stays");
                }
                _ => {}
            }
        }
    }

    async fn fetch(self: Rc<Self>, source: Source, image: Image, sources: Rc<RefCell<Sources>>) {
        let fetched = match self.hands.clone() {
            Some(hands) => {
                let agent = Rc::downgrade(&self);
                let sum = image.sha256.clone();
                let fetch = Fetch {
                    image: image.clone(),
                    origin: source,
                    sources,
                    hands,
                    images: self.settings.folder.join("images"),
                    parts: self.settings.folder.join(PARTS_FOLDER),
                    most: self.settings.cache_bytes(),
                    unpacking: self.unpacking.clone(),
                    room: Box::new(move |bytes| {
                        if let Some(agent) = agent.upgrade() {
                            agent.images.borrow_mut().comes(&sum, bytes);
                            agent.make_room();
                        }
                    }),
                };
                let fetched = fetch.run().await;
                fetched.map_err(|failed| (failed.why, failed.keep))
            }
            None => self
                .fetch_alone(&source, &image)
                .await
                .map_err(|e| (e, false)),
        };
        self.fetches.borrow_mut().remove(&image.sha256);
        let bytes = fetched.as_ref().ok().copied();
        let waiting = self.images.borrow_mut().fetched(&image.sha256, bytes);
        if let Err((error, keep)) = fetched {
            tracing::error!(image = image.name, error, "image");
            let part = self.hands.as_ref().and_then(|h| h.part(&image.sha256));
            match part.filter(|_| keep) {
                Some(part) => {
                    let bytes = part.sums().bytes;
                    self.images.borrow_mut().leave(&image.sha256, bytes);
                }
                None => self.remove_part(&image.sha256),
            }
        }
        self.make_room();
        self.imaged(waiting, bytes.is_some());
    }

    /// An image from its origin, where nothing is handed on.
    async fn fetch_alone(&self, source: &Source, image: &Image) -> Result<u64, String> {
        let root = self.settings.folder.join("images");
        let archive = root.join(format!(".{}.tar", image.sha256));
        let most = self.settings.cache_bytes();
        let unpacked = match describe::fetch(source, image, &archive, most).await {
            Ok(()) => {
                let (wanted, from) = (image.clone(), archive.clone());
                let unpacked = tokio::task::spawn_blocking(move || {
                    images::unpack(File::open(from)?, &wanted, &root, most)
                });
                match unpacked.await {
                    Ok(result) => result.map_err(|e| e.to_string()),
                    Err(error) => Err(error.to_string()),
                }
            }
            Err(failed) => Err(failed.why),
        };
        let _ = std::fs::remove_file(&archive);
        unpacked
    }

    fn imaged(self: &Rc<Self>, keys: Vec<Key>, there: bool) {
        for key in keys {
            let actions = self.core.borrow_mut().imaged(&key, there, clock::now());
            self.queue.borrow_mut().extend(actions);
        }
        // Not at once: this may be in the middle of carrying others out.
        let agent = self.clone();
        spawn_local(async move { agent.do_all(Vec::new()) });
    }

    fn stop(&self, key: &Key, save: bool) {
        tracing::info!(task = %key.piece, attempt = %key.attempt, save, "stopping");
        // Also of one that has not shown itself yet: it finds the word there.
        let folder = Folder::of(&self.settings.folder, key);
        let told = folder.stop(save);
        let mut watched = self.watched.borrow_mut();
        let watched = watched.get_mut(key);
        if let Err(error) = &told {
            // A full disk must not keep a task alive.
            tracing::error!(task = %key.piece, %error, "the supervisor can't be told");
            folder.kill_hard();
        }
        if let Some(watched) = watched.filter(|_| !save || told.is_err()) {
            watched.killing.get_or_insert(clock::now());
        }
    }

    /// Starts a supervisor. If that fails the attempt has ended, and it never
    /// runs: the folder tells.
    fn begin(self: &Rc<Self>, key: Key, units: Vec<(String, String)>) {
        let folder = Folder::of(&self.settings.folder, &key);
        let description = self.descriptions.borrow_mut().remove(&key);
        let begun = (|| {
            let description = description.ok_or_else(|| std::io::Error::other("no description"))?;
            let task = Task {
                version: 1,
                key: key.clone(),
                image: description
                    .image
                    .as_ref()
                    .map(|i| self.settings.folder.join("images").join(&i.sha256)),
                description,
                units,
                lease: self.settings.folder.join("lease"),
                lease_s: self.settings.lease_s,
            };
            folder.prepare(&task)?;
            let log = File::create(folder.0.join("supervisor.log"))?;
            let child = tokio::process::Command::new(&self.program)
                .arg("supervise")
                .arg(&folder.0)
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                // Not in the agent's group: what ends the agent does not end it.
                .process_group(0)
                .spawn()?;
            Ok::<_, std::io::Error>(child)
        })();
        match begun {
            Ok(mut child) => {
                tracing::info!(task = %key.piece, attempt = %key.attempt, "started");
                let (agent, done) = (self.clone(), key.clone());
                spawn_local(async move {
                    let _ = child.wait().await;
                    // Only now is it certain that it will not take the lock.
                    agent.watch(done, folder);
                });
            }
            Err(error) => {
                tracing::error!(task = %key.piece, %error, "not started");
                self.watch(key, folder);
                return;
            }
        }
        let folder = Folder::of(&self.settings.folder, &key);
        let agent = self.clone();
        spawn_local(async move {
            // Until it holds its lock it can't be told from one that is gone.
            loop {
                if folder.pid().is_some() || agent.watched.borrow().contains_key(&key) {
                    agent.watch(key, folder);
                    return;
                }
                sleep(Duration::from_millis(20)).await;
            }
        });
    }

    fn watch(&self, key: Key, folder: Folder) {
        let stopping = folder.stopped() == Some(false);
        let running = {
            let core = self.core.borrow();
            let running = core
                .tasks()
                .any(|(k, phase, _)| *k == key && phase != TaskPhase::Ended);
            running || core.is_dying(&key)
        };
        if running {
            self.watched.borrow_mut().entry(key).or_insert(Watched {
                folder,
                killing: stopping.then(clock::now),
            });
        }
    }

    // ---- reports --------------------------------------------------------

    async fn send(self: Rc<Self>, target: usize, report: Report) {
        let sent = self.core.borrow().sent();
        let answered = self.exchange(target, &report);
        let answer = timeout(Duration::from_secs_f64(ANSWER_TIMEOUT_S), answered).await;
        let answer = answer.unwrap_or_else(|_| {
            self.lines.borrow_mut().remove(&target);
            Answer::None
        });
        let Some(sent) = sent else { return };
        let actions = self.core.borrow_mut().answered(sent, answer, clock::now());
        self.do_all(actions);
    }

    async fn exchange(&self, target: usize, report: &Report) -> Answer {
        let Some(controller) = self.settings.controllers.get(target) else {
            return Answer::None;
        };
        let line = self.lines.borrow_mut().remove(&target);
        let line = line.filter(SendRequest::is_ready);
        let mut line = match line {
            Some(line) => line,
            None => match connect(controller.address).await {
                Ok(line) => line,
                Err(error) => {
                    tracing::debug!(controller = %controller.node, %error, "no connection");
                    return Answer::None;
                }
            },
        };
        let Ok(body) = serde_json::to_vec(report) else {
            return Answer::None;
        };
        let request = Request::post("/agent/beat")
            .header("host", controller.address.to_string())
            .header("content-type", "application/json")
            .body(Full::new(Bytes::from(body)));
        let Ok(request) = request else {
            return Answer::None;
        };
        let Ok(response) = line.send_request(request).await else {
            return Answer::None;
        };
        let status = response.status().as_u16();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let Ok(body) = body.map(|b| b.to_bytes()) else {
            return Answer::None;
        };
        match status {
            200 => {
                self.lines.borrow_mut().insert(target, line);
                match serde_json::from_slice(&body) {
                    Ok(reply) => Answer::Reply(reply),
                    // Without a token it is dropped.
                    Err(error) => {
                        tracing::error!(controller = %controller.node, %error, "malformed answer");
                        Answer::None
                    }
                }
            }
            421 => {
                let named = serde_json::from_slice::<Foreman>(&body);
                Answer::Elsewhere(named.ok().and_then(|f| f.foreman))
            }
            _ => Answer::None,
        }
    }

    // ---- direct commands ------------------------------------------------

    fn told(self: &Rc<Self>, (told, actions): (Told, Vec<Action>)) -> (u16, Vec<u8>) {
        // What is answered is on disk before it is said.
        self.do_all(actions);
        match told {
            Told::Report(taken, report) if !*self.failed.borrow() => {
                let body = serde_json::to_vec(&report).unwrap_or_default();
                (if taken { 200 } else { 409 }, body)
            }
            Told::Report(..) => (503, b"{\"error\":\"the disk fails\"}".to_vec()),
            Told::NotNow => (503, b"{\"error\":\"tasks are being killed\"}".to_vec()),
        }
    }

    async fn answer(self: &Rc<Self>, from: IpAddr, request: Request<Incoming>) -> hand_on::Answer {
        if let Some(hands) = &self.hands {
            if request.uri().path().starts_with("/images/") {
                let range = request.headers().get("range");
                // A range that can't be read is one that can't be had.
                let range = range.map(|r| r.to_str().unwrap_or_default());
                let (method, uri) = (request.method(), request.uri());
                return hands.answer(from, method, uri, range).await;
            }
        }
        let (status, body) = self.command(request).await;
        hand_on::plain(status, body)
    }

    async fn command(self: &Rc<Self>, request: Request<Incoming>) -> (u16, Vec<u8>) {
        let (method, path) = (request.method().clone(), request.uri().path().to_owned());
        let error = |status: u16, why: &str| {
            let body = serde_json::json!({ "error": why });
            (status, body.to_string().into_bytes())
        };
        match (method, path.as_str()) {
            (Method::GET, "/status") => {
                let told = self.core.borrow_mut().status(clock::now());
                self.told(told)
            }
            (Method::POST, "/orders") => {
                let body = Limited::new(request.into_body(), MAX_BODY_BYTES).collect();
                let body = match timeout(Duration::from_secs(10), body).await {
                    Ok(Ok(body)) => body.to_bytes(),
                    _ => return error(400, "incomplete body"),
                };
                let orders: Orders = match serde_json::from_slice(&body) {
                    Ok(orders) => orders,
                    Err(why) => return error(400, &why.to_string()),
                };
                let told = self.core.borrow_mut().orders(&orders, clock::now());
                self.told(told)
            }
            _ => error(404, "no such path"),
        }
    }
}

/// What an agent says of its machine, as a table.
pub async fn status(listen: SocketAddr) -> Result<String, String> {
    let ask = async {
        let mut line = connect(listen).await?;
        let request = Request::get("/status")
            .header("host", listen.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|e| e.to_string())?;
        let response = line
            .send_request(request)
            .await
            .map_err(|e| e.to_string())?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES)
            .collect()
            .await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        if status != StatusCode::OK {
            return Err(format!(
                "status {status}: {}",
                String::from_utf8_lossy(&body)
            ));
        }
        serde_json::from_slice::<Report>(&body).map_err(|e| e.to_string())
    };
    let report = match timeout(Duration::from_secs(5), ask).await {
        Ok(report) => report.map_err(|e| format!("{listen}: {e}"))?,
        Err(_) => return Err(format!("{listen}: no answer")),
    };
    let mut text = format!(
        "{} ({}, {}): session {}, token {}, {} tasks\n",
        report.machine,
        report.build,
        report.rack,
        report.shift,
        report.baton,
        report.pieces.len()
    );
    for task in &report.pieces {
        let why = task.cause.map_or(String::new(), |c| format!(" {c:?}"));
        text += &format!(
            "{:<32} {:>4} {:?}{why}\n",
            task.piece, task.attempt, task.phase
        );
    }
    Ok(text)
}

/// What earlier runs left to hand on: archives of images that are there are
/// handed on again; the others, and their bytes, may be gone on with. Whatever
/// is of no use is removed.
fn parts(
    root: &std::path::Path,
    hands: Option<&Hands>,
    there: &[(String, u64)],
) -> std::io::Result<Vec<(String, u64)>> {
    let folder = root.join(PARTS_FOLDER);
    let Some(hands) = hands else {
        return match std::fs::remove_dir_all(folder) {
            Err(e) if e.kind() != std::io::ErrorKind::NotFound => Err(e),
            _ => Ok(Vec::new()),
        };
    };
    std::fs::create_dir_all(&folder)?;
    let mut left = Vec::new();
    for entry in std::fs::read_dir(&folder)? {
        let sum = entry?.file_name().to_string_lossy().into_owned();
        let is_there = there.iter().any(|(s, _)| *s == sum);
        match Part::found(&folder, &sum) {
            // Without the image beside it, its room is not counted otherwise.
            Ok(part) if part.is_whole() || !is_there => {
                if !is_there {
                    left.push((sum, part.sums().bytes));
                }
                hands.keep(Rc::new(part));
            }
            _ => part::remove(&folder, &sum)?,
        }
    }
    Ok(left)
}

async fn connect(to: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (line, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    spawn_local(connection);
    Ok(line)
}

async fn serve(agent: Rc<Agent>, listener: TcpListener) {
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            sleep(Duration::from_millis(50)).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        let agent = agent.clone();
        spawn_local(async move {
            let service = service_fn(move |request| {
                let agent = agent.clone();
                async move { Ok::<_, Infallible>(agent.answer(from.ip(), request).await) }
            });
            let served = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(Duration::from_secs(60))
                .serve_connection(TokioIo::new(stream), service)
                .await;
            if let Err(error) = served {
                tracing::debug!(%error, "connection");
            }
        });
    }
}
