//! This module decides the scaling of the fleet in one pass. [`super::demand`] computes the
//! free capacity to keep for future work, [`super::scale_in`] selects machines to empty and
//! delete, and [`super::scale_out`] makes requests to the cloud.

use std::rc::Rc;

use super::silence::SilenceEvidence;
use super::Core;
use crate::autoscaler;
use crate::cloud::Rental;
use crate::types::{JobSpec, MachineId, MachineType, Time, TypeName, Zone};

/// Number of heartbeat intervals for which a new owner requests no machine from the cloud. The
/// owner does not know all existing machines until this time has passed.
const MIN_OWNER_AGE_HEARTBEATS: f64 = 2.0;

/// Changes of the fleet to carry out now.
#[derive(Debug, Default)]
pub struct ScalingDecision {
    /// Machines to delete.
    pub to_delete: Vec<MachineId>,
    /// Requests for new machines to send to the cloud.
    pub scale_out: Vec<Rental>,
}

impl Core {
    /// Plans the fleet and returns the machines to delete now and the requests to send. Each
    /// request is in flight until its outcome is passed to [`Core::scale_out_finished`].
    /// Nothing is decided while the shard is frozen for handover.
    pub fn plan_scaling(&mut self, now: Time) -> ScalingDecision {
        if self.is_frozen() {
            return ScalingDecision::default();
        }
        self.log_fleet_if_due(now);
        let silence = self.silence_evidence(now);
        if silence == SilenceEvidence::OfMachine {
            self.scale_in_unreachable(now);
        }
        self.scale_in_silent(silence, now);
        let to_delete = self.machines_to_delete(now);
        let settled = self.failover.age_s(now) > MIN_OWNER_AGE_HEARTBEATS * self.cfg.heartbeat_s;
        if !settled || self.scaling.requests.any_in_flight() {
            return ScalingDecision {
                to_delete,
                scale_out: Vec::new(),
            };
        }
        let idle = self.is_idle(now);
        let expected = if idle {
            Vec::new()
        } else {
            self.expected_arrivals(now)
        };
        let plan = self.plan_fleet(&expected, &to_delete, now);
        self.windows.set_pending_tasks(&plan.pending_tasks);
        self.scale_in(&plan, idle, now);
        ScalingDecision {
            to_delete,
            scale_out: self.scale_out(plan.rent, now),
        }
    }

    /// Packs the running, waiting and expected work into the existing and the pending machines,
    /// except for those to be deleted.
    fn plan_fleet(
        &self,
        expected: &[autoscaler::Expected],
        to_delete: &[MachineId],
        now: Time,
    ) -> autoscaler::Plan {
        let boot_s = self.boot_s();
        let input = autoscaler::Input {
            patient: &|spec: &JobSpec| self.slack(spec) > boot_s,
            boot_s,
            cluster_state: &self.cluster_state,
            types: &self.offered_types(),
            pending_machines: &self.pending_machines_except(to_delete),
            expected,
            shortfalls: &self.shortfalls(now),
            open: &|kind: &TypeName, zone: &Zone, spot: bool| {
                self.may_request(kind, zone, spot, now)
            },
            memory: self.topology_history.placements(),
        };
        autoscaler::plan(&input, now)
    }

    /// Returns the cloud's machine types in order of their names.
    fn offered_types(&self) -> Vec<Rc<MachineType>> {
        let mut offered: Vec<Rc<MachineType>> = self.types.values().cloned().collect();
        offered.sort_by(|a, b| a.name.cmp(&b.name));
        offered
    }

    /// Returns the pending machines that are not to be deleted.
    fn pending_machines_except(&self, to_delete: &[MachineId]) -> Vec<autoscaler::PendingMachine> {
        self.inventory
            .pending_machines()
            .iter()
            .filter(|(id, _)| !to_delete.contains(id))
            .filter_map(|(_, c)| {
                Some(autoscaler::PendingMachine {
                    kind: self.types.get(&c.kind)?.clone(),
                    spot: c.spot,
                    zone: c.zone.clone(),
                })
            })
            .collect()
    }
}
