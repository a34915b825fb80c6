//! What bounds placing beside free capacity and quotas: work that is held back under load, and how
//! many jobs may have claims that wait to be recorded.

use super::Core;

impl Core {
    /// Whether no work of the lowest rank that waits is placed, while work of a
    /// higher rank waits too. A team below its guarantee is not held back.
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

    /// How many jobs may have claims that wait to be recorded.
    pub fn set_max_claiming(&mut self, max: usize) {
        self.cluster_state.max_claiming = Some(max);
    }
}
