//! What windows of the release calendar lack: what is rented for them, left to them
//! and said of them.

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

/// The same shortage is said again in the log after so many seconds.
const SHORT_AGAIN_S: f64 = 30.0;
/// One whose cause reads otherwise is, after so many: a number that changes is not said
/// each second.
const SHORT_CHANGED_S: f64 = 5.0;

/// What a window lacks in one zone.
struct ZoneShortfall {
    /// The zone; none: any.
    zone: Option<Zone>,
    /// How many tasks it is for.
    tasks: u32,
    /// What to ask for.
    kind: TypeChoice,
}

impl Core {
    /// Of several shards each holds its part, and a job is homed in one: what waits
    /// of a window's work is left to the others, to each as much as it holds.
    pub(super) fn leave_to_reservations(&self, waiting: &[Waiting]) -> Vec<Delegated> {
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

    /// Says in the log what windows lack, when that changes and now and then.
    pub(super) fn log_shortage(&mut self, now: Time) {
        if !self.keeps_calendar() {
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
                passed_s >= SHORT_AGAIN_S || logged.why != next.why && passed_s >= SHORT_CHANGED_S
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

    /// What operators are shown.
    pub fn windows_shown(&self, now_ms: i64) -> Vec<WindowShown> {
        let mut shown = Vec::new();
        for (name, watch) in &self.windows.watched {
            let Some(seen) = &watch.seen else { continue };
            let records = watch.record_values();
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

    /// What windows lack that is to be rented.
    pub(super) fn shortfalls(&self, now: Time) -> Vec<autoscaler::Shortfall> {
        if self.windows.watched.is_empty() || !self.knows_machines(now) {
            return Vec::new();
        }
        let entries = self.windows.watched.values().map(|w| w.entry.as_ref());
        let windows = entries.flatten().map(|entry| &entry.window);
        windows.flat_map(|w| self.shortfalls_of(w, now)).collect()
    }

    /// Whether it is known which machines there are: what a former owner rented would be
    /// rented again before.
    fn knows_machines(&self, now: Time) -> bool {
        // A list is late by twice its usual lag at most (PROTOCOL).
        let listed = self.failover.age_s(now) > 2.0 * self.cfg.list_lag_s + 2.0;
        let recovering = self.failover.age_s(now) <= self.cfg.silent_s();
        let unfenced = recovering && self.agents.any_staying_unfenced();
        listed && !unfenced
    }

    /// What a window lacks, by zone. Where nothing is to be had, other zones have it
    /// meanwhile.
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
            spec: spec_of(window, shortfall.zone, shortfall.kind),
        })
        .collect()
    }
}

/// What a window's task takes, for the plan of the fleet.
fn spec_of(window: &Window, zone: Option<Zone>, kind: TypeChoice) -> Rc<JobSpec> {
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
        // Reserved capacity is on machines that stay.
        spot: false,
        estimate_s: f64::from(window.lasts_s),
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        placement: None,
        extension: None,
    })
}
