//! Priority lanes: the scheduler places lane jobs ahead of all other jobs, up to the share
//! (`part`) of their lane (`docs/lanes.md`). Without lanes all structures of this module
//! stay empty.

mod placement;

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelhinge_priority_lanes::order::{arrange, may_wait_ms, Key, Waits};
use sorrelhinge_priority_lanes::part::Bound;
use sorrelhinge_priority_lanes::{LaneId, Lanes};

use super::queue::{Group, QueueTurn};
use super::{ClusterState, Job};
use crate::types::{JobId, Priority, Revision, Time};

/// The position of a job in its lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Laned {
    /// Lane of the job.
    pub lane: LaneId,
    /// Place of the job in the lane: the revision of the state service at which the job was
    /// accepted.
    pub place: Revision,
    /// Whether the job was neither pressing nor aged at the last refresh.
    pub behind: bool,
    /// Latest start of a pressing job in milliseconds, see [`Key::must_ms`].
    pub must_ms: u64,
    /// Whether the job and all jobs before it were within their lane's share at the last
    /// refresh.
    pub ahead: bool,
    /// Turn in the team's queue that replaces the job's own, or `None` before the first
    /// refresh. Lane jobs that ask for the same exchange their turns, so that the first of
    /// them in lane order has the earliest turn.
    pub turn: Option<QueueTurn>,
}

impl Laned {
    /// Returns the position of a job before its first refresh.
    pub fn new(lane: LaneId, place: Revision) -> Self {
        Self {
            lane,
            place,
            behind: true,
            must_ms: 0,
            ahead: false,
            turn: None,
        }
    }
}

/// The lanes, the capacity that their jobs use, and the jobs that wait in them.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// Waiting lane jobs in lane order, as of the last [`ClusterState::refresh_lanes`].
    order: Vec<Key>,
    bounds: BTreeMap<LaneId, Bound>,
    /// Sum of each lane's claims, in thousandths of a CPU.
    pub(super) used: BTreeMap<LaneId, i64>,
}

/// Groups interchangeable jobs: two jobs with equal values can exchange their turns.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct EquivalenceKey {
    team: usize,
    class: Arc<str>,
    group: Group,
    priority: Priority,
}

fn equivalence_key(job: &Job) -> EquivalenceKey {
    EquivalenceKey {
        team: job.team,
        class: job.spec.class.clone(),
        group: job.group(),
        priority: job.priority,
    }
}

/// The usage of a lane, compared with all usable machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneUsage {
    /// CPU that the lane's jobs use, in thousandths of a CPU.
    pub used: i64,
    /// CPU of all usable machines, in thousandths of a CPU.
    pub capacity: i64,
}

impl ClusterState {
    /// Sorts the waiting lane jobs in lane order. `now_ms` is the time of day at `now`, in
    /// milliseconds. Callers refresh repeatedly, as jobs become pressing with time alone.
    pub fn refresh_lanes(&mut self, lanes: &Lanes, now: Time, now_ms: u64) {
        if lanes.is_empty() {
            return;
        }
        let order = self.ordered_lane_jobs(now, now_ms);
        self.lanes.bounds = lanes.iter().map(|(id, lane)| (id, lane.bound)).collect();
        let mut turns = self.turns_of_equivalent_jobs(&order);
        let others_wait = self.others_wait();
        let mut allocated = self.lanes.used.clone();
        for key in &order {
            let Some(job) = self.jobs.get(&key.id) else {
                continue;
            };
            let allocated = allocated.entry(key.lane).or_default();
            let ahead = self.has_precedence(key.lane, job, *allocated, others_wait);
            *allocated += job.demand().cpu;
            let laned = Laned {
                behind: key.behind,
                must_ms: key.must_ms,
                ahead,
                turn: turns.get_mut(&equivalence_key(job)).and_then(Vec::pop),
                ..Laned::new(key.lane, key.place)
            };
            self.set_lane_position(&key.id, laned);
        }
        self.lanes.order = order;
    }

