//! Supervisors as real processes, with tasks that do what tasks should not:
//! ignore the signal, fork away, fill the disk, end as the kill comes; and with
//! an agent that is gone, late, or was never there.

use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use serde_json::json;
use sorrelhinge_agent::attempt::{Folder, Found, Process, StopRequest, Task};
use sorrelhinge_agent::clock;
use sorrelhinge_agent::core::{Exit, Key};
use sorrelhinge_agent::describe::Description;
use sorrelhinge_agent::supervise::write_lease;
use sorrelhinge_protocol::types::Attempt;

struct Run {
    folder: Folder,
    supervisor: Child,
}

fn root(name: &str) -> PathBuf {
    let root = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("supervisor-{name}"));
    let _ = std::fs::remove_dir_all(&root);
    std::fs::create_dir_all(&root).expect("a folder");
    write_lease(&root.join("lease"), clock::now().0).expect("written");
    root
}

fn prepare(name: &str, script: &str, more: serde_json::Value, lease_s: f64) -> Folder {
    let root = root(name);
    let key = Key {
        task_name: "run-1/0".into(),
        attempt: Attempt(1),
    };
    let mut body = json!({"version": 1, "command": ["/bin/sh", "-c", script],
        "cpus": 1.0, "ram_gb": 1.0});
    for (key, value) in more.as_object().expect("an object") {
        body[key] = value.clone();
    }
    let description = Description::read(body.to_string().as_bytes()).expect("valid");
    let folder = Folder::of(&root, &key);
    let task = Task {
        version: 1,
        key,
        description,
        units: vec![("enc".into(), "a".into())],
        image: None,
        lease: root.join("lease"),
        lease_s,
    };
    folder.prepare(&task).expect("prepared");
    folder
}

fn supervise(folder: &Folder) -> Child {
    Command::new(env!("CARGO_BIN_EXE_sorrelhinge-agent"))
        .arg("supervise")
        .arg(&folder.0)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it starts")
}

fn start(name: &str, script: &str, more: serde_json::Value, lease_s: f64) -> Run {
    let folder = prepare(name, script, more, lease_s);
    let supervisor = supervise(&folder);
    let run = Run { folder, supervisor };
    run.until("it runs", |f| {
        f.exit().is_some() || f.pid().is_some_and(|p| p.task.is_some())
    });
    run
}

