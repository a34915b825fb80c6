//! This controller's copy of the records in the state service.
//!
//! The copy shows the service at one revision ([`View::store_revision`]), with some keys
//! newer: this controller stores its own writes in the copy before the watch returns them.
//! The copy keeps the newest version of each key, so a late or duplicate version changes
//! nothing.
//!
//! This file answers queries about the records. Module `apply` applies reads and watch
//! events, with one function for each kind of record. Module `jobs` applies the records of
//! jobs and derives other state from them.

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

/// This controller's copy of the records.
#[derive(Default)]
pub struct View {
    /// Revision up to which the copy is complete.
    pub store_revision: Revision,
    /// Whether a full read has succeeded.
    pub loaded: bool,
    /// Current leader, if any.
    pub leader: Versioned<Option<LeaderRecord>>,
    /// Grant of all machines as a single shard.
    pub grant: Versioned<GrantRecord>,
    /// Number of shards. The value is `None` if there is a single shard.
    pub map: Versioned<Option<ShardMapRecord>>,
    /// Owner of each shard, while there are several shards.
    pub shards: BTreeMap<ShardId, Versioned<ShardRecord>>,
    /// Part of the team limits that each shard has.
    pub slices: BTreeMap<ShardId, Versioned<SliceRecord>>,
    /// Controllers that are up, while there are several shards.
    pub members: BTreeMap<NodeId, Versioned<MemberRecord>>,
    /// Recent job arrivals and the images that machines ran recently.
    pub history: History,
    /// Drains that operators started, by number.
    pub drains: BTreeMap<u64, Versioned<Drain>>,
    /// Windows of the release calendar. The value is `None` if there is no record.
    pub calendar: Versioned<Option<CalendarRecord>>,
    /// Occurrences of windows that start soon or are under way.
    pub windows: BTreeMap<WindowOccurrence, Versioned<WindowRecord>>,
    /// Machines that the cloud has deleted, by the slot of their list.
    pub retired_machines: BTreeMap<u32, Versioned<RetiredMachinesRecord>>,
    /// Rollouts of images from machine to machine. The value is `None` for a record of an
    /// unknown version.
    pub rollouts: BTreeMap<RolloutId, Versioned<Option<RolloutRecord>>>,
    jobs: HashMap<JobId, JobEntry>,
    /// Dependency graph of the jobs, derived from `jobs`.
    pipelines: Graph,
    /// Chunks that arrived before their job's record.
    orphan_chunks: HashMap<JobId, BTreeMap<u32, Versioned<ChunkRecord>>>,
    /// Jobs that changed since the last [`View::take_changed`], each listed once for every
    /// change.
    changed: Vec<JobId>,
    /// Cancelled jobs that still have claimed tasks.
    cancelled_claims: BTreeSet<JobId>,
}

impl View {
    /// Returns the number of shards.
    pub fn shard_count(&self) -> u32 {
        self.map.value.map_or(1, |m| m.shards.max(1))
    }

    /// Returns the highest number of any grant.
    pub fn newest_grant(&self) -> u64 {
        let numbers = self.shards.values().map(|b| b.value.number);
        numbers.fold(self.grant.value.number, u64::max)
    }

    /// Returns a job, if the copy has its record.
    pub fn job(&self, id: &JobId) -> Option<&JobEntry> {
        self.jobs.get(id)
    }

    /// Returns all jobs, in no particular order.
    pub fn jobs(&self) -> impl Iterator<Item = (&JobId, &JobEntry)> {
        self.jobs.iter()
    }

    /// Returns the dependency graph of the jobs.
    pub fn pipelines(&self) -> &Graph {
        &self.pipelines
    }

    /// Returns whether a job depends on others, done or not.
    pub fn needs_others(&self, id: &JobId) -> bool {
        let entry = self.jobs.get(id);
        entry.is_some_and(|e| !e.record.value.needs().is_empty())
    }

    /// Returns whether the dependencies of a job allow it to run. A job whose tasks were ever
    /// claimed was ready at that time and remains ready. A full read is paged, so it may
    /// return such a job as running and a job that it depends on in an earlier state.
    pub fn is_ready(&self, id: &JobId) -> bool {
        let was_claimed = |entry: &JobEntry| entry.all_chunks().any(|(_, c)| c.next_attempt > 1);
        self.pipelines.is_ready(id) || self.jobs.get(id).is_some_and(was_claimed)
    }

    /// Returns the jobs that a job in a pipeline waits for and the urgency that it inherits.
    /// Returns `None` if the job is in no pipeline or over.
    pub fn pipeline_status(&self, id: &JobId) -> Option<PipelineStatus> {
        let open = self.summary(id)?.phase == Phase::Live;
        let urgency = self.pipelines.urgency(id).filter(|_| open)?;
        Some(PipelineStatus {
            waits_for: self.pipelines.waits_for(id).cloned().collect(),
            priority: urgency.priority,
            finish_by_ms: urgency.finish_ms,
        })
    }

    /// Returns the jobs that changed since the last call.
    pub fn take_changed(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.changed)
    }

    /// Returns whether a task of a cancelled job is claimed on the machine. Such a task runs
    /// there or may still start there.
    pub fn may_run_cancelled(&self, machine: &MachineId) -> bool {
        let entries = self.cancelled_claims.iter().filter_map(|id| self.job(id));
        let mut chunks = entries.flat_map(JobEntry::all_chunks);
        chunks.any(|(_, chunk)| chunk.claims.iter().any(|claim| claim.machine == *machine))
    }

    /// Returns a job's phase as its users see it. A job that depends on a cancelled job
    /// counts as cancelled: the record of the cancelled job suffices.
    fn visible_phase(&self, id: &JobId, recorded: Phase) -> Phase {
        match recorded {
            Phase::Live if self.pipelines.is_cancelled(id) => Phase::Cancelled,
            recorded => recorded,
        }
    }

    /// Returns the state of a job as its users see it.
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
