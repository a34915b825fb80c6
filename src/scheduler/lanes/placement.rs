//! Placing lane jobs ahead of all others.

use sorrelhinge_priority_lanes::part::SharedCapacity;

use crate::scheduler::placement_pass::PassContext;
use crate::scheduler::{ClusterState, Job, Launch};
use crate::types::{JobId, Kind, Time};

/// A lane job that goes ahead of others.
pub(in crate::scheduler) struct LaneJob<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
}

/// What was placed for lane jobs ahead of all others, and who was tried.
pub(in crate::scheduler) struct LanesPlaced {
    pub launches: Vec<Launch>,
    pub tried: Vec<JobId>,
}

impl ClusterState {
    /// Whether one more task of a lane job goes ahead of others, as far as its lane's
    /// part goes: a flood in a lane would else keep everybody waiting.
    fn within_part(&self, job: &Job, others_wait: bool) -> bool {
        let Some(laned) = job.lane else { return false };
        let usage = self.lane_usage(laned.lane);
        let allocated = SharedCapacity {
            total: usage.capacity,
            used_by_lane: usage.used,
            others_wait,
        };
        let bound = self.lanes.bounds.get(&laned.lane);
        bound.is_some_and(|b| b.allows(allocated, job.spec.each.cpu))
    }

    /// Teams that are below their guarantee and have work waiting: their work is
    /// passed by no lane job of a team that is beyond its own. While it was, on a
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

    /// The lane jobs that are offered machines before all others, in order. One
    /// that fits nowhere is passed over like any other in a walk.
    pub(in crate::scheduler) fn lanes_first(&self, now: Time) -> Vec<LaneJob<'_>> {
        if self.lanes.order.is_empty() {
            return Vec::new();
        }
        let others = self.others_wait();
        let owed = self.owed();
        self.lane_waits()
            .filter(|(_, job)| {
                job.needs_placement(now)
                    && self.within_part(job, others)
                    && self.leaves_guarantees(job, &owed)
            })
            .map(|(key, job)| LaneJob { id: &key.id, job })
            .collect()
    }

    /// Offers the lane jobs the best machines, ahead of all others.
    pub(in crate::scheduler) fn place_lanes(&mut self, context: &PassContext) -> LanesPlaced {
        let mut launches = Vec::new();
        let mut skipped = Vec::new();
        let first = self.lanes_first(context.now);
        // A gang is placed all at once, in its ordinary turn.
        let first = first
            .iter()
            .filter(|first| first.job.spec.kind != Kind::Gang);
        let tried: Vec<JobId> = first.map(|first| first.id.clone()).collect();
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
            if !job.needs_placement(context.now)
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
