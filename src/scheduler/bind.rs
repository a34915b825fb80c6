//! The bind step of a placement: a task is claimed on the machine that was chosen.

use super::{ClusterState, Delay};
use crate::types::{JobId, MachineId, TaskId, Time};

/// A task that the walk placed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Launch {
    /// The task.
    pub task: TaskId,
    /// Where.
    pub machine: MachineId,
    /// Whether its image was cached there.
    pub cached: bool,
}

impl ClusterState {
    /// Claims a job's next task on a machine, and takes the job's delay scheduling on
    /// from there; none if the claim can't be made.
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
        self.check_whether_begun(id, now);
        let job = self.jobs.get_mut(id)?;
        // A launch on a cached image takes the job back to waiting for one;
        // any other leaves it free to launch anywhere.
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
