//! Weights that many machines want at once: three real controllers and a dozen
//! real agents on loopback, and one origin with a bound, whose bytes are counted.
//! The owner ends in the middle of the rollout, and then a machine that the others
//! take from.
//!
//! A program of its own rather than of the test harness: an agent runs each task
//! by starting itself again, and here that is this program. Nothing waits for a
//! time to pass; the origin holds back what comes next until all is as it should
//! be.

mod loopback;

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use serde_json::{json, Value};
use sorrelhinge::state::record::{image_hash, rollout_key};
use sorrelhinge::types::Image;
use sorrelhinge_agent::agent::Agent;
use sorrelhinge_agent::checksums::{sha256, Checksums};
use sorrelhinge_agent::settings::Settings;
use sorrelhinge_agent::supervise;
use sorrelhinge_emulators::{ask, run, HttpResponse, World, HEARTBEAT_S, LEASE_S, ZONES};
use sorrelhinge_sharding::shard::ShardId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

use self::loopback::AT;

const NAME: &str = "the_origin_gives_few_copies_whoever_ends";
const WEIGHTS: &str = "llm-1";
const BYTES: usize = 3_000_000;
const CHUNK: u64 = 64 << 10;
const AGENTS: usize = 12;
/// What is waited for comes within this, or never.
const PATIENCE: Duration = Duration::from_secs(120);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match &args[..] {
        [verb, folder] if verb == "supervise" => {
            return match supervise::supervise(folder.into()) {
                Ok(()) => ExitCode::SUCCESS,
                Err(_) => ExitCode::from(3),
            };
        }
        [verb, folder] if verb == "become" => {
            eprintln!("{}", supervise::become_task(folder.into()));
            return ExitCode::from(127);
        }
        _ => {}
    }
    // As the harness has it.
    if args.iter().any(|a| a == "--list") {
        println!("{NAME}: test");
        return ExitCode::SUCCESS;
    }
    if !is_selected(&args) {
        println!("test result: ok. 0 passed; 1 filtered out");
        return ExitCode::SUCCESS;
    }
    let begun = Instant::now();
    run(the_origin_gives_few_copies_whoever_ends());
    let took = begun.elapsed().as_secs_f64();
    println!("test {NAME} ... ok\n\ntest result: ok. 1 passed; finished in {took:.2}s");
    ExitCode::SUCCESS
}

/// Whether the arguments of the harness select the test: it is named by a filter, if there
/// is one, and by no `--skip`.
fn is_selected(args: &[String]) -> bool {
    let exact = args.iter().any(|a| a == "--exact");
    let names_test = |filter: &String| {
        if exact {
            filter == NAME
        } else {
            NAME.contains(filter.as_str())
        }
    };
    let mut filters = Vec::new();
    let mut rest = args.iter();
    while let Some(arg) = rest.next() {
        if arg == "--skip" {
            if rest.next().is_some_and(names_test) {
                return false;
            }
        } else if !arg.starts_with('-') {
            filters.push(arg);
        }
    }
    filters.is_empty() || filters.into_iter().any(names_test)
}

/// The origin: two files, with ranges, to so many at once.
struct Origin {
    addr: SocketAddr,
    tar: Vec<u8>,
    checksums: Vec<u8>,
    /// Bytes of the image that went out.
    sent: Cell<u64>,
    busy: Cell<usize>,
    /// Nothing of it behind this byte goes out.
    hold: Cell<u64>,
}

impl Origin {
    const MAX: usize = 4;
    const PIECE: usize = 16 << 10;

    async fn start(tar: Vec<u8>) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let checksums = Checksums::of(&tar[..], CHUNK).expect("sums").text();
        let origin = Rc::new(Self {
            addr: listener.local_addr().expect("its address"),
            checksums: checksums.into_bytes(),
            sent: Cell::new(0),
            busy: Cell::new(0),
            hold: Cell::new(tar.len() as u64 / 3),
            tar,
        });
        let own = origin.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                spawn_local(async move {
                    let _ = own.connection(stream).await;
                });
            }
        });
        origin
    }

    async fn connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        loop {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let text = String::from_utf8_lossy(&head).to_lowercase();
            let path = text.split([' ', '?']).nth(1).unwrap_or_default();
            if path.ends_with(".sums") {
                self.head(&mut stream, "200 all", self.checksums.len())
                    .await?;
                stream.write_all(&self.checksums).await?;
                continue;
            }
            if self.busy.get() >= Self::MAX {
                self.head(&mut stream, "503 busy\r\nretry-after: 1", 0)
                    .await?;
                continue;
            }
            let range = text.lines().find_map(|l| l.strip_prefix("range: bytes="));
            let (from, to) = range.and_then(|r| r.split_once('-')).unwrap_or(("0", ""));
            let from: usize = from.parse().unwrap_or(0);
            let to = to.trim().parse().map_or(self.tar.len(), |to: usize| to + 1);
            let status = range.map_or("200 all", |_| "206 part");
            self.head(&mut stream, status, to - from).await?;
            self.busy.set(self.busy.get() + 1);
            let sent = self.body(&mut stream, from, to).await;
            self.busy.set(self.busy.get() - 1);
            sent?;
        }
    }

    async fn head(&self, to: &mut TcpStream, status: &str, bytes: usize) -> std::io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {bytes}\r\n\r\n");
        to.write_all(head.as_bytes()).await
    }

    async fn body(&self, stream: &mut TcpStream, from: usize, to: usize) -> std::io::Result<()> {
        for (n, task_name) in self.tar[from..to].chunks(Self::PIECE).enumerate() {
            let end = from + n * Self::PIECE + task_name.len();
            while end as u64 > self.hold.get() {
                sleep(Duration::from_millis(5)).await;
            }
            stream.write_all(task_name).await?;
            self.sent.set(self.sent.get() + task_name.len() as u64);
        }
        Ok(())
    }

    fn copies(&self) -> f64 {
        self.sent.get() as f64 / self.tar.len() as f64
    }
}

