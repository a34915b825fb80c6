//! This module refreshes the windows of the release calendar: their entries, their records, the
//! observed capacity, and the capacity that this owner reserves for them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use sorrelhinge_reservations::plan::{divide, steps, Clock, Seen};
use sorrelhinge_reservations::record::CalendarRecord;
use sorrelhinge_reservations::settings::Window;

use super::reservation_supply::QuotaHeadroom;
use super::reservation_usage::ReservationUsage;
use super::reservations::WatchedWindow;
use super::Core;
use crate::scheduler::{Lending, Reservation};
use crate::state::record::WindowOccurrence;
use crate::state::view::View;
use crate::types::{Amount, Time};

/// Multiple of the usual boot time that a slow machine takes. A machine that takes longer is
/// deleted.
const SLOW_BOOT_FACTOR: f64 = 2.5;
/// Number of heartbeats within which a task receives its stop command in the worst case.
const STOP_DELIVERY_HEARTBEATS: f64 = 2.0;
/// Number of machines of one type and zone that are requested per second.
const MACHINES_REQUESTED_PER_S: f64 = 50.0;
/// Lower bound of a machine's fetch rate in planning, in GB per second.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;
const MS_PER_S: i64 = 1000;

impl Core {
    /// Refreshes all windows: their records, their observed capacity and their reservations.
    /// Without a calendar, or with a calendar record of a later version, nothing changes. A new
    /// owner calls this before its first decision, so it neither deletes a warm machine nor
    /// lends reserved capacity.
    pub fn refresh_windows(&mut self, view: &View, wall_ms: i64, now: Time) {
        if self.cfg.calendar.is_none() {
            return;
        }
        let Some(calendar) = view.calendar.value.as_ref().filter(|c| c.known()) else {
            return;
        };
        update_windows(&mut self.windows.watched, calendar, view, now);
        let clock = Clock {
            now_ms: wall_ms,
            off_ms: self.cfg.clock_off_ms as i64,
        };
        self.reserve_windows(view, clock, now);
        self.log_shortage(now);
    }

    /// Observes the capacity of each window and sets the reservations of this shard.
    fn reserve_windows(&mut self, view: &View, clock: Clock, now: Time) {
        let mut watched = std::mem::take(&mut self.windows.watched);
        let usage = self.reservation_usage(watched.values(), view);
        let mut reservations = Vec::new();
        for (name, watch) in &mut watched {
            let window = usage.window(name);
            let seen = self.observe(watch, window, &usage, now);
            let records = watch.records_by_start();
            watch.plan = steps(window.map(|w| &**w), &records, &seen, clock);
            let hold = self.reserve_here(watch, window, clock, now);
            watch.seen = Some(seen);
            reservations.extend(hold);
        }
        self.windows.watched = watched;
        self.cluster_state.set_reservations(reservations, now);
    }

    /// Returns the observed state of a window. `window` is `None` if the calendar no longer
    /// lists it.
    fn observe(
        &self,
        watch: &mut WatchedWindow,
        window: Option<&Rc<Window>>,
        usage: &ReservationUsage,
        now: Time,
    ) -> Seen {
        let each = window.map_or(Amount::default(), |w| w.each());
        let work = window.and_then(|w| usage.work_of(w));
        let used = work.map_or(0, |w| tasks_of(w.used, each));
        let waiting = work.map_or(0, |w| w.waiting);
        if used > 0 || waiting > 0 {
            watch.last_busy_at = now;
        }
        let name = window.map_or("", |w| &w.name);
        let here = self.cluster_state.reservation_of(name).unwrap_or_default();
        // Each of several shards has about the same capacity, so this shard's numbers are
        // extrapolated to all.
        let shards = self.scope.of.max(1);
        let in_all_shards = |tasks: u32| tasks.saturating_mul(shards);
        let headroom =
            window.map_or_else(QuotaHeadroom::default, |w| self.quota_headroom(w, usage));
        let supply = self.supply(window, each);
        let gb: f64 = window.map_or(0.0, |w| w.images.iter().map(|i| self.image_gb(i)).sum());
        Seen {
            asked: used + in_all_shards(here.reserved_tasks) + in_all_shards(watch.pending_tasks),
            ready: used + in_all_shards(here.free),
            used,
            waiting,
            fits: headroom.tasks,
            gives_way_to: headroom.gives_way_to,
            idle_s: now.since(watch.last_busy_at),
            boot_s: supply.boot_s,
            slow_boot_s: SLOW_BOOT_FACTOR * supply.slowest_boot_s,
            fetch_s: gb / supply.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            rent_per_s: f64::from(supply.tasks_per_machine) * MACHINES_REQUESTED_PER_S,
            refused: window.and_then(|w| self.refused_for(w, &here, watch.pending_tasks, now)),
        }
    }

