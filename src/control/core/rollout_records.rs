//! Records of rollouts: the next change to write, and the handling of changes that were
//! committed or had conflicts.

use std::collections::BTreeSet;

use sorrelhinge_image_distribution::plan::Rollout;
use sorrelhinge_image_distribution::record::RolloutRecord;

use super::active_rollout::ActiveRollout;
use super::image_distribution::ImageDistribution;
use crate::state::record::RolloutId;
use crate::state::view::{Versioned, View};
use crate::state::{Change, Condition};
use crate::types::{Image, MachineId, Revision, Time};

/// Seconds that a rollout's record remains after its last fetch. Replicas of a service start one
/// after the other. Without the delay, each would cost a write and a deletion of the record.
pub(super) const DELETION_DELAY_S: f64 = 5.0;

/// A rollout's record that is to be written.
#[derive(Debug)]
struct RecordWrite {
    /// The full record of the rollout.
    record: RolloutRecord,
    /// The record as it is written, shortened to the size limit of a value in the state service.
    written: RolloutRecord,
}

/// Write of a rollout's record that is in flight. `write` is `None` if the record is deleted.
#[derive(Debug)]
pub(super) struct Step {
    key: RolloutId,
    write: Option<RecordWrite>,
}

/// Due write or deletion of a rollout's record, as a change for a transaction and the condition
/// under which the change is valid.
pub(super) struct DueStep {
    pub(super) condition: Condition,
    pub(super) change: Change,
    pub(super) step: Step,
}

impl ImageDistribution {
    /// Returns the next due write or deletion of a rollout's record.
    pub(super) fn next_step(&self, now: Time) -> Option<DueStep> {
        if let Some((key, mod_revision)) = self.obsolete_records.first_key_value() {
            return Some(deletion(*key, *mod_revision));
        }
        let mut rollouts = self.rollouts.iter();
        rollouts.find_map(|(image, active)| self.next_step_of(image, active, now))
    }

    /// Returns the next due change of one rollout's record. This is the write of the rollout's next
    /// record, or the deletion of the record once the rollout is over.
    fn next_step_of(&self, image: &Image, active: &ActiveRollout, now: Time) -> Option<DueStep> {
        let rollout = active.rollout.as_ref()?;
        let key = self.key(image);
        let stored_record = self.stored_records.get(&key);
        if stored_record.is_some_and(|h| h.value.is_none()) {
            return None;
        }
        let mod_revision = stored_record.map_or(Revision(0), |h| h.mod_revision);
        if rollout.over() {
            let delay_over = active
                .idle_since
                .is_some_and(|t| now.since(t) >= DELETION_DELAY_S);
            return (delay_over && mod_revision != Revision(0))
                .then(|| deletion(key, mod_revision));
        }
        let record = rollout.next(now.0)?;
        let written = self.fitting(&record)?;
        let name = key.key();
        Some(DueStep {
            change: Change::write(name.clone(), &written, None),
            condition: Condition {
                key: name,
                mod_revision,
            },
            step: Step {
                key,
                write: Some(RecordWrite { record, written }),
            },
        })
    }

    /// Handles a committed change of a rollout's record. Returns the machines to which start
    /// commands may be sent now.
    pub(super) fn step_committed(
        &mut self,
        step: Step,
        mod_revision: Revision,
        now: Time,
    ) -> BTreeSet<MachineId> {
        self.obsolete_records.remove(&step.key);
        let Some(RecordWrite { record, written }) = step.write else {
            return self.record_deleted(step.key);
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

    /// Handles the deletion of a rollout's record. Returns the machines that arrived in the
    /// meantime, because they begin another rollout.
    fn record_deleted(&mut self, key: RolloutId) -> BTreeSet<MachineId> {
        self.stored_records.remove(&key);
        let mut waiting_starts = BTreeSet::new();
        self.rollouts.retain(|image, active| {
            let ends = RolloutId::of(self.shard, image) == key;
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

    /// Handles a change of a rollout's record that was not committed, or that an earlier attempt
    /// had already committed. The view shows which of the two happened.
    pub(super) fn step_conflicted(&mut self, step: Step, view: &View, now: Time) {
        let stored_record = view.rollouts.get(&step.key);
        let recorded = stored_record.and_then(|h| h.value.as_ref());
        let same = recorded == step.write.as_ref().map(|write| &write.written);
        match stored_record {
            _ if same => {
                let mod_revision = stored_record.map_or(Revision(0), |h| h.mod_revision);
                self.step_committed(step, mod_revision, now);
            }
            Some(stored_record) if step.key.shard == self.shard => {
                self.stored_records.insert(step.key, stored_record.clone());
            }
            Some(stored_record) => {
                self.obsolete_records
                    .insert(step.key, stored_record.mod_revision);
            }
            None => {
                self.stored_records.remove(&step.key);
            }
        }
    }
}

/// Returns the change that deletes a rollout's record.
fn deletion(key: RolloutId, mod_revision: Revision) -> DueStep {
    let name = key.key();
    DueStep {
        change: Change::Delete {
            delete: name.clone(),
        },
        condition: Condition {
            key: name,
            mod_revision,
        },
        step: Step { key, write: None },
    }
}

/// Logs a rollout whose record was written.
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
