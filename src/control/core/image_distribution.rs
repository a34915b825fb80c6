//! Images that many machines want, see `docs/image_distribution.md`: which starts wait for
//! their stage, whom the others take their image from, and what of that is
//! recorded. Off unless the operators' settings say from which size on.
//!
//! Each owner plans for the machines of its shard, so nothing is agreed on
//! between owners; of several each has its part of what is asked of the origin.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_image_distribution::plan::{Limits, Rollout, Uploads};
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_sharding::shard::{ShardId, ShardScope};

use crate::config::Config;
use crate::scheduler::{Claim, Progress, Sent};
use crate::state::record::{image_hash, rollout_key, RolloutId};
use crate::state::view::{Versioned, View};
use crate::state::{Change, Condition};
use crate::types::{Image, JobSpec, MachineId, Revision, Time};

/// A rollout's record stays so long after its last fetch, in seconds: replicas come
/// one after the other, and each would cost two changes.
pub(super) const OVER_S: f64 = 5.0;

/// What a machine does with an image, by the claims there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum ImageState {
    /// Its start was not sent.
    Wants,
    /// It was, and the task doesn't run yet.
    Fetches,
    /// A task runs on it.
    Runs,
}

/// What a claim's task does with its image.
pub(super) fn does(claim: &Claim) -> ImageState {
    match (claim.progress, claim.sent) {
        (Progress::Running(_) | Progress::Saving, _) => ImageState::Runs,
        (_, Sent::No) => ImageState::Wants,
        _ => ImageState::Fetches,
    }
}

/// A machine in a rollout.
pub(super) struct Member {
    /// It has all of the image.
    pub(super) complete: bool,
    /// Since when it wants it, or is known to fetch it.
    pub(super) since: Time,
}

/// An image's rollout here.
pub(super) struct ActiveRollout {
    /// None: a predecessor's, which is gone on with once it is known what was
    /// started. Until then no start is sent: without that wait the origin would
    /// be asked for copies that are on their way.
    pub(super) rollout: Option<Rollout>,
    /// Its size, in GB.
    pub(super) gb: f64,
    pub(super) members: BTreeMap<MachineId, Member>,
    /// Machines whose start waits, and which of them was looked at last.
    pub(super) waiting: BTreeSet<MachineId>,
    pub(super) scanned_to: MachineId,
    /// Since when nobody wants or fetches it.
    pub(super) over_since: Option<Time>,
}

impl ActiveRollout {
    /// A rollout without members.
    pub(super) fn of(rollout: Option<Rollout>) -> Self {
        Self {
            rollout,
            gb: 0.0,
            members: BTreeMap::new(),
            waiting: BTreeSet::new(),
            scanned_to: MachineId::from(""),
            over_since: None,
        }
    }
}

/// A rollout's record on its way: as the rollout has it, and as it is written; none:
/// it is deleted.
#[derive(Debug)]
pub(super) struct Step {
    key: RolloutId,
    of: Option<(RolloutRecord, RolloutRecord)>,
}

/// A step as a change, and the condition that it is made on.
pub(super) struct DueStep {
    pub(super) conditions: Condition,
    pub(super) change: Change,
    pub(super) step: Step,
}

/// All rollouts of a shard.
pub(super) struct ImageDistribution {
    /// Images of at least so many GB go by rollouts; none: no image.
    pub(super) least_gb: Option<f64>,
    shard: ShardId,
    value_bytes: usize,
    pub(super) limits: Limits,
    pub(super) uploads: Uploads,
    pub(super) rollouts: BTreeMap<Image, ActiveRollout>,
    /// What the state service has; none: of a later version, which is left alone.
    pub(super) stored_records: BTreeMap<RolloutId, Versioned<Option<RolloutRecord>>>,
    /// Of shards that there are no more.
    useless: BTreeMap<RolloutId, Revision>,
}

impl ImageDistribution {
    /// What is recorded of a shard's rollouts; each is gone on with later. A shard's part of
    /// what may be asked of the origin is at least one copy at a time.
    pub(super) fn load(cfg: &Config, scope: ShardScope, view: &View) -> Self {
        let least_gb = cfg.tuning.staging_least_gb;
        let complete = Limits::default();
        let part = |all: u32| (all / scope.of.max(1)).max(1);
        let mut image_distribution = Self {
            least_gb,
            shard: scope.shard,
            value_bytes: cfg.state_limits.value_bytes,
            limits: Limits {
                per_zone: part(complete.per_zone),
                origin: part(complete.origin),
                ..complete
            },
            uploads: Uploads::default(),
            rollouts: BTreeMap::new(),
            stored_records: BTreeMap::new(),
            useless: BTreeMap::new(),
        };
        if least_gb.is_none() {
            return image_distribution;
        }
        for (&key, stored_records) in &view.rollouts {
            let shard = key.shard;
            if shard == scope.shard {
                image_distribution
                    .stored_records
                    .insert(key, stored_records.clone());
                if let Some(record) = stored_records.value.as_ref().filter(|r| r.known()) {
                    image_distribution
                        .rollouts
                        .insert(record.image.clone(), ActiveRollout::of(None));
                }
            } else if shard.0 >= scope.of
                && scope.shard == ShardId(0)
                && stored_records.value.is_some()
            {
                image_distribution
                    .useless
                    .insert(key, stored_records.mod_revision);
            }
        }
        image_distribution
    }

