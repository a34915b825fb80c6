//! Log lines about the service that classes and teams get, and about recovery after a failover.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_sharding::served::{Line, Served, Sort, Waits};

use super::log_format::tenths;
use super::Core;
use crate::types::Time;

/// Seconds between two log reports of the service levels.
const REPORT_INTERVAL_S: f64 = 30.0;
/// Minimum seconds between two log reports if the set of starving classes and teams changes.
const MIN_REPORT_INTERVAL_S: f64 = 5.0;

/// Counts of accepted, started and done jobs by class and team, and the state of the last log
/// report.
pub(super) struct ServedLog {
    job_counts: Served,
    /// Time of the last log report.
    logged_at: Time,
    /// Classes and teams that starved in the last log report.
    starved: BTreeSet<Sort>,
}

impl ServedLog {
    /// Returns a log without counts. The first report interval begins at `now`.
    pub(super) fn new(now: Time) -> Self {
        Self {
            job_counts: Served::default(),
            logged_at: now,
            starved: BTreeSet::new(),
        }
    }

    /// Returns the counts of jobs by class and team, for update.
    pub(super) fn job_counts_mut(&mut self) -> &mut Served {
        &mut self.job_counts
    }

    /// Returns the lines of a log report if one is due. A report is due sooner if the set of
    /// starving classes and teams changed.
    fn take_due(&mut self, waits: &BTreeMap<Sort, Waits>, now: Time) -> Option<Vec<Line>> {
        let lines = self.job_counts.lines(waits);
        let starving = lines.iter().filter(|l| l.starves);
        let starving: BTreeSet<Sort> = starving.map(|l| l.sort.clone()).collect();
        let due_s = if starving == self.starved {
            REPORT_INTERVAL_S
        } else {
            MIN_REPORT_INTERVAL_S
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
    /// Logs once how long after a failover at least 98% of the machines had reported.
    pub(super) fn log_recovery_time(&mut self, now: Time) {
        let unfenced = self.agents.count_unfenced();
        let missing = self.cluster_state.unknown_machines().count();
        let all = self.agents.len() + missing;
        if self.failover.awaits_heartbeats() && all > 0 && (unfenced + missing) * 50 <= all {
            self.failover.record_recovery();
            let after_s = self.failover.logged_age_s(now);
            tracing::info!(after_s, machines = all, "agents recovered after failover");
        }
    }

    /// Returns the waits of jobs without a first start, by class and team.
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

    /// Logs the service that each class and team gets, if a report is due.
    pub(super) fn log_service_levels(&mut self, now: Time) {
        let waits = self.waits_by_sort(now);
        self.log_largest_late(now);
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
