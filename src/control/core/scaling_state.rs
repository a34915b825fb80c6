//! What is remembered between looks at the fleet: the work that arrived, and the
//! requests to the cloud. Changed by arrivals ([`super::arrivals`]), by claims
//! ([`super::placement`]) and by the steps of a look ([`super::scaling`]).

use std::collections::HashMap;

use sorrelhinge_overload::claim_rate::ClaimRate;

use super::arrivals::ArrivalLog;
use crate::cloud::Rental;
use crate::types::{Time, TypeName, Zone};

/// A sort of machine that the cloud is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MachineOffer {
    /// The machine type.
    pub kind: TypeName,
    /// The zone.
    pub zone: Zone,
    /// Whether it is a spot machine.
    pub spot: bool,
}

impl From<&Rental> for MachineOffer {
    fn from(rental: &Rental) -> Self {
        Self {
            kind: rental.machine_type.clone(),
            zone: rental.zone.clone(),
            spot: rental.spot,
        }
    }
}

/// What is remembered between looks at the fleet.
pub(super) struct ScalingState {
    /// Jobs that arrived of late.
    pub(super) arrivals: ArrivalLog,
    /// Requests to the cloud.
    pub(super) requests: ScaleOutRequests,
    /// When the totals were last logged.
    last_log: Time,
    /// When the last plan was made.
    last_plan: Time,
}

impl ScalingState {
    /// Of an owner that starts now.
    pub(super) fn new(now: Time) -> Self {
        Self {
            arrivals: ArrivalLog::default(),
            requests: ScaleOutRequests::default(),
            last_log: now,
            last_plan: now,
        }
    }

    /// Whether the totals were last logged at least so many seconds ago; if so, they are
    /// logged now.
    pub(super) fn take_log_due(&mut self, interval_s: f64, now: Time) -> bool {
        let due = now.since(self.last_log) >= interval_s;
        if due {
            self.last_log = now;
        }
        due
    }

    /// A plan is made now. Seconds since the one before it.
    pub(super) fn planned(&mut self, now: Time) -> f64 {
        let passed_s = now.since(self.last_plan);
        self.last_plan = now;
        passed_s
    }
}

/// Requests to the cloud for machines, and what bounds them.
#[derive(Default)]
pub(super) struct ScaleOutRequests {
    /// How many were made: the number of the latest.
    made: u64,
    /// How many have no outcome yet.
    in_flight: u32,
    /// What the cloud refused, until when it is not asked for that again.
    refused: HashMap<MachineOffer, Time>,
    /// How many machines can be served, if that was found to be a bound.
    max_machines: Option<usize>,
    /// How much is claimed a second.
    claim_rate: ClaimRate,
    /// What was claimed since that was last looked at, in thousandths of a CPU.
    claimed_cpu: i64,
}

impl ScaleOutRequests {
    /// Begins a request; its number, from 1.
    pub(super) fn begin(&mut self) -> u64 {
        self.made += 1;
        self.in_flight += 1;
        self.made
    }

    /// A request has its outcome.
    pub(super) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Whether any request has no outcome yet.
    pub(super) fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// The cloud is not asked for such a machine until then.
    pub(super) fn refuse(&mut self, offer: MachineOffer, until: Time) {
        self.refused.insert(offer, until);
    }

    /// Whether the cloud has just refused such a machine.
    pub(super) fn is_refused(&self, offer: &MachineOffer, now: Time) -> bool {
        self.refused.get(offer).is_some_and(|until| now < *until)
    }

    /// How many machines can be served; none: no bound is known.
    pub(super) fn max_machines(&self) -> Option<usize> {
        self.max_machines
    }

    /// Sets how many machines can be served.
    pub(super) fn set_max_machines(&mut self, max: Option<usize>) {
        self.max_machines = max;
    }

    /// So much was claimed, in thousandths of a CPU.
    pub(super) fn claimed(&mut self, cpu: i64) {
        self.claimed_cpu += cpu;
    }

    /// The rate of claims up to now.
    pub(super) fn claim_rate(&mut self, now: Time) -> &ClaimRate {
        self.claim_rate
            .take(std::mem::take(&mut self.claimed_cpu), now);
        &self.claim_rate
    }
}
