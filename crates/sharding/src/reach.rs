//! Detection of an owner that is cut off from the workers.
//!
//! The evidence comes from both sides: the heartbeats that the owner receives directly, the
//! heartbeats that other controllers receive and forward to it, and whether its own
//! commands get through.
//!
//! An owner that is cut off only from the workers keeps its lease and its view of the
//! records, so nothing else ends its grant. Such an owner went on through other controllers
//! for the fifty seconds of a cut. Each start of a task waited for a heartbeat, and
//! thousands of direct commands failed.

use std::collections::BTreeSet;

use sorrelhinge_protocol::types::{MachineId, Time};

/// Time without any direct heartbeat, while other controllers forward heartbeats, after
/// which an owner counts as cut off, in seconds. The time starts at the first forwarded
/// heartbeat, so that a pause of this process proves nothing.
pub const CUT_OFF_AFTER_S: f64 = 3.0;
/// Minimum number of forwarded heartbeats, and of machines whose commands failed, before an
/// owner counts as cut off. One machine that is unreachable does not prove a cut.
pub const CUT_OFF_MIN_COUNT: usize = 5;
/// Minimum number of machines whose commands failed before failed commands alone prove that
/// an owner is cut off. No command may have succeeded for [`FAILED_AFTER_S`]. This rule
/// needs no forwarded heartbeats, because workers that lost an owner need up to ten seconds
/// until other controllers receive their heartbeats.
pub const FAILED_MIN_MACHINES: usize = 24;
/// Time since the first failed command after which failed commands alone prove a cut, in
/// seconds. See [`FAILED_MIN_MACHINES`]. The time starts at the first failure, so that a
/// pause of this process proves nothing.
pub const FAILED_AFTER_S: f64 = 2.0;

/// Evidence that an owner is cut off, collected since its last direct contact with a
/// worker.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    forwarded_since: Option<Time>,
    forwarded: usize,
    failed_since: Option<Time>,
    failed: BTreeSet<MachineId>,
}

impl Reach {
    /// Clears the evidence, because a worker sent a heartbeat directly or answered a
    /// command.
    pub fn direct(&mut self) {
        *self = Self::default();
    }

    /// Records a heartbeat that another controller forwarded.
    pub fn passed(&mut self, now: Time) {
        self.forwarded_since.get_or_insert(now);
        self.forwarded += 1;
    }

    /// Records that no command got through to a machine.
    pub fn failed(&mut self, machine: &MachineId, now: Time) {
        self.failed_since.get_or_insert(now);
        if self.failed.len() < FAILED_MIN_MACHINES {
            self.failed.insert(machine.clone());
        }
    }

    /// Returns whether this owner is cut off from the workers. Either other controllers
    /// still reach the workers, or commands to many machines fail.
    pub fn cut_off(&self, now: Time) -> bool {
        let lasts = |since: Option<Time>, s: f64| since.is_some_and(|t| now.since(t) >= s);
        let others_reach =
            lasts(self.forwarded_since, CUT_OFF_AFTER_S) && self.forwarded >= CUT_OFF_MIN_COUNT;
        others_reach && self.failed.len() >= CUT_OFF_MIN_COUNT
            || lasts(self.failed_since, FAILED_AFTER_S) && self.failed.len() >= FAILED_MIN_MACHINES
    }
}
