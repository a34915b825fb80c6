//! Whether an owner still reaches the workers, by evidence from both sides: what
//! it receives from them itself, what others receive for it, and whether its own commands
//! get through.
//!
//! An owner that is cut off from the workers alone keeps its lease and its view of
//! the records, so nothing else ends its grant. It went on by way of others for
//! the fifty seconds of such a cut: each start waited for a heartbeat, and direct
//! commands failed by the thousand.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::{MachineId, Time};

/// For so long no worker heartbeats here itself while others receive heartbeats, in
/// seconds. Counted from what the others receive, so that a pause of this process
/// proves nothing.
pub const CUT_OFF_AFTER_S: f64 = 3.0;
/// So many heartbeats came by way of others meanwhile, and commands to so many
/// machines failed: one machine that is away is no cut.
pub const CUT_OFF_MIN_COUNT: usize = 5;
/// Commands to so many machines failed, and for so long not one got through, in
/// seconds: workers that lost an owner need up to ten seconds until others receive
/// their heartbeats for it.
pub const FAILED_MIN_MACHINES: usize = 24;
/// See [`FAILED_MIN_MACHINES`]. Counted from the first that failed, as above.
pub const FAILED_AFTER_S: f64 = 2.0;

/// The evidence since a worker last heartbeat here directly.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    passed_since: Option<Time>,
    passed: usize,
    failed_since: Option<Time>,
    failed: BTreeSet<MachineId>,
}

impl Reach {
    /// A worker heartbeat here itself, or answered a command.
    pub fn direct(&mut self) {
        *self = Self::default();
    }

    /// A heartbeat came by way of another controller.
    pub fn passed(&mut self, now: Time) {
        self.passed_since.get_or_insert(now);
        self.passed += 1;
    }

    /// No command got through to a machine.
    pub fn failed(&mut self, machine: &MachineId, now: Time) {
        self.failed_since.get_or_insert(now);
        if self.failed.len() < FAILED_MIN_MACHINES {
            self.failed.insert(machine.clone());
        }
    }

    /// Whether workers are reached by others and not from here.
    pub fn cut_off(&self, now: Time) -> bool {
        let lasts = |since: Option<Time>, s: f64| since.is_some_and(|t| now.since(t) >= s);
        let others_reach =
            lasts(self.passed_since, CUT_OFF_AFTER_S) && self.passed >= CUT_OFF_MIN_COUNT;
        others_reach && self.failed.len() >= CUT_OFF_MIN_COUNT
            || lasts(self.failed_since, FAILED_AFTER_S) && self.failed.len() >= FAILED_MIN_MACHINES
    }
}
