//! This module reconciles a job with the claims that other shards recorded for it.
//! [`super::overflow`] delegates tasks to other shards, [`super::shard_quota`] holds the
//! shard's part of the limits, and [`super::shard_freeze`] freezes a shard for handover.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_sharding::delegation::Delegation;

use super::delegated_tasks::DelegatedTasks;
use super::Core;
use crate::state::record::{ChunkRecord, Phase};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, Attempt, JobId, JobSpec, Kind, MachineId, TaskId, Time, Zone};

/// Known zones of the machines of all shards.
pub type MachineZones = Rc<std::cell::RefCell<HashMap<MachineId, Zone>>>;

/// Tasks and quota that this shard exchanges with others.
#[derive(Default)]
pub(super) struct Delegations {
    /// Tasks of this shard's jobs that other shards may place.
    pub(super) delegated_out: DelegatedTasks,
    /// Tasks of other shards' jobs that this shard may place.
    pub(super) delegated_in: DelegatedTasks,
    /// Amount of each team's quota that a transaction in flight transfers to other shards. The
    /// outcome of the transaction is not known yet.
    pub(super) quota_in_flight: Vec<Amount>,
    /// Rule that decides which shard gets which delegated tasks.
    pub(super) policy: Delegation,
}

/// One chunk of a job's tasks, with its record.
struct RecordedChunk<'a> {
    job: &'a JobId,
    number: u32,
    /// Index in the job of the chunk's first task.
    from: u32,
    /// Number of tasks in the chunk.
    size: u32,
    record: &'a ChunkRecord,
}

/// Claim of this shard without a confirmed record.
struct UnrecordedClaim {
    /// Index of the task in the job.
    index: u32,
    attempt: Attempt,
}

impl RecordedChunk<'_> {
    /// Returns whether the record marks the task at a place of the chunk as done.
    fn is_done(&self, place: u32) -> bool {
        self.record.done >> place & 1 == 1
    }
}

impl Core {
    /// Returns whether a record claims tasks on this shard's machines.
    pub(super) fn has_claims_in_shard(&self, entry: &JobEntry) -> bool {
        let mut chunks = entry.all_chunks();
        chunks.any(|(_, chunk)| self.claims_in(chunk, true))
    }

    /// Updates the job with the claims that its record has for other shards, and with the tasks
    /// that are delegated between shards.
    pub(super) fn apply_foreign_claims(&mut self, id: &JobId, entry: &JobEntry) {
        if !self.scope.is_part() {
            return;
        }
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let size = entry.record.value.chunk.max(1);
        let mut claimed_elsewhere: BTreeSet<u32> = self.delegations.delegated_out.of(id).collect();
        for (chunk, stored) in entry.all_chunks() {
            let theirs = stored
                .claims
                .iter()
                .filter(|c| !self.scope.covers(&c.machine));
            claimed_elsewhere.extend(theirs.map(|c| chunk * size + c.place));
        }
        claimed_elsewhere.retain(|i| !job.tasks.is_done(*i) && !job.tasks.claims().contains_key(i));
        let zones = self.zones_elsewhere(&job.spec, entry);
        let taken = self.delegations.delegated_in.of(id).collect();
        let taken_here = (!self.scope.homes(id)).then_some(taken);
        self.cluster_state
            .share_job(id, claimed_elsewhere, taken_here);
        self.cluster_state.set_elsewhere(id, zones);
    }

    /// Returns the number of other shards' claims by zone, for a job with a spread or one-zone
    /// rule. Returns an empty map for other jobs. Returns `None` if the zone of any claim is
    /// unknown.
    fn zones_elsewhere(&self, spec: &JobSpec, entry: &JobEntry) -> Option<BTreeMap<Zone, u32>> {
        let mut zones = BTreeMap::new();
        if !spec.spread && !spec.one_zone {
            return Some(zones);
        }
        let known = self.machine_zones.borrow();
        for claim in entry.all_chunks().flat_map(|(_, c)| &c.claims) {
            if !self.scope.covers(&claim.machine) {
                let zone = known.get(&claim.machine)?.clone();
                *zones.entry(zone).or_insert(0) += 1;
            }
        }
        Some(zones)
    }

    /// Updates the jobs whose claims in other shards had unknown zones, once more zones may be
    /// known.
    pub fn refresh_from_view(&mut self, view: &View) {
        let jobs: Vec<JobId> = self.cluster_state.unknown_elsewhere().cloned().collect();
        for id in jobs {
            if let Some(entry) = view.job(&id) {
                self.apply_foreign_claims(&id, entry);
            }
        }
    }

