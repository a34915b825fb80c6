//! The stages of a rollout: each lets more machines fetch at a time, and is recorded before.

use super::Rollout;
use crate::record::{RolloutRecord, VERSION};

/// A stage is open for at least so long, and seeds are written no more often: a
/// rollout of 10,000 machines is six changes.
pub const MIN_STAGE_S: f64 = 1.0;

/// No stage beyond: more machines than there can be.
pub(super) const LAST_STAGE: u32 = 9;

impl Rollout {
    /// The record to write, if a step is due at `now` seconds: the rollout's first,
    /// the next stage's, or one with other seeds. [`Rollout::written`] once it is.
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
        // A rollout widens only while somebody has the image to hand on: if all
        // seeds were refused, each stage more would ask the origin for more.
        let flows = self.complete > 0 || (self.fetches > 0 && !self.refused(now));
        let full = self.waiting > 0 && self.fetches >= self.allowed();
        if full && flows && self.stage < LAST_STAGE {
            return Some(record(self.stage + 1));
        }
        let same = written.seeds.len() == self.seeds.len()
            && written.seeds.iter().all(|m| self.seeds.contains_key(m));
        (!same).then(|| record(self.stage))
    }

    /// A record is in shared state since `now` seconds: its stage is open.
    pub fn written(&mut self, record: RolloutRecord, now: f64) {
        self.stage = self.stage.max(record.stage);
        self.since = now;
        self.written = Some(record);
    }
}