    /// Returns the waiting lane jobs in lane order.
    fn ordered_lane_jobs(&self, now: Time, now_ms: u64) -> Vec<Key> {
        let waits = self.jobs_to_place().filter_map(|(id, job)| {
            let laned = job.lane?;
            let waited_ms = (now.since(job.submitted) * 1000.0).max(0.0) as u64;
            Some(Waits {
                lane: laned.lane,
                place: laned.place,
                id: id.clone(),
                accepted_ms: now_ms.saturating_sub(waited_ms),
                may_wait_ms: may_wait_ms(job.spec.deadline_s, job.spec.estimate_s),
            })
        });
        arrange(waits.collect(), now_ms)
    }

    /// Returns the turns of interchangeable lane jobs, the last turn first. The caller pops
    /// turns from the end, so the first job in lane order gets the first turn.
    fn turns_of_equivalent_jobs(&self, order: &[Key]) -> BTreeMap<EquivalenceKey, Vec<QueueTurn>> {
        let mut turns: BTreeMap<EquivalenceKey, Vec<QueueTurn>> = BTreeMap::new();
        for job in order.iter().filter_map(|key| self.jobs.get(&key.id)) {
            turns
                .entry(equivalence_key(job))
                .or_default()
                .push(job.turn());
        }
        for equivalent in turns.values_mut() {
            equivalent.sort_by(|a, b| b.cmp(a));
        }
        turns
    }

    /// Returns whether a lane job is within its lane's share. `allocated` is the CPU that the
    /// lane's claims and the jobs before it take of that share, in thousandths of a CPU.
    fn has_precedence(&self, lane: LaneId, job: &Job, allocated: i64, others_wait: bool) -> bool {
        let needs = job.demand().cpu;
        let part = self.lanes.bounds.get(&lane);
        let part = part.map_or(0, |bound| bound.of(self.capacity.cpu));
        !others_wait || allocated + needs <= part || allocated <= 0 && needs <= job.spec.each.cpu
    }

    /// Sets the position of a job in its lane. Moves the job in its team's queue, as the
    /// queue is sorted by that position too.
    fn set_lane_position(&mut self, id: &JobId, laned: Laned) {
        if self.jobs.get(id).is_some_and(|j| j.lane != Some(laned)) {
            self.refile(id, |job| job.lane = Some(laned));
        }
    }

    /// Adds a new job to the lane order before the next refresh, so that the job needn't
    /// wait for the refresh to go ahead of other jobs. Until then the job counts as neither
    /// pressing nor aged.
    pub(super) fn came_to_lane(&mut self, id: &JobId, job: &Job) {
        // The first refresh sorts all jobs at once, so nothing is added before it.
        let looked = job.lane.filter(|_| !self.lanes.bounds.is_empty());
        let Some(laned) = looked else { return };
        let key = Key {
            lane: laned.lane,
            behind: laned.behind,
            must_ms: laned.must_ms,
            place: laned.place,
            id: id.clone(),
        };
        if let Err(at) = self.lanes.order.binary_search(&key) {
            self.lanes.order.insert(at, key);
        }
    }

    /// Returns the CPU that a lane's jobs use now and the CPU that its share is a part of.
    pub fn lane_usage(&self, lane: LaneId) -> LaneUsage {
        LaneUsage {
            used: self.lanes.used.get(&lane).copied().unwrap_or(0),
            capacity: self.capacity.cpu,
        }
    }

    /// Returns the waiting lane jobs in lane order.
    pub fn lane_waits(&self) -> impl Iterator<Item = (&Key, &Job)> {
        let order = self.lanes.order.iter();
        order.filter_map(|key| Some((key, self.jobs.get(&key.id)?)))
    }

    /// Returns whether any job waits that is in no lane.
    fn others_wait(&self) -> bool {
        let mut queues = self.queues.iter().flatten();
        queues.any(|place| !place.in_lane)
    }
}
