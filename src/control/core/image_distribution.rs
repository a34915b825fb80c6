//! Images that many machines want, see `docs/image_distribution.md`: which starts wait for
//! their stage, and whom the others take their image from. One image's rollout is in
//! [`super::active_rollout`], what is recorded in [`super::rollout_records`]. Off unless the operators' settings say from which size on.
//!
//! Each owner plans for the machines of its shard, so nothing is agreed on
//! between owners; of several each has its part of what is asked of the origin.

use std::collections::BTreeMap;

use sorrelhinge_image_distribution::plan::{Limits, Rollout, Source, Uploads};
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_sharding::shard::{ShardId, ShardScope};

use super::active_rollout::{ActiveRollout, StartingMachine};
use crate::config::Config;
use crate::state::record::RolloutId;
use crate::state::view::{Versioned, View};
use crate::types::{Image, JobSpec, MachineId, Revision, Time};

/// All rollouts of a shard.
pub(super) struct ImageDistribution {
    /// Images of at least so many GB go by rollouts; none: no image.
    pub(super) least_gb: Option<f64>,
    pub(super) shard: ShardId,
    value_bytes: usize,
    pub(super) limits: Limits,
    pub(super) uploads: Uploads,
    pub(super) rollouts: BTreeMap<Image, ActiveRollout>,
    /// What the state service has; none: of a later version, which is left alone.
    pub(super) stored_records: BTreeMap<RolloutId, Versioned<Option<RolloutRecord>>>,
    /// Of shards that there are no more.
    pub(super) useless: BTreeMap<RolloutId, Revision>,
}

impl ImageDistribution {
    /// What is recorded of a shard's rollouts; each is continued later.
    pub(super) fn load(cfg: &Config, scope: ShardScope, view: &View) -> Self {
        let mut image_distribution = Self {
            least_gb: cfg.tuning.staging_least_gb,
            shard: scope.shard,
            value_bytes: cfg.state_limits.value_bytes,
            limits: limits_of(scope),
            uploads: Uploads::default(),
            rollouts: BTreeMap::new(),
            stored_records: BTreeMap::new(),
            useless: BTreeMap::new(),
        };
        if image_distribution.least_gb.is_some() {
            for (&key, stored_record) in &view.rollouts {
                image_distribution.load_record(key, stored_record, scope);
            }
        }
        image_distribution
    }

    /// Takes in a record that was found when the grant was taken up.
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
        // Shard 0 deletes the records of shards that there are no more, unless a later
        // version wrote them.
        let obsolete = key.shard.0 >= scope.of && stored_record.value.is_some();
        if scope.shard == ShardId(0) && obsolete {
            self.useless.insert(key, stored_record.mod_revision);
        }
    }

    /// Whether a job's image goes by a rollout.
    pub(super) fn stages(&self, spec: &JobSpec) -> bool {
        self.least_gb.is_some_and(|least| spec.image_gb >= least)
    }

    /// Whether an image has a rollout here, perhaps a predecessor's.
    pub(super) fn has_rollout(&self, image: &Image) -> bool {
        self.rollouts.contains_key(image)
    }

    /// A rollout for an image that has none; none: it has to do without one.
    pub(super) fn new_rollout(&self, image: &Image) -> Option<Rollout> {
        if let Some(stored_record) = self.stored_records.get(&self.key(image)) {
            // A later version's is left alone, and one of another image whose
            // name has the same hash too.
            let ours = stored_record.value.as_ref().filter(|r| r.known());
            ours.filter(|r| r.image == *image)?;
        }
        let rollout = Rollout::new(image.clone(), self.limits);
        let first = rollout.next(0.0)?;
        self.fitting(&first)?;
        Some(rollout)
    }

    /// A rollout begins for an image that had none.
    pub(super) fn begin(&mut self, image: &Image, rollout: ActiveRollout) {
        self.rollouts.insert(image.clone(), rollout);
    }

    /// Whom a machine takes an image from if its start is sent now, the best first. None:
    /// the start has to wait for its stage.
    pub(super) fn start_on(
        &mut self,
        image: &Image,
        machine: &StartingMachine<'_>,
        now: Time,
    ) -> Option<Vec<Source>> {
        let rollout = self.rollouts.get_mut(image)?;
        rollout.start_on(machine, &mut self.uploads, now)
    }

    /// A machine has all of an image.
    pub(super) fn arrived(&mut self, image: &Image, machine: &MachineId) {
        if let Some(rollout) = self.rollouts.get_mut(image) {
            rollout.arrived(machine, &mut self.uploads);
        }
    }

    /// Machines whose start waited and may be sent now, a few of each rollout.
    pub(super) fn take_due_starts(&mut self, now: Time) -> Vec<MachineId> {
        let uploads = &self.uploads;
        let rollouts = self.rollouts.values_mut();
        rollouts
            .flat_map(|rollout| rollout.take_due_starts(uploads, now))
            .collect()
    }

    /// By which an image's record is found.
    pub(super) fn key(&self, image: &Image) -> RolloutId {
        RolloutId::of(self.shard, image)
    }

    /// The record as it fits into a value: seeds that are left out cost a copy
    /// more, and one that is too large would never be written, nor what is in
    /// its transaction.
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

    /// An image's rollout, unless it is a predecessor's.
    pub(super) fn rollout_mut(&mut self, image: &Image) -> Option<&mut Rollout> {
        self.rollouts.get_mut(image)?.rollout.as_mut()
    }
}

/// A shard's part of what may be asked of the origin, at least one copy at a time.
fn limits_of(scope: ShardScope) -> Limits {
    let complete = Limits::default();
    let part = |all: u32| (all / scope.of.max(1)).max(1);
    Limits {
        per_zone: part(complete.per_zone),
        origin: part(complete.origin),
        ..complete
    }
}
