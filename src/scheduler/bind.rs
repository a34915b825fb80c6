//! The bind step of a placement, which claims a task on the chosen machine.

use super::{ClusterState, Delay};
use crate::types::{JobId, MachineId, TaskId, Time};

/// Task that a placement pass has placed on a machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// Task that was placed.
    pub task: TaskId,
    /// Machine that the task is placed on.
    pub machine: MachineId,
    /// Whether the machine had the task's image cached.
    pub cached: bool,
}

impl ClusterState {
    /// Claims a job's next task on a machine and updates the job's delay scheduling.
    /// Returns `None` if the claim can't be made.
    pub(super) fn launch(&mut self, id: &JobId, m_id: &MachineId, now: Time) -> Option<Launch> {
        let cached = {
            let job = self.jobs.get(id)?;
            self.machines.get(m_id)?.cache.has(&job.spec.image)
        };
        let index = self.jobs.get_mut(id)?.tasks.next_pending()?;
        let task = TaskId {
            job: id.clone(),
            index,
        };
        if !self.claim(&task, m_id, now) {
            return None;
        }
        self.claims_wait(id);
        self.refresh_aging(id, now);
        let job = self.jobs.get_mut(id)?;
        // After a launch on a machine with the image cached, the job again waits for such
        // machines. After any other launch, the job may launch anywhere.
        job.delay = Delay {
            anywhere: !cached,
            skipped_since: None,
        };
        Some(Launch {
            task,
            machine: m_id.clone(),
            cached,
        })
    }
}
