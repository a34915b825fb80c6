//! Answers to agents of which this owner has no state yet.
//!
//! To add the machine of such an agent, the owner needs the machine's type from the cloud. It also
//! needs a heartbeat that is certainly no late copy. Until then the answer still renews the agent's
//! lease (PROTOCOL, "Leases"), so it has to stop tasks that must not run. In one outage the cloud
//! was unreachable and all controllers had just started. Answers without commands then kept tasks
//! of cancelled jobs running as long as the outage lasted.

use super::Core;
use crate::agent_client::{Command, Heartbeat, Reply, ReportedTask, TaskPhase};
use crate::state::view::View;
use crate::types::{MachineId, Time};

impl Core {
    /// Returns the answer to an agent's heartbeat.
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

    /// Returns whether a reported task is claimed on the machine for a job that is not
    /// cancelled.
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

/// Returns the command that ends a task without time to save its state.
fn kill_at_once(task: &ReportedTask) -> Command {
    Command::Kill {
        task_name: task.task_name.clone(),
        attempt: task.attempt,
        grace_s: 0.0,
    }
}
