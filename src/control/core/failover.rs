//! Time since this owner took its grant, and the recovery steps that are still pending.

use std::collections::HashMap;

use super::log_format::tenths;
use crate::state::history::CachedImage;
use crate::types::{MachineId, Time};

/// Time after a failover during which the owner contacts machines with services first, then those
/// with other tasks, in seconds.
const RECENT_S: f64 = 60.0;

/// Failover by which this controller became the owner.
pub(super) struct Failover {
    /// Time of the failover on this process's clock.
    at: Time,
    /// Time of day at the failover, in milliseconds.
    at_wall_ms: u64,
    /// The failover was less than `RECENT_S` ago at the last tick.
    recent: bool,
    /// The owner has placed no task yet.
    awaits_first_placement: bool,
    /// Some machines have not reported yet.
    awaits_heartbeats: bool,
    /// Images that each machine ran before this owner learned of the machine.
    cached_images: HashMap<MachineId, Vec<CachedImage>>,
}

impl Failover {
    /// Returns the state of a failover that happens now, as this controller takes the grant.
    /// `cached_images` holds the images that machines ran according to the history.
    pub(super) fn begin(
        now: Time,
        wall_ms: u64,
        cached_images: HashMap<MachineId, Vec<CachedImage>>,
    ) -> Self {
        Self {
            at: now,
            at_wall_ms: wall_ms,
            recent: true,
            awaits_first_placement: true,
            awaits_heartbeats: true,
            cached_images,
        }
    }

    /// Returns the seconds since the failover.
    pub(super) fn age_s(&self, now: Time) -> f64 {
        now.since(self.at)
    }

    /// Returns the seconds since the failover, rounded to tenths for the log.
    pub(super) fn logged_age_s(&self, now: Time) -> f64 {
        tenths(self.age_s(now))
    }

    /// Returns the time of day in milliseconds. It is the time of day at the failover plus the
    /// time since on this process's clock, so it never goes back.
    pub(super) fn wall_ms(&self, now: Time) -> u64 {
        self.at_wall_ms + (self.age_s(now) * 1000.0) as u64
    }

    /// Updates whether the failover was less than `RECENT_S` ago.
    pub(super) fn tick(&mut self, now: Time) {
        self.recent = self.age_s(now) < RECENT_S;
    }

    /// Returns whether the failover was less than `RECENT_S` ago at the last tick.
    pub(super) fn is_recent(&self) -> bool {
        self.recent
    }

    /// Records that this owner placed tasks. Returns `true` the first time.
    pub(super) fn record_first_placement(&mut self) -> bool {
        std::mem::take(&mut self.awaits_first_placement)
    }

    /// Returns whether the owner still waits for machines to report.
    pub(super) fn awaits_heartbeats(&self) -> bool {
        self.awaits_heartbeats
    }

    /// Records that all machines, or nearly all, have reported.
    pub(super) fn record_recovery(&mut self) {
        self.awaits_heartbeats = false;
    }

    /// Removes and returns the images that a machine ran before this owner learned of the machine.
    pub(super) fn take_cached_images(&mut self, machine: &MachineId) -> Vec<CachedImage> {
        self.cached_images.remove(machine).unwrap_or_default()
    }
}
