//! What the log says of who is served, and of the takeover.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_sharding::served::{Line, Served, Sort, Waits};

use super::log_format::tenths;
use super::Core;
use crate::types::Time;

/// How often it is logged who is served, in seconds, and how often at the most if
/// that changes.
const SERVED_S: f64 = 30.0;
const SERVED_LEAST_S: f64 = 5.0;

/// Counts of what classes and teams got, and what the log said of them last.
pub(super) struct ServedLog {
    counts: Served,
    /// When it was last logged.
    logged_at: Time,
    /// Who starved then.
    starved: BTreeSet<Sort>,
}

impl ServedLog {
    /// Nothing was counted yet.
    pub(super) fn new(now: Time) -> Self {
        Self {
            counts: Served::default(),
            logged_at: now,
            starved: BTreeSet::new(),
        }
    }

    /// Counts what becomes of jobs.
    pub(super) fn counts(&mut self) -> &mut Served {
        &mut self.counts
    }

    /// What is to be logged now: now and then, and sooner if it changed who starves.
    fn take_due(&mut self, waits: &BTreeMap<Sort, Waits>, now: Time) -> Option<Vec<Line>> {
        let lines = self.counts.lines(waits);
        let starving = lines.iter().filter(|l| l.starves);
        let starving: BTreeSet<Sort> = starving.map(|l| l.sort.clone()).collect();
        let due_s = if starving == self.starved {
            SERVED_S
        } else {
            SERVED_LEAST_S
        };
        if now.since(self.logged_at) < due_s {
            return None;
        }
        self.logged_at = now;
        self.starved = starving;
        Some(lines)
    }
}

impl Core {
    /// Logs how long it took until all machines had reported.
    pub(super) fn log_recovery_time(&mut self, now: Time) {
        let unfenced = self.agents.count_unfenced();
        let missing = self.cluster_state.unknown_machines().count();
        let all = self.agents.len() + missing;
        if self.failover.awaits_heartbeats() && all > 0 && (unfenced + missing) * 50 <= all {
            self.failover.machines_recovered();
            let after_s = self.failover.logged_age_s(now);
            tracing::info!(after_s, machines = all, "agents recovered after failover");
        }
    }

    /// By class and team: jobs that wait for their first start.
    fn waits_by_sort(&self, now: Time) -> BTreeMap<Sort, Waits> {
        let mut waits: BTreeMap<Sort, Waits> = BTreeMap::new();
        for (_, job) in self
            .cluster_state
            .jobs_to_place()
            .filter(|(_, j)| !j.started)
        {
            let w = waits.entry(job.sort()).or_default();
            w.jobs += 1;
            w.oldest_s = w.oldest_s.max(now.since(job.submitted));
        }
        waits
    }

    /// Says in the log what each class and team gets, now and then and when it
    /// changes who starves.
    pub(super) fn log_service_levels(&mut self, now: Time) {
        let waits = self.waits_by_sort(now);
        self.largest_late(now);
        let Some(lines) = self.served_log.take_due(&waits, now) else {
            return;
        };
        self.log_lanes(now);
        for l in lines {
            tracing::info!(
                shard = %self.scope.shard,
                class = %l.sort.0,
                team = %l.sort.1,
                accepted = l.accepted,
                started = l.started,
                done = l.done,
                waiting = l.waits.jobs,
                oldest_s = tenths(l.waits.oldest_s),
                starves = l.starves,
                "served"
            );
        }
    }
}
