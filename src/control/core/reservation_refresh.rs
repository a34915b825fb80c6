//! Brings windows of the release calendar up to date: their entries and records, what is
//! seen of them, and what this owner holds for them.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use sorrelhinge_reservations::plan::{divide, steps, Clock, Seen};
use sorrelhinge_reservations::record::CalendarRecord;
use sorrelhinge_reservations::settings::Window;

use super::reservation_supply::QuotaHeadroom;
use super::reservation_usage::ReservationUsage;
use super::reservations::Watch;
use super::Core;
use crate::scheduler::{Lending, Reservation};
use crate::state::record::WindowOccurrence;
use crate::state::view::View;
use crate::types::{Amount, Time};

/// A machine that takes this many usual boots is slow, and one that takes longer
/// is given up.
const SLOW_BOOTS: f64 = 2.5;
/// A task that is to stop is told within two heartbeats at the worst.
const STOP_HEARTBEATS: f64 = 2.0;
/// How many machines of a type and zone are asked for a second.
const REQUESTED_AT_ONCE: f64 = 50.0;
/// A machine that fetches more slowly, in GB a second, is taken to fetch at this rate.
const MIN_FETCH_GB_PER_S: f64 = 1e-3;
/// Milliseconds in a second.
const MS_PER_S: i64 = 1000;

impl Core {
    /// Looks at all windows: their records, what is there, what is to be held.
    /// Without a calendar, and while its record is of a later version, nothing
    /// differs. A new owner does this before its first decision, so it gives back
    /// no warm machine and lends no reserved capacity.
    pub fn refresh_windows(&mut self, view: &View, wall_ms: i64, now: Time) {
        if self.cfg.calendar.is_none() {
            return;
        }
        let Some(calendar) = view.calendar.value.as_ref().filter(|c| c.known()) else {
            return;
        };
        update_watches(&mut self.windows.watched, calendar, view, now);
        let clock = Clock {
            now_ms: wall_ms,
            off_ms: self.cfg.clock_off_ms as i64,
        };
        self.reserve_windows(view, clock, now);
        self.log_shortage(now);
    }

    /// Sees what there is for each window, and holds what is to be held here.
    fn reserve_windows(&mut self, view: &View, clock: Clock, now: Time) {
        let mut watched = std::mem::take(&mut self.windows.watched);
        let usage = self.reservation_usage(watched.values(), view);
        let mut reservations = Vec::new();
        for (name, watch) in &mut watched {
            let window = usage.window(name);
            let seen = self.see(watch, window, &usage, now);
            let records = watch.record_values();
            watch.plan = steps(window.map(|w| &**w), &records, &seen, clock);
            let hold = self.reserve_here(watch, window, clock, now);
            watch.seen = Some(seen);
            reservations.extend(hold);
        }
        self.windows.watched = watched;
        self.cluster_state.set_reservations(reservations, now);
    }

    /// What there is for a window now; none: it was taken out of the calendar.
    fn see(
        &self,
        watch: &mut Watch,
        window: Option<&Rc<Window>>,
        usage: &ReservationUsage,
        now: Time,
    ) -> Seen {
        let each = window.map_or(Amount::default(), |w| w.each());
        let work = window.and_then(|w| usage.of_window(w));
        let used = work.map_or(0, |w| tasks_of(w.used, each));
        let waiting = work.map_or(0, |w| w.waiting);
        if used > 0 || waiting > 0 {
            watch.busy_at = now;
        }
        let name = window.map_or("", |w| &w.name);
        let here = self.cluster_state.reservation_of(name).unwrap_or_default();
        // Of several shards each has about the same.
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
            idle_s: now.since(watch.busy_at),
            boot_s: supply.boot_s,
            slow_boot_s: SLOW_BOOTS * supply.slowest_boot_s,
            fetch_s: gb / supply.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            rent_per_s: f64::from(supply.tasks_per_machine) * REQUESTED_AT_ONCE,
            refused: window.and_then(|w| self.refused_for(w, &here, watch.pending_tasks, now)),
        }
    }

    /// What of a window is to be held by this shard.
    fn reserve_here(
        &self,
        watch: &Watch,
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

    /// This shard's part of the tasks whose capacity is reserved, never beyond its part of the
    /// team's limit.
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

    /// What reserved capacity may be lent to until the window begins.
    fn lending(&self, window: &Window, start_ms: i64, clock: Clock, now: Time) -> Lending {
        let early_ms = i64::from(window.early_s) * MS_PER_S;
        let left_s = (start_ms - early_ms - clock.latest_ms()) as f64 / MS_PER_S as f64;
        let classes = window.classes.iter();
        let objectives = classes.map(|c| self.cfg.start_objectives.get(c.as_str()).copied());
        // A class without an objective may not wait at all.
        let wait_s = objectives
            .map(|a| a.unwrap_or(0.0))
            .fold(f64::INFINITY, f64::min);
        Lending {
            until: now.after(left_s),
            stop_s: STOP_HEARTBEATS * self.cfg.heartbeat_s,
            wait_s: if wait_s.is_finite() { wait_s } else { 0.0 },
        }
    }
}

/// Takes in the calendar's entries and the recorded occurrences; a window of which
/// neither is left is forgotten.
fn update_watches(
    watched: &mut BTreeMap<String, Watch>,
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
            .or_insert_with(|| Watch::new(now));
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

/// How many tasks that take `each` use so much, rounded up.
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
