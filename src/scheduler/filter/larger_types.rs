//! Filter rule: large machines are left to waiting jobs that fit no smaller machine type.

use std::collections::BTreeMap;

use super::PlacementRequest;
use crate::scheduler::machine::{CapacityPool, MachineTraits};
use crate::scheduler::ClusterState;
use crate::types::{JobId, Time};

/// For each capacity pool, waiting jobs whose tasks fit no smaller machine type, as of the
/// start of a placement pass. Lists at most two jobs per pool.
pub(in crate::scheduler) type Needy = BTreeMap<CapacityPool, Vec<JobId>>;

impl ClusterState {
    /// Returns whether a machine is kept for another waiting job that fits only machines of
    /// this size, while the requesting job fits smaller ones and has not waited for long.
    pub(in crate::scheduler) fn kept_for_larger_jobs(
        &self,
        request: &PlacementRequest,
        traits: &MachineTraits,
    ) -> bool {
        let PlacementRequest {
            id,
            job,
            needy,
            now,
        } = *request;
        if job.start_within.is_some()
            || self.needs(job.spec.each, traits.kind)
            || job.may_use_reserved_capacity(now)
        {
            return false;
        }
        let waited = job.blocked_since.map_or(0.0, |t| now.since(t));
        let more_urgent = |other: &JobId| {
            let other = self.jobs.get(other);
            other.is_some_and(|o| job.priority > o.priority)
        };
        needy
            .get_or_init(|| self.needy(now))
            .get(&traits.pool())
            .and_then(|ids| ids.iter().find(|other| *other != id))
            .is_some_and(|other| {
                let waits_for_s = if more_urgent(other) {
                    job.patience_s
                } else {
                    job.late_s
                };
                waited < waits_for_s
            })
    }

    /// Returns the waiting jobs that fit no machine type smaller than that of a group, by the
    /// capacity pool of the group.
    pub(in crate::scheduler) fn needy(&self, now: Time) -> Needy {
        let mut needy = Needy::new();
        let smallest = self.capacity_index.kinds().min_by_key(|k| k.total.cpu);
        for (id, job) in self.jobs_to_place() {
            if smallest.is_none_or(|k| job.spec.each.fits(k.total)) || !job.needs_placement(now) {
                continue;
            }
            for (key, group) in self.capacity_index.groups() {
                if Self::kind_suits(&job.spec, key.spot, &group.kind, &key.zone)
                    && self.needs(job.spec.each, &group.kind)
                    && self.limit_allows(job, now)
                {
                    let ids = needy.entry(key.traits(&group.kind).pool()).or_default();
                    // Two jobs are enough to tell whether a job other than the requesting
                    // one waits.
                    if ids.len() < 2 && ids.last() != Some(id) {
                        ids.push(id.clone());
                    }
                }
            }
        }
        needy
    }
}
