//! The process that becomes a task: limits, environment, working directory, and then the
//! task's program in its place.

use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::Command;

use rustix::process::{set_parent_process_death_signal, setrlimit, Resource, Rlimit, Signal};

use crate::attempt::{Folder, Task};
use crate::describe::Limits;

/// What keeps a process from becoming its task.
#[derive(Debug, thiserror::Error)]
pub enum BecomeError {
    /// What there is to run is not known.
    #[error("task.json can't be read")]
    NoTask,
    /// The task would outlive its supervisor.
    #[error(transparent)]
    DeathSignal(rustix::io::Errno),
    /// The operating system does not take a limit.
    #[error("limit {resource:?}: {source}")]
    Limit {
        /// Of what.
        resource: Resource,
        /// Why.
        source: rustix::io::Errno,
    },
    /// The program can't be run.
    #[error("{program}: {source}")]
    Exec {
        /// The program.
        program: String,
        /// Why.
        source: std::io::Error,
    },
}

/// Becomes the task: limits, working directory and environment, then its
/// program in this process's place. Returns only if that failed.
pub fn become_task(path: PathBuf) -> BecomeError {
    let folder = Folder(path);
    let Some(task) = folder.task() else {
        return BecomeError::NoTask;
    };
    // If the supervisor goes, nobody would end the task any more.
    if let Err(error) = set_parent_process_death_signal(Some(Signal::KILL)) {
        return BecomeError::DeathSignal(error);
    }
    if let Err(error) = set_limits(&task.description.limits) {
        return error;
    }
    BecomeError::Exec {
        program: task.description.command[0].clone(),
        source: task_command(&folder, &task).exec(),
    }
}

/// Sets the limits that a description names; no task leaves a core file.
fn set_limits(limits: &Limits) -> Result<(), BecomeError> {
    let mega = |n: Option<u64>| n.map(|n| n.saturating_mul(1 << 20));
    for (resource, max) in [
        (Resource::As, mega(limits.address_mb)),
        (Resource::Fsize, mega(limits.file_mb)),
        (Resource::Nofile, limits.open_files),
        (Resource::Cpu, limits.cpu_s),
        (Resource::Core, Some(0)),
    ] {
        let Some(max) = max else { continue };
        let limit = Rlimit {
            current: Some(max),
            maximum: Some(max),
        };
        setrlimit(resource, limit).map_err(|source| BecomeError::Limit { resource, source })?;
    }
    Ok(())
}

/// A task's program with its arguments, environment and working directory.
fn task_command(folder: &Folder, task: &Task) -> Command {
    let description = &task.description;
    let index = task.key.task_name.rsplit_once('/').map_or("", |(_, i)| i);
    let units: Vec<String> = task
        .units
        .iter()
        .map(|(kind, name)| format!("{kind}:{name}"))
        .collect();
    let cwd = description
        .cwd
        .as_ref()
        .map_or(folder.work(), PathBuf::from);
    let mut command = Command::new(&description.command[0]);
    command
        .args(&description.command[1..])
        .env_clear()
        .env("PATH", std::env::var_os("PATH").unwrap_or_default())
        .envs(&description.env)
        .env("TASK", &task.key.task_name)
        .env("TASK_INDEX", index)
        .env("TASK_ATTEMPT", task.key.attempt.to_string())
        .env("TASK_UNITS", units.join(","))
        .envs(task.image.iter().map(|path| ("TASK_IMAGE", path)))
        .current_dir(cwd);
    command
}
