//! This module reports the priority lanes of a shard to operators and in the log.

use sorrelhinge_priority_lanes::order::may_wait_ms;
use sorrelhinge_priority_lanes::shown::{LaneShown, LanesShown, WaitShown};

use super::log_format::tenths;
use super::Core;
use crate::types::Time;

/// Maximum number of jobs of a lane that operators are shown.
const MAX_JOBS_SHOWN: usize = 100;

impl Core {
    /// Returns the usage of each lane and the jobs that wait in it.
    pub fn show_lanes(&self, now: Time) -> LanesShown {
        let cpus = |milli: i64| milli as f64 / 1000.0;
        let lanes = self.cfg.lanes.iter().map(|(id, lane)| {
            let usage = self.cluster_state.lane_usage(id);
            let waits = self.cluster_state.lane_waits();
            let waits = waits.filter(|(key, job)| key.lane == id && job.tasks.pending() > 0);
            let waiting = waits.take(MAX_JOBS_SHOWN).map(|(key, job)| {
                let waited_s = now.since(job.submitted);
                let max = may_wait_ms(job.spec.deadline_s, job.spec.estimate_s);
                let why = self.cluster_state.why_waits(&key.id, now);
                WaitShown {
                    job: key.id.to_string(),
                    class: job.spec.class.to_string(),
                    team: job.spec.team.to_string(),
                    place: key.place.0,
                    waited_s,
                    left_s: max.map(|ms| ms as f64 / 1000.0 - waited_s),
                    front: !key.behind,
                    why: why.map_or_else(|| "it has its turn".into(), |why| why.to_string()),
                }
            });
            LaneShown {
                name: lane.name.clone(),
                order: lane.order,
                part: lane.bound.part(),
                cpus: cpus(usage.used),
                of_cpus: cpus(usage.capacity),
                waiting: waiting.collect(),
            }
        });
        LanesShown {
            lanes: lanes.collect(),
        }
    }

    /// Logs how many jobs wait in each lane, and which one is next.
    pub(super) fn log_lanes(&self, now: Time) {
        for (id, lane) in self.cfg.lanes.iter() {
            let mut waits = self
                .cluster_state
                .lane_waits()
                .filter(|(k, _)| k.lane == id);
            let Some((first, job)) = waits.next() else {
                continue;
            };
            let mut oldest_s = now.since(job.submitted);
            let mut waiting = 1;
            for (_, job) in waits {
                waiting += 1;
                oldest_s = oldest_s.max(now.since(job.submitted));
            }
            let usage = self.cluster_state.lane_usage(id);
            tracing::info!(
                shard = %self.scope.shard,
                lane = lane.name,
                waiting,
                next = %first.id,
                place = first.place.0,
                oldest_s = tenths(oldest_s),
                cpus = usage.used / 1000,
                of_cpus = usage.capacity / 1000,
                "lane"
            );
        }
    }
}
