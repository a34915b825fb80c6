//! Reports priority lanes to operators.

use sorrelhinge_priority_lanes::shown::LanesShown;

use super::operator_error::OperatorError;
use super::Node;

impl Node {
    /// Returns the priority lanes, summed over the shards that this controller owns.
    ///
    /// # Errors
    ///
    /// Returns [`OperatorError::Elsewhere`] with the leader if this controller owns no
    /// shard, or [`OperatorError::Unavailable`] if no leader is known.
    pub fn show_lanes(&self) -> Result<LanesShown, OperatorError> {
        let cores = self.shards.owned();
        let mut all: Option<LanesShown> = None;
        for c in cores.values() {
            let shown = c.show_lanes(self.now());
            let Some(sum) = &mut all else {
                all = Some(shown);
                continue;
            };
            for (sum, lane) in sum.lanes.iter_mut().zip(shown.lanes) {
                sum.cpus += lane.cpus;
                sum.of_cpus += lane.of_cpus;
                sum.waiting.extend(lane.waiting);
                sum.waiting.sort_by_key(|w| (!w.front, w.place));
            }
        }
        let leader = || self.store.view().leader.value.clone().map(|l| l.node);
        all.ok_or_else(|| leader().map_or(OperatorError::Unavailable, OperatorError::Elsewhere))
    }
}
