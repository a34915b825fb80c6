//! Filter rule: a task needs free capacity that is not reserved or kept for other jobs.

use crate::scheduler::ClusterState;
use crate::types::{Amount, JobId, MachineId, Time};

impl ClusterState {
    /// Returns the free capacity of a machine for a job, less the capacity that is reserved for
    /// other jobs. If `leaves_kept` is set, also subtracts the capacity that the machine keeps
    /// for work that can't use spot machines.
    pub(in crate::scheduler) fn free_capacity_for(
        &self,
        id: &JobId,
        leaves_kept: bool,
        m_id: &MachineId,
        now: Time,
    ) -> Amount {
        let Some(machine) = self.machines.get(m_id) else {
            return Amount::default();
        };
        let mut free = machine.free();
        if let Some(reserved) = self.reserved.get(m_id) {
            if reserved.job != *id && now < reserved.until {
                if let Some(job) = self
                    .jobs
                    .get(&reserved.job)
                    .filter(|j| j.needs_placement(now))
                {
                    free -= job.spec.each;
                }
            }
        }
        if let Some(for_gang) = self.gang_free_capacity.get(m_id) {
            if for_gang.job != *id {
                free -= for_gang.amount;
            }
        }
        if leaves_kept {
            free -= machine.kept;
        }
        free - self.reserved_from(id, m_id, now)
    }

    /// Returns whether capacity of a machine is reserved for a job, a gang or a window.
    pub(in crate::scheduler) fn has_reservation(&self, m_id: &MachineId) -> bool {
        self.reserved.contains_key(m_id)
            || self.gang_free_capacity.contains_key(m_id)
            || self.has_reserved_capacity(m_id)
    }
}
