//! What an agent costs: task starts a second, memory with 200 tasks, bytes and
//! processor time of a heartbeat at 10, 100 and 1,000 tasks, and the time from a
//! kill to the first heartbeat with all tasks accounted for. The controller is a
//! stand-in on loopback that answers every heartbeat.
//!
//!     cargo build --release --locked --workspace
//!     cargo run --release --locked -p sorrelhinge-agent --example measure

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use sorrelhinge_agent::core::{Core, Ending, Key, Known, Machine, Recovered};
use sorrelhinge_emulators::{ask, run, serve, HttpResponse};
use sorrelhinge_protocol::types::{Amount, Attempt, MachineId, Time, TypeName, Zone};
use sorrelhinge_protocol::worker::ExitReason;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};
use tokio::time::sleep;

/// Heartbeats that are made for one figure.
const HEARTBEATS: u32 = 1000;
/// Tasks that are started at once.
const STARTS: usize = 200;
/// How often an agent is killed and started again.
const RESTARTS: usize = 5;

/// A machine with so many tasks, of which half have ended.
fn core_with(tasks: u64) -> Core {
    let machine = Machine {
        name: MachineId::from("vm-000001"),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        kind: TypeName::from("t"),
        zone: Zone::from("za"),
        spot: false,
        total: Amount::new(1e6, 0.0, 1e6),
        report_s: 3.0,
        lease_s: 30.0,
        controllers: vec!["c-0".into()],
    };
    let known = |n: u64| {
        let done = Ending {
            why: ExitReason::Done,
            kept: false,
        };
        Known {
            units: Vec::new(),
            ended: (n % 2 == 0).then_some(done),
        }
    };
    let key = |n: u64| Key {
        task_name: format!("run-{:06}/{}", n / 10, n % 10),
        attempt: Attempt(n),
    };
    let found = Recovered {
        tasks: (0..tasks).map(|n| (key(n), known(n))).collect(),
        ..Recovered::default()
    };
    Core::recover(machine, found, Time(0.0)).core
}

/// How large a heartbeat is, and how long one takes.
fn heartbeat_cost(tasks: u64) {
    let mut core = core_with(tasks);
    let mut bytes = 0;
    let begun = Instant::now();
    for _ in 0..HEARTBEATS {
        let outcome = core.status(Time(1.0)).outcome;
        if let sorrelhinge_agent::core::CommandOutcome::Heartbeat { heartbeat, .. } = outcome {
            bytes = serde_json::to_vec(&heartbeat).expect("JSON").len();
        }
    }
    let micros = begun.elapsed().as_secs_f64() * 1e6 / f64::from(HEARTBEATS);
    println!("a report of {tasks} tasks: {bytes} bytes, {micros:.0} us");
}

