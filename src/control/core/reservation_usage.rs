//! What work of the calendar's windows, and other work of their teams, takes and waits
//! for.

use std::collections::BTreeMap;
use std::rc::Rc;

use sorrelhinge_reservations::settings::Window;

use super::reservations::Watch;
use super::Core;
use crate::state::record::Phase;
use crate::state::view::View;
use crate::types::{Amount, JobSpec};

/// A window that the calendar has now.
pub(super) struct ActiveWindow {
    /// The window.
    pub(super) window: Rc<Window>,
    /// Capacity is reserved for it, by its records.
    pub(super) reserved: bool,
}

/// Work of one window.
#[derive(Default)]
pub(super) struct WindowWork {
    /// What it uses.
    pub(super) used: Amount,
    /// How many of its tasks wait.
    pub(super) waiting: u32,
}

/// Work by the window that it is for, in all shards.
#[derive(Default)]
pub(super) struct ReservationUsage {
    /// The windows by which it was counted.
    pub(super) active: Vec<ActiveWindow>,
    /// Work of each window by its name.
    by_window: BTreeMap<String, WindowWork>,
    /// What each team's other work uses.
    outside: BTreeMap<String, Amount>,
}

impl ReservationUsage {
    /// Nothing counted yet, for the windows that the calendar has now.
    fn new<'a>(watched: impl Iterator<Item = &'a Watch>) -> Self {
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

    /// The window of a name, if the calendar has it now.
    pub(super) fn window(&self, name: &str) -> Option<&Rc<Window>> {
        let mut active = self.active.iter().map(|a| &a.window);
        active.find(|w| w.name == name)
    }

    /// Work of a window; none: it has none.
    pub(super) fn of_window(&self, window: &Window) -> Option<&WindowWork> {
        self.by_window.get(&window.name)
    }

    /// What a team uses for work of no window.
    pub(super) fn outside(&self, team: &str) -> Amount {
        self.outside.get(team).copied().unwrap_or_default()
    }

    /// Adds a job's claims, and how many of its tasks wait, to each window that it is for.
    fn add(&mut self, spec: &JobSpec, claims: u32, waiting: u32) {
        let used = spec.each.times(i64::from(claims));
        let mut among = false;
        let active = self.active.iter().map(|a| &a.window);
        for window in active.filter(|w| w.is_for(&spec.team, &spec.class)) {
            among = true;
            let work = self.by_window.entry(window.name.clone()).or_default();
            work.used += used;
            work.waiting += waiting;
        }
        if !among {
            *self.outside.entry(spec.team.to_string()).or_default() += used;
        }
    }
}

impl Core {
    /// Counts what each window's work takes and how much of it waits, and what each
    /// team's other work uses. Of several shards by the records, as one owner sees its
    /// own claims only.
    pub(super) fn reservation_usage<'a>(
        &self,
        watched: impl Iterator<Item = &'a Watch>,
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

    /// Adds the jobs that this owner knows.
    fn add_known_work(&self, usage: &mut ReservationUsage) {
        for job in self.cluster_state.jobs().values() {
            let waiting = if job.cancelled || job.suspected_faulty {
                0
            } else {
                job.tasks.pending()
            };
            usage.add(&job.spec, job.tasks.claims().len() as u32, waiting);
        }
    }
}

/// Adds the jobs as recorded.
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
