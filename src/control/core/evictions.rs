//! Moves of running tasks to other machines, for drains and for repair of the spread over
//! domains.

use super::Core;
use crate::scheduler::{ActiveDrain, Moving};
use crate::types::Time;

impl Core {
    /// Moves tasks off draining machines. If a repair is due, it also moves a task of a service
    /// that has too many tasks in one domain.
    pub(super) fn continue_moves(&mut self, now: Time) {
        let Some(topology) = self.cluster_state.topology().cloned() else {
            return;
        };
        let wall_ms = self.wall_ms(now);
        let drains = self.drains.iter().map(|drain| ActiveDrain {
            drain: drain.clone(),
            left_s: drain.left_s(wall_ms),
        });
        let drains: Vec<ActiveDrain> = drains.collect();
        let moving = Moving {
            drains: &drains,
            stability: self.topology_history.losses(),
        };
        let mut moves = if drains.is_empty() {
            Vec::new()
        } else {
            self.cluster_state.drain(&moving, now)
        };
        if self
            .repair_schedule
            .take_due(&topology.settings.repair, now)
        {
            moves.extend(self.cluster_state.repair(&moving, now));
            self.topology_history.tidy(&topology.settings, now);
        }
        for m in moves {
            let to = m.to.as_ref().map_or("-", |id| id.as_str());
            tracing::info!(task = %m.task, to, "task moved");
            self.settle_stopped(&m.task.job, now);
        }
    }
}
