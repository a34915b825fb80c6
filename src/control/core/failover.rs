//! The time since this owner took up its grant, and what is still open from then.

use std::collections::HashMap;

use super::log_format::tenths;
use crate::state::history::CachedImage;
use crate::types::{MachineId, Time};

/// For how long after a failover machines are asked by what is on them, in seconds.
const RECENT_S: f64 = 60.0;

/// The failover that made this controller the owner.
pub(super) struct Failover {
    /// When it was, on this process's clock.
    at: Time,
    /// The time of day then, in milliseconds.
    at_wall_ms: u64,
    /// It was a moment ago, as of the last tick.
    recent: bool,
    /// Nothing was placed yet.
    awaits_first_placement: bool,
    /// Not all machines have reported.
    awaits_heartbeats: bool,
    /// Images that machines ran before this owner knew them.
    cached_images: HashMap<MachineId, Vec<CachedImage>>,
}

impl Failover {
    /// The grant was taken up now. `cached_images`: what machines ran
    /// according to the history.
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

    /// Seconds since then.
    pub(super) fn age_s(&self, now: Time) -> f64 {
        now.since(self.at)
    }

    /// The same in tenths, as the log has it.
    pub(super) fn logged_age_s(&self, now: Time) -> f64 {
        tenths(self.age_s(now))
    }

    /// The time of day, in milliseconds: that of the failover, and what has passed since
    /// on this process's clock, so that it never goes back.
    pub(super) fn wall_ms(&self, now: Time) -> u64 {
        self.at_wall_ms + (self.age_s(now) * 1000.0) as u64
    }

    /// Looks whether it still is recent.
    pub(super) fn tick(&mut self, now: Time) {
        self.recent = self.age_s(now) < RECENT_S;
    }

    /// Whether it was a moment ago, as of the last tick.
    pub(super) fn is_recent(&self) -> bool {
        self.recent
    }

    /// Tasks were placed. True the first time.
    pub(super) fn placed(&mut self) -> bool {
        std::mem::take(&mut self.awaits_first_placement)
    }

    /// Whether too few machines have reported so far.
    pub(super) fn awaits_heartbeats(&self) -> bool {
        self.awaits_heartbeats
    }

    /// All machines have reported, or nearly all.
    pub(super) fn machines_recovered(&mut self) {
        self.awaits_heartbeats = false;
    }

    /// The images that a machine ran before this owner knew it.
    pub(super) fn take_cached_images(&mut self, machine: &MachineId) -> Vec<CachedImage> {
        self.cached_images.remove(machine).unwrap_or_default()
    }
}
