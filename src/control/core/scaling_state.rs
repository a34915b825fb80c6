//! This module holds the state that scaling keeps between passes: the recent arrivals and the
//! requests to the cloud. Arrivals ([`super::arrivals`]), claims ([`super::placement`]) and the
//! steps of a scaling pass ([`super::scaling`]) update it.

use std::collections::HashMap;

use sorrelhinge_overload::claim_rate::ClaimRate;

use super::arrivals::ArrivalLog;
use crate::cloud::Rental;
use crate::types::{Time, TypeName, Zone};

/// Kind of machine that can be requested from the cloud.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MachineOffer {
    /// Name of the machine type.
    pub kind: TypeName,
    /// Zone in which the machine is requested.
    pub zone: Zone,
    /// Whether a spot machine is requested, rather than an ordinary one.
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

/// State that scaling keeps between passes.
pub(super) struct ScalingState {
    /// Jobs that arrived recently.
    pub(super) arrivals: ArrivalLog,
    pub(super) requests: ScaleOutRequests,
    /// Time at which the totals of the fleet were last logged.
    last_log: Time,
    /// Time at which the last plan of the fleet was made.
    last_plan: Time,
}

impl ScalingState {
    /// Creates the state of an owner that starts now.
    pub(super) fn new(now: Time) -> Self {
        Self {
            arrivals: ArrivalLog::default(),
            requests: ScaleOutRequests::default(),
            last_log: now,
            last_plan: now,
        }
    }

    /// Returns whether the totals of the fleet were last logged at least `interval_s` seconds ago.
    /// If so, it counts them as logged now.
    pub(super) fn take_log_due(&mut self, interval_s: f64, now: Time) -> bool {
        let due = now.since(self.last_log) >= interval_s;
        if due {
            self.last_log = now;
        }
        due
    }

    /// Records that a plan of the fleet is made now, and returns the seconds since the previous
    /// plan.
    pub(super) fn record_plan(&mut self, now: Time) -> f64 {
        let passed_s = now.since(self.last_plan);
        self.last_plan = now;
        passed_s
    }
}

/// Requests to the cloud for machines, and the limits on them.
#[derive(Default)]
pub(super) struct ScaleOutRequests {
    /// Number of requests for machines that this owner made to the cloud. It is also the number of
    /// the latest request.
    made: u64,
    /// Number of requests to the cloud that have no outcome yet.
    in_flight: u32,
    /// Offers that the cloud refused, each with the time until which it is not requested again.
    refused: HashMap<MachineOffer, Time>,
    /// Maximum number of machines that the controllers can serve. `None` if no limit is known.
    max_machines: Option<usize>,
    /// Rate of claimed CPUs per second.
    claim_rate: ClaimRate,
    /// CPUs claimed since the last rate update, in thousandths of a CPU.
    claimed_cpu: i64,
}

impl ScaleOutRequests {
    /// Counts a new request to the cloud and returns its number, starting at 1.
    pub(super) fn begin(&mut self) -> u64 {
        self.made += 1;
        self.in_flight += 1;
        self.made
    }

    /// Records that a request to the cloud has an outcome.
    pub(super) fn end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Returns whether any request to the cloud has no outcome yet.
    pub(super) fn any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Records that an offer is not requested again until `until`.
    pub(super) fn refuse(&mut self, offer: MachineOffer, until: Time) {
        self.refused.insert(offer, until);
    }

    /// Returns whether the offer was refused recently and must not be requested yet.
    pub(super) fn is_refused(&self, offer: &MachineOffer, now: Time) -> bool {
        self.refused.get(offer).is_some_and(|until| now < *until)
    }

    /// Returns the maximum number of machines that the controllers can serve. Returns `None` if
    /// no limit is known.
    pub(super) fn max_machines(&self) -> Option<usize> {
        self.max_machines
    }

    /// Sets the maximum number of machines that the controllers can serve.
    pub(super) fn set_max_machines(&mut self, max: Option<usize>) {
        self.max_machines = max;
    }

    /// Adds claimed CPUs, in thousandths of a CPU.
    pub(super) fn add_claimed_cpu(&mut self, cpu: i64) {
        self.claimed_cpu += cpu;
    }

    /// Updates and returns the rate of claimed CPUs per second.
    pub(super) fn claim_rate(&mut self, now: Time) -> &ClaimRate {
        self.claim_rate
            .take(std::mem::take(&mut self.claimed_cpu), now);
        &self.claim_rate
    }
}
