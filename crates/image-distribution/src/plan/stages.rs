//! The stages of a rollout. Each stage lets more machines fetch at a time, and is recorded
//! before it opens.

use super::Rollout;
use crate::record::{RolloutRecord, VERSION};

/// Minimum time that a stage is open, and minimum time between two writes of the seeds, in
/// seconds. With this value, a rollout to 10,000 machines takes six changes.
pub const MIN_STAGE_S: f64 = 1.0;

/// Number of the last stage. It allows more machines than a fleet can have.
pub(super) const LAST_STAGE: u32 = 9;

impl Rollout {
    /// Returns the record to write at `now` seconds, if one is due: the rollout's first
    /// record, the record of the next stage, or one with changed seeds. The caller reports
    /// the write with [`Rollout::written`].
    pub fn next(&self, now: f64) -> Option<RolloutRecord> {
        let record = |stage| RolloutRecord {
            v: VERSION,
            image: self.image.clone(),
            stage,
            seeds: self.seeds.keys().cloned().collect(),
        };
        let Some(written) = &self.written else {
            return Some(record(0));
        };
        if now - self.since < MIN_STAGE_S {
            return None;
        }
        // A rollout opens the next stage only while a machine has the image to upload. If
        // the origin refused all seeds, each further stage would request more from the
        // origin.
        let can_grow = self.complete > 0 || (self.fetches > 0 && !self.origin_refuses(now));
        let full = self.waiting > 0 && self.fetches >= self.allowed();
        if full && can_grow && self.stage < LAST_STAGE {
            return Some(record(self.stage + 1));
        }
        let same = written.seeds.len() == self.seeds.len()
            && written.seeds.iter().all(|m| self.seeds.contains_key(m));
        (!same).then(|| record(self.stage))
    }

    /// Records that a record was written at `now` seconds, which opens the record's stage.
    pub fn written(&mut self, record: RolloutRecord, now: f64) {
        self.stage = self.stage.max(record.stage);
        self.since = now;
        self.written = Some(record);
    }
}
