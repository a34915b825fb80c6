//! The small process that runs one task. It outlives the agent, ends the task
//! when it is told to or when the lease has run out, and writes down how it
//! ended once none of its processes is left.

mod exec;

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::{
    kill_process, kill_process_group, set_child_subreaper, wait, Pid as Number, Signal, WaitOptions,
};

pub use self::exec::{become_task, BecomeError};
use crate::attempt::{Folder, Pid, Process, StopRequest, Task};
use crate::clock;
use crate::core::Exit;

/// How often it looks at what it is told, and at the lease.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long killed processes are waited for before they are killed again.
const KILL_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Since when the lease runs, as the agent writes it: the start of the machine,
/// and seconds since then. Written in place of the old, not synced: after a
/// crash of the machine no task is left that could go by it.
///
/// # Errors
/// The disk's.
pub fn write_lease(path: &Path, since: f64) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    std::fs::write(&beside, format!("{} {since}", clock::boot_id()))?;
    std::fs::rename(beside, path)
}

/// Since when the lease runs; none if that was before this start of the machine.
pub fn read_lease(path: &Path) -> Option<f64> {
    let text = std::fs::read_to_string(path).ok()?;
    let (boot, since) = text.split_once(' ')?;
    (boot == clock::boot_id()).then(|| since.trim().parse().ok())?
}

