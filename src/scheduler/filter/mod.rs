//! The filter step of a placement, which decides whether a machine may run one more task of
//! a job.
//!
//! Each rule has its own file. [`machine_type`], [`zones`], [`free_capacity`] and
//! [`larger_types`] are in this folder. [`super::topology_rules`] holds the rules for failure
//! domains and devices. [`Filters`] prepares the rules of one request once and applies them
//! in a fixed order: first the rules that judge a whole group of machines, then the rules
//! that judge one machine. A new rule needs a file, a line in [`Filters::admits_group`] or
//! [`Filters::admits_machine`], and a line in [`ClusterState::may_start_on`].

mod free_capacity;
mod larger_types;
mod machine_type;
mod zones;

use std::cell::OnceCell;
use std::collections::BTreeMap;

use sorrelhinge_topology::policy::Reach;
use sorrelhinge_topology::tree::Domain;

pub(in crate::scheduler) use self::larger_types::Needy;
use super::capacity_index::GroupKey;
use super::machine::Machine;
use super::topology_rules::{Ask, PolicyCheck};
use super::{ClusterState, Job};
use crate::types::{JobId, MachineId, MachineType, Time, Zone};

/// A request for a machine for one more task of a job.
#[derive(Clone, Copy)]
pub(in crate::scheduler) struct PlacementRequest<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
    /// Waiting jobs that fit no smaller machine type. The first rule that reads them computes
    /// them.
    pub needy: &'a OnceCell<Needy>,
    pub now: Time,
}

/// All filter rules for one request, prepared once and applied to many machines.
pub(in crate::scheduler) struct Filters<'a> {
    cluster_state: &'a ClusterState,
    request: &'a PlacementRequest<'a>,
    ask: &'a Ask<'a>,
    /// Number of the job's tasks in each zone.
    zones: BTreeMap<&'a Zone, u32>,
    /// The job's placement rules, or `None` if the job has no rules.
    policy_check: Option<PolicyCheck<'a>>,
    /// Whether capacity kept for work that can't use spot machines is withheld from the job.
    leaves_kept: bool,
}

impl<'a> Filters<'a> {
    /// Prepares the rules. Returns `None` if the zones of the job's tasks are unknown, which
    /// forbids every placement.
    pub(super) fn new(
        cluster_state: &'a ClusterState,
        request: &'a PlacementRequest<'a>,
        ask: &'a Ask<'a>,
        reach: Reach,
    ) -> Option<Self> {
        let job = request.job;
        Some(Self {
            cluster_state,
            request,
            ask,
            zones: cluster_state.zones_of(request.id, job, ask.leave_out)?,
            policy_check: cluster_state.policy_check(job, reach, ask.leave_out),
            leaves_kept: job.leaves_reserved_capacity(request.now),
        })
    }

    /// Returns whether capacity kept for work that can't use spot machines is withheld from
    /// the job.
    pub(super) fn leaves_kept(&self) -> bool {
        self.leaves_kept
    }

    /// Returns whether the rules that judge whole groups admit a group of machines.
    pub(super) fn admits_group(&self, key: &GroupKey, kind: &MachineType) -> bool {
        let job = self.request.job;
        ClusterState::kind_suits(&job.spec, key.spot, kind, &key.zone)
            && ClusterState::zone_allows(job, &self.zones, &key.zone)
            && !self
                .cluster_state
                .kept_for_larger_jobs(self.request, &key.traits(kind))
            && self
                .policy_check
                .as_ref()
                .is_none_or(|policy_check| Machine::could(&key.devices, &policy_check.needs))
    }

    /// Checks a machine of an admitted group. If the rules exclude the machine, returns the
    /// first place at which a machine may pass again.
    pub(super) fn admits_machine(&self, place: Domain, m_id: &MachineId) -> Result<(), Domain> {
        let PlacementRequest { id, job, now, .. } = *self.request;
        let cluster_state = self.cluster_state;
        let fits = !job.avoids(m_id, now)
            && (!cluster_state.has_reservation(m_id)
                || job.spec.each.fits(cluster_state.free_capacity_for(
                    id,
                    self.leaves_kept,
                    m_id,
                    now,
                )));
        if !fits {
            return Err(place.next());
        }
        match &self.policy_check {
            Some(policy_check) => {
                cluster_state.check_machine(policy_check, self.ask, place, m_id, now)
            }
            None => Ok(()),
        }
    }
}

impl ClusterState {
    /// Returns whether one more task of a job may start on the machine that a placement pass
    /// is filling. Checks all filter rules and the limit of the job's team.
    pub(in crate::scheduler) fn may_start_on(
        &self,
        request: &PlacementRequest,
        m_id: &MachineId,
        machine: &Machine,
    ) -> bool {
        let PlacementRequest { id, job, now, .. } = *request;
        let leaves_kept = job.leaves_reserved_capacity(now);
        Self::suits(&job.spec, machine)
            && job
                .spec
                .each
                .fits(self.free_capacity_for(id, leaves_kept, m_id, now))
            && !job.avoids(m_id, now)
            && self
                .zones_of(id, job, None)
                .is_some_and(|zones| Self::zone_allows(job, &zones, &machine.zone))
            && self.limit_allows(job, now)
            && !self.kept_for_larger_jobs(request, &machine.traits())
            && self.policy_admits(request, m_id)
    }
}
