//! Real agents on loopback that hand images on, one origin with a bound whose
//! bytes are counted, and no controller: starts are told by hand. On the way
//! between agents there may be one that cuts, stalls, drips or changes bytes.
//! Nothing here waits for a time to pass; what is waited for is looked at.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::rngs::StdRng;
use rand::{RngCore, SeedableRng};
use serde_json::{json, Value};
use sorrelhinge_agent::agent::Agent;
use sorrelhinge_agent::checksums::{sha256, Checksums};
use sorrelhinge_agent::settings::Settings;
use sorrelhinge_emulators::{ask, run, serve, HttpResponse};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::sleep;

const CHUNK: u64 = 32 << 10;
const BYTES: usize = 1_200_000;
/// Agents that nothing hurries to the origin: its bytes don't depend on how busy
/// the machine is that the tests run on.
const NEAR: &str = "networks = [\"127.0.0.0/8\"]\nstall_s = 2.0\norigin_after_s = 100.0\n";
const PATIENCE: Duration = Duration::from_secs(60);

async fn until(what: &str, mut so: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !so().await {
        assert!(Instant::now() < end, "{what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// An archive with one file of weights.
struct Made {
    weights: Vec<u8>,
    tar: Vec<u8>,
    checksums: Vec<u8>,
}

fn made(seed: u64) -> Made {
    let mut weights = vec![0; BYTES];
    StdRng::seed_from_u64(seed).fill_bytes(&mut weights);
    let mut tar = tar::Builder::new(Vec::new());
    let mut header = tar::Header::new_gnu();
    header.set_size(BYTES as u64);
    header.set_mode(0o644);
    let added = tar.append_data(&mut header, "weights", &weights[..]);
    added.expect("added");
    let tar = tar.into_inner().expect("an archive");
    let checksums = Checksums::of(&tar[..], CHUNK).expect("sums").text();
    Made {
        weights,
        checksums: checksums.into_bytes(),
        tar,
    }
}

/// A server of files, with ranges: the origin, or one that pretends to be an
/// agent. Over `max` requests at once it answers 503.
struct Server {
    addr: SocketAddr,
    files: RefCell<BTreeMap<String, Vec<u8>>>,
    /// Bytes of bodies that went out, but for sums.
    sent: Cell<u64>,
    busy: Cell<usize>,
    max: usize,
    /// Bytes a second on each connection.
    rate: f64,
    /// Nothing behind this byte goes out.
    hold: Cell<u64>,
    /// Sums are answered 503.
    no_checksums: Cell<bool>,
    /// Ranges are not known: it all goes out whatever is asked.
    no_ranges: Cell<bool>,
}

impl Server {
    async fn start(max: usize, rate: f64) -> Rc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Rc::new(Self {
            addr: listener.local_addr().expect("its address"),
            files: RefCell::default(),
            sent: Cell::new(0),
            busy: Cell::new(0),
            max,
            rate,
            hold: Cell::new(u64::MAX),
            no_checksums: Cell::new(false),
            no_ranges: Cell::new(false),
        });
        let own = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let own = own.clone();
                spawn_local(async move {
                    let _ = own.connection(stream).await;
                });
            }
        });
        server
    }

    fn put(&self, path: &str, bytes: &[u8]) {
        let mut files = self.files.borrow_mut();
        files.insert(path.to_owned(), bytes.to_vec());
    }

    fn image(&self, name: &str, made: &Made, with_checksums: bool) {
        self.put(&format!("/i/{name}"), &made.tar);
        if with_checksums {
            self.put(&format!("/i/{name}.sums"), &made.checksums);
        }
    }

    async fn connection(&self, mut stream: TcpStream) -> std::io::Result<()> {
        let mut head = Vec::new();
        loop {
            head.clear();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(stream.read_u8().await?);
            }
            let text = String::from_utf8_lossy(&head).to_lowercase();
            let path = text.split([' ', '?']).nth(1).unwrap_or_default();
            let range = text.lines().find_map(|l| l.strip_prefix("range: bytes="));
            let range = range.filter(|_| !self.no_ranges.get());
            let (from, to) = range.and_then(|r| r.split_once('-')).unwrap_or(("0", ""));
            let from: usize = from.parse().expect("a number");
            let file = self.files.borrow().get(path).cloned();
            let to = to.parse().ok().map(|to: usize| to + 1);
            let body = file.map(|f| f[from..to.unwrap_or(f.len())].to_vec());
            let counts = !path.ends_with("sums");
            let busy = counts && self.busy.get() >= self.max || !counts && self.no_checksums.get();
            let (status, body) = match body {
                None => ("404 none", Vec::new()),
                _ if busy => ("503 busy\r\nretry-after: 1", Vec::new()),
                Some(body) if range.is_some() => ("206 part", body),
                Some(body) => ("200 all", body),
            };
            let length = body.len();
            let head = format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n");
            stream.write_all(head.as_bytes()).await?;
            self.busy.set(self.busy.get() + usize::from(counts));
            let sent = self.body(&mut stream, from, &body, counts).await;
            self.busy.set(self.busy.get() - usize::from(counts));
            sent?;
        }
    }

    async fn body(
        &self,
        stream: &mut TcpStream,
        from: usize,
        body: &[u8],
        counts: bool,
    ) -> std::io::Result<()> {
        for (n, task_name) in body.chunks(8 << 10).enumerate() {
            let end = (from + n * (8 << 10) + task_name.len()) as u64;
            while counts && end > self.hold.get() {
                sleep(Duration::from_millis(5)).await;
            }
            stream.write_all(task_name).await?;
            if counts {
                self.sent.set(self.sent.get() + task_name.len() as u64);
                sleep(Duration::from_secs_f64(task_name.len() as f64 / self.rate)).await;
            }
        }
        Ok(())
    }

    fn copies(&self) -> f64 {
        self.sent.get() as f64 / BYTES as f64
    }
}