    /// Returns whether tasks of a gang are claimed. The machines must not be divided into
    /// shards then, because one core must see all tasks of a gang.
    pub fn has_claimed_gang(&self) -> bool {
        let mut jobs = self.cluster_state.jobs().values();
        jobs.any(|j| j.spec.kind == Kind::Gang && !j.tasks.claims().is_empty())
    }

    /// Returns the zone of each machine of this shard.
    pub fn zones(&self) -> impl Iterator<Item = (&MachineId, &Zone)> {
        let machines = self.cluster_state.machines().iter();
        machines.map(|(id, m)| (id, &m.zone))
    }

    /// Reconciles a job with its changed record, in which another shard may have claimed or
    /// finished some tasks. A local claim without a record yields to a recorded claim. The
    /// first writer gets the task, because each write requires the revision of the previous
    /// one.
    pub(super) fn reconcile_record(&mut self, id: &JobId, entry: &JobEntry, now: Time) {
        if !self.scope.is_part() {
            return;
        }
        let size = entry.record.value.chunk.max(1);
        self.cluster_state.share_job(id, BTreeSet::new(), None);
        for (number, record) in entry.all_chunks() {
            if self.cluster_state.job(id).is_none() {
                return;
            }
            let chunk = RecordedChunk {
                job: id,
                number,
                from: number * size,
                size,
                record,
            };
            self.apply_chunk_record(&chunk, now);
        }
        self.apply_foreign_claims(id, entry);
        let live = entry.record.value.phase == Phase::Live;
        let job = self.cluster_state.job(id);
        let all_done = job.is_some_and(|j| j.tasks.all_done());
        if live && all_done && self.scope.homes(id) {
            self.queue_finished(id.clone(), now);
        }
        self.placement_queue.request_full_walk();
    }

    /// Applies a chunk's record: the next attempt's number, the claims and the finished tasks.
    fn apply_chunk_record(&mut self, chunk: &RecordedChunk, now: Time) {
        let unrecorded = self.unrecorded_claims(chunk);
        self.cluster_state.edit_job(chunk.job, |job| {
            let next = job.tasks.next_attempt(chunk.number);
            let next = next.max(chunk.record.next_attempt);
            job.tasks.set_next_attempt(chunk.number, next);
            let failed = job.tasks.failed_attempts(chunk.number);
            let failed = failed.max(chunk.record.failed_attempts);
            job.tasks.set_failed_attempts(chunk.number, failed);
        });
        for claim in unrecorded {
            self.resolve_claim(chunk, &claim, now);
        }
        // A record has one bit for each of at most 64 tasks.
        let places = (0..chunk.size.min(u64::BITS)).filter(|p| chunk.is_done(*p));
        self.cluster_state.edit_job(chunk.job, |job| {
            for index in places.map(|p| chunk.from + p) {
                if !job.tasks.claims().contains_key(&index) {
                    job.tasks.set_done(index);
                }
            }
        });
    }

    /// Returns the claims of this shard in a chunk that have no confirmed record.
    fn unrecorded_claims(&self, chunk: &RecordedChunk) -> Vec<UnrecordedClaim> {
        let Some(job) = self.cluster_state.job(chunk.job) else {
            return Vec::new();
        };
        let tasks = chunk.from..chunk.from + chunk.size;
        let own = job.tasks.claims().range(tasks);
        own.filter(|(_, c)| !c.committed)
            .map(|(&index, c)| UnrecordedClaim {
                index,
                attempt: c.attempt,
            })
            .collect()
    }

    /// Releases a claim if the record has another claim or a result for the task. Renumbers the
    /// claim if another shard used its attempt number.
    fn resolve_claim(&mut self, chunk: &RecordedChunk, claim: &UnrecordedClaim, now: Time) {
        let UnrecordedClaim { index, attempt } = *claim;
        let place = index - chunk.from;
        let task = TaskId {
            job: chunk.job.clone(),
            index,
        };
        let recorded = chunk.record.claims.iter().find(|c| c.place == place);
        if recorded.is_some_and(|c| c.attempt == attempt && self.scope.covers(&c.machine)) {
            return;
        }
        if recorded.is_some() || chunk.is_done(place) {
            self.release(&task, now);
        } else if attempt.0 < chunk.record.next_attempt {
            self.cluster_state.renumber(&task);
        }
    }
}
