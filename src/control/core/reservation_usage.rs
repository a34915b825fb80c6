//! This module counts the used capacity and the waiting tasks of each window of the release
//! calendar, and the other usage of the teams.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_reservations::settings::Window;

use super::reservations::WatchedWindow;
use super::Core;
use crate::state::record::Phase;
use crate::state::view::View;
use crate::types::{Amount, JobSpec};

/// Window that the calendar lists now.
pub(super) struct ActiveWindow {
    pub(super) window: Rc<Window>,
    /// Whether capacity is reserved for the window, by its records.
    pub(super) reserved: bool,
}

/// Usage and waiting tasks of one window.
#[derive(Default)]
pub(super) struct WindowWork {
    /// Resources that the window's tasks use.
    pub(super) used: Amount,
    /// Number of the window's tasks that wait.
    pub(super) waiting: u32,
}

/// Work in all shards, grouped by window.
#[derive(Default)]
pub(super) struct ReservationUsage {
    /// Windows by which the work is grouped.
    pub(super) active: Vec<ActiveWindow>,
    /// Work of each window by the window's name.
    by_window: BTreeMap<String, WindowWork>,
    /// Resources that each team uses for work outside of windows.
    outside: BTreeMap<String, Amount>,
}

impl ReservationUsage {
    /// Creates an empty count for the windows that the calendar lists now.
    fn new<'a>(watched: impl Iterator<Item = &'a WatchedWindow>) -> Self {
        let active = watched.filter_map(|watch| {
            Some(ActiveWindow {
                window: Rc::new(watch.entry.as_ref()?.window.clone()),
                reserved: watch.first_reserved_ms().is_some(),
            })
        });
        Self {
            active: active.collect(),
            ..Self::default()
        }
    }

    /// Returns the window of a name, if the calendar lists it now.
    pub(super) fn window(&self, name: &str) -> Option<&Rc<Window>> {
        let mut active = self.active.iter().map(|a| &a.window);
        active.find(|w| w.name == name)
    }

    /// Returns the work of a window. Returns `None` if the window has no work.
    pub(super) fn work_of(&self, window: &Window) -> Option<&WindowWork> {
        self.by_window.get(&window.name)
    }

    /// Returns the resources that a team uses for work outside of windows.
    pub(super) fn used_outside_windows(&self, team: &str) -> Amount {
        self.outside.get(team).copied().unwrap_or_default()
    }

    /// Adds a job's claims and waiting tasks to each window that matches the job.
    fn add(&mut self, spec: &JobSpec, claims: u32, waiting: u32) {
        let used = spec.each.times(i64::from(claims));
        let mut matched = false;
        let active = self.active.iter().map(|a| &a.window);
        for window in active.filter(|w| w.is_for(&spec.team, &spec.class)) {
            matched = true;
            let work = self.by_window.entry(window.name.clone()).or_default();
            work.used += used;
            work.waiting += waiting;
        }
        if !matched {
            *self.outside.entry(spec.team.to_string()).or_default() += used;
        }
    }
}

impl Core {
    /// Counts the usage and the waiting tasks of each window, and the other usage of each team.
    /// With several shards it counts the records, because one owner sees only its own claims.
    pub(super) fn reservation_usage<'a>(
        &self,
        watched: impl Iterator<Item = &'a WatchedWindow>,
        view: &View,
    ) -> ReservationUsage {
        let mut usage = ReservationUsage::new(watched);
        if self.scope.is_part() {
            add_recorded(&mut usage, view);
        } else {
            self.add_known_work(&mut usage);
        }
        usage
    }

    /// Adds the jobs that this owner has in memory.
    fn add_known_work(&self, usage: &mut ReservationUsage) {
        for job in self.cluster_state.jobs().values() {
            let waiting = if job.cancelled { 0 } else { job.open() };
            usage.add(&job.spec, job.tasks.claims().len() as u32, waiting);
        }
    }
}

/// Adds the jobs of all shards from their records.
fn add_recorded(usage: &mut ReservationUsage, view: &View) {
    for (id, entry) in view.jobs() {
        let record = &entry.record.value;
        let Some(spec) = record.spec.as_ref().filter(|_| record.phase != Phase::Done) else {
            continue;
        };
        let claims: u32 = entry.all_chunks().map(|(_, c)| c.claims.len() as u32).sum();
        let done: u32 = entry.all_chunks().map(|(_, c)| c.done.count_ones()).sum();
        let waiting = match record.phase {
            Phase::Live if !view.is_ready(id) => 0,
            Phase::Live => record.tasks.saturating_sub(claims + done),
            Phase::Done | Phase::Cancelled => 0,
        };
        usage.add(spec, claims, waiting);
    }
}