/// What is wrong with a way to an agent, after some bytes of each connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    Cut,
    Stall,
    Drip,
    Flip,
}

/// A way to `to` with a fault, and how many connections took it.
async fn way(to: SocketAddr, fault: Fault, after: usize) -> (SocketAddr, Rc<Cell<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("its address");
    let count = Rc::new(Cell::new(0));
    let taken = count.clone();
    spawn_local(async move {
        while let Ok((near, _)) = listener.accept().await {
            taken.set(taken.get() + 1);
            spawn_local(async move {
                let far = TcpStream::connect(to).await?;
                let (mut near_in, mut near_out) = near.into_split();
                let (mut far_in, mut far_out) = far.into_split();
                spawn_local(async move { tokio::io::copy(&mut near_in, &mut far_out).await });
                let (mut passed, mut buffer) = (0, [0; 1024]);
                loop {
                    let n = far_in.read(&mut buffer).await?;
                    let faulty = passed < after && passed + n >= after;
                    passed += n;
                    match fault {
                        _ if n == 0 => return Ok(()),
                        Fault::Cut if faulty => return Ok(()),
                        Fault::Stall if faulty => std::future::pending().await,
                        Fault::Flip if faulty => buffer[n - 1] ^= 1,
                        Fault::Drip if passed >= after => sleep(Duration::from_millis(300)).await,
                        _ => {}
                    }
                    near_out.write_all(&buffer[..n]).await?;
                }
                #[allow(unreachable_code)]
                Ok::<_, std::io::Error>(())
            });
        }
    });
    (addr, count)
}

/// What the agents of a test have in common.
struct World {
    root: PathBuf,
    /// Where images come from, as in the settings.
    images: String,
    controller: SocketAddr,
    heartbeats: Rc<RefCell<Vec<Value>>>,
}

