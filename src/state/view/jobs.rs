//! Updates the local copy from the records of jobs and chunks, and derives from them which
//! jobs changed, which jobs wait for others, and what the history records.

use sorrelhinge_priority_lanes::place;

use super::super::history::History;
use super::super::record::{ChunkRecord, JobRecord, Phase};
use super::{JobEntry, Versioned, View};
use crate::types::{JobId, Revision};

impl View {
    /// Stores a job's record unless the copy has a newer one.
    pub fn put_job(&mut self, id: &JobId, record: Versioned<JobRecord>) {
        let value = &record.value;
        match self.jobs.get_mut(id) {
            Some(entry) if entry.record.mod_revision >= record.mod_revision => {
                // A record that arrives late still shows the job's earlier place.
                let place = place::known(Some(entry.place), value.place, record.mod_revision);
                if place >= entry.place {
                    return;
                }
                entry.place = place;
            }
            Some(entry) => {
                let before = entry.record.value.inline.as_ref();
                record_placements(&mut self.history, value, before, value.inline.as_ref());
                entry.place = place::known(Some(entry.place), value.place, record.mod_revision);
                entry.record = record;
            }
            None => self.insert_job(id, record),
        }
        self.mark_changed(id);
        self.update_pipelines(id);
    }

    /// Inserts a job that the copy does not have yet, with the chunks that arrived before its
    /// record.
    fn insert_job(&mut self, id: &JobId, record: Versioned<JobRecord>) {
        let value = &record.value;
        if let (Phase::Live, Some(spec)) = (value.phase, value.description()) {
            self.history.record_arrival(value.accepted_ms, spec);
        }
        record_placements(&mut self.history, value, None, value.inline.as_ref());
        let chunks = self.orphan_chunks.remove(id).unwrap_or_default();
        for chunk in chunks.values() {
            record_placements(&mut self.history, value, None, Some(&chunk.value));
        }
        let place = place::known(None, value.place, record.mod_revision);
        let entry = JobEntry {
            record,
            chunks,
            place,
        };
        self.jobs.insert(id.clone(), entry);
    }

    /// Stores a chunk unless the copy has a newer one.
    pub fn put_chunk(&mut self, id: &JobId, chunk: u32, record: Versioned<ChunkRecord>) {
        // A full read is paged, so a chunk can arrive before its job.
        let (chunks, job) = match self.jobs.get_mut(id) {
            Some(entry) => (&mut entry.chunks, Some(&entry.record.value)),
            None => (self.orphan_chunks.entry(id.clone()).or_default(), None),
        };
        let known = chunks.entry(chunk).or_default();
        if record.mod_revision > known.mod_revision {
            if let Some(job) = job {
                let before = Some(&known.value);
                record_placements(&mut self.history, job, before, Some(&record.value));
            }
            *known = record;
            self.mark_changed(id);
        }
    }

    /// Removes a chunk that was deleted at `mod_revision`, unless it was written again since.
    pub fn drop_chunk(&mut self, id: &JobId, chunk: u32, mod_revision: Revision) {
        if let Some(entry) = self.jobs.get_mut(id) {
            if entry
                .chunks
                .get(&chunk)
                .is_some_and(|c| c.mod_revision < mod_revision)
            {
                entry.chunks.remove(&chunk);
                self.mark_changed(id);
            }
        }
    }

    /// Records that a job's record or one of its chunks changed.
    fn mark_changed(&mut self, id: &JobId) {
        let cancelled = self.jobs.get(id).is_some_and(|entry| {
            entry.record.value.phase == Phase::Cancelled
                && entry.all_chunks().any(|(_, c)| !c.claims.is_empty())
        });
        if cancelled {
            self.cancelled_claims.insert(id.clone())
        } else {
            self.cancelled_claims.remove(id)
        };
        self.changed.push(id.clone());
    }

    /// Updates the dependency graph after a change of a job's record.
    fn update_pipelines(&mut self, id: &JobId) {
        let Some(entry) = self.jobs.get(id) else {
            return;
        };
        let record = &entry.record.value;
        if record.needs().is_empty() && !self.pipelines.contains(id) {
            return;
        }
        let jobs = &self.jobs;
        let facts = |other: &JobId| jobs.get(other).map(|e| e.record.value.facts());
        let changed = self.pipelines.put(id, &record.facts(), facts);
        self.changed.extend(changed);
    }
}

/// Records in the history the placements that `after` has and `before` had not.
fn record_placements(
    history: &mut History,
    job: &JobRecord,
    before: Option<&ChunkRecord>,
    after: Option<&ChunkRecord>,
) {
    let (Some(spec), Some(after)) = (&job.spec, after) else {
        return;
    };
    for claim in &after.claims {
        if before.is_none_or(|b| b.next_attempt <= claim.attempt.0) {
            history.record_placement(&claim.machine, &spec.image, spec.image_gb);
        }
    }
}
