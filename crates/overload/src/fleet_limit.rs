//! Limits the number of machines to what the controllers can serve. The autoscaler rents no more.
//!
//! Each machine sends heartbeats whether it is useful or not, so a fleet can be too large for its
//! controllers even if there is work for each machine. The limit is measured, because constants
//! would fit only one installation. It falls while requests wait too long for the processor, and
//! rises again while processor time is free.

use sorrelhinge_protocol::types::Time;

/// Factor by which the fleet limit falls in one step.
const FALL_FACTOR: f64 = 0.95;
/// Factor by which the fleet limit rises per second.
const RISE_FACTOR_PER_S: f64 = 1.004;
/// Minimum time between two steps down of the fleet limit, in seconds, so that a step can take
/// effect.
const FALL_INTERVAL_S: f64 = 3.0;
/// Wait of requests above which the fleet limit does not rise, in seconds.
const MAX_CALM_WAIT_S: f64 = 0.2;
/// Least limit, in machines. The heartbeats of fewer machines are no considerable load, so a lower
/// limit would stop work and free no processor time. A limit near 0 could also never rise again,
/// because it rises by a factor or to the number of machines that are up.
pub const LEAST_LIMIT: usize = 100;
/// Time without long waits after which the present number of machines counts as servable, in
/// seconds, even if the limit was lower. An owner that took over during overload knew few of its
/// machines, so its limit was too low.
const SUSTAINED_S: f64 = 8.0;

/// Limit on the number of machines that the controllers can serve.
#[derive(Clone, Debug, Default)]
pub struct FleetLimit {
    max: Option<f64>,
    last_fall: Option<Time>,
    last_update: Option<Time>,
    /// Time since which requests have not waited for long.
    calm_since: Option<Time>,
}

impl FleetLimit {
    /// Updates the limit with a measurement. `machines` counts machines that are up or pending.
    /// `wait_s` is the wait of requests for the processor in seconds, and `binds` tells whether
    /// that is too long.
    pub fn take(&mut self, machines: usize, wait_s: f64, binds: bool, now: Time) {
        let elapsed_s = self.last_update.map_or(0.0, |t| now.since(t)).min(10.0);
        self.last_update = Some(now);
        let causes_load = machines >= LEAST_LIMIT;
        let machines = machines as f64;
        if wait_s >= MAX_CALM_WAIT_S || binds {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(now);
        }
        if binds {
            // A small fleet is not the cause of the load, so it is not limited.
            let due = self
                .last_fall
                .is_none_or(|t| now.since(t) >= FALL_INTERVAL_S);
            if due && causes_load {
                let bound = self.max.map_or(machines, |m| m.min(machines));
                self.max = Some((bound * FALL_FACTOR).max(LEAST_LIMIT as f64));
                self.last_fall = Some(now);
            }
        } else if wait_s < MAX_CALM_WAIT_S {
            let sustained = self.calm_since.is_some_and(|t| now.since(t) >= SUSTAINED_S);
            let min = if sustained { machines } else { 0.0 };
            // The limit rises, at least to a number of machines that was served without long waits.
            // It is dropped once the fleet is far below it.
            self.max = self
                .max
                .map(|m| (m * RISE_FACTOR_PER_S.powf(elapsed_s)).max(min))
                .filter(|m| *m < 2.0 * machines + LEAST_LIMIT as f64);
        }
    }

    /// Returns the maximum number of machines, or `None` while the number is not limited.
    pub fn max(&self) -> Option<usize> {
        self.max.map(|m| m as usize)
    }
}

/// Returns the maximum number of machines of one shard. `max` limits the machines of all `shards`
/// shards of this controller, which have `total` machines, `own` of them in this shard. Machines
/// that may still be added are divided evenly and rounded up, so that each shard can grow while the
/// limit is not reached. Machines above the limit are divided by the sizes of the shards.
pub fn shard_limit(max: usize, total: usize, own: usize, shards: usize) -> usize {
    if total > max {
        return (own as f64 / total as f64 * max as f64) as usize;
    }
    own.saturating_add((max - total).div_ceil(shards.max(1)))
}
