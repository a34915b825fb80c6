//! Scale-out: which machines are asked of the cloud, and what came of it. Whether ordinary
//! machines or spot ones are asked for, of which type and where, is of [`crate::autoscaler`].

use super::inventory::PendingMachine;
use super::scaling_state::MachineOffer;
use super::Core;
use crate::autoscaler;
use crate::cloud::{CloudError, Rental};
use crate::types::{MachineId, Time, TypeName, Zone};

/// What the cloud had too little of is not asked for again for so many seconds.
const NO_CAPACITY_S: f64 = 10.0;
/// Nor is that for so many seconds for which a call failed.
const FAILED_S: f64 = 3.0;

impl Core {
    /// How many machines there are, up and on their way.
    pub fn machines(&self) -> usize {
        self.agents.len() + self.inventory.pending_machines().len()
    }

    /// How many machines can be served; none: no bound is known.
    pub fn set_max_machines(&mut self, max: Option<usize>) {
        self.scaling.requests.set_max_machines(max);
    }

    /// Whether a machine may be asked for: the cloud has not just refused such a one,
    /// and its zone is not drained.
    pub(super) fn may_request(&self, kind: &TypeName, zone: &Zone, spot: bool, now: Time) -> bool {
        let offer = MachineOffer {
            kind: kind.clone(),
            zone: zone.clone(),
            spot,
        };
        !self.scaling.requests.is_refused(&offer, now) && !self.drains.covers_zone(zone)
    }

    /// The requests to send, as far as the machines can be served and used.
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

    /// How many machines may be added: no more than can be served, and none for work
    /// that can't be claimed meanwhile.
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
            .map_or(usize::MAX, |max| max.saturating_sub(self.machines()))
    }

    /// A request's name. Unique: the grant's number was written before, and
    /// this owner counts its own requests. Two shards' grants may have the same number.
    fn request_id(&self, number: u64) -> String {
        if self.scope.is_part() {
            format!("r-{}-{}-{number}", self.grant, self.scope.shard)
        } else {
            format!("r-{}-{number}", self.grant)
        }
    }

    /// A request's outcome: the machines, or why there are none.
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
                        .refuse(offer, now.after(NO_CAPACITY_S));
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
                    .refuse(offer, now.after(NO_CAPACITY_S));
            }
            Err(CloudError::Failed(_)) => {
                self.windows.failed(now.after(FAILED_S));
                self.scaling.requests.refuse(offer, now.after(FAILED_S));
            }
        }
    }

    /// A machine that another owner asked the cloud for is on its way: it may belong to this
    /// shard.
    pub fn expect_machine(&mut self, machine: &MachineId, offer: &MachineOffer, now: Time) {
        let known = self.agents.contains(machine) || self.tombstones.is_recent(machine);
        if self.scope.covers(machine) && !known {
            self.inventory
                .expect(machine, || PendingMachine::requested(offer, now));
        }
    }
}
