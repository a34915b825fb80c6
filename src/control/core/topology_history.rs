//! Recent events in the failure domains of the topology: lost machines, and arrivals of requested
//! machines. Without a topology no events are recorded.

use sorrelhinge_topology::renting::{Arrival, MachinePool, Memory};
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::settings::Settings;
use sorrelhinge_topology::tree::{Domain, Tree};

use crate::types::Time;

/// Recent losses and arrivals of machines, by failure domain.
#[derive(Default)]
pub(super) struct TopologyHistory {
    losses: Stability,
    placements: Memory,
}

impl TopologyHistory {
    /// Records that a machine of a pool came up.
    pub(super) fn record_arrival(&mut self, pool: MachinePool, arrival: Arrival) {
        self.placements.came(pool, arrival);
    }

    /// Records that a machine in a domain was lost.
    pub(super) fn record_loss(&mut self, tree: &Tree, place: Domain, now: Time) {
        self.losses.lost(tree, place, now);
    }

    /// Removes events that are older than the topology settings allow.
    pub(super) fn tidy(&mut self, settings: &Settings, now: Time) {
        self.losses.tidy(settings.repair.settle_s, now);
        self.placements.tidy(settings.renting.remember_s, now);
    }

    /// Returns the recent losses by domain.
    pub(super) fn losses(&self) -> &Stability {
        &self.losses
    }

    /// Returns the domains in which machines recently came up.
    pub(super) fn placements(&self) -> &Memory {
        &self.placements
    }
}
