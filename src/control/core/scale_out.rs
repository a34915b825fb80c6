//! Scale-out: which machines are asked of the cloud, and what came of it. Whether ordinary
//! machines or spot ones are asked for, of which type and where, is of [`crate::autoscaler`].

use sorrelhinge_topology::drain::{Drain, Target};

use super::inventory::PendingMachine;
use super::scaling_state::MachineOffer;
use super::Core;
use crate::autoscaler;
use crate::cloud::Rental;
use crate::types::{MachineId, Time, TypeName, Zone};

/// What the cloud had too little of is not asked for again for so many seconds.
const NO_CAPACITY_S: f64 = 10.0;
/// Nor is that for so many seconds for which a call failed.
const FAILED_S: f64 = 3.0;

/// Whether a whole zone is drained. Nothing is rented there: what came up was
/// drained at once, and rented again and again.
pub(super) fn is_drained(drains: &[Drain], zone: &Zone) -> bool {
    let whole = |d: &Drain| matches!(&d.target, Target::Domain(path) if path == zone.as_str());
    drains.iter().any(whole)
}

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
        !self.scaling.requests.is_refused(&offer, now) && !is_drained(&self.drains, zone)
    }

    /// The requests to send, as far as the machines can be served and used.
    pub(super) fn scale_out(
        &mut self,
        wants: Vec<autoscaler::ScaleOutRequest>,
        now: Time,
    ) -> Vec<Rental> {
        let mut left = self.machines_to_add(now);
        let mut rentals = Vec::new();
        for mut want in wants {
            want.count = want.count.min(u32::try_from(left).unwrap_or(u32::MAX));
            if want.count == 0 {
                continue;
            }
            left -= want.count as usize;
            let number = self.scaling.requests.begin();
            rentals.push(Rental {
                request_id: self.request_id(number),
                machine_type: want.kind,
                zone: want.zone,
                spot: want.spot,
                count: want.count,
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

    /// A rental's outcome: the machines, or whether that is for want of capacity; else
    /// the call failed.
    pub fn rented(&mut self, rental: &Rental, machines: Result<Vec<MachineId>, bool>, now: Time) {
        self.scaling.requests.end();
        let offer = MachineOffer::from(rental);
        match machines {
            Ok(machines) => {
                if machines.len() < rental.count as usize {
                    self.scaling
                        .requests
                        .refuse(offer, now.after(NO_CAPACITY_S));
                }
                let pending_machines = PendingMachine {
                    kind: rental.machine_type.clone(),
                    zone: rental.zone.clone(),
                    spot: rental.spot,
                    since: now,
                };
                for id in machines.into_iter().filter(|m| self.scope.covers(m)) {
                    if !self.agents.contains_key(&id) {
                        self.inventory.rented(id, pending_machines.clone());
                    }
                }
            }
            Err(no_capacity) => {
                if !no_capacity {
                    self.windows.failed(now.after(FAILED_S));
                }
                let pause_s = if no_capacity { NO_CAPACITY_S } else { FAILED_S };
                self.scaling.requests.refuse(offer, now.after(pause_s));
            }
        }
    }

    /// Another owner rented machines, some of which belong to this shard.
    pub fn assign_rented_machine(
        &mut self,
        sort: (&TypeName, &Zone, bool),
        machine: &MachineId,
        now: Time,
    ) {
        let known = self.agents.contains_key(machine) || self.tombstones.is_recent(machine);
        if self.scope.covers(machine) && !known {
            let (kind, zone, spot) = sort;
            let pending_machines = || PendingMachine {
                kind: kind.clone(),
                zone: zone.clone(),
                spot,
                since: now,
            };
            self.inventory.expect(machine, pending_machines);
        }
    }
}
