//! Whether an overloaded owner asks for relief: other controllers then answer, on its behalf,
//! heartbeats without anything new (`sorrelhinge_lease_safety::renewal`).

use sorrelhinge_protocol::types::Time;

/// Whether the owner asks for relief: not before all workers heartbeat elsewhere, and until
/// there was free capacity for a while, as with all heartbeats back at once it would be
/// overloaded again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relief {
    on: bool,
    /// Since when requests have been read without delay.
    calm_since: Option<Time>,
}

/// While requests wait for longer, in seconds, relief is asked for.
const LONG_WAIT_S: f64 = 0.25;
/// A wait of at most so long, in seconds, is no delay.
const CALM_WAIT_S: f64 = 0.08;
/// For so long, in seconds, there must have been none before relief ends.
const CALM_FOR_S: f64 = 20.0;

impl Relief {
    /// Takes in how long requests wait, in seconds, and whether all workers
    /// heartbeat elsewhere already.
    pub fn take(&mut self, spread: bool, wait_s: f64, now: Time) {
        if wait_s > CALM_WAIT_S {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(now);
        }
        let calm = self.calm_since.is_some_and(|t| now.since(t) >= CALM_FOR_S);
        if spread && wait_s > LONG_WAIT_S {
            self.on = true;
        } else if calm || !spread {
            self.on = false;
        }
    }

    /// Whether it is asked for.
    pub fn asked(&self) -> bool {
        self.on
    }
}
