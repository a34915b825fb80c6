//! The score step of a placement: the cost of a start on a machine, in seconds of waiting
//! for its image. The machine with the least cost wins.

use sorrelhinge_topology::devices::DeviceCount;
use sorrelhinge_topology::tree::Domain;

use super::capacity_index::{Nearness, Size};
use super::machine::{fetch_s, MachineTraits};
use super::{ClusterState, Job};
use crate::types::{JobSpec, Kind, MachineId};

/// Cost in seconds of fetch time of placing a job that could use a spot machine on an
/// ordinary one. It leaves ordinary machines to jobs that can't use spot machines.
const ORDINARY_COST_S: f64 = 8.0;
/// Cost in seconds of using a machine that should become idle.
const RETIRING_COST_S: f64 = 3.0;
/// Cost in seconds of using a machine that receives commands only occasionally.
const SLOW_COST_S: f64 = 4.0;
/// Cost in seconds of using a large machine that tasks of other jobs need.
const SCARCE_COST_S: f64 = 3.0;
/// Cost in seconds of placing a service in a zone without a controller.
const UNSERVED_COST_S: f64 = 4.0;
/// Cost in seconds of using a machine with devices for work that needs none.
const DEVICES_COST_S: f64 = 3.0;
/// A machine that is cheaper by more than this many seconds counts as clearly better.
pub(super) const CLEARLY_BETTER_S: f64 = 0.5;
/// Machine that is offered to a job for one more task, with what ranks it among other
/// offers.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub(super) cost: f64,
    pub(super) ordinary: bool,
    pub(super) free: Size,
    pub(super) place: Domain,
    pub(super) machine: MachineId,
}

impl Offer {
    pub(super) fn order(&self, other: &Offer) -> std::cmp::Ordering {
        self.cost
            .total_cmp(&other.cost)
            .then(self.ordinary.cmp(&other.ordinary))
            .then(self.free.cmp(&other.free))
            .then(self.place.cmp(&other.place))
            .then(self.machine.cmp(&other.machine))
    }
}

impl ClusterState {
    /// Returns the cost in seconds of starting a job's task on a machine with these
    /// properties. Includes the cost of taking a machine with devices that the job doesn't
    /// use.
    pub(super) fn start_cost(
        &self,
        job: &Job,
        near: Nearness,
        traits: &MachineTraits,
        devices: &[DeviceCount],
    ) -> f64 {
        let mut cost = self.place_cost(&job.spec, near, traits);
        if !devices.is_empty() && job.policy.devices.is_empty() {
            cost += DEVICES_COST_S;
        }
        cost
    }

    /// Returns the cost in seconds of placing a job on a machine with these properties: the
    /// fetch of its image, and the cost of taking capacity that other jobs need more.
    pub(super) fn place_cost(&self, spec: &JobSpec, near: Nearness, traits: &MachineTraits) -> f64 {
        let kind = traits.kind;
        let fetch = fetch_s(spec, kind);
        let mut cost = match near {
            Nearness::Ready => 0.0,
            Nearness::Coming => fetch / 2.0,
            Nearness::Absent => fetch,
        };
        if spec.spot && !traits.spot {
            cost += ORDINARY_COST_S;
        }
        if spec.kind == Kind::Service && !self.is_served(traits.zone) {
            cost += UNSERVED_COST_S;
        }
        if traits.retiring {
            cost += RETIRING_COST_S;
        }
        if traits.slow {
            cost += SLOW_COST_S;
        }
        // Large machines are left to tasks that fit no smaller type.
        let scarce = self.shapes.iter().any(|s| {
            s.fits(kind.total)
                && self
                    .capacity_index
                    .kinds()
                    .any(|k| !s.fits(k.total) && spec.each.fits(k.total))
        });
        if scarce && !self.needs(spec.each, kind) {
            cost += SCARCE_COST_S;
        }
        cost
    }
}