impl World {
    async fn new(name: &str, origin: &Server) -> Self {
        let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("hand-on-{name}"));
        let _ = std::fs::remove_dir_all(&root);
        std::fs::create_dir_all(root.join("jobs")).expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let controller = listener.local_addr().expect("its address");
        let heartbeats: Rc<RefCell<Vec<Value>>> = Rc::default();
        let heard = heartbeats.clone();
        serve(listener, move |_, _, body| {
            let heartbeat = serde_json::from_slice(&body).unwrap_or(Value::Null);
            heard.borrow_mut().push(heartbeat);
            Box::pin(async { HttpResponse::new(200, json!({"baton": 1, "orders": []})) })
        });
        Self {
            root,
            images: format!("server = \"{}\"\nprefix = \"/i\"", origin.addr),
            controller,
            heartbeats,
        }
    }

    /// A job whose task ends well if its image is there.
    fn job(&self, job: &str, image: Value) {
        let text = json!({"version": 1, "command": ["/bin/sh", "-c", "test -f $TASK_IMAGE/weights"],
            "cpus": 1.0, "ram_gb": 1.0, "image": image});
        let file = self.root.join(format!("jobs/{job}.json"));
        std::fs::write(file, text.to_string()).expect("written");
    }

    fn image_job(&self, job: &str, name: &str, made: &Made) {
        self.job(job, json!({"name": name, "sha256": sha256(&made.tar)}));
    }

    fn agent(&self, n: usize) -> Machine {
        self.agent_with(n, NEAR, 1.0)
    }

    fn agent_with(&self, n: usize, hand_on: &str, cache_gb: f64) -> Machine {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let addr = listener.local_addr().expect("its address");
        let folder = self.root.join(format!("vm-{n}"));
        let text = format!(
            "version = 1\nname = \"vm-{n}\"\nkind = \"t\"\nzone = \"za\"\nlisten = \"{addr}\"\n\
             folder = {folder:?}\ncpus = 4.0\nram_gb = 4.0\nreport_s = 0.5\nlease_s = 3000.0\n\
             cache_gb = {cache_gb:?}\n[[controllers]]\nnode = \"c-0\"\naddress = \"{}\"\n\
             [jobs]\nfolder = {:?}\n[images]\n{}\n\
             [hand_on]\n{hand_on}\n",
            self.controller,
            self.root.join("jobs"),
            self.images,
        );
        let mut machine = Machine {
            addr,
            folder,
            settings: Settings::parse(&text).expect("valid settings"),
            listener,
            life: None,
        };
        machine.start();
        machine
    }
}

/// An agent on a thread of its own, which ends with all that it does when it is
/// killed. Its listener stays, so its address is nobody else's meanwhile.
struct Machine {
    addr: SocketAddr,
    folder: PathBuf,
    settings: Settings,
    listener: std::net::TcpListener,
    life: Option<(oneshot::Sender<()>, std::thread::JoinHandle<()>)>,
}

impl Machine {
    fn start(&mut self) {
        let listener = self.listener.try_clone().expect("the same socket");
        let settings = self.settings.clone();
        let (end, ended) = oneshot::channel();
        let thread = std::thread::spawn(move || {
            run(async move {
                listener.set_nonblocking(true).expect("set");
                let listener = TcpListener::from_std(listener).expect("a listener");
                let program = PathBuf::from(env!("CARGO_BIN_EXE_sorrelhinge-agent"));
                let agent = Agent::open(settings, program).expect("a folder");
                agent.run_on(listener, async { drop(ended.await) }).await;
            });
        });
        self.life = Some((end, thread));
    }

    fn kill(&mut self) {
        if let Some((end, thread)) = self.life.take() {
            drop(end);
            let _ = thread.join();
        }
    }

    async fn begin(&self, task: &str, attempt: u32, from: &[SocketAddr]) {
        let commands = json!({"baton": 1, "shift": 1, "orders": [
            {"verb": "start", "piece": task, "try": attempt, "from": from}]});
        let told = ask(self.addr, Method::POST, "/orders", &commands).await;
        assert_eq!(told.expect("an answer").status, 200);
    }

    async fn heartbeat(&self) -> Value {
        let told = ask(self.addr, Method::GET, "/status", &Value::Null).await;
        told.map_or(Value::Null, |response| response.body)
    }

    /// Why a task ended, once it has.
    async fn ended(&self, task: &str, attempt: u32) -> String {
        let mut why = None;
        until(&format!("{task} on {} ends", self.addr), async || {
            let heartbeat = self.heartbeat().await;
            let mut tasks = heartbeat["pieces"].as_array().into_iter().flatten();
            let task_name = tasks.find(|p| p["piece"] == task && p["try"] == attempt);
            why = task_name.and_then(|p| p["cause"].as_str().map(str::to_owned));
            why.is_some()
        })
        .await;
        why.unwrap_or_default()
    }

    /// A task gets its image, every byte of it.
    async fn gets(&self, task: &str, from: &[SocketAddr], made: &Made) {
        self.begin(task, 1, from).await;
        assert_eq!(self.ended(task, 1).await, "done", "{task}");
        self.has(made);
    }

    /// The image is there, every byte of it.
    fn has(&self, made: &Made) {
        let place = self.folder.join("images").join(sha256(&made.tar));
        let weights = std::fs::read(place.join("weights")).expect("it is there");
        assert!(weights == made.weights, "{}: other bytes", self.addr);
    }

