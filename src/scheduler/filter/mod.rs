//! The filter step of a placement: may one more task of a job go to a machine?
//!
//! Each rule is a file of its own: [`machine_type`], [`zones`], [`free_capacity`] and
//! [`larger_types`] here, failure domains and devices in [`super::topology_rules`].
//! [`Filters`] makes the rules of one request ready once, and asks them in a fixed order:
//! those that judge a whole group of machines first, then those that judge one machine.
//! A new rule is a new file, and a line in [`Filters::admits_group`] or
//! [`Filters::admits_machine`] and in [`ClusterState::may_start_on`].

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
use super::topology_rules::{Ask, Site};
use super::{ClusterState, Job};
use crate::types::{JobId, MachineId, MachineType, Time, Zone};

/// One more task of a job that needs a machine.
#[derive(Clone, Copy)]
pub(in crate::scheduler) struct PlacementRequest<'a> {
    /// The job's id.
    pub id: &'a JobId,
    /// The job.
    pub job: &'a Job,
    /// Jobs that wait for the types that only they fit: found when first asked for.
    pub needy: &'a OnceCell<Needy>,
    /// Now.
    pub now: Time,
}

/// All rules for one request, made ready once and asked for many machines.
pub(in crate::scheduler) struct Filters<'a> {
    cluster_state: &'a ClusterState,
    request: &'a PlacementRequest<'a>,
    ask: &'a Ask<'a>,
    /// How many of the job's tasks are in each zone.
    zones: BTreeMap<&'a Zone, u32>,
    /// The job's placement rules; none if it has none.
    site: Option<Site<'a>>,
    /// Room kept for work that can't use spot machines is withheld from the job.
    leaves_kept: bool,
}

impl<'a> Filters<'a> {
    /// Makes the rules ready; none if nothing may be placed as it is not known where the
    /// job's tasks are.
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
            site: cluster_state.site(job, reach, ask.leave_out),
            leaves_kept: job.leaves_reserved_capacity(request.now),
        })
    }

    /// Whether capacity kept for work that can't use spot machines is withheld.
    pub(super) fn leaves_kept(&self) -> bool {
        self.leaves_kept
    }

    /// Whether any machine of a group may do.
    pub(super) fn admits_group(&self, key: &GroupKey, kind: &MachineType) -> bool {
        let job = self.request.job;
        ClusterState::kind_suits(&job.spec, key.spot, kind, &key.zone)
            && ClusterState::zone_allows(job, &self.zones, &key.zone)
            && !self
                .cluster_state
                .kept_for_larger_jobs(self.request, &key.traits(kind))
            && self
                .site
                .as_ref()
                .is_none_or(|site| Machine::could(&key.devices, &site.needs))
    }

    /// Whether a machine of a group that was admitted may do; else up to which place
    /// none does.
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
        match &self.site {
            Some(site) => cluster_state.site_passes(site, self.ask, place, m_id, now),
            None => Ok(()),
        }
    }
}

impl ClusterState {
    /// Whether a task may start on a machine whose turn it is: all rules, and its
    /// team's limit.
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
            && self.site_suits(request, m_id)
    }
}
