//! The operators' topology: a changed file, and when tasks are moved for its sake.

use std::rc::Rc;

use sorrelhinge_topology::settings::Repair;
use sorrelhinge_topology::{repair, Topology};

use super::Core;
use crate::types::Time;

/// When a task was last moved to repair the spread of services over domains.
#[derive(Default)]
pub(super) struct RepairSchedule {
    /// None: no repair was due yet.
    last_repair: Option<Time>,
}

impl RepairSchedule {
    /// Whether the next repair is due by the topology's settings. If so, the interval to
    /// the one after it begins now.
    pub(super) fn take_due(&mut self, settings: &Repair, now: Time) -> bool {
        let due = repair::due(self.last_repair, settings.every_s, now);
        if due {
            self.last_repair = Some(now);
        }
        due
    }
}

impl Core {
    /// The operator's file changed. Running tasks stay, and keep what they have until
    /// they end.
    pub fn set_topology(&mut self, topology: Option<Rc<Topology>>, now: Time) {
        let agents = &self.agents;
        self.cluster_state
            .set_topology(topology, |id| agents.addr(id).map(|addr| addr.ip()));
        self.refresh_drains(now);
        self.placement_queue.request_full_walk();
    }
}