    /// Whether a job's image goes by a rollout.
    pub(super) fn stages(&self, spec: &JobSpec) -> bool {
        self.least_gb.is_some_and(|least| spec.image_gb >= least)
    }

    /// Which rollout here is of an image.
    pub(super) fn key(&self, image: &Image) -> RolloutId {
        RolloutId {
            shard: self.shard,
            image_hash: image_hash(image),
        }
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

    /// The next change that is due.
    pub(super) fn next(&self, now: Time) -> Option<DueStep> {
        if let Some((key, mod_revision)) = self.useless.first_key_value() {
            return Some(deletion(*key, *mod_revision));
        }
        let mut rollouts = self.rollouts.iter();
        rollouts.find_map(|(image, kept)| self.next_of(image, kept, now))
    }

    /// What is due of a rollout: its next record, or its deletion once it is over.
    fn next_of(&self, image: &Image, kept: &ActiveRollout, now: Time) -> Option<DueStep> {
        let rollout = kept.rollout.as_ref()?;
        let key = self.key(image);
        let stored_records = self.stored_records.get(&key);
        if stored_records.is_some_and(|h| h.value.is_none()) {
            return None;
        }
        let mod_revision = stored_records.map_or(Revision(0), |h| h.mod_revision);
        if rollout.over() {
            let long = kept.over_since.is_some_and(|t| now.since(t) >= OVER_S);
            return (long && mod_revision != Revision(0)).then(|| deletion(key, mod_revision));
        }
        let record = rollout.next(now.0)?;
        let written = self.fitting(&record)?;
        let name = record_name(key);
        Some(DueStep {
            change: Change::write(name.clone(), &written, None),
            conditions: Condition {
                key: name,
                mod_revision,
            },
            step: Step {
                key,
                of: Some((record, written)),
            },
        })
    }

    /// A change is in the state service. Machines whose start may be sent now.
    pub(super) fn done(
        &mut self,
        step: Step,
        mod_revision: Revision,
        now: Time,
    ) -> BTreeSet<MachineId> {
        self.useless.remove(&step.key);
        let Some((record, written)) = step.of else {
            return self.ended(step.key);
        };
        let value = Some(written);
        self.stored_records.insert(
            step.key,
            Versioned {
                mod_revision,
                value,
            },
        );
        if let Some(rollout) = self.rollout_mut(&record.image) {
            log_rollout(rollout, &record);
            rollout.written(record, now.0);
        }
        BTreeSet::new()
    }

    /// A rollout's record is deleted. Machines that came meanwhile, which begin another
    /// rollout.
    fn ended(&mut self, key: RolloutId) -> BTreeSet<MachineId> {
        self.stored_records.remove(&key);
        let mut woken = BTreeSet::new();
        self.rollouts.retain(|image, kept| {
            let ends = self.shard == key.shard && image_hash(image) == key.image_hash;
            if ends {
                for machine in kept.members.keys() {
                    if let Some(rollout) = &mut kept.rollout {
                        rollout.lost(machine, &mut self.uploads);
                    }
                }
                woken.append(&mut kept.waiting);
            }
            !ends
        });
        woken
    }

    /// A change was not carried out, or had been before: what the state service
    /// has now tells.
    pub(super) fn undone(&mut self, step: Step, view: &View, now: Time) {
        let stored_records = view.rollouts.get(&step.key);
        let recorded = stored_records.and_then(|h| h.value.as_ref());
        let same = recorded == step.of.as_ref().map(|(_, written)| written);
        match stored_records {
            _ if same => {
                let mod_revision = stored_records.map_or(Revision(0), |h| h.mod_revision);
                self.done(step, mod_revision, now);
            }
            Some(stored_records) if step.key.shard == self.shard => {
                self.stored_records.insert(step.key, stored_records.clone());
            }
            Some(stored_records) => {
                self.useless.insert(step.key, stored_records.mod_revision);
            }
            None => {
                self.stored_records.remove(&step.key);
            }
        }
    }

    /// An image's rollout, unless it is a predecessor's.
    pub(super) fn rollout_mut(&mut self, image: &Image) -> Option<&mut Rollout> {
        self.rollouts.get_mut(image)?.rollout.as_mut()
    }
}

/// The key of a rollout's record.
fn record_name(rollout: RolloutId) -> String {
    rollout_key(rollout.shard, rollout.image_hash)
}

/// The deletion of a rollout's record.
fn deletion(key: RolloutId, mod_revision: Revision) -> DueStep {
    let name = record_name(key);
    DueStep {
        change: Change::Delete {
            delete: name.clone(),
        },
        conditions: Condition {
            key: name,
            mod_revision,
        },
        step: Step { key, of: None },
    }
}

/// Logs a rollout as it was recorded.
fn log_rollout(rollout: &Rollout, record: &RolloutRecord) {
    let counts = rollout.counts();
    tracing::info!(
        image = %record.image,
        stage = record.stage,
        seeds = record.seeds.len(),
        wants = counts.waiting,
        fetches = counts.fetching,
        complete = counts.complete,
        copies = rollout.copies(),
        crossings = rollout.crossings(),
        "rollout"
    );
}
