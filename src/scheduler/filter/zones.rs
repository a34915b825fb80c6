//! Filter rule: a job may require all its tasks in one zone, or spread over zones.

use std::collections::BTreeMap;

use crate::scheduler::{ClusterState, Job};
use crate::types::{JobId, Zone};

impl ClusterState {
    /// Returns the number of a job's tasks in each zone, without the task `leave_out`. Returns
    /// `None` if the zone of a task is not known yet, for example because its claim is on an
    /// unknown machine. This forbids every placement that depends on zones.
    pub(in crate::scheduler) fn zones_of(
        &self,
        id: &JobId,
        job: &Job,
        leave_out: Option<u32>,
    ) -> Option<BTreeMap<&Zone, u32>> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            // Tasks in other shards count too. Without them, replicas were placed where their
            // rule forbids it just after the machines were split into shards (`wrong_place`).
            if let Some(elsewhere) = self.elsewhere.get(id) {
                zones.extend(elsewhere.as_ref()?.iter().map(|(z, n)| (z, *n)));
            }
            let claims = job.tasks.claims().iter();
            for (_, claim) in claims.filter(|(index, _)| Some(**index) != leave_out) {
                *zones
                    .entry(&self.machines.get(&claim.machine)?.zone)
                    .or_insert(0) += 1;
            }
        }
        Some(zones)
    }

    /// Returns whether one more task of a job may be placed in a zone, given the zones of the
    /// job's other tasks.
    pub(in crate::scheduler) fn zone_allows(
        job: &Job,
        zones: &BTreeMap<&Zone, u32>,
        zone: &Zone,
    ) -> bool {
        let here = zones.get(zone).copied().unwrap_or(0);
        // Claims found at a takeover may be in two zones, and some of their tasks may have
        // ended. Which ones is unknown, so no task is placed until all tasks of one zone are
        // known to have ended. When any zone with a claim was allowed, a task started in one
        // zone while others ran in the other (`wrong_place`).
        (!job.spec.one_zone || zones.iter().all(|(z, n)| *n == 0 || *z == zone))
            && (!job.spec.spread || here < job.spec.tasks.div_ceil(2))
    }

    /// Returns whether a zone has a controller. If no such zone is known, every zone counts as
    /// having one.
    pub fn is_served(&self, zone: &Zone) -> bool {
        self.served.is_empty() || self.served.contains(zone)
    }
}