impl Run {
    fn until(&self, what: &str, so: impl Fn(&Folder) -> bool) {
        let end = Instant::now() + Duration::from_secs(20);
        while !so(&self.folder) {
            assert!(Instant::now() < end, "{what}: {}", self.folder.0.display());
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    fn text(&self, name: &str) -> String {
        std::fs::read_to_string(self.folder.work().join(name)).unwrap_or_default()
    }

    /// A number that the task wrote into a file of its folder.
    fn number(&self, name: &str) -> i32 {
        self.until(name, |f| {
            std::fs::read_to_string(f.work().join(name)).is_ok_and(|t| t.ends_with('\n'))
        });
        self.text(name).trim().parse().expect("a number")
    }

    /// How it ended; by then nothing of it may be left.
    fn end(mut self) -> Exit {
        self.until("it ends", |f| f.exit().is_some());
        let _ = self.supervisor.wait();
        assert_eq!(
            self.folder.check(),
            Found::Exited(self.folder.exit().expect("ended"))
        );
        self.folder.exit().expect("ended")
    }
}

#[test]
fn ends_output_and_environment_are_kept() {
    // Whatever a task writes where it is, it does not reach what tells of it.
    let script = "echo 1 > pid; echo 1 > exit; echo $TASK $TASK_INDEX $TASK_ATTEMPT $TASK_UNITS $MORE; echo no >&2";
    let run = start("plain", script, json!({"env": {"MORE": "yes"}}), 60.0);
    let folder = run.folder.clone();
    assert_eq!(run.end(), Exit::Done);
    let read = |name: &str| std::fs::read_to_string(folder.0.join(name)).expect("there");
    assert_eq!(read("out"), "run-1/0 0 1 enc:a yes\n");
    assert_eq!(read("err"), "no\n");
    assert_eq!(
        start("fails", "exit 3", json!({}), 60.0).end(),
        Exit::Failed
    );
    let none = json!({"command": ["/no/such/program"]});
    assert_eq!(start("none", "", none, 60.0).end(), Exit::Failed);
}

/// Output is bounded, and a task that writes without end does not fill the disk.
#[test]
fn output_and_files_are_bounded() {
    let script = "yes 0123456789 | head -c 400000; echo last";
    let run = start("output", script, json!({"log_kb": 64}), 60.0);
    let folder = run.folder.clone();
    assert_eq!(run.end(), Exit::Done);
    let length = |name: &str| {
        let meta = std::fs::metadata(folder.0.join(name));
        meta.map_or(0, |m| m.len())
    };
    assert!(length("out") + length("out.1") <= 64 * 1024 + 8192);
    let out = std::fs::read_to_string(folder.0.join("out")).expect("there");
    assert!(out.ends_with("last\n"), "the latest is kept");
    let script = "head -c 3000000 /dev/zero > big";
    let run = start("disk", script, json!({"limits": {"file_mb": 1}}), 60.0);
    let big = run.folder.work().join("big");
    assert_eq!(run.end(), Exit::Failed);
    assert!(std::fs::metadata(big).expect("there").len() <= 1 << 20);
}

/// It saves when told, if it can; a second stop ends it; one that ignores the
/// signal is killed; a result that was reached as the kill came is a result.
#[test]
fn stops_save_then_kill() {
    let saves = "trap 'echo kept > saved; exit 0' TERM; while :; do sleep 0.05; done";
    let more = json!({"save": {"seconds": 5.0}});
    let run = start("saves", saves, more.clone(), 60.0);
    std::thread::sleep(Duration::from_millis(200));
    run.folder.stop(StopRequest::Save).expect("told");
    let folder = run.folder.clone();
    assert_eq!(run.end(), Exit::Saved);
    assert!(folder.work().join("saved").exists());
    let ignores = "trap '' TERM; while :; do sleep 0.05; done";
    let run = start("ignores", ignores, more, 60.0);
    std::thread::sleep(Duration::from_millis(200));
    run.folder.stop(StopRequest::Save).expect("told");
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(run.folder.check(), Found::Runs, "it ignores the signal");
    run.folder.stop(StopRequest::Kill).expect("told");
    assert_eq!(run.end(), Exit::Killed);
}

/// Whoever leaves the group, and the incarnation, ends with the task.
#[test]
fn a_task_that_forks_away_leaves_nothing() {
    let script = "setsid sh -c 'echo $$ > away; exec sleep 300' & \
        while [ ! -s away ]; do sleep 0.01; done; exit 0";
    let run = start("forks", script, json!({}), 60.0);
    let away = run.number("away");
    let before = Process::find(away);
    assert_eq!(run.end(), Exit::Done);
    assert!(
        before.is_none_or(|p| !p.lives()),
        "{away} has outlived its task"
    );
}

/// Without an agent that renews the lease, the task ends by itself in time.
#[test]
fn the_lease_ends_a_task_whose_agent_is_gone() {
    let begun = Instant::now();
    let run = start("lease", "exec sleep 300", json!({}), 1.5);
    assert_eq!(run.end(), Exit::Killed);
    let took = begun.elapsed().as_secs_f64();
    assert!((1.0..8.0).contains(&took), "after {took} s");
}

/// The supervisor is killed: its task goes too, and nothing is left that could
/// still run. A number that another process has now is left alone.
#[test]
fn a_killed_supervisor_takes_its_task_along() {
    let script = "sleep 300 & echo $! > other; echo $$ > own; wait";
    let mut run = start("killed", script, json!({}), 60.0);
    let (own, other) = (run.number("own"), run.number("other"));
    let processes = [own, other].map(|n| Process::find(n).expect("it runs"));
    run.supervisor.kill().expect("killed");
    run.supervisor.wait().expect("gone");
    run.until("nothing is left", |f| {
        f.check() == Found::Exited(Exit::Failed)
    });
    run.until("they are gone", |_| processes.iter().all(|p| !p.lives()));
    let mut pid = run.folder.pid().expect("written");
    let own = std::process::id() as i32;
    pid.task = Some(Process { pid: own, start: 1 });
    run.folder.runs(&pid).expect("written");
    run.folder.kill_hard();
}

/// The agent was killed after it had begun a supervisor, and the next one has
/// looked before that took its lock: it must not run any more.
#[test]
fn a_supervisor_that_comes_late_runs_nothing() {
    let folder = prepare("late", "echo ran > ran", json!({}), 60.0);
    assert_eq!(folder.check(), Found::Exited(Exit::Never));
    let status = supervise(&folder).wait().expect("it ends");
    assert!(!status.success());
    assert!(!folder.work().join("ran").exists());
    // Two at a time: one runs it.
    let folder = prepare("twice", "echo ran >> ran; sleep 0.3", json!({}), 60.0);
    let mut both = [supervise(&folder), supervise(&folder)];
    let ends = both
        .iter_mut()
        .map(|c| c.wait().expect("it ends").success());
    assert_eq!(ends.filter(|ok| *ok).count(), 1);
    let ran = std::fs::read_to_string(folder.work().join("ran")).expect("it ran");
    assert_eq!(ran, "ran\n");
    assert_eq!(folder.check(), Found::Exited(Exit::Done));
}

/// What users upload is read strictly, and never breaks anything.
#[test]
fn descriptions_are_read_strictly() {
    let good = json!({"version": 1, "command": ["true"], "cpus": 1.0, "ram_gb": 1.0});
    assert!(Description::read(good.to_string().as_bytes()).is_ok());
    for (field, wrong, named) in [
        ("version", json!(2), "job.version"),
        ("command", json!([]), "job.command"),
        ("command", json!("true"), "command"),
        ("cpus", json!(-1.0), "job.cpus"),
        ("log_kb", json!(0), "job.log_kb"),
        ("more", json!(1), "more"),
        ("env", json!({"A=B": "x"}), "job.env"),
        ("save", json!({"seconds": 1e9}), "job.save.seconds"),
        ("limits", json!({"open_files": 1}), "job.limits.open_files"),
        ("command", json!(["a\u{0}b"]), "zero byte"),
    ] {
        let mut body = good.clone();
        body[field] = wrong;
        let error = Description::read(body.to_string().as_bytes()).expect_err(field);
        let error = error.to_string();
        assert!(error.contains(named), "{field}: {error}");
    }
    assert!(Description::read(&vec![b' '; 300_000]).is_err());
    assert!(Description::read(b"").is_err());
    let schema = include_str!("../../../deploy/job.schema.json");
    assert_eq!(schema, Description::schema(), "sorrelhinge-agent schema");
    let example = include_str!("../../../deploy/agent.toml");
    sorrelhinge_agent::settings::Settings::parse(example).expect("the example is valid");
}