fn memory_kb(pid: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS"));
    let number = line.and_then(|l| l.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}

fn agent(program: &Path, config: &Path) -> Child {
    Command::new(program)
        .arg("--config")
        .arg(config)
        .env("LOG_LEVEL", "error")
        .stdin(Stdio::null())
        .spawn()
        .expect("the agent starts: build the workspace first")
}

fn pieces(heartbeat: &Value, phase: &str) -> usize {
    let all = heartbeat["pieces"].as_array().into_iter().flatten();
    all.filter(|p| p["phase"] == phase).count()
}

/// Waits until so many tasks have ended.
async fn all_ended(listen: SocketAddr, tasks: usize) {
    loop {
        let told = ask(listen, hyper::Method::GET, "/status", &Value::Null).await;
        if told.is_some_and(|response| pieces(&response.body, "ended") == tasks) {
            return;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

/// A controller that answers each heartbeat with no command; the heartbeats.
async fn controller() -> (SocketAddr, UnboundedReceiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    let (tell, told) = unbounded_channel();
    serve(listener, move |_, _, body| {
        let tell = tell.clone();
        Box::pin(async move {
            let _ = tell.send(serde_json::from_slice(&body).unwrap_or(Value::Null));
            HttpResponse::new(200, json!({"baton": 1, "orders": []}))
        })
    });
    (address, told)
}

/// A running agent.
struct Live {
    program: PathBuf,
    root: PathBuf,
    config: PathBuf,
    listen: SocketAddr,
    process: Child,
    heartbeats: UnboundedReceiver<Value>,
}

impl Live {
    /// Starts an agent with jobs that end at once and jobs that run.
    async fn start(program: PathBuf) -> Self {
        let root = std::env::temp_dir().join(format!("measure-{}", std::process::id()));
        let jobs = root.join("jobs");
        std::fs::create_dir_all(&jobs).expect("a folder");
        for (name, seconds) in [("run-short", "0"), ("run-long", "600")] {
            let text = json!({"version": 1, "command": ["/bin/sleep", seconds], "cpus": 1.0,
                "ram_gb": 1.0});
            std::fs::write(jobs.join(format!("{name}.json")), text.to_string()).expect("written");
        }
        let (controller, mut heartbeats) = controller().await;
        let listen: SocketAddr = "127.0.0.1:28999".parse().expect("an address");
        let config = root.join("agent.toml");
        let text = format!(
            "version = 1\nname = \"vm-1\"\nkind = \"t\"\nzone = \"za\"\nlisten = \"{listen}\"\n\
             folder = {:?}\ncpus = 1000.0\nram_gb = 1000.0\nreport_s = 1.0\nlease_s = 60.0\n\
             [[controllers]]\nnode = \"c-0\"\naddress = \"{controller}\"\n[jobs]\nfolder = {jobs:?}\n",
            root.join("agent")
        );
        std::fs::write(&config, text).expect("written");
        let process = agent(&program, &config);
        let _ = heartbeats.recv().await;
        Self {
            program,
            root,
            config,
            listen,
            process,
            heartbeats,
        }
    }

    /// Sends a command for each task of a job.
    async fn order(&self, job: &str, verb: &str) {
        let commands: Vec<Value> = (0..STARTS)
            .map(|i| json!({"verb": verb, "piece": format!("{job}/{i}"), "try": 1, "mercy_s": 0.0}))
            .collect();
        let body = json!({"baton": 1, "shift": 1, "orders": commands});
        ask(self.listen, hyper::Method::POST, "/orders", &body).await;
    }

    /// How many tasks a second are started and ended.
    async fn measure_starts(&self) {
        let begun = Instant::now();
        self.order("run-short", "start").await;
        all_ended(self.listen, STARTS).await;
        let rate = STARTS as f64 / begun.elapsed().as_secs_f64();
        println!("{STARTS} tasks that end at once: {rate:.0} started and ended a second");
        self.order("run-short", "forget").await;
    }

    /// How much memory the agent holds while tasks run.
    async fn measure_memory(&self) {
        self.order("run-long", "start").await;
        sleep(Duration::from_secs(5)).await;
        println!(
            "{STARTS} tasks that run: the agent holds {} kB",
            memory_kb(self.process.id())
        );
    }

    /// How long until a killed agent that is started again heartbeats all that runs.
    async fn measure_restarts(&mut self) {
        let mut max = 0.0_f64;
        for _ in 0..RESTARTS {
            self.process.kill().expect("killed");
            self.process.wait().expect("gone");
            while self.heartbeats.try_recv().is_ok() {}
            let begun = Instant::now();
            self.process = agent(&self.program, &self.config);
            while let Some(heartbeat) = self.heartbeats.recv().await {
                if pieces(&heartbeat, "running") == STARTS {
                    break;
                }
            }
            max = max.max(begun.elapsed().as_secs_f64());
        }
        println!("from the start after kill -9 to the first report with all {STARTS}: at most {max:.2} s of {RESTARTS} tries");
    }

    /// Ends the tasks and the agent.
    async fn end(mut self) {
        self.order("run-long", "kill").await;
        all_ended(self.listen, STARTS).await;
        self.process.kill().expect("killed");
        self.process.wait().expect("gone");
        let _ = std::fs::remove_dir_all(&self.root);
    }
}

async fn live(program: PathBuf) {
    let mut live = Live::start(program).await;
    live.measure_starts().await;
    live.measure_memory().await;
    live.measure_restarts().await;
    live.end().await;
}

fn main() {
    for tasks in [10, 100, 1000] {
        heartbeat_cost(tasks);
    }
    let own = std::env::current_exe().expect("a path");
    let folder = own
        .parent()
        .and_then(Path::parent)
        .expect("target's folder");
    run(live(folder.join("sorrelhinge-agent")));
}