/// What keeps a supervisor from running its task.
#[derive(Debug, thiserror::Error)]
pub enum SuperviseError {
    /// The attempt's folder can't be used.
    #[error("{}: {source}", folder.display())]
    Folder {
        /// The attempt's folder.
        folder: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Another supervisor runs the attempt.
    #[error("another supervisor holds the lock")]
    Locked,
    /// The agent has given the attempt up.
    #[error("the attempt is over")]
    Over,
    /// What there is to run is not known.
    #[error("task.json can't be read")]
    NoTask,
    /// What the task leaves behind would not become this process's child.
    #[error(transparent)]
    Subreaper(rustix::io::Errno),
    /// This process is not found among those that run.
    #[error("no process of this number")]
    NoProcess,
}

/// Runs the task of a folder to its end.
///
/// # Errors
/// What kept it from doing so; then nothing runs.
pub fn supervise(path: PathBuf) -> Result<(), SuperviseError> {
    let folder = Folder(path);
    let failed = |source| SuperviseError::Folder {
        folder: folder.0.clone(),
        source,
    };
    let Some(_lock) = folder.lock().map_err(failed)? else {
        return Err(SuperviseError::Locked);
    };
    if folder.over() {
        // An agent that did not see this process has given the attempt up.
        return Err(SuperviseError::Over);
    }
    let task = folder.task().ok_or(SuperviseError::NoTask)?;
    let pid = become_subreaper()?;
    folder.runs(&pid).map_err(failed)?;
    let exit = run(&folder, &task, pid);
    folder.ended(exit).map_err(failed)
}

/// Makes whatever the task leaves behind this process's child; this process, for those
/// who look for it.
fn become_subreaper() -> Result<Pid, SuperviseError> {
    set_child_subreaper(Some(rustix::process::getpid())).map_err(SuperviseError::Subreaper)?;
    let own = rustix::process::getpid().as_raw_nonzero().get();
    Ok(Pid {
        boot: clock::boot_id(),
        supervisor: Process::find(own).ok_or(SuperviseError::NoProcess)?,
        task: None,
    })
}

/// Starts the task and waits until none of its processes is left; `pid` is this
/// process.
fn run(folder: &Folder, task: &Task, mut pid: Pid) -> Exit {
    let Spawned { child, writers } = match spawn(folder, task) {
        Ok(spawned) => spawned,
        Err(error) => {
            eprintln!("{}: {error}", task.description.command[0]);
            return Exit::Failed;
        }
    };
    pid.task = Process::find(child.id() as i32);
    // It is known before anything else happens; without it the task
    // could not be found again.
    let known = folder.runs(&pid);
    let exit = watch(folder, task, child, known.is_ok());
    // The last of the output; nobody is left who could write more.
    for writer in writers {
        let _ = writer.join();
    }
    exit
}

/// A task that was started.
struct Spawned {
    /// Its first process, which leads its process group.
    child: Child,
    /// What writes its output down, until the output ends.
    writers: Vec<JoinHandle<()>>,
}

/// Starts the task as a process group of its own, with what keeps its output.
fn spawn(folder: &Folder, task: &Task) -> std::io::Result<Spawned> {
    let mut child = Command::new(std::env::current_exe()?)
        .arg("become")
        .arg(&folder.0)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .process_group(0)
        .spawn()?;
    let max = task.description.log_kb * 1024;
    let mut writers = Vec::new();
    if let Some(out) = child.stdout.take() {
        writers.push(keep(out, folder.0.join("out"), max));
    }
    if let Some(err) = child.stderr.take() {
        writers.push(keep(err, folder.0.join("err"), max));
    }
    Ok(Spawned { child, writers })
}

/// Keeps a stream's latest `max` bytes, in two files of half of them each. If
/// the disk is full the rest is read and dropped: the task must not hang on it.
fn keep(mut from: impl Read + Send + 'static, path: PathBuf, max: u64) -> JoinHandle<()> {
    std::thread::spawn(move || {
        let create = |path: &Path| -> std::io::Result<File> {
            let mut options = OpenOptions::new();
            options.create(true).append(true).open(path)
        };
        let mut file = create(&path).ok();
        let mut length = 0;
        let mut buffer = [0; 8192];
        while let Ok(n) = from.read(&mut buffer) {
            if n == 0 {
                return;
            }
            if length + n as u64 > max / 2 && length > 0 {
                let _ = std::fs::rename(&path, path.with_extension("1"));
                file = create(&path).ok();
                length = 0;
            }
            if let Some(file) = &mut file {
                let _ = file.write_all(&buffer[..n]);
            }
            length += n as u64;
        }
    })
}

/// Waits for the task's end, or brings it about.
fn watch(folder: &Folder, task: &Task, mut child: Child, known: bool) -> Exit {
    let group = Number::from_child(&child);
    let mut saving = false;
    let mut killed = !known;
    let started = clock::now().0;
    let status = loop {
        match child.try_wait() {
            Ok(Some(status)) => break Some(status),
            Ok(None) => {}
            Err(_) => break None,
        }
        // A lease that can't be read is one that nobody renews.
        let since = read_lease(&task.lease).unwrap_or(started);
        let request = folder.stop_request();
        if clock::now().0 - since > task.lease_s || request == Some(StopRequest::Kill) || killed {
            killed = true;
            let _ = kill_process_group(group, Signal::KILL);
        } else if request == Some(StopRequest::Save) && !saving {
            saving = true;
            save(task, group);
        }
        std::thread::sleep(POLL_INTERVAL);
    };
    end_all(group);
    exit_of(status, killed, saving)
}

/// How a task ended: by its status, none if it is not known, and by whether it was killed
/// or asked to save before.
fn exit_of(status: Option<ExitStatus>, killed: bool, saving: bool) -> Exit {
    let code = status.and_then(|s| s.code());
    match (code, killed, saving) {
        (Some(0), _, false) => Exit::Done,
        (Some(0), _, true) => Exit::Saved,
        (_, true, _) => Exit::Killed,
        _ => {
            let signal = status.and_then(|s| s.signal());
            eprintln!("ended with code {code:?}, signal {signal:?}");
            Exit::Failed
        }
    }
}

/// Has the task save and end: by its own command, else by the signal TERM.
fn save(task: &Task, group: Number) {
    let command = task
        .description
        .save
        .as_ref()
        .map(|s| s.command.as_slice())
        .unwrap_or_default();
    let Some((program, arguments)) = command.split_first() else {
        let _ = kill_process_group(group, Signal::TERM);
        return;
    };
    let saving = Command::new(program)
        .args(arguments)
        .env("TASK_GROUP", group.as_raw_nonzero().to_string())
        .stdin(Stdio::null())
        .spawn();
    if let Err(error) = saving {
        eprintln!("{program}: {error}");
        let _ = kill_process_group(group, Signal::KILL);
    }
}

/// Kills and reaps everything that the task has left: its group, and whoever
/// left the group and so became a child of this process.
fn end_all(group: Number) {
    loop {
        let _ = kill_process_group(group, Signal::KILL);
        for child in children() {
            let _ = kill_process(child, Signal::KILL);
        }
        let end = Instant::now() + KILL_RETRY_INTERVAL;
        while Instant::now() < end {
            match wait(WaitOptions::NOHANG) {
                Ok(Some(_)) => {}
                Ok(None) => std::thread::sleep(Duration::from_millis(5)),
                // There is no child any more.
                Err(_) => return,
            }
        }
    }
}

/// This process's children, of all its threads.
fn children() -> Vec<Number> {
    let threads = std::fs::read_dir("/proc/self/task").into_iter().flatten();
    threads
        .flatten()
        .filter_map(|t| std::fs::read_to_string(t.path().join("children")).ok())
        .flat_map(|list| {
            let numbers = list.split_whitespace().filter_map(|n| n.parse().ok());
            numbers.filter_map(Number::from_raw).collect::<Vec<_>>()
        })
        .collect()
}
