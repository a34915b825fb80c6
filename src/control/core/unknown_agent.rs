//! Answers to workers whose machine this owner has no state of yet.
//!
//! That needs the machine's type, which a controller learns from the cloud, and
//! a report that certainly is no late copy. Until then the answer still renews the
//! worker's lease (PROTOCOL, "Leases"), so it has to stop what must not run: while
//! the cloud was away and all controllers had just begun, tasks of cancelled jobs
//! were kept alive by answers without a command for as long as that lasted.

use super::Core;
use crate::agent_client::{Command, Heartbeat, Reply, ReportedTask, TaskPhase};
use crate::state::view::View;
use crate::types::{MachineId, Time};

impl Core {
    /// The answer to a worker's heartbeat.
    pub fn answer(&mut self, heartbeat: &Heartbeat, view: &View, now: Time) -> Reply {
        if self.agents.contains(&heartbeat.machine) {
            return self.reply(&heartbeat.machine, view, now);
        }
        let running = heartbeat.tasks.iter();
        let running = running.filter(|task| task.phase != TaskPhase::Ended);
        let stopped = running.filter(|task| !self.may_run_on(&heartbeat.machine, task));
        Reply {
            fencing_token: self.base_fencing_token(),
            commands: stopped.map(kill_at_once).collect(),
        }
    }

    /// Whether a reported task is claimed there, for a job that is not cancelled.
    fn may_run_on(&self, machine: &MachineId, reported: &ReportedTask) -> bool {
        let Some(task) = reported.id() else {
            return false;
        };
        let job = self.cluster_state.job(&task.job);
        let claim = self
            .cluster_state
            .claim_on(machine, &task, reported.attempt);
        job.is_some_and(|j| !j.cancelled) && claim.is_some()
    }
}

/// The command that ends a task without time to save.
fn kill_at_once(task: &ReportedTask) -> Command {
    Command::Kill {
        task_name: task.task_name.clone(),
        attempt: task.attempt,
        grace_s: 0.0,
    }
}
