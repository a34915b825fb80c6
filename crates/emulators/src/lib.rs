//! Stand-ins for the state service, the cloud and the workers on loopback, and
//! real controllers as processes. Every machine has an address of its own in
//! 127.0.0.0/8, so networks tell where it is. All starts are checked as they
//! happen: no task on two machines, no unit missing, broken or taken.

mod asking;
pub mod cloud;
mod controllers;
pub mod history;
pub mod lines;
pub mod nodes;
pub mod place;
mod plan;
mod site;
pub mod soak;
pub mod store;
pub mod users;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::Command;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use sorrelhinge::http::{self, call_once, CallError, Limits, Pool};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use cloud::Cloud;
use controllers::{Controller, Files};
use history::Recorder;
use lines::LinkFault;
use nodes::Nodes;
use place::Place;
pub use plan::{file, Plan};
use store::Store;

/// Between two heartbeats of a worker of the small world, in seconds.
pub const HEARTBEAT_S: f64 = 0.5;
/// How long a worker's lease lasts there, in seconds.
pub const LEASE_S: f64 = 3.0;
/// How long a cancellation may take there, in seconds.
pub const CANCEL_S: f64 = 12.0;

/// A response over HTTP, as a stand-in gives it or as a test gets it.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpResponse {
    /// The status code.
    pub status: u16,
    /// The body as JSON; `null` where there is none, or one that is no JSON.
    pub body: Value,
}

impl HttpResponse {
    /// A response of this status and body.
    pub fn new(status: u16, body: Value) -> Self {
        Self { status, body }
    }
}

type Answer = Pin<Box<dyn Future<Output = HttpResponse>>>;

