//! Several shards: what of a job others have claimed, by its record, and what of that is taken
//! up. What is left to other shards is of [`super::overflow`], the shard's part of the
//! limits of [`super::shard_quota`], and handing it on of [`super::shard_freeze`].

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sorrelhinge_sharding::delegation::Delegation;

use super::delegated_tasks::DelegatedTasks;
use super::Core;
use crate::state::record::{ChunkRecord, Phase};
use crate::state::view::{JobEntry, View};
use crate::types::{Amount, Attempt, JobId, JobSpec, Kind, MachineId, TaskId, Time, Zone};

/// In which zone machines of all shards are, as far as it is known.
pub type Places = Rc<std::cell::RefCell<HashMap<MachineId, Zone>>>;

/// What goes between this shard and others.
#[derive(Default)]
pub(super) struct Sharing {
    /// Tasks of this shard's jobs that others may place.
    pub(super) left: DelegatedTasks,
    /// Tasks of others' jobs that this shard may place.
    pub(super) taken: DelegatedTasks,
    /// Given away of each team's part of the limit, in a transaction whose
    /// outcome is not known yet.
    pub(super) given: Vec<Amount>,
    /// Which shard gets which tasks.
    pub(super) delegation: Delegation,
}

/// A chunk of a job's record.
struct RecordedChunk<'a> {
    job: &'a JobId,
    number: u32,
    /// The first of its tasks.
    from: u32,
    /// How many tasks it has.
    size: u32,
    record: &'a ChunkRecord,
}

/// A claim of this shard that was not recorded as far as it knew.
struct UnrecordedClaim {
    /// The task's place in the job.
    index: u32,
    attempt: Attempt,
}

impl RecordedChunk<'_> {
    /// Whether the task at a place of the chunk is done, by the record.
    fn is_done(&self, place: u32) -> bool {
        self.record.done >> place & 1 == 1
    }
}

impl Core {
    /// Whether a record claims tasks on this shard's machines.
    pub(super) fn claims_here(&self, entry: &JobEntry) -> bool {
        let mut chunks = entry.all_chunks();
        chunks.any(|(_, chunk)| self.claims_in(chunk, true))
    }

    /// What others have claimed of a job, by its record, and what is left to whom.
    pub(super) fn share(&mut self, id: &JobId, entry: &JobEntry) {
        if !self.scope.is_part() {
            return;
        }
        let Some(job) = self.cluster_state.job(id) else {
            return;
        };
        let size = entry.record.value.chunk.max(1);
        let mut claimed_elsewhere: BTreeSet<u32> = self.sharing.left.of(id).collect();
        for (chunk, stored) in entry.all_chunks() {
            let theirs = stored
                .claims
                .iter()
                .filter(|c| !self.scope.covers(&c.machine));
            claimed_elsewhere.extend(theirs.map(|c| chunk * size + c.place));
        }
        claimed_elsewhere.retain(|i| !job.tasks.is_done(*i) && !job.tasks.claims().contains_key(i));
        let zones = self.zones_elsewhere(&job.spec, entry);
        let taken = self.sharing.taken.of(id).collect();
        let taken_here = (!self.scope.homes(id)).then_some(taken);
        self.cluster_state
            .share_job(id, claimed_elsewhere, taken_here);
        self.cluster_state.set_elsewhere(id, zones);
    }

    /// In which zones other shards have claims of a job whose zones count together; none:
    /// that is not known of all.
    fn zones_elsewhere(&self, spec: &JobSpec, entry: &JobEntry) -> Option<BTreeMap<Zone, u32>> {
        let mut zones = BTreeMap::new();
        if !spec.spread && !spec.one_zone {
            return Some(zones);
        }
        let known = self.places.borrow();
        for claim in entry.all_chunks().flat_map(|(_, c)| &c.claims) {
            if !self.scope.covers(&claim.machine) {
                let zone = known.get(&claim.machine)?.clone();
                *zones.entry(zone).or_insert(0) += 1;
            }
        }
        Some(zones)
    }

    /// More is known of where other shards' machines are.
    pub fn refresh_from_view(&mut self, view: &View) {
        let jobs: Vec<JobId> = self.cluster_state.unknown_elsewhere().cloned().collect();
        for id in jobs {
            if let Some(entry) = view.job(&id) {
                self.share(&id, entry);
            }
        }
    }

    /// Whether tasks of a gang are claimed: the machines are not divided then,
    /// as one core must see all of a gang.
    pub fn reserves_for_gangs(&self) -> bool {
        let mut jobs = self.cluster_state.jobs().values();
        jobs.any(|j| j.spec.kind == Kind::Gang && !j.tasks.claims().is_empty())
    }

    /// In which zone each machine is.
    pub fn zones(&self) -> impl Iterator<Item = (&MachineId, &Zone)> {
        let machines = self.cluster_state.machines().iter();
        machines.map(|(id, m)| (id, &m.zone))
    }

    /// A job's record changed: another shard may have claimed or done some of
    /// its tasks. What is claimed here and not recorded gives way; whoever wrote
    /// first has the task, as each write is on the condition of the one before.
    pub(super) fn catch_up(&mut self, id: &JobId, entry: &JobEntry, now: Time) {
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
            self.catch_up_chunk(&chunk, now);
        }
        self.share(id, entry);
        let live = entry.record.value.phase == Phase::Live;
        let job = self.cluster_state.job(id);
        let all_done = job.is_some_and(|j| j.tasks.all_done());
        if live && all_done && self.scope.homes(id) {
            self.finished(id.clone(), now);
        }
        self.placement_queue.request_full_walk();
    }

    /// Takes up a chunk: the next attempt's number, who has which task, what is done.
    fn catch_up_chunk(&mut self, chunk: &RecordedChunk, now: Time) {
        let unrecorded = self.unrecorded_claims(chunk);
        self.cluster_state.edit_job(chunk.job, |job| {
            let next = job.tasks.next_attempt(chunk.number);
            let next = next.max(chunk.record.next_attempt);
            job.tasks.set_next_attempt(chunk.number, next);
        });
        for claim in unrecorded {
            self.settle_claim(chunk, &claim, now);
        }
        // A record has one bit for each of 64 tasks.
        let places = (0..chunk.size.min(u64::BITS)).filter(|p| chunk.is_done(*p));
        self.cluster_state.edit_job(chunk.job, |job| {
            for index in places.map(|p| chunk.from + p) {
                if !job.tasks.claims().contains_key(&index) {
                    job.tasks.set_done(index);
                }
            }
        });
    }

    /// Claims of this shard that were not recorded as far as it knew.
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

    /// A claim gives way to one that is recorded, and to a result; one whose attempt's
    /// number was used by another shard gets another number.
    fn settle_claim(&mut self, chunk: &RecordedChunk, claim: &UnrecordedClaim, now: Time) {
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
