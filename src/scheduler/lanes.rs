//! Lane jobs go ahead of all others, as far as their lane's part goes
//! (`docs/lanes.md`). Without lanes nothing here is ever filled.

use std::collections::BTreeMap;
use std::sync::Arc;

use sorrelhinge_priority_lanes::order::{arrange, may_wait_ms, Key, Waits};
use sorrelhinge_priority_lanes::part::{Bound, Held};
use sorrelhinge_priority_lanes::{LaneId, Lanes};

use super::placement_pass::PassContext;
use super::queue::{Group, QueueTurn};
use super::{ClusterState, Job, Launch};
use crate::types::{JobId, Kind, Priority, Revision, Time};

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

/// The lanes, what they hold, and who waits in them.
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

/// What was placed for lane jobs ahead of all others, and who was tried.
pub(super) struct LanesPlaced {
    pub launches: Vec<Launch>,
    pub tried: Vec<JobId>,
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
        let waits = self.wanting().filter_map(|(id, job)| {
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
        let want = job.demand().cpu;
        let part = self.lanes.bounds.get(&lane);
        let part = part.map_or(0, |bound| bound.of(self.capacity.cpu));
        !others_wait || allocated + want <= part || allocated <= 0 && want <= job.spec.each.cpu
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

    /// Whether one more task of a lane job goes ahead of others, as far as its lane's
    /// part goes: a flood in a lane would else keep everybody waiting.
    fn within_part(&self, job: &Job, others_wait: bool) -> bool {
        let Some(laned) = job.lane else { return false };
        let usage = self.lane_usage(laned.lane);
        let allocated = Held {
            total: usage.capacity,
            lane: usage.used,
            others_wait,
        };
        let bound = self.lanes.bounds.get(&laned.lane);
        bound.is_some_and(|b| b.allows(allocated, job.spec.each.cpu))
    }

    /// Teams that are below their guarantee and have work waiting: their work is
    /// gone before by no lane job of a team that is beyond its own. While it was, on a
    /// day of bursts 0.862 of the work within a guarantee began in time, not 0.949
    /// (simulated machines).
    fn owed(&self) -> Vec<usize> {
        let standings = self.standings().into_iter().enumerate();
        let owed = standings.filter(|(team, s)| {
            s.below_guarantee > 0.0 && self.queues[*team].iter().any(|p| !p.in_lane)
        });
        owed.map(|(team, _)| team).collect()
    }

    /// Whether a lane job's team is within its guarantee with one more task of it, or
    /// no other is `owed` any.
    fn leaves_guarantees(&self, job: &Job, owed: &[usize]) -> bool {
        let team = &self.teams[job.team];
        (team.used + job.spec.each).fits_team(team.guarantee)
            || owed.iter().all(|other| *other == job.team)
    }

    /// Whether jobs wait that are in no lane.
    fn others_wait(&self) -> bool {
        let mut queues = self.queues.iter().flatten();
        queues.any(|place| !place.in_lane)
    }

    /// The lane jobs that are to be offered room before all others, in order. One
    /// that fits nowhere is gone past like any other in a walk.
    pub(super) fn lanes_first(&self, now: Time) -> Vec<(&JobId, &Job)> {
        if self.lanes.order.is_empty() {
            return Vec::new();
        }
        let others = self.others_wait();
        let owed = self.owed();
        self.lane_waits()
            .filter(|(_, job)| {
                job.wants(now)
                    && self.within_part(job, others)
                    && self.leaves_guarantees(job, &owed)
            })
            .map(|(key, job)| (&key.id, job))
            .collect()
    }

    /// Offers the lane jobs the best machines, ahead of all others.
    pub(super) fn place_lanes(&mut self, context: &PassContext) -> LanesPlaced {
        let mut launches = Vec::new();
        let mut skipped = Vec::new();
        let first = self.lanes_first(context.now);
        // A gang is placed whole, in its ordinary turn.
        let first = first.iter().filter(|(_, j)| j.spec.kind != Kind::Gang);
        let tried: Vec<JobId> = first.map(|(id, _)| (*id).clone()).collect();
        for id in &tried {
            launches.extend(self.place_lane_job(id, context, &mut skipped));
        }
        self.skip(skipped, context.now);
        LanesPlaced { launches, tried }
    }

    /// Places as many tasks of a lane job as go ahead of others; `skipped` gets the job if
    /// it waits for a machine with its image.
    fn place_lane_job(
        &mut self,
        id: &JobId,
        context: &PassContext,
        skipped: &mut Vec<JobId>,
    ) -> Vec<Launch> {
        let mut launches = Vec::new();
        while let Some(job) = self.jobs.get(id) {
            self.capacity_index.count_step();
            if !job.wants(context.now)
                || !self.may_claim(id, job)
                || !self.within_part(job, self.others_wait())
                || !self.leaves_guarantees(job, &self.owed())
            {
                break;
            }
            let Some(offer) = self.best(&context.request(id, job)) else {
                break;
            };
            if !self.may_launch(job, &offer.machine, context.rule, context.now) {
                skipped.push(id.clone());
                break;
            }
            let Some(launch) = self.launch(id, &offer.machine, context.now) else {
                break;
            };
            launches.push(launch);
        }
        launches
    }
}
