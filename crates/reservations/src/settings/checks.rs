//! What of a calendar can't be, by the controllers' settings and the cloud.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{Amount, MachineType};

use super::{Calendar, Window};
use crate::when::Span;

impl Window {
    /// What all its tasks take together.
    fn all_tasks(&self) -> Amount {
        self.each().times(i64::from(self.tasks))
    }

    /// It can't be, as this field is.
    fn refused(&self, field: &'static str, reason: String) -> WindowError {
        WindowError {
            window: self.name.clone(),
            field,
            reason,
        }
    }
}

/// What of the controllers' settings and the cloud a calendar is checked by.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Each team's limit; memory is not limited.
    pub teams: BTreeMap<String, Amount>,
    /// Zones; not checked if empty.
    pub zones: BTreeSet<String>,
    /// Machine types; not checked if empty.
    pub types: Vec<MachineType>,
    /// The time of day: overlaps are looked for from then on.
    pub now_ms: i64,
}

/// How far ahead overlaps are looked for, in milliseconds: five weeks, in which
/// all weekdays meet, also over a month's end.
const OVERLAP_HORIZON_MS: i64 = 35 * 86_400_000;

/// The most occurrences of a window that overlaps are looked for among, so that
/// `every = "1s"` is checked as fast as any.
const MAX_OCCURRENCES: usize = 400;

fn occurrences(window: &Window, now_ms: i64) -> impl Iterator<Item = Span> + '_ {
    std::iter::successors(window.current_or_next(now_ms), |span| {
        window.next(span.start_ms)
    })
    .take_while(move |span| span.start_ms < now_ms + OVERLAP_HORIZON_MS)
    .take(MAX_OCCURRENCES)
}

