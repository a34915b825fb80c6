//! This module sets the limits of placement beside free capacity and quotas. One limit holds
//! back low-priority work under load. The other limit is the number of jobs with claims that
//! wait to be recorded.

use super::Core;

impl Core {
    /// Sets whether the scheduler skips waiting work of the lowest rank while work of a higher
    /// rank waits too. A team below its guarantee is not held back.
    pub fn shed_placements(&mut self, shed: bool) {
        let lowest = if shed {
            self.cluster_state.lowest_of_ranks()
        } else {
            None
        };
        if self.cluster_state.blocked_rank != lowest {
            self.cluster_state.blocked_rank = lowest;
            self.placement_queue.request_full_walk();
        }
    }

    /// Sets the maximum number of jobs with claims that wait to be recorded.
    pub fn set_max_claiming_jobs(&mut self, max: usize) {
        self.cluster_state.max_claiming = Some(max);
    }
}
