//! Progress of drains, for the operators' status.

use sorrelhinge_topology::drain::{Drain, Progress};

use super::Core;

impl Core {
    /// Returns the progress of a drain: its machines, empty machines, and tasks that remain or
    /// are stopping.
    pub fn drain_progress(&self, drain: &Drain) -> Progress {
        let mut progress = Progress::default();
        for id in self.cluster_state.drained(drain) {
            let claims = self.cluster_state.claims_on(id);
            let stopping = claims.iter().filter(|t| {
                let claim = self.cluster_state.claim_of(t);
                claim.is_some_and(|c| c.stop.is_some())
            });
            progress.machines += 1;
            progress.empty += u32::from(claims.is_empty());
            progress.stopping += stopping.count() as u32;
            progress.tasks += claims.len() as u32;
        }
        progress
    }
}
