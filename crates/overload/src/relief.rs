//! Decides whether an overloaded owner of machines asks for relief. Other controllers then answer
//! heartbeats without new content on its behalf (`sorrelhinge_lease_safety::renewal`).

use sorrelhinge_protocol::types::Time;

/// State of the request for relief. The owner asks for relief only once all workers send heartbeats
/// to other controllers. It stops only after it had free capacity for a while, because all
/// heartbeats return at once and would overload it again.
#[derive(Clone, Copy, Debug, Default)]
pub struct Relief {
    active: bool,
    /// Time since which requests have been read without delay.
    calm_since: Option<Time>,
}

/// Wait of requests above which the owner asks for relief, in seconds.
const LONG_WAIT_S: f64 = 0.25;
/// Wait of requests up to which the owner counts as having free capacity, in seconds.
const CALM_WAIT_S: f64 = 0.08;
/// Time without delayed requests after which relief ends, in seconds.
const CALM_FOR_S: f64 = 20.0;

impl Relief {
    /// Updates the state. `spread` tells whether all workers already send heartbeats to other
    /// controllers, and `wait_s` is the wait of requests in seconds.
    pub fn take(&mut self, spread: bool, wait_s: f64, now: Time) {
        if wait_s > CALM_WAIT_S {
            self.calm_since = None;
        } else {
            self.calm_since.get_or_insert(now);
        }
        let calm = self.calm_since.is_some_and(|t| now.since(t) >= CALM_FOR_S);
        if spread && wait_s > LONG_WAIT_S {
            self.active = true;
        } else if calm || !spread {
            self.active = false;
        }
    }

    /// Returns whether the owner asks for relief.
    pub fn asked(&self) -> bool {
        self.active
    }
}