/// An agent on a thread of its own, which ends with all that it does when it is
/// killed. Its listener stays, so its address is nobody else's meanwhile.
struct Machine {
    id: String,
    addr: SocketAddr,
    folder: PathBuf,
    _listener: std::net::TcpListener,
    life: Option<(oneshot::Sender<()>, std::thread::JoinHandle<()>)>,
}

impl Machine {
    fn start(n: usize, root: &Path, world: &World, origin: &Origin) -> Self {
        let zone = ZONES[0];
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("its address");
        let (id, folder) = (format!("vm-9{n:05}"), root.join(format!("vm-{n}")));
        let controllers: String = (0..3)
            .map(|i| {
                let at = world.address(i);
                format!("[[controllers]]\nnode = \"c-{i}\"\naddress = \"{at}\"\n")
            })
            .collect();
        let text = format!(
            "version = 1\nname = \"{id}\"\nkind = \"t\"\nzone = \"{zone}\"\nlisten = \"{addr}\"\n\
             folder = {folder:?}\ncpus = 4.0\nram_gb = 16.0\nreport_s = {HEARTBEAT_S:?}\n\
             lease_s = {LEASE_S:?}\ncache_gb = 1.0\n{controllers}[jobs]\nfolder = {:?}\n\
             [images]\nserver = \"{}\"\nprefix = \"/i\"\n\
             [hand_on]\nnetworks = [\"127.0.0.0/8\"]\nstall_s = 5.0\norigin_after_s = 20.0\n",
            root.join("jobs"),
            origin.addr,
        );
        let settings = Settings::parse(&text).expect("valid settings");
        let served = listener.try_clone().expect("the same socket");
        let (end, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            run(async move {
                served.set_nonblocking(true).expect("set");
                let listener = TcpListener::from_std(served).expect("a listener");
                let program = std::env::current_exe().expect("this program");
                let agent = Agent::open(settings, program).expect("a folder");
                agent.run_on(listener, async { drop(ended.await) }).await;
            });
        });
        let listed = json!({"uid": id, "addr": addr, "build": "t", "rack": zone,
            "loaners": false, "phase": "running", "held_s": 60.0});
        world.nodes.borrow_mut().others.insert(id.clone(), listed);
        Self {
            id,
            addr,
            folder,
            _listener: listener,
            life: Some((end, thread)),
        }
    }

    fn kill(&mut self) {
        if let Some((end, thread)) = self.life.take() {
            drop(end);
            let _ = thread.join();
        }
    }

    /// Its tasks that are in a phase.
    async fn tasks(&self, phase: &str) -> usize {
        self.count(|p| p["phase"] == phase).await
    }

    async fn count(&self, which: impl Fn(&Value) -> bool) -> usize {
        if self.life.is_none() {
            return 0;
        }
        let told = ask(self.addr, Method::GET, "/status", &Value::Null).await;
        let heartbeat = told.map_or(Value::Null, |response| response.body);
        let tasks = heartbeat["pieces"].as_array().cloned().unwrap_or_default();
        tasks.iter().filter(|p| which(p)).count()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until so many tasks are in a phase on all machines.
async fn until(machines: &[Machine], tasks: usize, phase: &str, origin: &Origin) {
    let begun = Instant::now();
    loop {
        let mut all = 0;
        for m in machines {
            all += m.tasks(phase).await;
        }
        let (took, copies) = (begun.elapsed(), origin.copies());
        let so_far = format!("{all} of {tasks} {phase} after {took:.1?}, {copies:.2} copies");
        if all == tasks {
            println!("{so_far}");
            return;
        }
        assert!(took < PATIENCE, "{so_far}");
        sleep(Duration::from_millis(50)).await;
    }
}

fn archive(weights: &[u8]) -> Vec<u8> {
    let mut tar = tar::Builder::new(Vec::new());
    let mut header = tar::Header::new_gnu();
    header.set_size(weights.len() as u64);
    header.set_mode(0o644);
    let added = tar.append_data(&mut header, "weights", weights);
    added.expect("added");
    tar.into_inner().expect("an archive")
}

async fn submit(world: &World, root: &Path, uid: &str, replicas: usize, sum: &str) {
    let script = "test -f $TASK_IMAGE/weights && exec sleep 1000";
    let text = json!({"version": 1, "command": ["/bin/sh", "-c", script], "cpus": 3.0,
        "ram_gb": 1.0, "image": {"name": WEIGHTS, "sha256": sum}});
    std::fs::write(root.join(format!("jobs/{uid}.json")), text.to_string()).expect("written");
    let job = json!({"shape": "standing", "rank": "critical", "pieces": replicas, "cpus": 3.0,
        "bundle": WEIGHTS, "pull_gb": 10.0});
    assert_eq!(world.submit(uid, job).await.status, 201);
}

/// An empty folder for the agents, which log to a file in it.
fn agents_folder() -> PathBuf {
    let root = Path::new(AT.1).join("hand_on_agents");
    let _ = std::fs::remove_dir_all(&root);
    std::fs::create_dir_all(root.join("jobs")).expect("a folder");
    let log = std::fs::File::create(root.join("agents.log")).expect("a log");
    tracing_subscriber::fmt()
        .with_writer(std::sync::Mutex::new(log))
        .with_ansi(false)
        .init();
    root
}

/// The machines that have the image from the origin, as the rollout's record names them.
fn seeds(world: &World) -> Vec<String> {
    let key = rollout_key(ShardId(0), image_hash(&Image::from(WEIGHTS)));
    let record = world.store.borrow().get(&key).unwrap_or(Value::Null);
    let seeds = record["m"].as_array().cloned().unwrap_or_default();
    let seeds = seeds.iter().filter_map(|m| m.as_str().map(str::to_owned));
    seeds.collect()
}

/// The owner ends, and is back when another has taken over.
async fn replace_owner(world: &mut World) {
    let owner = world.leader().expect("a leader");
    world.kill_controller(owner);
    let another = |w: &World| w.leader().is_some_and(|l| l != owner);
    world.until("another leader", 20, another).await;
    world.start_controller(owner);
}

/// A machine that others take from ends, and never comes back. (The one that
/// takes it from the origin ends in the agents' own test.)
async fn kill_second_hand_source(machines: &mut [Machine]) {
    let second = |p: &Value| {
        p["piece"]
            .as_str()
            .is_some_and(|p| p.starts_with("run-000002/"))
    };
    let mut lost = 0;
    while machines[lost].count(second).await == 0 {
        lost = (lost + 1) % AGENTS;
    }
    machines[lost].kill();
}

/// All machines that are left have the image as it is at the origin.
fn images_are_right(machines: &[Machine], sum: &str, weights: &[u8]) {
    for m in machines.iter().filter(|m| m.life.is_some()) {
        let there = m.folder.join("images").join(sum).join("weights");
        let there = std::fs::read(there).expect("the image is there");
        assert!(there == weights, "{}: other bytes", m.id);
    }
}

/// Ends both jobs. Tasks are processes: none is to outlive the test.
async fn cancel_jobs(world: &World) {
    for uid in ["run-000001", "run-000002"] {
        let path = format!("/v1/jobs/{uid}/withdraw");
        let HttpResponse { status, .. } = world.ask(Method::POST, &path, &Value::Null).await;
        assert_eq!(status, 200);
    }
}

async fn the_origin_gives_few_copies_whoever_ends() {
    let root = agents_folder();
    let mut weights = vec![0; BYTES];
    StdRng::seed_from_u64(7).fill_bytes(&mut weights);
    let tar = archive(&weights);
    let sum = sha256(&tar);
    let origin = Origin::start(tar).await;
    let mut plan = loopback::plan("hand_on", 120, 0);
    plan.properties = "staging.least.gb=5\n";
    let mut world = World::start(plan).await;
    // There are these machines and no others.
    world.nodes.borrow_mut().full = true;
    let mut machines: Vec<Machine> = (0..AGENTS)
        .map(|n| Machine::start(n, &root, &world, &origin))
        .collect();
    world.until("a leader", 20, |w| w.leader().is_some()).await;

    // Half of them begin; the origin holds back two thirds of the image.
    submit(&world, &root, "run-000001", 6, &sum).await;
    until(&machines, 6, "fetching", &origin).await;
    world
        .until("the seeds are recorded", 20, |w| !seeds(w).is_empty())
        .await;

    replace_owner(&mut world).await;
    submit(&world, &root, "run-000002", 5, &sum).await;
    until(&machines, 11, "fetching", &origin).await;
    // Three copies are what a zone may take.
    assert!(seeds(&world).len() <= 3, "{:?}", seeds(&world));

    kill_second_hand_source(&mut machines).await;
    origin.hold.set(u64::MAX);
    until(&machines, 11, "running", &origin).await;
    let copies = origin.copies();
    // One is what it takes. Without sources it would be one each.
    assert!(copies < 4.0, "{copies} copies for {AGENTS} machines");
    images_are_right(&machines, &sum, &weights);
    cancel_jobs(&world).await;
    until(&machines, 0, "running", &origin).await;
    world.rules_hold();
}