    /// Returns this shard's part of a window's reservation.
    fn reserve_here(
        &self,
        watch: &WatchedWindow,
        window: Option<&Rc<Window>>,
        clock: Clock,
        now: Time,
    ) -> Option<Reservation> {
        let window = window.filter(|_| watch.plan.reserved_tasks > 0)?;
        let mut teams = self.cfg.teams.iter();
        let team = teams.position(|t| *t.name == *window.team)?;
        let start_ms = watch.first_reserved_ms()?;
        Some(Reservation {
            window: window.clone(),
            team,
            tasks: self.tasks_reserved_here(window, team, watch.plan.reserved_tasks),
            lending: self.lending(window, start_ms, clock, now),
        })
    }

    /// Returns this shard's part of the tasks whose capacity is reserved, at most what its part
    /// of the team's limit allows.
    fn tasks_reserved_here(&self, window: &Window, team: usize, tasks: u32) -> u32 {
        if !self.scope.is_part() {
            return tasks;
        }
        let parts = divide(tasks, self.scope.of);
        let part = parts.get(self.scope.shard.0 as usize).copied();
        let team = &self.cluster_state.teams()[team];
        let hold = self.cluster_state.reservation_of(&window.name);
        let mine = hold.map_or(0, |h| h.used);
        let left = Amount {
            ram: i64::MAX,
            ..team.limit - team.used
        };
        let limit = mine.saturating_add(window.each().how_many(left));
        part.unwrap_or(0).min(limit)
    }

    /// Returns the rule for lending reserved capacity until the window begins.
    fn lending(&self, window: &Window, start_ms: i64, clock: Clock, now: Time) -> Lending {
        let early_ms = i64::from(window.early_s) * MS_PER_S;
        let left_s = (start_ms - early_ms - clock.latest_ms()) as f64 / MS_PER_S as f64;
        let classes = window.classes.iter();
        let objectives = classes.map(|c| self.cfg.start_objectives.get(c.as_str()).copied());
        // Work of a class without a start objective may not wait at all.
        let wait_s = objectives
            .map(|a| a.unwrap_or(0.0))
            .fold(f64::INFINITY, f64::min);
        Lending {
            until: now.after(left_s),
            stop_s: STOP_DELIVERY_HEARTBEATS * self.cfg.heartbeat_s,
            wait_s: if wait_s.is_finite() { wait_s } else { 0.0 },
        }
    }
}

/// Updates the windows from the calendar's entries and the recorded occurrences. Removes a
/// window that has neither.
fn update_windows(
    watched: &mut BTreeMap<String, WatchedWindow>,
    calendar: &CalendarRecord,
    view: &View,
    now: Time,
) {
    let listed = calendar.entries.iter().map(|e| &e.window.name);
    let recorded = view.windows.keys().map(|occurrence| &occurrence.window);
    let names: BTreeSet<&String> = listed.chain(recorded).collect();
    watched.retain(|name, _| names.contains(name));
    for name in names {
        let watch = watched
            .entry(name.clone())
            .or_insert_with(|| WatchedWindow::new(now));
        let mut entries = calendar.entries.iter();
        watch.entry = entries.find(|e| e.window.name == *name).cloned();
        let from = WindowOccurrence {
            window: name.clone(),
            start_ms: i64::MIN,
        };
        let records = view.windows.range(from..);
        let records = records.take_while(|(occurrence, _)| occurrence.window == *name);
        watch.records = records
            .map(|(occurrence, r)| (occurrence.start_ms, r.clone()))
            .collect();
    }
}

/// Returns the number of tasks of size `each` that use the amount `used`, rounded up.
fn tasks_of(used: Amount, each: Amount) -> u32 {
    let of = |used: i64, each: i64| match each {
        0 => 0,
        each => (used.max(0) + each - 1) / each,
    };
    let max = of(used.cpu, each.cpu)
        .max(of(used.gpu, each.gpu))
        .max(of(used.ram, each.ram));
    u32::try_from(max).unwrap_or(u32::MAX)
}
