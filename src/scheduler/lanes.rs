//! Lane jobs go ahead of all others, as far as their lane's part goes
//! (`docs/lanes.md`). Without lanes nothing here is ever filled.

mod placement;

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelhinge_priority_lanes::order::{arrange, may_wait_ms, Key, Waits};
use sorrelhinge_priority_lanes::part::Bound;
use sorrelhinge_priority_lanes::{LaneId, Lanes};

use super::queue::{Group, QueueTurn};
use super::{ClusterState, Job};
use crate::types::{JobId, Priority, Revision, Time};

/// A job's standing in its lane.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Laned {
    /// Its lane.
    pub lane: LaneId,
    /// Its place: what the state service did when it was accepted.
    pub place: Revision,
    /// Neither pressing nor aged, when last looked at.
    pub behind: bool,
    /// Of a pressing one when it must begin, see [`Key::must_ms`].
    pub must_ms: u64,
    /// Within its lane's part with all before it, when last looked at.
    pub ahead: bool,
    /// The turn it takes otherwise, of those of jobs that ask for the same: the first
    /// by its standing takes the first.
    pub turn: Option<QueueTurn>,
}

impl Laned {
    /// Of a job that was not looked at yet.
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

/// The lanes, what their jobs use, and which jobs wait in them.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    /// The lane jobs that wait, the first first: as of the last look, see
    /// [`ClusterState::refresh_lanes`].
    order: Vec<Key>,
    bounds: BTreeMap<LaneId, Bound>,
    /// Thousandths of a CPU that each lane's claims take.
    pub(super) used: BTreeMap<LaneId, i64>,
}

/// Jobs of which this is the same could stand in for each other.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Alike {
    team: usize,
    class: Arc<str>,
    group: Group,
    priority: Priority,
}

fn asks(job: &Job) -> Alike {
    Alike {
        team: job.team,
        class: job.spec.class.clone(),
        group: job.group(),
        priority: job.priority,
    }
}

/// What a lane's jobs use of all usable machines, in thousandths of a CPU.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LaneUsage {
    /// What the lane's jobs use.
    pub used: i64,
    /// What there is.
    pub capacity: i64,
}

impl ClusterState {
    /// Puts the lane jobs that wait in order, at `now` and `now_ms` of the time of
    /// day: who presses changes with time only.
    pub fn refresh_lanes(&mut self, lanes: &Lanes, now: Time, now_ms: u64) {
        if lanes.is_empty() {
            return;
        }
        let order = self.arranged(now, now_ms);
        self.lanes.bounds = lanes.iter().map(|(id, lane)| (id, lane.bound)).collect();
        let mut turns = self.turns_of_alike(&order);
        let others_wait = self.others_wait();
        let mut allocated = self.lanes.used.clone();
        for key in &order {
            let Some(job) = self.jobs.get(&key.id) else {
                continue;
            };
            let allocated = allocated.entry(key.lane).or_default();
            let ahead = self.goes_ahead(key.lane, job, *allocated, others_wait);
            *allocated += job.demand().cpu;
            let laned = Laned {
                behind: key.behind,
                must_ms: key.must_ms,
                ahead,
                turn: turns.get_mut(&asks(job)).and_then(Vec::pop),
                ..Laned::new(key.lane, key.place)
            };
            self.set_laned(&key.id, laned);
        }
        self.lanes.order = order;
    }

    /// The lane jobs that wait, the first first.
    fn arranged(&self, now: Time, now_ms: u64) -> Vec<Key> {
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

    /// The turns of lane jobs that ask for the same, the last first, as the first in
    /// order takes the first turn from the end.
    fn turns_of_alike(&self, order: &[Key]) -> BTreeMap<Alike, Vec<QueueTurn>> {
        let mut turns: BTreeMap<Alike, Vec<QueueTurn>> = BTreeMap::new();
        for job in order.iter().filter_map(|key| self.jobs.get(&key.id)) {
            turns.entry(asks(job)).or_default().push(job.turn());
        }
        for alike in turns.values_mut() {
            alike.sort_by(|a, b| b.cmp(a));
        }
        turns
    }

    /// Whether a lane job is within its lane's part, of which `allocated` is taken by the
    /// lane's claims and by the jobs before it, in thousandths of a CPU.
    fn goes_ahead(&self, lane: LaneId, job: &Job, allocated: i64, others_wait: bool) -> bool {
        let needs = job.demand().cpu;
        let part = self.lanes.bounds.get(&lane);
        let part = part.map_or(0, |bound| bound.of(self.capacity.cpu));
        !others_wait || allocated + needs <= part || allocated <= 0 && needs <= job.spec.each.cpu
    }

    /// Gives a job its standing in its lane; it is filed anew, as that is part of its
    /// place.
    fn set_laned(&mut self, id: &JobId, laned: Laned) {
        if self.jobs.get(id).is_some_and(|j| j.lane != Some(laned)) {
            self.refile(id, |job| job.lane = Some(laned));
        }
    }

    /// A job came since the last look: it is among those behind until the next, and
    /// doesn't wait for that to go ahead of others.
    pub(super) fn came_to_lane(&mut self, id: &JobId, job: &Job) {
        // Before the first look all are still to be put in order, at once.
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

    /// What a lane's jobs use now, and of how much its part is.
    pub fn lane_usage(&self, lane: LaneId) -> LaneUsage {
        LaneUsage {
            used: self.lanes.used.get(&lane).copied().unwrap_or(0),
            capacity: self.capacity.cpu,
        }
    }

    /// The lane jobs that wait, the first first.
    pub fn lane_waits(&self) -> impl Iterator<Item = (&Key, &Job)> {
        let order = self.lanes.order.iter();
        order.filter_map(|key| Some((key, self.jobs.get(&key.id)?)))
    }

    /// Whether jobs wait that are in no lane.
    fn others_wait(&self) -> bool {
        let mut queues = self.queues.iter().flatten();
        queues.any(|place| !place.in_lane)
    }
}
