//! An attempt's folder: what runs there, whether it still does, how it ended.
//! Everything that must be told after a crash of the agent is in it.
//!
//! | file | written by | content |
//! | --- | --- | --- |
//! | `task.json` | the agent, before the start | [`Task`], version 1 |
//! | `lock` | | held by the supervisor for as long as it lives |
//! | `void` | an agent that holds the lock | this attempt never runs any more |
//! | `pid` | the supervisor | [`Pid`] of itself and of the task |
//! | `stop` | the agent | `save` or `kill` |
//! | `exit` | the supervisor, at last | [`Exit`], once all processes are gone |
//! | `work/` | the task | its working directory: not among what is above, which it could overwrite |
//! | `out`, `err`, `out.1`, `err.1` | the supervisor | output, the latest last |

mod process;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

use rustix::fs::{flock, FlockOperation};
use rustix::process::{kill_process, Signal};
use serde::{Deserialize, Serialize};

pub use self::process::{kill_group, Process};
use crate::clock;
use crate::core::{Exit, Key};
use crate::describe::Description;

/// What a supervisor is to run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Task {
    /// Version of the format: 1.
    pub version: u32,
    /// Which attempt.
    pub key: Key,
    /// What it runs.
    pub description: Description,
    /// Devices that are its own.
    pub units: Vec<(String, String)>,
    /// Where its image is, if it needs one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub image: Option<PathBuf>,
    /// The file that tells since when the lease runs.
    pub lease: PathBuf,
    /// How long the lease lasts, in seconds.
    pub lease_s: f64,
}

/// How a task is to be ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopRequest {
    /// It saves its progress and ends.
    Save,
    /// It ends at once.
    Kill,
}

/// A supervisor and its task, in one start of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pid {
    /// The start of the machine.
    pub boot: String,
    /// The supervisor.
    pub supervisor: Process,
    /// The task, which leads its process group; none before it was started.
    pub task: Option<Process>,
}

/// What is known of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// Its supervisor lives.
    Runs,
    /// All its processes are gone.
    Exited(Exit),
}

/// An attempt's folder.
#[derive(Clone, Debug)]
pub struct Folder(pub PathBuf);

/// Writes a file so that it is there whole or not at all, also after a crash.
///
/// # Errors
/// The disk's.
pub fn write_whole(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    let beside = path.with_extension("new");
    let mut file = File::create(&beside)?;
    file.write_all(bytes)?;
    file.sync_all()?;
    std::fs::rename(&beside, path)?;
    match path.parent() {
        Some(folder) => File::open(folder)?.sync_all(),
        None => Ok(()),
    }
}

impl Folder {
    /// The folder of an attempt under `root`. Names of tasks are checked before
    /// any attempt comes this far.
    pub fn of(root: &Path, key: &Key) -> Self {
        let name = key.task_name.replace('/', "+");
        Self(
            root.join("attempts")
                .join(format!("{name}+{}", key.attempt)),
        )
    }

    fn file(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    /// The task's working directory.
    pub fn work(&self) -> PathBuf {
        self.file("work")
    }

    /// Makes the folder, with what is to run.
    ///
    /// # Errors
    /// The disk's.
    pub fn prepare(&self, task: &Task) -> std::io::Result<()> {
        std::fs::create_dir_all(self.work())?;
        let text = serde_json::to_vec_pretty(task)?;
        write_whole(&self.file("task.json"), &text)
    }

    /// What is to run.
    pub fn task(&self) -> Option<Task> {
        let text = std::fs::read(self.file("task.json")).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Takes the lock; none if somebody holds it.
    ///
    /// # Errors
    /// The disk's.
    pub fn lock(&self) -> std::io::Result<Option<File>> {
        let file = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(self.file("lock"))?;
        match flock(&file, FlockOperation::NonBlockingLockExclusive) {
            Ok(()) => Ok(Some(file)),
            Err(rustix::io::Errno::WOULDBLOCK) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    /// Whether it may not run, or has run.
    pub fn over(&self) -> bool {
        self.file("void").exists() || self.file("exit").exists()
    }

    /// How it ended, if it has.
    pub fn exit(&self) -> Option<Exit> {
        let text = std::fs::read(self.file("exit")).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Writes down how it ended. The supervisor's last act.
    ///
    /// # Errors
    /// The disk's.
    pub fn ended(&self, exit: Exit) -> std::io::Result<()> {
        write_whole(&self.file("exit"), &serde_json::to_vec(&exit)?)
    }

    /// Who runs it.
    pub fn pid(&self) -> Option<Pid> {
        let text = std::fs::read(self.file("pid")).ok()?;
        serde_json::from_slice(&text).ok()
    }

    /// Writes down who runs it.
    ///
    /// # Errors
    /// The disk's.
    pub fn runs(&self, pid: &Pid) -> std::io::Result<()> {
        write_whole(&self.file("pid"), &serde_json::to_vec(pid)?)
    }

    /// Asks the supervisor to end the task.
    ///
    /// # Errors
    /// The disk's.
    pub fn stop(&self, request: StopRequest) -> std::io::Result<()> {
        let word: &[u8] = match request {
            StopRequest::Save => b"save",
            StopRequest::Kill => b"kill",
        };
        write_whole(&self.file("stop"), word)
    }

    /// What the supervisor was asked last, if anything.
    pub fn stop_request(&self) -> Option<StopRequest> {
        let word = std::fs::read(self.file("stop")).ok()?;
        Some(if word == b"save" {
            StopRequest::Save
        } else {
            StopRequest::Kill
        })
    }

    /// Whether it still runs. If nobody holds the lock and no end was written,
    /// the supervisor is gone, or was never there: then the attempt is made
    /// void under the lock, so that one which comes late runs nothing, and
    /// whatever is left of the task is killed.
    pub fn check(&self) -> Found {
        if let Some(exit) = self.exit() {
            return Found::Exited(exit);
        }
        if !self.0.is_dir() {
            return Found::Exited(Exit::Never);
        }
        let lock = match self.lock() {
            Ok(Some(lock)) => lock,
            Ok(None) => return Found::Runs,
            Err(error) => {
                tracing::error!(folder = %self.0.display(), %error, "attempt lock failed");
                return Found::Runs;
            }
        };
        // It may have ended while we came for the lock.
        if let Some(exit) = self.exit() {
            return Found::Exited(exit);
        }
        if let Err(error) = write_whole(&self.file("void"), b"") {
            tracing::error!(folder = %self.0.display(), %error, "attempt can't be marked as void");
            return Found::Runs;
        }
        let began = self.pid();
        let here = began.as_ref().filter(|p| p.boot == clock::boot_id());
        if here.and_then(|p| p.task.as_ref()).is_some_and(kill_group) {
            return Found::Runs;
        }
        drop(lock);
        Found::Exited(match began {
            Some(_) => Exit::Failed,
            None => Exit::Never,
        })
    }

    /// Ends a supervisor that does not do as it is told, and its task.
    pub fn kill_hard(&self) {
        let Some(pid) = self.pid().filter(|p| p.boot == clock::boot_id()) else {
            return;
        };
        if let Some(task) = &pid.task {
            kill_group(task);
        }
        if pid.supervisor.lives() {
            if let Some(number) = rustix::process::Pid::from_raw(pid.supervisor.pid) {
                let _ = kill_process(number, Signal::KILL);
            }
        }
    }

    /// Removes the folder; its attempt is forgotten.
    ///
    /// # Errors
    /// The disk's.
    pub fn remove(&self) -> std::io::Result<()> {
        match std::fs::remove_dir_all(&self.0) {
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }
}