    /// Waits until so many chunks came, by what the agent tells.
    async fn has_chunks(&self, least: u64) {
        until("it has a part", async || {
            self.heartbeat().await["images"][0]["parts"].as_u64() >= Some(least)
        })
        .await;
    }

    /// What is kept in the folder of images or of parts.
    fn kept(&self, folder: &str) -> usize {
        let names = std::fs::read_dir(self.folder.join(folder));
        names.map_or(0, |names| names.count())
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Status and body of a request from an address.
async fn get(from: IpAddr, to: SocketAddr, path: &str, range: Option<&str>) -> (u16, Vec<u8>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind((from, 0).into()).expect("an address");
    let mut stream = socket.connect(to).await.expect("a connection");
    let range = range.map_or(String::new(), |r| format!("range: bytes={r}\r\n"));
    let head = format!("GET {path} HTTP/1.1\r\nhost: a\r\n{range}connection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await.expect("an answer");
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n");
    let body = answer.split_off(end.expect("a head") + 4);
    let status = String::from_utf8_lossy(&answer[9..12]).parse();
    (status.expect("a status"), body)
}

/// Images by name and seed, an origin that has them with or without sums, and a
/// job for each: `run-1`, and so on.
async fn set<const N: usize>(
    name: &str,
    images: [(&str, u64, bool); N],
) -> ([Made; N], Rc<Server>, World) {
    let origin = Server::start(2, 1e9).await;
    let world = World::new(name, &origin).await;
    let mut n = 0;
    let all = images.map(|(image, seed, with_checksums)| {
        let made = made(seed);
        origin.image(image, &made, with_checksums);
        n += 1;
        world.image_job(&format!("run-{n}"), image, &made);
        made
    });
    (all, origin, world)
}

const HERE: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);

/// Twelve agents in three steps, of which two fetch from the origin. One of
/// those is killed half way for good, one of the second step is killed and
/// comes back, and ways are cut, stalled and changed: all get the image, whole,
/// and the origin is read a few times, not twelve.
#[test]
fn a_dozen_agents_hand_an_image_on() {
    run(async {
        let made = made(1);
        let origin = Server::start(2, 1e6).await;
        origin.image("weights", &made, true);
        origin.hold.set(8 * CHUNK);
        let world = World::new("dozen", &origin).await;
        world.image_job("run-1", "weights", &made);
        let mut agents: Vec<Machine> = (0..12).map(|n| world.agent(n)).collect();
        let at = |n: usize| agents[n].addr;
        let mut from: Vec<Vec<SocketAddr>> = vec![Vec::new(), Vec::new()];
        for n in 2..6 {
            from.push(vec![at(n % 2), at((n + 1) % 2)]);
        }
        for n in 6..12 {
            from.push(vec![at(2 + n % 4), at(2 + (n + 1) % 4)]);
        }
        let faults = [Fault::Cut, Fault::Flip, Fault::Stall, Fault::Cut];
        for (n, fault) in [2, 6, 8, 10].into_iter().zip(faults) {
            // In the middle of some chunk.
            from[n][0] = way(from[n][0], fault, 40_000 + 3_000 * n).await.0;
        }
        for (agent, from) in agents.iter().zip(&from) {
            agent.begin("run-1/0", 1, from).await;
        }
        let begun = Instant::now();
        // What one has goes out while the rest still comes, also two steps on.
        for n in [0, 3, 7] {
            agents[n].has_chunks(6).await;
            assert_eq!(agents[n].kept("images"), 0, "half an image is none");
        }
        agents[0].kill();
        origin.hold.set(u64::MAX);
        agents[3].kill();
        agents[3].start();
        assert_eq!(agents[3].ended("run-1/0", 1).await, "stopped");
        agents[3].begin("run-1/0", 2, &from[3]).await;
        for (n, agent) in agents.iter().enumerate().skip(1) {
            let attempt = if n == 3 { 2 } else { 1 };
            assert_eq!(agent.ended("run-1/0", attempt).await, "done", "agent {n}");
            agent.has(&made);
        }
        let copies = origin.copies();
        println!("{copies} copies from the origin, {:?}", begun.elapsed());
        assert!(copies < 4.0, "{copies} copies from the origin");
        // Controllers are told of it.
        until("it is reported", async || {
            let heartbeats = world.heartbeats.borrow();
            let all = json!([{"image": "weights", "parts": 37, "of": 37}]);
            heartbeats.iter().any(|r| r["images"] == all)
        })
        .await;
    });
}

/// Whatever is wrong with one source, the next gives what misses; the origin is
/// not asked. One whose bytes are wrong is asked once.
#[test]
fn a_source_that_fails_is_left_for_the_next() {
    run(async {
        let ([made], origin, world) = set("faults", [("weights", 2, true)]).await;
        let seed = world.agent(0);
        seed.gets("run-1/0", &[], &made).await;
        let once = origin.sent.get();
        assert_eq!(once, made.tar.len() as u64);
        let one_by_one = format!("{NEAR}downloads = 1");
        let faults = [Fault::Cut, Fault::Stall, Fault::Drip, Fault::Flip];
        for (n, fault) in faults.into_iter().enumerate() {
            let (bad, taken) = way(seed.addr, fault, 50_000).await;
            let agent = world.agent_with(1 + n, &one_by_one, 1.0);
            agent.gets("run-1/0", &[bad, seed.addr], &made).await;
            assert!(taken.get() > 0, "{fault:?}: the way was taken");
            assert!(fault != Fault::Flip || taken.get() == 1, "it is dropped");
        }
        assert_eq!(origin.sent.get(), once, "nothing more from the origin");
    });
}

/// Agents that were named don't answer, or know nothing of the image: the origin
/// takes their place, also one that knows no ranges: then all is taken as it
/// passes, once.
#[test]
fn the_origin_takes_the_place_of_agents_that_give_nothing() {
    run(async {
        let ([made], origin, world) = set("origin", [("weights", 10, true)]).await;
        origin.no_ranges.set(true);
        let silent = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let silent_at = silent.local_addr().expect("its address");
        let knows_nothing = world.agent(0);
        let soon = "networks = [\"127.0.0.0/8\"]\nstall_s = 0.3\norigin_after_s = 1.0";
        let agent = world.agent_with(1, soon, 1.0);
        let from = [silent_at, knows_nothing.addr];
        agent.gets("run-1/0", &from, &made).await;
        assert_eq!(origin.sent.get(), made.tar.len() as u64, "one copy");
    });
}

/// A folder is an origin too: its image comes in chunks where its sums are, and
/// goes on to another agent.
#[test]
fn a_folder_is_an_origin_too() {
    run(async {
        let ([made], origin, mut world) = set("folder", [("weights", 11, true)]).await;
        origin.files.borrow_mut().clear();
        let folder = world.root.join("images");
        world.images = format!("folder = {folder:?}");
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("weights.tar"), &made.tar).expect("written");
        std::fs::write(folder.join("weights.sums"), &made.checksums).expect("written");
        let first = world.agent(0);
        first.gets("run-1/0", &[], &made).await;
        let checksums = get(HERE, first.addr, "/images/weights/sums", None).await;
        assert_eq!(checksums, (200, made.checksums.clone()), "as they came");
        std::fs::remove_dir_all(&folder).expect("removed");
        let second = world.agent(1);
        second.gets("run-1/0", &[first.addr], &made).await;
    });
}

/// Killed with a part of an image, an agent goes on with what it has: nothing
/// of it is fetched twice. A part that changed on the disk is.
#[test]
fn a_restart_goes_on_with_the_chunks_that_are_there() {
    run(async {
        let ([made], origin, world) = set("resume", [("weights", 3, true)]).await;
        origin.hold.set(20 * CHUNK);
        let mut agent = world.agent(0);
        agent.begin("run-1/0", 1, &[]).await;
        agent.has_chunks(20).await;
        agent.kill();
        let sha = sha256(&made.tar);
        let archive = agent.folder.join("hand_on").join(&sha).join("archive");
        let mut bytes = std::fs::read(&archive).expect("a part");
        bytes[5 * CHUNK as usize] ^= 1;
        std::fs::write(&archive, bytes).expect("written");
        origin.hold.set(u64::MAX);
        let before = origin.sent.get();
        agent.start();
        assert_eq!(agent.ended("run-1/0", 1).await, "stopped");
        assert_eq!(agent.kept("images"), 0, "half an image is none");
        agent.begin("run-1/0", 2, &[]).await;
        assert_eq!(agent.ended("run-1/0", 2).await, "done");
        agent.has(&made);
        let again = origin.sent.get() - before;
        // One that was on its way when the agent ended may still have gone out.
        let max = made.tar.len() as u64 - 18 * CHUNK;
        assert!(again <= max, "{again} of at most {max} bytes");
    });
}

/// The origin has no sums: the image comes whole, and is handed on once it is
/// there. An agent that gives wrong sums, and bytes that go with them, is found
/// out by the sum that the job names, and nothing of it was handed on.
#[test]
fn without_checksums_the_whole_proves_what_an_agent_says() {
    run(async {
        let other = made(40);
        let ([made], origin, world) = set("whole", [("weights", 4, false)]).await;
        let first = world.agent(0);
        first.gets("run-1/0", &[], &made).await;
        let second = world.agent(1);
        second.gets("run-1/0", &[first.addr], &made).await;
        assert_eq!(origin.sent.get(), made.tar.len() as u64, "one copy");
        let liar = Server::start(9, 1e9).await;
        let checksums = String::from_utf8(other.checksums.clone()).expect("text");
        let checksums = checksums.replace(&sha256(&other.tar), &sha256(&made.tar));
        liar.put("/images/weights/sums", checksums.as_bytes());
        liar.put("/images/weights", &other.tar);
        liar.hold.set(other.tar.len() as u64 - 1);
        let third = world.agent(2);
        third.begin("run-1/0", 1, &[liar.addr, first.addr]).await;
        until("all but its last chunk came", async || {
            liar.sent.get() >= 36 * CHUNK
        })
        .await;
        // An agent's word is not handed on.
        for path in ["/images/weights/sums", "/images/weights"] {
            let (status, _) = get(HERE, third.addr, path, Some("0-9")).await;
            assert_eq!(status, 503, "{path}");
        }
        liar.hold.set(u64::MAX);
        assert_eq!(third.ended("run-1/0", 1).await, "done");
        third.has(&made);
        assert_eq!(origin.sent.get(), made.tar.len() as u64, "still one copy");
    });
}

/// While the origin doesn't answer, an agent's sums do to fetch by, but not to
/// hand on; once it has confirmed them, what is there goes out at once.
#[test]
fn checksums_of_an_agent_are_handed_on_once_the_origin_confirms_them() {
    run(async {
        let ([made], origin, world) = set("confirm", [("weights", 9, true)]).await;
        origin.no_checksums.set(true);
        let peer = Server::start(9, 1e9).await;
        peer.put("/images/weights/sums", &made.checksums);
        peer.put("/images/weights", &made.tar);
        for server in [&peer, &origin] {
            server.hold.set(20 * CHUNK);
        }
        let agent = world.agent(0);
        agent.begin("run-1/0", 1, &[peer.addr]).await;
        until("20 chunks", async || peer.sent.get() >= 20 * CHUNK).await;
        let (checksums, path) = ("/images/weights/sums", "/images/weights");
        assert_eq!(get(HERE, agent.addr, checksums, None).await.0, 503);
        assert_eq!(get(HERE, agent.addr, path, Some("0-9")).await.0, 503);
        origin.no_checksums.set(false);
        until("they are confirmed", async || {
            get(HERE, agent.addr, checksums, None).await == (200, made.checksums.clone())
        })
        .await;
        let got = get(HERE, agent.addr, path, Some("0-9")).await;
        assert_eq!(got, (206, made.tar[..10].to_vec()));
        let (status, _) = get(HERE, agent.addr, path, None).await;
        assert_eq!(status, 503, "not the whole");
        for server in [&peer, &origin] {
            server.hold.set(u64::MAX);
        }
        assert_eq!(agent.ended("run-1/0", 1).await, "done");
        agent.has(&made);
    });
}

/// An image that the job knows the sums' sum of: the sums come from an agent,
/// and the origin is asked nothing at all.
#[test]
fn checksums_that_the_job_names_come_from_any_agent() {
    run(async {
        let ([made], origin, world) = set("named", [("weights", 5, true)]).await;
        let (sha, checksums) = (sha256(&made.tar), sha256(&made.checksums));
        let image = json!({"name": "weights", "sha256": sha, "sums_sha256": checksums});
        world.job("run-1", image);
        let first = world.agent(0);
        first.gets("run-1/0", &[], &made).await;
        origin.files.borrow_mut().clear();
        let second = world.agent(1);
        second.gets("run-1/0", &[first.addr], &made).await;
    });
}

/// Two images of one name: each comes to whom it is meant for, the older from
/// an agent that still has it; a guess is no answer. Where only the other one
/// can be had, the task ends, and nothing is left behind.
#[test]
fn two_images_of_one_name_are_two() {
    run(async {
        let new = made(60);
        let ([old], origin, world) = set("name", [("weights", 6, true)]).await;
        world.image_job("run-2", "weights", &new);
        let first = world.agent(0);
        first.gets("run-1/0", &[], &old).await;
        origin.image("weights", &new, true);
        let second = world.agent(1);
        second.gets("run-2/0", &[], &new).await;
        second.gets("run-1/0", &[first.addr], &old).await;
        let path = "/images/weights";
        assert_eq!(get(HERE, second.addr, path, Some("0-9")).await.0, 409);
        for made in [&old, &new] {
            let one = format!("{path}?sha256={}", sha256(&made.tar));
            let got = get(HERE, second.addr, &one, Some("600-699")).await;
            assert_eq!(got, (206, made.tar[600..700].to_vec()));
        }
        let third = world.agent(2);
        third.begin("run-1/0", 1, &[]).await;
        assert_eq!(third.ended("run-1/0", 1).await, "error");
        assert_eq!((third.kept("images"), third.kept("hand_on")), (0, 0));
    });
}

/// An image that is larger than the cache ends the task, with or without sums,
/// and leaves nothing. What nobody uses gives way to one that fits.
#[test]
fn an_image_larger_than_the_cache_is_no_image() {
    run(async {
        let images = [("with", 7, true), ("without", 7, false), ("two", 70, true)];
        let ([one, _, two], _origin, world) = set("large", images).await;
        let small = world.agent_with(0, NEAR, 0.001);
        for task in ["run-1/0", "run-2/0"] {
            small.begin(task, 1, &[]).await;
            assert_eq!(small.ended(task, 1).await, "error");
            assert_eq!((small.kept("images"), small.kept("hand_on")), (0, 0));
        }
        let larger = world.agent_with(1, NEAR, 0.002);
        larger.gets("run-1/0", &[], &one).await;
        larger.gets("run-3/0", &[], &two).await;
        assert_eq!((larger.kept("images"), larger.kept("hand_on")), (1, 1));
    });
}

/// Only its images go out, only to its networks, over its slots; and a start of
/// its own doesn't wait for what goes out.
#[test]
fn uploads_are_bounded_and_in_nobodys_way() {
    run(async {
        let images = [("one", 8, true), ("two", 80, true)];
        let ([one, two], origin, world) = set("bounds", images).await;
        let near = IpAddr::V4(Ipv4Addr::new(127, 0, 5, 1));
        // An upload of the whole takes a minute.
        let bounds = "networks = [\"127.0.5.0/24\"]\nuploads = 1\nupload_mb_per_s = 0.02";
        let agent = world.agent_with(0, bounds, 1.0);
        agent.gets("run-1/0", &[], &one).await;
        let path = "/images/one";
        assert_eq!(get(HERE, agent.addr, path, Some("0-9")).await.0, 403);
        assert_eq!(get(HERE, agent.addr, "/images/one/sums", None).await.0, 403);
        let got = get(near, agent.addr, path, Some("600-609")).await;
        assert_eq!(got, (206, one.tar[600..610].to_vec()));
        let checksums = get(near, agent.addr, "/images/one/sums", None).await;
        assert_eq!(checksums, (200, one.checksums.clone()));
        let past = format!("{}-", one.tar.len());
        assert_eq!(get(near, agent.addr, path, Some(&past)).await.0, 416);
        for none in ["none", "../journal", "%2e%2e/journal", "/etc/passwd"] {
            let none = format!("/images/{none}");
            assert_eq!(get(near, agent.addr, &none, None).await.0, 404, "{none}");
        }
        let to = agent.addr;
        let long = spawn_local(async move { while get(near, to, path, None).await.0 == 503 {} });
        until("the slot is taken", async || {
            get(near, agent.addr, path, Some("0-0")).await.0 == 503
        })
        .await;
        let (far, taken) = way(origin.addr, Fault::Cut, usize::MAX).await;
        agent.gets("run-2/0", &[far], &two).await;
        assert_eq!(taken.get(), 0, "nothing is taken from other networks");
        assert!(!long.is_finished(), "all the while it was taken");
        long.abort();
    });
}
