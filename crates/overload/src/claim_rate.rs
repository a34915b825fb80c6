//! Measures how fast tasks claim free capacity, to estimate how long the free capacity lasts.

use sorrelhinge_protocol::types::Time;

use crate::decaying_mean::DecayingMean;

/// Time constant of the mean claim rate, in seconds.
const CLAIM_RATE_TIME_CONSTANT_S: f64 = 8.0;
/// Number of machine boot times for which the free capacity has to last at the current claim rate.
const RESERVE_BOOTS: f64 = 1.5;

/// Mean rate at which tasks claim capacity. The write rate of the state service bounds it, so
/// machines for work that can't be claimed yet would be idle.
#[derive(Clone, Debug, Default)]
pub struct ClaimRate {
    /// Mean claim rate, in thousandths of a CPU per second.
    rate: DecayingMean,
    last_update: Option<Time>,
}

impl ClaimRate {
    /// Records the CPU that tasks claimed since the last call, in thousandths of a CPU.
    pub fn take(&mut self, claimed: i64, now: Time) {
        let elapsed_s = self.last_update.map_or(0.0, |t| now.since(t));
        self.last_update = Some(now);
        if elapsed_s > 0.0 {
            let measured = claimed as f64 / elapsed_s;
            self.rate
                .take(measured, elapsed_s, CLAIM_RATE_TIME_CONSTANT_S);
        }
    }

    /// Returns whether the free CPU lasts until a machine that is rented now is up, after `boot_s`
    /// seconds. `free` is in thousandths of a CPU.
    pub fn lasts(&self, free: i64, boot_s: f64) -> bool {
        free as f64 > self.rate.value() * boot_s * RESERVE_BOOTS
    }
}
