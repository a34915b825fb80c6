//! Rule: all tasks of a job in one zone, or spread over zones.

use std::collections::BTreeMap;

use crate::scheduler::{ClusterState, Job};
use crate::types::{JobId, Zone};

impl ClusterState {
    /// How many tasks of a job are in each zone; none if a claim is on a
    /// machine whose zone is not known yet, which forbids every placement that
    /// depends on zones.
    pub(in crate::scheduler) fn zones_of(
        &self,
        id: &JobId,
        job: &Job,
        leave_out: Option<u32>,
    ) -> Option<BTreeMap<&Zone, u32>> {
        let mut zones = BTreeMap::new();
        if job.spec.one_zone || job.spec.spread {
            // Left out once, when the machines had just been divided: replicas
            // went where their rule forbids it (`wrong_place`).
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

    /// Whether one more task of a job may go to a zone, by the zones of the others.
    pub(in crate::scheduler) fn zone_allows(
        job: &Job,
        zones: &BTreeMap<&Zone, u32>,
        zone: &Zone,
    ) -> bool {
        let here = zones.get(zone).copied().unwrap_or(0);
        // Of claims found at a takeover some may be over, and be in another zone than
        // those that run: it is not known which, so nothing goes anywhere until one
        // side is shown to have ended. Any zone with a claim was good enough once, and a
        // task started in one while others ran in the other (`wrong_place`).
        (!job.spec.one_zone || zones.iter().all(|(z, n)| *n == 0 || *z == zone))
            && (!job.spec.spread || here < job.spec.tasks.div_ceil(2))
    }

    /// Whether a zone has a controller.
    pub fn is_served(&self, zone: &Zone) -> bool {
        self.served.is_empty() || self.served.contains(zone)
    }
}
