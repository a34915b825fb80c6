//! This module decides which machines to request from the cloud, and applies the outcomes.
//! [`crate::autoscaler`] chooses between ordinary and spot machines, their types and their
//! zones.

use super::inventory::PendingMachine;
use super::scaling_state::MachineOffer;
use super::Core;
use crate::autoscaler;
use crate::cloud::{CloudError, Rental};
use crate::types::{MachineId, Time, TypeName, Zone};

/// Time for which an offer is not requested again after the cloud lacked capacity for it, in
/// seconds.
const NO_CAPACITY_RETRY_S: f64 = 10.0;
/// Time for which an offer is not requested again after a call for it failed, in seconds.
const FAILED_CALL_RETRY_S: f64 = 3.0;

impl Core {
    /// Returns the number of machines that are up or pending.
    pub fn machine_count(&self) -> usize {
        self.agents.len() + self.inventory.pending_machines().len()
    }

    /// Sets the maximum number of machines that the controllers can serve. `None` means that no
    /// limit is known.
    pub fn set_max_machines(&mut self, max: Option<usize>) {
        self.scaling.requests.set_max_machines(max);
    }

    /// Returns whether a machine may be requested: the cloud has not refused the offer
    /// recently, and the zone is not drained.
    pub(super) fn may_request(&self, kind: &TypeName, zone: &Zone, spot: bool, now: Time) -> bool {
        let offer = MachineOffer {
            kind: kind.clone(),
            zone: zone.clone(),
            spot,
        };
        !self.scaling.requests.is_refused(&offer, now) && !self.drains.covers_zone(zone)
    }

    /// Returns the requests to send, limited to the machines that can be served and used.
    pub(super) fn scale_out(
        &mut self,
        requests: Vec<autoscaler::ScaleOutRequest>,
        now: Time,
    ) -> Vec<Rental> {
        let mut left = self.machines_to_add(now);
        let mut rentals = Vec::new();
        for mut request in requests {
            request.count = request.count.min(u32::try_from(left).unwrap_or(u32::MAX));
            if request.count == 0 {
                continue;
            }
            left -= request.count as usize;
            let number = self.scaling.requests.begin();
            rentals.push(Rental {
                request_id: self.request_id(number),
                machine_type: request.kind,
                zone: request.zone,
                spot: request.spot,
                count: request.count,
            });
        }
        rentals
    }

    /// Returns how many machines may be added. The result respects the limit that the
    /// controllers can serve. It is 0 if claims are limited by the rate of recording and the
    /// free capacity lasts until a new machine is up.
    fn machines_to_add(&mut self, now: Time) -> usize {
        let teams = self.cluster_state.teams().iter();
        let used = teams.map(|t| t.used.cpu).sum::<i64>();
        let free = self.cluster_state.capacity().cpu - used;
        let boot_s = self.boot_s();
        let claim_rate = self.scaling.requests.claim_rate(now);
        let lasts = claim_rate.lasts(free, boot_s);
        if self.cluster_state.claims_bind() && lasts {
            return 0;
        }
        self.scaling
            .requests
            .max_machines()
            .map_or(usize::MAX, |max| max.saturating_sub(self.machine_count()))
    }

    /// Returns the identifier of a request. It is unique because the grant's number was
    /// recorded before, and because this owner counts its own requests. The shard is part of
    /// the identifier because the grants of two shards may have the same number.
    fn request_id(&self, number: u64) -> String {
        if self.scope.is_part() {
            format!("r-{}-{}-{number}", self.grant, self.scope.shard)
        } else {
            format!("r-{}-{number}", self.grant)
        }
    }

    /// Applies the outcome of a request: the machines, or the reason of the failure.
    pub fn scale_out_finished(
        &mut self,
        rental: &Rental,
        machines: Result<Vec<MachineId>, CloudError>,
        now: Time,
    ) {
        self.scaling.requests.end();
        let offer = MachineOffer::from(rental);
        match machines {
            Ok(machines) => {
                let pending = PendingMachine::requested(&offer, now);
                if machines.len() < rental.count as usize {
                    self.scaling
                        .requests
                        .refuse(offer, now.after(NO_CAPACITY_RETRY_S));
                }
                for id in machines.into_iter().filter(|m| self.scope.covers(m)) {
                    if !self.agents.contains(&id) {
                        self.inventory.requested(id, pending.clone());
                    }
                }
            }
            Err(CloudError::NoCapacity) => {
                self.scaling
                    .requests
                    .refuse(offer, now.after(NO_CAPACITY_RETRY_S));
            }
            Err(CloudError::Failed(_)) => {
                self.windows.record_failure(now.after(FAILED_CALL_RETRY_S));
                self.scaling
                    .requests
                    .refuse(offer, now.after(FAILED_CALL_RETRY_S));
            }
        }
    }

    /// Adds a pending machine that another owner requested from the cloud, if the machine
    /// belongs to this shard.
    pub fn expect_machine(&mut self, machine: &MachineId, offer: &MachineOffer, now: Time) {
        let known = self.agents.contains(machine) || self.tombstones.is_recent(machine);
        if self.scope.covers(machine) && !known {
            self.inventory
                .expect(machine, || PendingMachine::requested(offer, now));
        }
    }
}
