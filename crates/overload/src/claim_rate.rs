//! How fast free capacity is claimed, and so for how long it lasts.

use sorrelhinge_protocol::types::Time;

use crate::decaying_mean::DecayingMean;

/// Time constant of the rate, in seconds.
const CLAIM_RATE_TIME_CONSTANT_S: f64 = 8.0;
/// Free capacity for what is claimed in this many boots is enough.
const RESERVE_BOOTS: f64 = 1.5;

/// How much is claimed a second, which is bounded by the changes that the state
/// service takes: machines for work that can't be claimed would stand idle.
#[derive(Clone, Debug, Default)]
pub struct ClaimRate {
    /// In thousandths of a CPU a second.
    rate: DecayingMean,
    last: Option<Time>,
}

impl ClaimRate {
    /// Takes in what was claimed since the last call, in thousandths of a CPU.
    pub fn take(&mut self, claimed: i64, now: Time) {
        let elapsed_s = self.last.map_or(0.0, |t| now.since(t));
        self.last = Some(now);
        if elapsed_s > 0.0 {
            let measured = claimed as f64 / elapsed_s;
            self.rate
                .take(measured, elapsed_s, CLAIM_RATE_TIME_CONSTANT_S);
        }
    }

    /// Whether what is free now, in thousandths of a CPU, lasts until a machine that is
    /// rented now would be up, after `boot_s` seconds.
    pub fn lasts(&self, free: i64, boot_s: f64) -> bool {
        free as f64 > self.rate.value() * boot_s * RESERVE_BOOTS
    }
}
