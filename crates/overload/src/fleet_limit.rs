//! How many machines can be served: nothing is rented that can't be.
//!
//! Machines report whether they are of use or not, so a fleet can be too large
//! for its controllers though each machine is wanted. What they can carry is
//! not computed from constants, which would be those of one installation, but
//! found: while requests wait too long for the processor the bound falls, and
//! with free capacity to spare it rises again.

use sorrelhinge_protocol::types::Time;

/// How far the bound falls at a time, and how fast it rises a second.
const FALL_FACTOR: f64 = 0.95;
const RISE_FACTOR_PER_S: f64 = 1.004;
/// How long a fall is given to show, in seconds.
const FALL_INTERVAL_S: f64 = 3.0;
/// While requests wait for longer than this, in seconds, the bound stays.
const MAX_CALM_WAIT_S: f64 = 0.2;
/// What has been served for so long without waits can be served, whatever was
/// found before: an owner that took over in a storm knew few of its machines.
const SUSTAINED_S: f64 = 8.0;

/// How much is claimed a second, which is bounded by the changes that the state
/// service takes: machines for work that can't be claimed would stand idle.
#[derive(Clone, Debug, Default)]
pub struct ClaimRate {
    rate: f64,
    last: Option<Time>,
}

/// Time constant of the rate, in seconds.
const CLAIM_RATE_TIME_CONSTANT_S: f64 = 8.0;
/// Room for what is claimed in this many boots is enough.
const RESERVE_BOOTS: f64 = 1.5;

impl ClaimRate {
    /// Takes in what was claimed since the last call, in thousandths of a CPU.
    pub fn take(&mut self, claimed: i64, now: Time) {
        let passed = self.last.map_or(0.0, |t| now.since(t));
        self.last = Some(now);
        if passed > 0.0 {
            let part = 1.0 - (-passed / CLAIM_RATE_TIME_CONSTANT_S).exp();
            self.rate += (claimed as f64 / passed - self.rate) * part;
        }
    }

    /// Whether what is free now lasts until a machine that is rented now would
    /// be up.
    pub fn lasts(&self, free: i64, boot_s: f64) -> bool {
        free as f64 > self.rate * boot_s * RESERVE_BOOTS
    }
}

/// The bound.
#[derive(Clone, Debug, Default)]
pub struct FleetLimit {
    max: Option<f64>,
    fell: Option<Time>,
    last: Option<Time>,
    /// Since when requests have not waited for long.
    calm_since: Option<Time>,
}

impl FleetLimit {
    /// Takes in how things stand: how many machines there are, up and on
    /// their way, how long requests wait for the processor, in seconds, and
    /// whether that is too long.
    pub fn take(&mut self, machines: usize, wait_s: f64, binds: bool, now: Time) {
        let passed = self.last.map_or(0.0, |t| now.since(t)).min(10.0);
        self.last = Some(now);
        let machines = machines as f64;
        if wait_s >= MAX_CALM_WAIT_S || binds {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(now);
        }
        if binds {
            let due = self.fell.is_none_or(|t| now.since(t) >= FALL_INTERVAL_S);
            if due {
                let bound = self.max.map_or(machines, |m| m.min(machines));
                self.max = Some(bound * FALL_FACTOR);
                self.fell = Some(now);
            }
        } else if wait_s < MAX_CALM_WAIT_S {
            // It is forgotten once the fleet is far below it.
            let shown = self.calm_since.is_some_and(|t| now.since(t) >= SUSTAINED_S);
            let carried = if shown { machines } else { 0.0 };
            self.max = self
                .max
                .map(|m| (m * RISE_FACTOR_PER_S.powf(passed)).max(carried))
                .filter(|m| *m < 2.0 * machines + 100.0);
        }
    }

    /// How many machines there may be; none: as many as there is work for.
    pub fn max(&self) -> Option<usize> {
        self.max.map(|m| m as usize)
    }
}
