//! What happened of late in the failure domains of the topology: where machines were
//! lost, and where those that were asked for came up. Without a topology both stay
//! empty.

use sorrelhinge_topology::renting::{MachinePool, Memory};
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::settings::Settings;
use sorrelhinge_topology::tree::{Domain, Tree};

use crate::types::Time;

/// Losses and arrivals by domain.
#[derive(Default)]
pub(super) struct TopologyHistory {
    losses: Stability,
    placements: Memory,
}

impl TopologyHistory {
    /// A machine of a pool came up in a domain.
    pub(super) fn came_up(&mut self, pool: MachinePool, place: Domain, now: Time) {
        self.placements.came(pool, place, now);
    }

    /// A machine in a domain was lost.
    pub(super) fn lost(&mut self, tree: &Tree, place: Domain, now: Time) {
        self.losses.lost(tree, place, now);
    }

    /// Forgets what is over by the topology's settings.
    pub(super) fn tidy(&mut self, settings: &Settings, now: Time) {
        self.losses.tidy(settings.repair.settle_s, now);
        self.placements.tidy(settings.renting.remember_s, now);
    }

    /// Domains that lost machines of late.
    pub(super) fn losses(&self) -> &Stability {
        &self.losses
    }

    /// Where machines came up of late.
    pub(super) fn placements(&self) -> &Memory {
        &self.placements
    }
}