/// Serves `answer` on a listener until dropped with its task.
pub fn serve(listener: TcpListener, answer: impl Fn(Method, String, Bytes) -> Answer + 'static) {
    let answer = Rc::new(answer);
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let _ = stream.set_nodelay(true);
            let answer = answer.clone();
            spawn_local(async move {
                let service = service_fn(move |request: Request<Incoming>| {
                    let answer = answer.clone();
                    async move {
                        let method = request.method().clone();
                        let path = request.uri().to_string();
                        let body = request.into_body().collect().await?.to_bytes();
                        let response = answer(method, path, body).await;
                        Ok::<_, hyper::Error>(encode(&response))
                    }
                });
                let _ = hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
}

/// A response as it goes over the connection.
fn encode(response: &HttpResponse) -> Response<Full<Bytes>> {
    let text = response.body.to_string();
    let mut encoded = Response::new(Full::new(Bytes::from(text)));
    *encoded.status_mut() = hyper::StatusCode::from_u16(response.status).unwrap_or_default();
    encoded
}

const LIMITS: Limits = Limits {
    connect: Duration::from_millis(500),
    answer: Duration::from_secs(2),
};

/// A body of a request; nothing if there is none.
fn text(body: &Value) -> Bytes {
    match body {
        Value::Null => Bytes::new(),
        body => Bytes::from(body.to_string()),
    }
}

/// An answer as a status and JSON; none without one.
fn response(answer: Result<http::Answer, CallError>) -> Option<HttpResponse> {
    let answer = answer.ok()?;
    let body = serde_json::from_slice(&answer.body).unwrap_or(Value::Null);
    Some(HttpResponse::new(answer.status.as_u16(), body))
}

/// Asks over HTTP; none without an answer.
pub async fn ask(to: SocketAddr, method: Method, path: &str, body: &Value) -> Option<HttpResponse> {
    response(call_once(to, method, path, text(body), LIMITS).await)
}

/// The same over a connection that stays open.
pub async fn ask_over(
    pool: &Pool,
    method: Method,
    path: &str,
    body: &Value,
) -> Option<HttpResponse> {
    response(pool.call(method, path, text(body), LIMITS).await)
}

/// What an operator's command came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandOutput {
    /// It exited with 0.
    pub success: bool,
    /// What it printed: standard output, then standard error.
    pub text: String,
}

/// Everything outside the controllers, and the controllers.
pub struct World {
    /// The state service.
    pub store: Rc<RefCell<Store>>,
    /// The machines with their workers.
    pub nodes: Rc<RefCell<Nodes>>,
    /// The history of what users asked and machines did.
    pub recorder: Recorder,
    controllers: Vec<Controller>,
    program: PathBuf,
    folder: PathBuf,
    topology: Option<PathBuf>,
    sockets: Option<usize>,
    /// Each controller's lines to the other controllers.
    cuts: Vec<watch::Sender<LinkFault>>,
    /// Each controller's line to the state service.
    state_cuts: Vec<watch::Sender<LinkFault>>,
    /// When each accepted job was last asked for with an answer.
    answered: Rc<RefCell<BTreeMap<String, Instant>>>,
    unanswered: Rc<Cell<Duration>>,
    /// Let go only after the controllers have ended.
    _place: Place,
    /// Each controller's file of windows, if the feature is on there.
    calendars: Vec<Option<PathBuf>>,
}

/// The three zones, in the order in which machines and controllers are numbered.
pub const ZONES: [&str; 3] = ["za", "zb", "zc"];

impl World {
    /// Starts stand-ins and controllers.
    pub async fn start(plan: Plan) -> Self {
        Self::start_with(plan, None).await
    }

    /// The same with a file of windows, given to all three.
    pub async fn start_with(plan: Plan, calendar: Option<&str>) -> Self {
        std::fs::create_dir_all(&plan.folder).expect("a folder");
        let count = plan.controllers;
        let place = Place::claim(count);
        let store = start_store(&place, count).await;
        let recorder = Recorder::new(site::site());
        store.borrow_mut().recorder = Some(recorder.clone());
        let nodes = start_machines(&plan, &place, &recorder).await;
        let topology = write_topology(&plan);
        let (cuts, state_cuts) = (intact_lines(count), intact_lines(count));
        if plan.lines {
            start_lines(&place, &cuts, &state_cuts).await;
        }
        let controllers = (0..count).map(|i| Controller::prepare(&plan, &place, i));
        let mut world = Self {
            store,
            nodes,
            recorder,
            controllers: controllers.collect(),
            program: plan.program,
            folder: plan.folder,
            topology,
            sockets: plan.sockets,
            cuts,
            state_cuts,
            answered: Rc::default(),
            unanswered: Rc::default(),
            _place: place,
            calendars: vec![None; count],
        };
        world.set_properties(plan.properties);
        for i in 0..count {
            world.set_calendar(i, calendar);
            world.start_controller(i);
        }
        world
    }

    /// Gives a controller another file of windows, or none: it has it once it is
    /// started again.
    pub fn set_calendar(&mut self, i: usize, text: Option<&str>) {
        let path = self.folder.join(format!("calendar-{i}.toml"));
        self.calendars[i] = text.map(|text| {
            std::fs::write(&path, text).expect("written");
            path
        });
    }

    /// Gives a controller another program, say another version: it runs that once it is
    /// started again.
    pub fn set_program(&mut self, i: usize, program: &Path) {
        self.controllers[i].program = program.to_owned();
    }

    /// Starts a controller, or starts it again.
    pub fn start_controller(&mut self, i: usize) {
        let files = Files {
            properties: &self.properties_file(),
            topology: self.topology.as_deref(),
            calendar: self.calendars[i].as_deref(),
        };
        self.controllers[i].start(&files, self.sockets);
    }

    /// The operators' own settings.
    fn properties_file(&self) -> PathBuf {
        self.folder.join("local.properties")
    }

    /// Changes the operators' own settings: read by whoever starts next.
    pub fn set_properties(&self, more: &str) {
        let text = format!("leader.lease.s=1\n{more}");
        std::fs::write(self.properties_file(), text).expect("written");
    }

    /// Stops a controller's process, or lets it go on: its clocks run meanwhile.
    pub fn freeze_controller(&self, i: usize, frozen: bool) {
        self.controllers[i].signal(if frozen { "-STOP" } else { "-CONT" });
    }

    /// Asks a controller to end, and waits until it has.
    pub async fn ask_to_end(&mut self, i: usize) {
        self.controllers[i].end().await;
    }

    /// Kills a controller at once.
    pub fn kill_controller(&mut self, i: usize) {
        self.controllers[i].kill();
    }

    /// Fails the test if a controller ended by itself.
    fn all_run(&self) {
        self.controllers.iter().for_each(Controller::assert_runs);
    }

    /// Where a controller takes users' and workers' requests.
    pub fn address(&self, i: usize) -> SocketAddr {
        self.controllers[i].users
    }

    /// Which controller leads, as the record has it.
    pub fn leader(&self) -> Option<usize> {
        let record = self.store.borrow().get("h/leader")?;
        let name = record["node"].as_str()?.to_owned();
        self.controllers.iter().position(|c| c.name == name)
    }

    /// Whether the first tasks of a job have ended.
    pub fn done(&self, uid: &str, tasks: usize) -> bool {
        let nodes = self.nodes.borrow();
        (0..tasks).all(|n| nodes.done.contains(&format!("{uid}/{n}")))
    }

    /// Cuts a controller off from the state service and all other controllers, or
    /// ends the cut.
    pub fn cut(&self, i: usize, cut: LinkFault) {
        self.cuts[i].send_replace(cut);
        self.cut_state(i, cut);
    }

    /// Cuts a controller off from the state service alone, or ends the cut.
    pub fn cut_state(&self, i: usize, cut: LinkFault) {
        self.state_cuts[i].send_replace(cut);
    }

    /// Waits until something is so.
    pub async fn until(&self, what: &str, seconds: u64, so: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(seconds);
        while !so(self) {
            self.all_run();
            assert!(
                Instant::now() < end,
                "not within {seconds} s: {what}; logs in {}",
                self.folder.display()
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Replaces the operator's file and tells all controllers to read it.
    pub fn reload(&self, text: &str) {
        let file = self.topology.as_ref().expect("the feature is on");
        std::fs::write(file, text).expect("written");
        for controller in &self.controllers {
            controller.signal("-HUP");
        }
    }

    /// What all controllers' logs say.
    pub fn logs(&self) -> String {
        self.controllers
            .iter()
            .filter_map(Controller::log)
            .collect()
    }

    /// An operator's command, as the program carries it out.
    pub async fn command(&self, args: &[&str]) -> CommandOutput {
        let mut all: Vec<String> = args.iter().map(|name| name.to_string()).collect();
        for c in &self.controllers {
            all.push("--controller".into());
            all.push(c.users.to_string());
        }
        let program = self.program.clone();
        let output = tokio::task::spawn_blocking(move || {
            Command::new(program).args(all).output().expect("it runs")
        });
        let output = output.await.expect("it ends");
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text += &String::from_utf8_lossy(&output.stderr);
        CommandOutput {
            success: output.status.success(),
            text,
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for controller in &self.controllers {
            controller.kill();
        }
    }
}

/// The state service, listening for each controller by itself and for whoever else
/// asks.
async fn start_store(place: &Place, controllers: usize) -> Rc<RefCell<Store>> {
    let store = store::start(&place.state()).await;
    for i in 0..controllers {
        store::listen(&store, &place.state_of(i), Some(i)).await;
    }
    store
}

/// The cloud, and the machines that a plan begins with.
async fn start_machines(plan: &Plan, place: &Place, recorder: &Recorder) -> Rc<RefCell<Nodes>> {
    let users = (0..plan.controllers).map(|i| place.users(i)).collect();
    let nodes = Nodes::new(users, recorder.clone());
    let nodes = Rc::new(RefCell::new(nodes));
    Cloud::start(nodes.clone(), place.cloud(), plan.net, plan.switches).await;
    add_machines(&nodes, plan);
    nodes
}

/// The machines that a plan begins with, up at once.
fn add_machines(nodes: &Rc<RefCell<Nodes>>, plan: &Plan) {
    for zone in 0..3 {
        for switch in 0..plan.switches {
            for _ in 0..plan.machines {
                nodes::add(nodes, plan.net, zone, switch, Duration::ZERO);
            }
        }
    }
}

/// The operator's file, if the feature is on.
fn write_topology(plan: &Plan) -> Option<PathBuf> {
    let text = plan.topology.as_ref()?;
    let path = plan.folder.join("topology.toml");
    std::fs::write(&path, text).expect("written");
    Some(path)
}

/// What lines are cut by, one for each controller; none is cut yet.
fn intact_lines(controllers: usize) -> Vec<watch::Sender<LinkFault>> {
    (0..controllers)
        .map(|_| watch::Sender::new(LinkFault::None))
        .collect()
}

/// Carries each controller's line to the state service and to each other one.
async fn start_lines(
    place: &Place,
    cuts: &[watch::Sender<LinkFault>],
    state_cuts: &[watch::Sender<LinkFault>],
) {
    for (i, state_cut) in state_cuts.iter().enumerate() {
        let (near, far) = (place.state_line(i), place.state_of(i));
        lines::line(near, far, state_cut.subscribe()).await;
        for o in (0..cuts.len()).filter(|o| *o != i) {
            // Cut at either end: through one line after the other.
            let (near, far) = (place.peer_line(i, o), place.middle(i, o));
            lines::line(far, place.peers(o), cuts[o].subscribe()).await;
            lines::line(near, far, cuts[i].subscribe()).await;
        }
    }
}

/// Runs a test's routine on a runtime of its own.
pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}
