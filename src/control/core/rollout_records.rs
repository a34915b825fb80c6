//! The records of rollouts: which change is due, and what became of one that was sent.

use std::collections::BTreeSet;

use sorrelhinge_image_distribution::plan::Rollout;
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_sharding::shard::ShardId;

use super::active_rollout::ActiveRollout;
use super::image_distribution::ImageDistribution;
use crate::state::record::{image_hash, rollout_key};
use crate::state::view::{Versioned, View};
use crate::state::{Change, Condition};
use crate::types::{Image, MachineId, Revision, Time};

/// A rollout's record stays so long after its last fetch, in seconds: replicas come
/// one after the other, and each would cost two changes.
pub(super) const DELETION_DELAY_S: f64 = 5.0;

/// What a rollout's record is found by. Ordered by shard, then by the image's hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RolloutKey {
    pub(super) shard: ShardId,
    pub(super) image_hash: u64,
}

impl RolloutKey {
    /// That of an image's rollout in a shard.
    pub(super) fn of(shard: ShardId, image: &Image) -> Self {
        Self {
            shard,
            image_hash: image_hash(image),
        }
    }

    /// The record's name in the state service.
    fn record_name(self) -> String {
        rollout_key(self.shard, self.image_hash)
    }

    /// The record as the view has it.
    fn recorded_in(self, view: &View) -> Option<&Versioned<Option<RolloutRecord>>> {
        view.rollouts.get(&(self.shard, self.image_hash))
    }
}

/// A rollout's record as it is written.
#[derive(Debug)]
struct RecordWrite {
    /// As the rollout has it.
    record: RolloutRecord,
    /// As it fits into a value.
    written: RolloutRecord,
}

/// A rollout's record on its way; `write` is none: it is deleted.
#[derive(Debug)]
pub(super) struct Step {
    key: RolloutKey,
    write: Option<RecordWrite>,
}

/// A step as a change, and the condition that it is made on.
pub(super) struct DueStep {
    pub(super) conditions: Condition,
    pub(super) change: Change,
    pub(super) step: Step,
}

impl ImageDistribution {
    /// The next change that is due.
    pub(super) fn next(&self, now: Time) -> Option<DueStep> {
        if let Some((key, mod_revision)) = self.useless.first_key_value() {
            return Some(deletion(*key, *mod_revision));
        }
        let mut rollouts = self.rollouts.iter();
        rollouts.find_map(|(image, active)| self.next_of(image, active, now))
    }

    /// What is due of a rollout: its next record, or its deletion once it is over.
    fn next_of(&self, image: &Image, active: &ActiveRollout, now: Time) -> Option<DueStep> {
        let rollout = active.rollout.as_ref()?;
        let key = self.key(image);
        let stored_records = self.stored_records.get(&key);
        if stored_records.is_some_and(|h| h.value.is_none()) {
            return None;
        }
        let mod_revision = stored_records.map_or(Revision(0), |h| h.mod_revision);
        if rollout.over() {
            let long = active
                .over_since
                .is_some_and(|t| now.since(t) >= DELETION_DELAY_S);
            return (long && mod_revision != Revision(0)).then(|| deletion(key, mod_revision));
        }
        let record = rollout.next(now.0)?;
        let written = self.fitting(&record)?;
        let name = key.record_name();
        Some(DueStep {
            change: Change::write(name.clone(), &written, None),
            conditions: Condition {
                key: name,
                mod_revision,
            },
            step: Step {
                key,
                write: Some(RecordWrite { record, written }),
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
        let Some(RecordWrite { record, written }) = step.write else {
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
    fn ended(&mut self, key: RolloutKey) -> BTreeSet<MachineId> {
        self.stored_records.remove(&key);
        let mut waiting_starts = BTreeSet::new();
        self.rollouts.retain(|image, active| {
            let ends = RolloutKey::of(self.shard, image) == key;
            if ends {
                for machine in active.members.keys() {
                    if let Some(rollout) = &mut active.rollout {
                        rollout.lost(machine, &mut self.uploads);
                    }
                }
                waiting_starts.append(&mut active.waiting);
            }
            !ends
        });
        waiting_starts
    }

    /// A change was not carried out, or had been before: what the state service
    /// has now tells.
    pub(super) fn undone(&mut self, step: Step, view: &View, now: Time) {
        let stored_records = step.key.recorded_in(view);
        let recorded = stored_records.and_then(|h| h.value.as_ref());
        let same = recorded == step.write.as_ref().map(|write| &write.written);
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
}

/// The deletion of a rollout's record.
fn deletion(key: RolloutKey, mod_revision: Revision) -> DueStep {
    let name = key.record_name();
    DueStep {
        change: Change::Delete {
            delete: name.clone(),
        },
        conditions: Condition {
            key: name,
            mod_revision,
        },
        step: Step { key, write: None },
    }
}

/// Logs a rollout as it was recorded.
fn log_rollout(rollout: &Rollout, record: &RolloutRecord) {
    let (wants, fetches, complete) = rollout.counts();
    tracing::info!(
        image = %record.image,
        stage = record.stage,
        seeds = record.seeds.len(),
        wants,
        fetches,
        complete,
        copies = rollout.copies(),
        crossings = rollout.crossings(),
        "rollout"
    );
}
