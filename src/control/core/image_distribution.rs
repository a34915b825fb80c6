//! This module manages staged rollouts of images that many machines need, see
//! `docs/image_distribution.md`. It decides which start commands wait for a later stage, and from
//! which machines the other machines fetch the image. [`super::active_rollout`] holds the rollout
//! of one image, and [`super::rollout_records`] holds its record. Rollouts are off unless the
//! operators' settings give a minimum image size.
//!
//! Each owner plans for the machines of its own shard, so owners need no agreement. With
//! several shards, each owner has its part of the request limit of the origin.

use std::collections::BTreeMap;

use sorrelhinge_image_distribution::plan::{Limits, Rollout, Source, Uploads};
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_sharding::shard::{ShardId, ShardScope};

use super::active_rollout::{ActiveRollout, StartingMachine};
use crate::config::Config;
use crate::state::record::RolloutId;
use crate::state::view::{Versioned, View};
use crate::types::{Image, JobSpec, MachineId, Revision, Time};

/// All image rollouts of a shard.
pub(super) struct ImageDistribution {
    /// Minimum size in GB of an image that is rolled out in stages. `None` turns rollouts off.
    pub(super) min_image_gb: Option<f64>,
    pub(super) shard: ShardId,
    value_bytes: usize,
    pub(super) limits: Limits,
    pub(super) uploads: Uploads,
    pub(super) rollouts: BTreeMap<Image, ActiveRollout>,
    /// Records of image rollouts in the state service. The value is `None` for a record of a later
    /// version, which this owner leaves unchanged.
    pub(super) stored_records: BTreeMap<RolloutId, Versioned<Option<RolloutRecord>>>,
    /// Rollout records of shards that no longer exist. This owner is to delete these records.
    pub(super) obsolete_records: BTreeMap<RolloutId, Revision>,
}

impl ImageDistribution {
    /// Loads the recorded rollouts of a shard. Each rollout resumes later.
    pub(super) fn load(cfg: &Config, scope: ShardScope, view: &View) -> Self {
        let mut image_distribution = Self {
            min_image_gb: cfg.tuning.staging_least_gb,
            shard: scope.shard,
            value_bytes: cfg.state_limits.value_bytes,
            limits: limits_of(scope),
            uploads: Uploads::default(),
            rollouts: BTreeMap::new(),
            stored_records: BTreeMap::new(),
            obsolete_records: BTreeMap::new(),
        };
        if image_distribution.min_image_gb.is_some() {
            for (&key, stored_record) in &view.rollouts {
                image_distribution.load_record(key, stored_record, scope);
            }
        }
        image_distribution
    }

    /// Loads one rollout record that existed when the owner acquired its grant.
    fn load_record(
        &mut self,
        key: RolloutId,
        stored_record: &Versioned<Option<RolloutRecord>>,
        scope: ShardScope,
    ) {
        if key.shard == scope.shard {
            self.stored_records.insert(key, stored_record.clone());
            if let Some(record) = stored_record.value.as_ref().filter(|r| r.known()) {
                self.rollouts
                    .insert(record.image.clone(), ActiveRollout::of(None));
            }
            return;
        }
        // The owner of shard 0 deletes the records of shards that no longer exist, unless a
        // later version wrote them.
        let obsolete = key.shard.0 >= scope.of && stored_record.value.is_some();
        if scope.shard == ShardId(0) && obsolete {
            self.obsolete_records
                .insert(key, stored_record.mod_revision);
        }
    }

    /// Returns whether a job's image is rolled out in stages.
    pub(super) fn is_staged(&self, spec: &JobSpec) -> bool {
        self.min_image_gb
            .is_some_and(|least| spec.image_gb >= least)
    }

    /// Returns whether an image has a rollout here, including one that the previous owner
    /// recorded.
    pub(super) fn has_rollout(&self, image: &Image) -> bool {
        self.rollouts.contains_key(image)
    }

    /// Returns a new rollout for an image that has none. Returns `None` if the image has to be
    /// distributed without a rollout.
    pub(super) fn new_rollout(&self, image: &Image) -> Option<Rollout> {
        if let Some(stored_record) = self.stored_records.get(&self.key(image)) {
            // A record of a later version stays unchanged. So does a record of another image
            // whose name has the same hash.
            let ours = stored_record.value.as_ref().filter(|r| r.known());
            ours.filter(|r| r.image == *image)?;
        }
        let rollout = Rollout::new(image.clone(), self.limits);
        let first = rollout.next(0.0)?;
        self.fitting(&first)?;
        Some(rollout)
    }

    /// Adds the rollout of an image that had none.
    pub(super) fn begin(&mut self, image: &Image, rollout: ActiveRollout) {
        self.rollouts.insert(image.clone(), rollout);
    }

    /// Returns the sources from which a machine fetches an image if its start command is sent now,
    /// the best first. Returns `None` if the command has to wait for a later stage of the rollout.
    pub(super) fn start_on(
        &mut self,
        image: &Image,
        machine: &StartingMachine<'_>,
        now: Time,
    ) -> Option<Vec<Source>> {
        let rollout = self.rollouts.get_mut(image)?;
        rollout.start_on(machine, &mut self.uploads, now)
    }

    /// Records that a machine has the complete image.
    pub(super) fn arrived(&mut self, image: &Image, machine: &MachineId) {
        if let Some(rollout) = self.rollouts.get_mut(image) {
            rollout.arrived(machine, &mut self.uploads);
        }
    }

    /// Returns machines for which start commands were held back by a rollout and may be sent now, a
    /// few machines of each rollout.
    pub(super) fn take_due_starts(&mut self, now: Time) -> Vec<MachineId> {
        let uploads = &self.uploads;
        let rollouts = self.rollouts.values_mut();
        rollouts
            .flat_map(|rollout| rollout.take_due_starts(uploads, now))
            .collect()
    }

    /// Returns the identifier of the record of an image's rollout.
    pub(super) fn key(&self, image: &Image) -> RolloutId {
        RolloutId::of(self.shard, image)
    }

    /// Returns a rollout's record with as many seeds left out as needed to fit into a value of the
    /// state service. Each omitted seed costs one more copy. A record that is too large would never
    /// be written, nor would the other changes of its transaction.
    pub(super) fn fitting(&self, record: &RolloutRecord) -> Option<RolloutRecord> {
        let mut record = record.clone();
        loop {
            let bytes = serde_json::to_vec(&record).ok()?.len();
            if bytes <= self.value_bytes {
                return Some(record);
            }
            record.seeds.pop()?;
        }
    }

    /// Returns an image's rollout. Returns `None` for a rollout of the previous owner that has
    /// not resumed.
    pub(super) fn rollout_mut(&mut self, image: &Image) -> Option<&mut Rollout> {
        self.rollouts.get_mut(image)?.rollout.as_mut()
    }
}

/// Returns a shard's part of the request limits of the origin, at least one copy at a time.
fn limits_of(scope: ShardScope) -> Limits {
    let complete = Limits::default();
    let part = |all: u32| (all / scope.of.max(1)).max(1);
    Limits {
        per_zone: part(complete.per_zone),
        origin: part(complete.origin),
        ..complete
    }
}
