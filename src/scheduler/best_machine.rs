//! Choice of the best machine for a job: the machine with the least score among those that
//! pass the filters.

use sorrelhinge_topology::policy::Reach;

use super::capacity_index::{Group, GroupKey, Nearness, Search};
use super::filter::{Filters, PlacementRequest};
use super::score::Offer;
use super::topology_rules::Ask;
use super::ClusterState;

impl ClusterState {
    /// Returns the best machine with free capacity for one more task of a job. Prefers a
    /// machine that meets all placement rules of the job, and falls back to one that meets
    /// only the required rules. Returns `None` if the team's limit allows no task or no
    /// machine fits.
    pub(super) fn best(&self, request: &PlacementRequest) -> Option<Offer> {
        if !self.limit_allows(request.job, request.now) {
            return None;
        }
        let ask = Ask::default();
        self.best_of(request, &ask, Reach::All).or_else(|| {
            request
                .job
                .policy
                .prefers()
                .then(|| self.best_of(request, &ask, Reach::Musts))?
        })
    }

    /// Returns the best machine by the placement rules that `reach` selects, regardless of
    /// the team's limit.
    pub(super) fn best_of(
        &self,
        request: &PlacementRequest,
        ask: &Ask,
        reach: Reach,
    ) -> Option<Offer> {
        let filters = Filters::new(self, request, ask, reach)?;
        let mut best: Option<Offer> = None;
        for (key, group) in self.capacity_index.groups() {
            if !filters.admits_group(key, &group.kind) {
                continue;
            }
            let Some(offer) = self.best_in_group(request, &filters, key, group, best.as_ref())
            else {
                continue;
            };
            if best.as_ref().is_none_or(|b| offer.order(b).is_lt()) {
                best = Some(offer);
            }
        }
        best
    }

    /// Returns the best machine of a group, or `None` if its cost exceeds that of `best`,
    /// the best machine found so far.
    fn best_in_group(
        &self,
        request: &PlacementRequest,
        filters: &Filters,
        key: &GroupKey,
        group: &Group,
        best: Option<&Offer>,
    ) -> Option<Offer> {
        let job = request.job;
        let pass = |place, m_id: &_| filters.admits_machine(place, m_id);
        for near in [Nearness::Ready, Nearness::Coming, Nearness::Absent] {
            let cost = self.start_cost(job, near, &key.traits(&group.kind), &key.devices);
            if best.is_some_and(|b| cost > b.cost) {
                return None;
            }
            let search = Search {
                each: job.spec.each,
                leaves_kept: filters.leaves_kept(),
                image: &job.spec.image,
                near,
            };
            if let Some(found) = self.capacity_index.first(key, group, &search, &pass) {
                return Some(Offer {
                    cost,
                    ordinary: !key.spot,
                    free: found.free,
                    place: found.place,
                    machine: found.machine,
                });
            }
        }
        None
    }
}
