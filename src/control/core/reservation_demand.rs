//! This module handles the capacity that windows of the release calendar lack. It rents the
//! missing capacity, delegates waiting tasks to shards that hold reservations, and reports
//! shortages.

use std::rc::Rc;
use std::sync::Arc;

use sorrelhinge_reservations::plan::divide;
use sorrelhinge_reservations::settings::Window;
use sorrelhinge_reservations::shown::{rows, WindowShown};
use sorrelhinge_sharding::delegation::{Delegated, Waiting};
use sorrelhinge_sharding::shard::ShardId;

use super::reservation_supply::TypeChoice;
use super::reservations::LoggedShortage;
use super::Core;
use crate::autoscaler;
use crate::scheduler::MissingTasks;
use crate::types::{Image, JobSpec, Kind, Priority, Time, Zone};

/// Interval at which an unchanged shortage is logged again, in seconds.
const SHORTAGE_LOG_INTERVAL_S: f64 = 30.0;
/// Minimum interval between log events of a shortage whose cause changes, in seconds. It keeps
/// a number that changes in the cause from being logged each second.
const CHANGED_SHORTAGE_LOG_INTERVAL_S: f64 = 5.0;

/// Tasks for which a window lacks capacity in one zone.
struct ZoneShortfall {
    /// Zone in which the capacity is missing. `None` stands for any zone.
    zone: Option<Zone>,
    /// Number of the window's tasks that lack capacity in the zone.
    tasks: u32,
    /// Machine type to request from the cloud for these tasks.
    kind: TypeChoice,
}

impl Core {
    /// Delegates waiting tasks of windows to the other shards, to each shard as many as its
    /// part of the reservation. With several shards, each shard reserves its part of the
    /// capacity, while a job belongs to one shard.
    pub(super) fn delegate_to_reservations(&self, waiting: &[Waiting]) -> Vec<Delegated> {
        let mut leaves = Vec::new();
        for waits in waiting {
            let Some(job) = self.cluster_state.job(&waits.job) else {
                continue;
            };
            let reserved = self.windows.watched.values().find(|w| {
                let window = w.entry.as_ref().map(|e| &e.window);
                w.plan.reserved_tasks > 0
                    && window.is_some_and(|w| w.is_for(&job.spec.team, &job.spec.class))
            });
            let parts =
                reserved.map_or(Vec::new(), |w| divide(w.plan.reserved_tasks, self.scope.of));
            let mut left = waits.tasks;
            for (shard, part) in parts.into_iter().enumerate() {
                let to = ShardId(shard as u32);
                let tasks = part.min(left);
                if to != self.scope.shard && tasks > 0 {
                    left -= tasks;
                    leaves.push(Delegated {
                        job: waits.job.clone(),
                        to,
                        tasks,
                    });
                }
            }
        }
        leaves
    }

    /// Logs the shortages of windows when they change, and repeats them at an interval.
    pub(super) fn log_shortage(&mut self, now: Time) {
        if !self.records_calendar_steps() {
            return;
        }
        for (name, watch) in &mut self.windows.watched {
            let short = watch.plan.each.iter().find(|(_, n)| n.short.is_some());
            let Some((start_ms, next)) = short else {
                watch.logged = None;
                continue;
            };
            let again = watch.logged.as_ref().is_none_or(|logged| {
                let passed_s = now.since(logged.at);
                passed_s >= SHORTAGE_LOG_INTERVAL_S
                    || logged.why != next.why && passed_s >= CHANGED_SHORTAGE_LOG_INTERVAL_S
            });
            if !again {
                continue;
            }
            watch.logged = Some(LoggedShortage {
                why: next.why.clone(),
                at: now,
            });
            let asked = watch.seen.as_ref().map_or(0, |s| s.asked);
            let ready = watch.seen.as_ref().map_or(0, |s| s.ready);
            tracing::info!(window = %name, start_ms, hold = next.reserved_tasks, asked, ready, why = %next.why, "calendar");
        }
    }

    /// Returns the windows for display to operators.
    pub fn windows_shown(&self, now_ms: i64) -> Vec<WindowShown> {
        let mut shown = Vec::new();
        for (name, watch) in &self.windows.watched {
            let Some(seen) = &watch.seen else { continue };
            let records = watch.records_by_start();
            shown.extend(rows(
                name,
                watch.entry.as_ref(),
                &records,
                &watch.plan,
                seen,
                now_ms,
            ));
        }
        shown
    }

    /// Returns the capacity to rent for windows.
    pub(super) fn shortfalls(&self, now: Time) -> Vec<autoscaler::Shortfall> {
        if self.windows.watched.is_empty() || !self.machines_are_known(now) {
            return Vec::new();
        }
        let entries = self.windows.watched.values().map(|w| w.entry.as_ref());
        let windows = entries.flatten().map(|entry| &entry.window);
        windows.flat_map(|w| self.shortfalls_of(w, now)).collect()
    }

    /// Returns whether the list of existing machines is complete. Before that, this owner would
    /// rent again what a former owner rented.
    fn machines_are_known(&self, now: Time) -> bool {
        // A machine list lags by at most twice its usual lag (PROTOCOL).
        let listed = self.failover.age_s(now) > 2.0 * self.cfg.list_lag_s + 2.0;
        let recovering = self.failover.age_s(now) <= self.cfg.silent_s();
        let unfenced = recovering && self.agents.any_unfenced_except_deleting();
        listed && !unfenced
    }

    /// Returns the missing capacity of a window by zone. Other zones take over meanwhile for a
    /// zone in which the cloud offers no machine.
    fn shortfalls_of(&self, window: &Window, now: Time) -> Vec<autoscaler::Shortfall> {
        let mut spare = 0;
        let mut open = Vec::new();
        for missing in self.cluster_state.missing_tasks(&window.name) {
            let MissingTasks { zone, tasks } = missing;
            match self.type_for(window, zone.as_ref(), now) {
                Some(kind) => open.push(ZoneShortfall { zone, tasks, kind }),
                None => spare += tasks,
            }
        }
        let more = divide(spare, open.len() as u32);
        let open = open.into_iter().zip(more);
        open.map(|(shortfall, more)| autoscaler::Shortfall {
            window: window.name.clone(),
            tasks: shortfall.tasks + more,
            spec: window_spec(window, shortfall.zone, shortfall.kind),
        })
        .collect()
    }
}

/// Returns a job description for a window's tasks, which the fleet plan packs.
fn window_spec(window: &Window, zone: Option<Zone>, kind: TypeChoice) -> Rc<JobSpec> {
    Rc::new(JobSpec {
        class: Arc::from(window.classes.first().map_or("", |c| c.as_str())),
        team: Arc::from(window.team.as_str()),
        kind: Kind::Array,
        priority: Priority::Normal,
        tasks: window.tasks,
        each: window.each(),
        image: Image::from(window.images.first().map_or("", |i| i.as_str())),
        image_gb: 0.0,
        types: match kind {
            TypeChoice::Any => None,
            TypeChoice::Named(kind) => Some(vec![kind]),
        },
        zone,
        one_zone: false,
        spread: false,
        // Reserved capacity must be on machines that the cloud does not reclaim.
        spot: false,
        estimate_s: f64::from(window.lasts_s),
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        placement: None,
        extension: None,
    })
}
