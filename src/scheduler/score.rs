//! The score step of a placement: what a start on a machine costs, in seconds of waiting
//! for its image. The least cost wins.

use sorrelhinge_topology::devices::DeviceCount;
use sorrelhinge_topology::tree::Domain;

use super::capacity_index::{Nearness, Size};
use super::machine::{fetch_s, MachineTraits};
use super::{ClusterState, Job};
use crate::types::{JobSpec, Kind, MachineId};

/// How many seconds of fetching it is worth to leave an ordinary machine to
/// those who can't use spot ones.
const ORDINARY_S: f64 = 8.0;
/// The same for a machine that should fall idle.
const RETIRING_S: f64 = 3.0;
/// The same for a machine that takes commands only now and then.
const SLOW_S: f64 = 4.0;
/// The same for a large machine that others' tasks need.
const SCARCE_S: f64 = 3.0;
/// The same for a zone without a controller, for a service.
const UNSERVED_S: f64 = 4.0;
/// The same for a machine with devices, for work that needs none.
const DEVICES_S: f64 = 3.0;
/// A machine that is cheaper by this many seconds is clearly better.
pub(super) const CLEARLY_S: f64 = 0.5;
/// The best place for one more task of a job.
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
    /// What a start of a job's task on a machine of this sort costs, in seconds: also for
    /// taking devices that the job has no use for.
    pub(super) fn start_cost(
        &self,
        job: &Job,
        near: Nearness,
        traits: &MachineTraits,
        devices: &[DeviceCount],
    ) -> f64 {
        let mut cost = self.place_cost(&job.spec, near, traits);
        if !devices.is_empty() && job.policy.devices.is_empty() {
            cost += DEVICES_S;
        }
        cost
    }

    /// What placing a job on a machine of this sort costs, in seconds: its
    /// image's fetch, and for taking what others need more.
    pub(super) fn place_cost(&self, spec: &JobSpec, near: Nearness, traits: &MachineTraits) -> f64 {
        let kind = traits.kind;
        let fetch = fetch_s(spec, kind);
        let mut cost = match near {
            Nearness::Ready => 0.0,
            Nearness::Coming => fetch / 2.0,
            Nearness::Absent => fetch,
        };
        if spec.spot && !traits.spot {
            cost += ORDINARY_S;
        }
        if spec.kind == Kind::Service && !self.is_served(traits.zone) {
            cost += UNSERVED_S;
        }
        if traits.retiring {
            cost += RETIRING_S;
        }
        if traits.slow {
            cost += SLOW_S;
        }
        // Large machines are left to tasks that fit no smaller one.
        let scarce = self.shapes.iter().any(|s| {
            s.fits(kind.total)
                && self
                    .capacity_index
                    .kinds()
                    .any(|k| !s.fits(k.total) && spec.each.fits(k.total))
        });
        if scarce && !self.needs(spec.each, kind) {
            cost += SCARCE_S;
        }
        cost
    }
}