/// A window that can't be as it is: one line that names it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("window {window:?}: {field}: {reason}")]
pub struct WindowError {
    /// The window's name.
    pub window: String,
    /// The field that is to be changed.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// What can't be, by the controllers' settings; one line that names the window.
///
/// # Errors
///
/// The first window that these settings do not allow, and why.
pub fn check(calendar: &Calendar, known: &Known) -> Result<(), WindowError> {
    check_windows(&calendar.windows, known)
}

/// The same for windows that are pinned one by one.
///
/// # Errors
///
/// As [`check`].
pub fn check_windows(windows: &[Window], known: &Known) -> Result<(), WindowError> {
    for window in windows {
        check_window(window, known)?;
    }
    for (team, limit) in &known.teams {
        overlaps(windows, team, *limit, known.now_ms)?;
    }
    Ok(())
}

/// What can't be of a window by itself.
fn check_window(window: &Window, known: &Known) -> Result<(), WindowError> {
    let Some(limit) = known.teams.get(&window.team) else {
        return Err(window.refused("team", format!("there is no team {:?}", window.team)));
    };
    check_names(window, known)?;
    check_task_fits(window, known)?;
    check_limit(window, *limit)?;
    check_own_overlap(window, known.now_ms)
}

/// All zones and machine types that it names are there.
fn check_names(window: &Window, known: &Known) -> Result<(), WindowError> {
    let mut zones = window.zones.iter();
    if let Some(zone) = zones.find(|z| !known.zones.is_empty() && !known.zones.contains(*z)) {
        return Err(window.refused("zones", format!("there is no zone {zone:?}")));
    }
    let named = |name: &String| known.types.iter().any(|t| t.name.as_str() == name);
    let mut types = window.types.iter();
    if let Some(name) = types.find(|t| !known.types.is_empty() && !named(t)) {
        return Err(window.refused("types", format!("there is no machine type {name:?}")));
    }
    Ok(())
}

/// A task fits some machine type that it allows, in each of its zones.
fn check_task_fits(window: &Window, known: &Known) -> Result<(), WindowError> {
    if known.types.is_empty() {
        return Ok(());
    }
    let fits = |zone: Option<&String>| {
        known.types.iter().any(|t| {
            window.each().fits(t.total)
                && (window.types.is_empty() || window.types.iter().any(|n| n == t.name.as_str()))
                && zone.is_none_or(|z| t.zones.iter().any(|has| has.as_str() == z))
        })
    };
    if !fits(None) {
        let reason = "a task fits no machine type that it allows".into();
        return Err(window.refused("cpus", reason));
    }
    match window.zones.iter().find(|z| !fits(Some(z))) {
        None => Ok(()),
        Some(zone) => {
            let reason = format!("in {zone:?} a task fits no machine type that it allows");
            Err(window.refused("zones", reason))
        }
    }
}

/// All its tasks together are within its team's limit.
fn check_limit(window: &Window, limit: Amount) -> Result<(), WindowError> {
    let needs = window.all_tasks();
    if needs.fits_team(limit) {
        return Ok(());
    }
    let reason = format!(
        "it holds {}, the limit of team {:?} is {}",
        shown(needs),
        window.team,
        shown(limit)
    );
    Err(window.refused("tasks", reason))
}

/// It ends before it begins again. One that is over has nothing to overlap: a file isn't
/// wrong because time has passed, or no controller would start again with it.
fn check_own_overlap(window: &Window, now_ms: i64) -> Result<(), WindowError> {
    let Some(first) = window.current_or_next(now_ms) else {
        return Ok(());
    };
    let second = window.next(first.start_ms);
    if second.is_some_and(|second| second.meets(first)) {
        return Err(window.refused("lasts_s", "it begins again before it ends".into()));
    }
    Ok(())
}

/// The first window that won't happen any more; for whoever has just written
/// the file, as [`check`] lets it pass.
///
/// # Errors
///
/// The first window that never happens again.
pub fn past(calendar: &Calendar, now_ms: i64) -> Result<(), WindowError> {
    let over = |w: &&Window| w.current_or_next(now_ms).is_none();
    match calendar.windows.iter().find(over) {
        None => Ok(()),
        Some(window) => Err(window.refused("when", "it is over".into())),
    }
}

fn shown(amount: Amount) -> String {
    let units = |milli: i64| milli as f64 / 1000.0;
    format!("{} CPUs and {} GPUs", units(amount.cpu), units(amount.gpu))
}

/// A window's beginning or end.
struct Edge<'a> {
    /// In milliseconds of the time of day.
    at_ms: i64,
    begins: bool,
    window: &'a Window,
}

fn edges_of(window: &Window, now_ms: i64) -> impl Iterator<Item = Edge<'_>> {
    occurrences(window, now_ms).flat_map(move |span| {
        let edge = |at_ms, begins| Edge {
            at_ms,
            begins,
            window,
        };
        [edge(span.start_ms, true), edge(span.end_ms, false)]
    })
}

/// Goes through beginnings and ends of all of a team's occurrences in order of
/// time, ends first, with what is reserved then.
fn overlaps(windows: &[Window], team: &str, limit: Amount, now_ms: i64) -> Result<(), WindowError> {
    let own = windows.iter().filter(|w| w.team == team);
    let mut edges: Vec<Edge> = own.flat_map(|w| edges_of(w, now_ms)).collect();
    edges.sort_by_key(|e| (e.at_ms, e.begins, &e.window.name));
    let mut reserved = Amount::default();
    let mut open: Vec<&str> = Vec::new();
    for Edge { begins, window, .. } in edges {
        let needs = window.all_tasks();
        if !begins {
            reserved -= needs;
            open.retain(|name| *name != window.name);
            continue;
        }
        reserved += needs;
        if !reserved.fits_team(limit) {
            let reason = format!(
                "together with {} it holds {}, the limit of team {team:?} is {}",
                open.join(", "),
                shown(reserved),
                shown(limit)
            );
            return Err(window.refused("tasks", reason));
        }
        open.push(&window.name);
    }
    Ok(())
}
