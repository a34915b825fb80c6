//! An agent that is stopped past its lease and then continued, and commands that
//! come again: a real agent, and a controller that only listens.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::Method;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use sorrelhinge_agent::attempt::Process;
use sorrelhinge_emulators::place::Place;
use sorrelhinge_emulators::{ask, run, serve, HttpResponse};
use tokio::net::TcpListener;
use tokio::time::sleep;

/// All heartbeats that came.
type Heartbeats = Rc<RefCell<Vec<Value>>>;

/// A controller that keeps each heartbeat and answers it with no command.
async fn controller(heartbeats: Heartbeats) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address");
    serve(listener, move |_, _, body| {
        let heartbeat = serde_json::from_slice(&body).unwrap_or(Value::Null);
        heartbeats.borrow_mut().push(heartbeat);
        Box::pin(async { HttpResponse::new(200, json!({"baton": 1, "orders": []})) })
    });
    address
}

struct Agent {
    process: Child,
    listen: SocketAddr,
    folder: PathBuf,
    heartbeats: Heartbeats,
    /// Its address, let go last.
    _place: Place,
}

impl Agent {
    /// An agent whose job `run-1` sleeps, with a lease of 2 s.
    async fn start(name: &str) -> Self {
        let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("stopped-{name}"));
        let _ = std::fs::remove_dir_all(&root);
        let (folder, jobs) = (root.join("agent"), root.join("jobs"));
        std::fs::create_dir_all(&jobs).expect("a folder");
        let job = json!({"version": 1, "cpus": 1.0, "ram_gb": 1.0,
            "command": ["/bin/sh", "-c", "echo 1 > pid; exec sleep 300"]});
        std::fs::write(jobs.join("run-1.json"), job.to_string()).expect("written");
        let heartbeats: Heartbeats = Rc::default();
        let controller = controller(heartbeats.clone()).await;
        let place = Place::claim(0);
        let listen = place.more(0);
        let config = root.join("agent.toml");
        let text = format!(
            "version = 1\nname = \"vm-1\"\nkind = \"t\"\nzone = \"za\"\nlisten = \"{listen}\"\n\
             folder = {folder:?}\ncpus = 4.0\nram_gb = 4.0\nreport_s = 0.5\nlease_s = 2.0\n\
             [[controllers]]\nnode = \"c-0\"\naddress = \"{controller}\"\n[jobs]\nfolder = {jobs:?}\n"
        );
        std::fs::write(&config, text).expect("written");
        let process = Command::new(env!("CARGO_BIN_EXE_sorrelhinge-agent"))
            .arg("--config")
            .arg(&config)
            .env("LOG_LEVEL", "error")
            .stdin(Stdio::null())
            .spawn()
            .expect("it starts");
        let agent = Self {
            process,
            listen,
            folder,
            heartbeats,
            _place: place,
        };
        agent
            .until("it reports", |a| !a.heartbeats.borrow().is_empty())
            .await;
        agent
    }

    async fn until(&self, what: &str, so: impl Fn(&Self) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !so(self) {
            assert!(Instant::now() < end, "{what}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn order(&self, verb: &str, n: u32) -> HttpResponse {
        self.order_attempt(verb, n, 1).await
    }

    async fn order_attempt(&self, verb: &str, n: u32, attempt: u32) -> HttpResponse {
        let commands = json!({"baton": 1, "shift": 1, "orders": [
            {"verb": verb, "piece": format!("run-1/{n}"), "try": attempt, "mercy_s": 0.0}]});
        let told = ask(self.listen, Method::POST, "/orders", &commands).await;
        told.expect("an answer")
    }

    /// The process of a task's first attempt, once it runs.
    async fn process(&self, n: u32) -> Process {
        self.process_of(n, 1).await
    }

    /// The process of a task's attempt, once it runs.
    async fn process_of(&self, n: u32, attempt: u32) -> Process {
        let folder = format!("attempts/run-1+{n}+{attempt}");
        let file = self.folder.join(folder).join("pid");
        let task = |f: &Path| {
            let text = std::fs::read(f).ok()?;
            let pid: sorrelhinge_agent::attempt::Pid = serde_json::from_slice(&text).ok()?;
            pid.task
        };
        self.until("the task runs", |_| task(&file).is_some()).await;
        task(&file).expect("it runs")
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_raw(self.process.id() as i32).expect("a number");
        kill_process(pid, signal).expect("sent");
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// While the agent is stopped its task ends with the lease, and when it goes on
/// the first thing that it says is of the next incarnation, without the task.
#[test]
fn an_agent_stopped_past_its_lease_begins_anew() {
    run(async {
        let agent = Agent::start("signal").await;
        assert_eq!(agent.order("start", 0).await.status, 200);
        let task = agent.process(0).await;
        let running = |a: &Agent| {
            let heartbeats = a.heartbeats.borrow();
            heartbeats
                .last()
                .is_some_and(|r| r["pieces"][0]["phase"] == "running")
        };
        agent.until("it is reported", running).await;
        agent.signal(Signal::STOP);
        agent
            .until("the lease ends the task", |_| !task.lives())
            .await;
        sleep(Duration::from_secs(1)).await;
        let before = agent.heartbeats.borrow().len();
        agent.signal(Signal::CONT);
        let goes_on = |a: &Agent| a.heartbeats.borrow().len() > before;
        agent.until("it goes on", goes_on).await;
        let heartbeats = agent.heartbeats.borrow().clone();
        // At most the heartbeat that was on its way when it was stopped is old.
        let new = heartbeats.iter().skip(before).find(|r| r["shift"] != 1);
        if let Some(heartbeat) = new {
            assert_eq!(
                (&heartbeat["shift"], &heartbeat["pieces"]),
                (&json!(2), &json!([]))
            );
        }
        let old = heartbeats.iter().skip(before).filter(|r| r["shift"] == 1);
        assert_eq!(old.count(), 0, "nothing is said of the old session");
        // Commands of the old incarnation are refused.
        assert_eq!(agent.order("start", 1).await.status, 409);
    });
}

/// A command that is repeated has no effect, also a start after `forget`; the next attempt starts,
/// and a second stop ends what is still there.
#[test]
fn commands_repeated_and_after_forget() {
    run(async {
        let agent = Agent::start("repeat").await;
        let tasks =
            |told: &HttpResponse| told.body["pieces"].as_array().cloned().unwrap_or_default();
        assert_eq!(tasks(&agent.order("start", 0).await).len(), 1);
        let task = agent.process(0).await;
        assert_eq!(tasks(&agent.order("start", 0).await).len(), 1);
        // Not ended: it is not forgotten.
        assert_eq!(tasks(&agent.order("forget", 0).await).len(), 1);
        assert!(task.lives());
        agent.order("kill", 0).await;
        agent.order("kill", 0).await;
        agent.until("it is gone", |_| !task.lives()).await;
        let ended = |a: &Agent| {
            let heartbeats = a.heartbeats.borrow();
            heartbeats
                .last()
                .is_some_and(|r| r["pieces"][0]["cause"] == "stopped")
        };
        agent.until("its end is reported", ended).await;
        assert_eq!(tasks(&agent.order("start", 0).await)[0]["phase"], "ended");
        assert_eq!(tasks(&agent.order("forget", 0).await).len(), 0);
        assert_eq!(tasks(&agent.order("start", 0).await).len(), 0);
        let next = tasks(&agent.order_attempt("start", 0, 2).await);
        assert_eq!((next.len(), &next[0]["phase"]), (1, &json!("fetching")));
        let again = agent.process_of(0, 2).await;
        assert_ne!(again, task);
        agent.order_attempt("kill", 0, 2).await;
        agent.until("it is gone", |_| !again.lives()).await;
    });
}
