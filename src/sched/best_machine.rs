//! The best machine for a job, by what a start there costs.

use std::cell::OnceCell;

use sorrelhinge_topology::policy::Reach;
use sorrelhinge_topology::tree::Domain;

use super::capacity_index::{CapacityIndex, Nearness};
use super::machine::Machine;
use super::topology_rules::Ask;
use super::{
    ClusterState, Job, Needy, Offer, DEVICES_S, ORDINARY_S, RETIRING_S, SCARCE_S, SLOW_S,
    UNSERVED_S,
};
use crate::types::{JobId, JobSpec, Kind, MachineId, MachineType, Time, Zone};

impl ClusterState {
    /// What placing a job on a machine of this sort costs, in seconds: its
    /// image's fetch, and for taking what others need more.
    pub(super) fn place_cost(
        &self,
        spec: &JobSpec,
        near: Nearness,
        zone: &Zone,
        (spot, retiring, slow, kind): (bool, bool, bool, &MachineType),
    ) -> f64 {
        let fetch = spec.image_gb / kind.fetch_gb_per_s.max(1e-3);
        let mut cost = match near {
            Nearness::Ready => 0.0,
            Nearness::Coming => fetch / 2.0,
            Nearness::Absent => fetch,
        };
        if spec.spot && !spot {
            cost += ORDINARY_S;
        }
        if spec.kind == Kind::Service && !self.is_served(zone) {
            cost += UNSERVED_S;
        }
        if retiring {
            cost += RETIRING_S;
        }
        if slow {
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

    /// The best machine for one more task of a job, if any has room: one that
    /// meets all its placement rules, else one that meets what is required.
    pub(super) fn best(
        &self,
        id: &JobId,
        job: &Job,
        needy: &OnceCell<Needy>,
        now: Time,
    ) -> Option<Offer> {
        if !self.limit_allows(job, now) {
            return None;
        }
        let ask = Ask {
            leave_out: None,
            settled: None,
        };
        self.best_of(id, job, &ask, Reach::All, needy, now)
            .or_else(|| {
                job.policy
                    .prefers()
                    .then(|| self.best_of(id, job, &ask, Reach::Musts, needy, now))?
            })
    }

    pub(super) fn best_of(
        &self,
        id: &JobId,
        job: &Job,
        ask: &Ask,
        reach: Reach,
        needy: &OnceCell<Needy>,
        now: Time,
    ) -> Option<Offer> {
        let spec = &job.spec;
        let leaves_kept = job.leaves_kept_room(now);
        let zones = self.zones_of(id, job, ask.leave_out)?;
        let site = self.site(job, reach, ask.leave_out);
        let pass = |place: Domain, m_id: &MachineId| {
            let fits = (job.avoid.is_empty()
                || job.avoid.get(m_id).is_none_or(|until| now >= *until))
                && (!self.is_spoken_for(m_id)
                    || spec.each.fits(self.room_for(id, leaves_kept, m_id, now)));
            match &site {
                _ if !fits => Err(place.0 + 1),
                Some(site) => self.site_passes(site, ask, place, m_id, now),
                None => Ok(()),
            }
        };
        let mut best: Option<Offer> = None;
        for (key, group) in self.capacity_index.groups() {
            let kind = &*group.kind;
            if !Self::kind_suits(spec, key.spot, kind, &key.zone)
                || !Self::zone_allows(job, &zones, &key.zone)
                || self.left_to_others((id, job), (key.spot, kind, &key.zone), needy, now)
                || site
                    .as_ref()
                    .is_some_and(|s| !Machine::could(&key.devices, &s.needs))
            {
                continue;
            }
            let spare = if key.devices.is_empty() || !job.policy.devices.is_empty() {
                0.0
            } else {
                DEVICES_S
            };
            for near in [Nearness::Ready, Nearness::Coming, Nearness::Absent] {
                let cost = spare
                    + self.place_cost(
                        spec,
                        near,
                        &key.zone,
                        (key.spot, key.retiring, key.slow, kind),
                    );
                if best.as_ref().is_some_and(|b| cost > b.cost) {
                    break;
                }
                let found = self.capacity_index.first(
                    key,
                    group,
                    (spec.each, leaves_kept),
                    (&spec.image, near),
                    &pass,
                );
                let Some((free, place, machine)) = found else {
                    continue;
                };
                let offer = Offer {
                    cost,
                    ordinary: !key.spot,
                    free,
                    place,
                    machine,
                };
                if best.as_ref().is_none_or(|b| offer.order(b).is_lt()) {
                    best = Some(offer);
                }
                break;
            }
        }
        best
    }

    pub(super) fn cached_somewhere(&self, spec: &JobSpec) -> bool {
        self.capacity_index.groups().any(|(key, group)| {
            Self::kind_suits(spec, key.spot, &group.kind, &key.zone)
                && CapacityIndex::has_image(group, &spec.image)
        })
    }

    /// Whether a job's image goes from machine to machine.
    pub(super) fn stages(&self, spec: &JobSpec) -> bool {
        self.is_staged(spec.image_gb)
    }

    /// Whether an image of this size does.
    pub fn is_staged(&self, gb: f64) -> bool {
        self.staged_gb.is_some_and(|least| gb >= least)
    }
}
