//! This controller's copy of the records in the state service.
//!
//! It is as the service was at one revision ([`View::store_revision`]), or newer in single keys:
//! what this controller wrote itself is here before the watch brings it. Of each key the
//! newest version that was seen is kept, so whatever comes late or twice changes nothing.
//!
//! This file answers what the records say; `apply` takes in reads and watch events, one
//! function a kind of record, and `jobs` the records of jobs, with what follows from
//! them.

mod apply;
mod jobs;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_pipelines::graph::Graph;
use sorrelhinge_protocol::users::PipelineStatus;
use sorrelhinge_reservations::record::{CalendarRecord, WindowRecord};
use sorrelhinge_topology::drain::Drain;

use super::history::History;
pub use super::job_entry::{Cancellation, JobEntry, Summary};
use super::record::{
    ChunkRecord, GrantRecord, LeaderRecord, MemberRecord, Phase, RetiredMachinesRecord, RolloutId,
    ShardMapRecord, ShardRecord, SliceRecord, WindowOccurrence,
};
pub use super::versioned::Versioned;
use crate::types::{JobId, MachineId, NodeId, Revision};
use sorrelhinge_sharding::shard::ShardId;

/// The copy.
#[derive(Default)]
pub struct View {
    /// Everything up to this revision is here.
    pub store_revision: Revision,
    /// Whether everything was read once.
    pub loaded: bool,
    /// The leader.
    pub leader: Versioned<Option<LeaderRecord>>,
    /// The grant.
    pub grant: Versioned<GrantRecord>,
    /// How many shards there are; none: one.
    pub map: Versioned<Option<ShardMapRecord>>,
    /// Who owns each of several shards.
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    /// Each one's part of the limits.
    pub slices: BTreeMap<ShardId, Versioned<SliceRecord>>,
    /// Controllers that live, while there are several shards.
    pub members: BTreeMap<NodeId, Versioned<MemberRecord>>,
    /// Which jobs arrived and which images ran recently.
    pub history: History,
    /// What operators drain.
    pub drains: BTreeMap<u64, Versioned<Drain>>,
    /// The windows of the release calendar; none: there is no record.
    pub calendar: Versioned<Option<CalendarRecord>>,
    /// Each window's occurrences that are near or under way.
    pub windows: BTreeMap<WindowOccurrence, Versioned<WindowRecord>>,
    /// Machines that the cloud has deleted, by the slot of their list.
    pub retired_machines: BTreeMap<u32, Versioned<RetiredMachinesRecord>>,
    /// Images on their way from machine to machine; none: of a version that is not
    /// known here.
    pub rollouts: BTreeMap<RolloutId, Versioned<Option<RolloutRecord>>>,
    jobs: HashMap<JobId, JobEntry>,
    /// Jobs that wait for others, from what `jobs` says.
    pipelines: Graph,
    /// Chunks that came before their job's record.
    orphans: HashMap<JobId, BTreeMap<u32, Versioned<ChunkRecord>>>,
    /// Jobs that changed since [`View::take_changed`], each as often as it did.
    changed: Vec<JobId>,
    /// Cancelled jobs of which some tasks are still claimed.
    cancelled_claims: BTreeSet<JobId>,
}

impl View {
    /// How many shards there are.
    pub fn shard_count(&self) -> u32 {
        self.map.value.map_or(1, |m| m.shards.max(1))
    }

    /// The newest number that any grant has.
    pub fn newest_grant(&self) -> u64 {
        let numbers = self.shards.values().map(|b| b.value.number);
        numbers.fold(self.grant.value.number, u64::max)
    }

    /// A job.
    pub fn job(&self, id: &JobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }

    /// All jobs.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        self.jobs.iter()
    }

    /// Jobs that wait for others, and what follows for them.
    pub fn pipelines(&self) -> &Graph {
        &self.pipelines
    }

    /// Whether a job needs others, done or not.
    pub fn needs_others(&self, id: &JobId) -> bool {
        let entry = self.jobs.get(id);
        entry.is_some_and(|e| !e.record.value.needs().is_empty())
    }

    /// Whether a job may run as far as the jobs that it needs go. One of which something
    /// was claimed was ready then, and so it is for ever: while everything is read in
    /// pages, a job may be read as it ran, and one that it needs as it was before.
    pub fn is_ready(&self, id: &JobId) -> bool {
        let was_claimed = |entry: &JobEntry| entry.all_chunks().any(|(_, c)| c.next_attempt > 1);
        self.pipelines.is_ready(id) || self.jobs.get(id).is_some_and(was_claimed)
    }

    /// What a job in a pipeline waits for and inherits; none: it is in none, or over.
    pub fn pipeline_status(&self, id: &JobId) -> Option<PipelineStatus> {
        let open = self.summary(id)?.phase == Phase::Live;
        let urgency = self.pipelines.urgency(id).filter(|_| open)?;
        Some(PipelineStatus {
            waits_for: self.pipelines.waits_for(id).cloned().collect(),
            priority: urgency.priority,
            finish_by_ms: urgency.finish_ms,
        })
    }

    /// The jobs that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Whether a task of a cancelled job is on the machine, or may yet start there:
    /// it is claimed there.
    pub fn may_run_cancelled(&self, machine: &MachineId) -> bool {
        let entries = self.cancelled_claims.iter().filter_map(|id| self.job(id));
        let mut chunks = entries.flat_map(JobEntry::all_chunks);
        chunks.any(|(_, chunk)| chunk.claims.iter().any(|claim| claim.machine == *machine))
    }

    /// A job's phase as its users see it: one that needs a cancelled job is cancelled
    /// with it, by that job's record alone.
    fn visible_phase(&self, id: &JobId, recorded: Phase) -> Phase {
        match recorded {
            Phase::Live if self.pipelines.is_cancelled(id) => Phase::Cancelled,
            recorded => recorded,
        }
    }

    /// What users see of a job.
    pub fn summary(&self, id: &JobId) -> Option<Summary> {
        let entry = self.jobs.get(id)?;
        let record = &entry.record.value;
        let mut summary = Summary {
            phase: self.visible_phase(id, record.phase),
            done: 0,
            running: 0,
        };
        match record.phase {
            Phase::Done => summary.done = record.tasks,
            Phase::Live | Phase::Cancelled => {
                for (_, chunk) in entry.all_chunks() {
                    summary.done += chunk.done.count_ones();
                    summary.running += chunk.claims.len() as u32;
                }
            }
        }
        Some(summary)
    }
}
