//! Supervisors: they are started, told to stop, and checked until all of a task's
//! processes are gone.

use std::fs::File;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use sorrelhinge_protocol::types::Time;
use sorrelhinge_protocol::worker::TaskPhase;
use tokio::process::Child;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::Agent;
use crate::attempt::{Folder, Found, StopRequest, Task};
use crate::clock;
use crate::core::Key;
use crate::describe::Description;

/// A supervisor that has not ended its task by then is killed with it.
const KILL_TIMEOUT_S: f64 = 3.0;

/// A supervisor that is to be checked.
pub(super) struct Watched {
    pub(super) folder: Folder,
    /// Since when it has been told to kill.
    pub(super) killing: Option<Time>,
}

impl Agent {
    /// Which tasks have ended.
    pub(super) fn check_supervisors(self: &Rc<Self>) {
        let now = clock::now();
        let mut gone = Vec::new();
        for (key, watched) in self.watched.borrow().iter() {
            match watched.folder.check() {
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
            tracing::info!(task = %key.task_name, attempt = %key.attempt, ?exit, "task ended");
            let actions = self.core.borrow_mut().gone(&key, exit, now);
            self.do_all(actions);
        }
    }

    /// Asks a supervisor to end its task.
    pub(super) fn stop(&self, key: &Key, request: StopRequest) {
        let save = request == StopRequest::Save;
        tracing::info!(task = %key.task_name, attempt = %key.attempt, save, "task stopping");
        // Also of one that has not shown itself yet: it finds the word there.
        let folder = Folder::of(&self.settings.folder, key);
        let written = folder.stop(request);
        let mut watched = self.watched.borrow_mut();
        let watched = watched.get_mut(key);
        if let Err(error) = &written {
            // A full disk must not keep a task alive.
            tracing::error!(task = %key.task_name, %error, "supervisor unreachable");
            folder.kill_hard();
        }
        if let Some(watched) = watched.filter(|_| !save || written.is_err()) {
            watched.killing.get_or_insert(clock::now());
        }
    }

    /// Starts a supervisor. If that fails the attempt has ended, and it never
    /// runs: the folder tells.
    pub(super) fn begin(self: &Rc<Self>, key: Key, units: Vec<(String, String)>) {
        let folder = Folder::of(&self.settings.folder, &key);
        let description = self.descriptions.borrow_mut().remove(&key);
        let begun = self.spawn_supervisor(&key, units, description, &folder);
        match begun {
            Ok(mut child) => {
                tracing::info!(task = %key.task_name, attempt = %key.attempt, "task started");
                let (agent, done) = (self.clone(), key.clone());
                spawn_local(async move {
                    let _ = child.wait().await;
                    // Only now is it certain that it will not take the lock.
                    agent.watch(done, folder);
                });
            }
            Err(error) => {
                tracing::error!(task = %key.task_name, %error, "task start failed");
                self.watch(key, folder);
                return;
            }
        }
        self.watch_once_locked(key);
    }

    /// Starts the supervisor of an attempt, with all that it needs in its folder.
    fn spawn_supervisor(
        &self,
        key: &Key,
        units: Vec<(String, String)>,
        description: Option<Description>,
        folder: &Folder,
    ) -> std::io::Result<Child> {
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
        tokio::process::Command::new(&self.program)
            .arg("supervise")
            .arg(&folder.0)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            // Not in the agent's group: what ends the agent does not end it.
            .process_group(0)
            .spawn()
    }

    /// Looks at a supervisor from the moment at which it holds its lock.
    fn watch_once_locked(self: &Rc<Self>, key: Key) {
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

    /// Looks at a supervisor from now on, if its attempt is still to end.
    fn watch(&self, key: Key, folder: Folder) {
        let stopping = folder.stop_request() == Some(StopRequest::Kill);
        let running = {
            let core = self.core.borrow();
            let running = core
                .tasks()
                .any(|attempt| *attempt.key == key && attempt.phase != TaskPhase::Ended);
            running || core.is_dying(&key)
        };
        if running {
            self.watched.borrow_mut().entry(key).or_insert(Watched {
                folder,
                killing: stopping.then(clock::now),
            });
        }
    }
}
