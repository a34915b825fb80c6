//! Changes of the operators' topology file, and the schedule of repairs that move tasks to
//! restore the spread.

use std::rc::Rc;

use sorrelhinge_topology::settings::Repair;
use sorrelhinge_topology::{repair, Topology};

use super::Core;
use crate::types::Time;

/// Time of the last repair of the spread of services over domains.
#[derive(Default)]
pub(super) struct RepairSchedule {
    /// Time of that repair, or `None` if no repair was due yet.
    last_repair: Option<Time>,
}

impl RepairSchedule {
    /// Returns whether a repair is due by the topology's settings. If one is due, the interval
    /// to the next repair begins now.
    pub(super) fn take_due(&mut self, settings: &Repair, now: Time) -> bool {
        let due = repair::due(self.last_repair, settings.every_s, now);
        if due {
            self.last_repair = Some(now);
        }
        due
    }
}

impl Core {
    /// Applies a changed topology file. Running tasks stay and keep their resources until they
    /// end.
    pub fn set_topology(&mut self, topology: Option<Rc<Topology>>, now: Time) {
        let agents = &self.agents;
        self.cluster_state
            .set_topology(topology, |id| agents.addr(id).map(|addr| addr.ip()));
        self.refresh_drains(now);
        self.placement_queue.request_full_walk();
    }
}
