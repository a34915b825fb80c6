//! Processes, which are recognised after their numbers may have been given to others.

use rustix::process::{kill_process_group, Signal};
use serde::{Deserialize, Serialize};

/// A process, distinguished from any other that has had its number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Process {
    /// Its number.
    pub pid: i32,
    /// When it started, in the kernel's ticks.
    pub start: u64,
}

impl Process {
    /// This number's process as it is now; none if there is none, or only what
    /// is left to be reaped.
    pub fn find(pid: i32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        // The name may hold anything, and ends with the last parenthesis.
        let rest = stat.rsplit_once(") ")?.1;
        let mut fields = rest.split(' ');
        if matches!(fields.next()?, "Z" | "X") {
            return None;
        }
        let start = fields.nth(18)?.parse().ok()?;
        Some(Self { pid, start })
    }
    /// Whether it still is the process that it was.
    pub fn lives(&self) -> bool {
        Self::find(self.pid).as_ref() == Some(self)
    }
}

/// Kills a task's process group; whether there was anything to kill. A number
/// that has gone to another process is not its group's any more: the kernel gives
/// none out again while a group has it.
pub fn kill_group(task: &Process) -> bool {
    if Process::find(task.pid).is_some_and(|p| p != *task) {
        return false;
    }
    let group = rustix::process::Pid::from_raw(task.pid);
    group.is_some_and(|g| kill_process_group(g, Signal::KILL).is_ok())
}
