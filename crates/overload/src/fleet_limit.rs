//! How many machines can be served: no more are rented.
//!
//! Machines heartbeat whether they are of use or not, so a fleet can be too large
//! for its controllers though there is work for each machine. How many they can serve is
//! not computed from constants, which would be those of one installation, but
//! found: while requests wait too long for the processor the bound falls, and
//! with processor time to spare it rises again.

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

/// The bound on the number of machines.
#[derive(Clone, Debug, Default)]
pub struct FleetLimit {
    max: Option<f64>,
    fell: Option<Time>,
    last: Option<Time>,
    /// Since when requests have not waited for long.
    calm_since: Option<Time>,
}

impl FleetLimit {
    /// Takes in a measurement: how many machines there are, up and on
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
