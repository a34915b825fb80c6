//! Checks of a calendar against the controllers' settings and the cloud's machine types.

use std::collections::{BTreeMap, BTreeSet};

use sorrelhinge_protocol::types::{Amount, MachineType};

use super::{Calendar, Window};
use crate::when::Span;

impl Window {
    /// Returns the resources that all tasks of the window need together.
    fn all_tasks(&self) -> Amount {
        self.each().times(i64::from(self.tasks))
    }

    /// Builds the error that rejects the window because of one field.
    fn rejected(&self, field: &'static str, reason: String) -> WindowError {
        WindowError {
            window: self.name.clone(),
            field,
            reason,
        }
    }
}

/// Facts about the controllers' settings and the cloud against which a calendar is checked.
#[derive(Clone, Debug, Default)]
pub struct Known {
    /// Limit of each team, keyed by the team's name. Memory is not limited.
    pub teams: BTreeMap<String, Amount>,
    /// Existing zones. If the set is empty, the zones of windows are not checked.
    pub zones: BTreeSet<String>,
    /// Existing machine types. If the list is empty, the machine types of windows are not
    /// checked.
    pub types: Vec<MachineType>,
    /// Current Unix time in milliseconds. The search for overlapping windows begins then.
    pub now_ms: i64,
}

/// Time in milliseconds that the search for overlapping windows covers. The time is five
/// weeks, in which all weekdays coincide, also across the end of a month.
const OVERLAP_HORIZON_MS: i64 = 35 * 86_400_000;

/// Maximum number of occurrences of a window that the search for overlaps covers. The limit
/// keeps the check of `every = "1s"` as fast as any other.
const MAX_OCCURRENCES: usize = 400;

fn occurrences(window: &Window, now_ms: i64) -> impl Iterator<Item = Span> + '_ {
    std::iter::successors(window.current_or_next(now_ms), |span| {
        window.next(span.start_ms)
    })
    .take_while(move |span| span.start_ms < now_ms + OVERLAP_HORIZON_MS)
    .take(MAX_OCCURRENCES)
}

/// Error in a window. The text is one line that names the window and the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("window {window:?}: {field}: {reason}")]
pub struct WindowError {
    /// Name of the rejected window.
    pub window: String,
    /// Name of the field that the operator must change.
    pub field: &'static str,
    /// Reason why the value of the field is rejected.
    pub reason: String,
}

/// Checks all windows of a calendar against the controllers' settings and the cloud.
///
/// # Errors
///
/// Returns an error for the first window that these settings do not allow. Its text is one
/// line that names the window and the reason.
pub fn check(calendar: &Calendar, known: &Known) -> Result<(), WindowError> {
    check_windows(&calendar.windows, known)
}

/// Checks a list of windows like [`check`]. Operators' pins use this function, because they
/// add windows one by one.
///
/// # Errors
///
/// Returns the same errors as [`check`].
pub fn check_windows(windows: &[Window], known: &Known) -> Result<(), WindowError> {
    for window in windows {
        check_window(window, known)?;
    }
    for (team, limit) in &known.teams {
        overlaps(windows, team, *limit, known.now_ms)?;
    }
    Ok(())
}

/// Checks one window without regard to the other windows.
fn check_window(window: &Window, known: &Known) -> Result<(), WindowError> {
    let Some(limit) = known.teams.get(&window.team) else {
        return Err(window.rejected("team", format!("there is no team {:?}", window.team)));
    };
    check_names(window, known)?;
    check_task_fits(window, known)?;
    check_limit(window, *limit)?;
    check_own_overlap(window, known.now_ms)
}

/// Checks that all zones and machine types that the window names exist.
fn check_names(window: &Window, known: &Known) -> Result<(), WindowError> {
    let mut zones = window.zones.iter();
    if let Some(zone) = zones.find(|z| !known.zones.is_empty() && !known.zones.contains(*z)) {
        return Err(window.rejected("zones", format!("there is no zone {zone:?}")));
    }
    let named = |name: &String| known.types.iter().any(|t| t.name.as_str() == name);
    let mut types = window.types.iter();
    if let Some(name) = types.find(|t| !known.types.is_empty() && !named(t)) {
        return Err(window.rejected("types", format!("there is no machine type {name:?}")));
    }
    Ok(())
}

/// Checks that a task of the window fits some machine type that the window allows, in each of
/// the window's zones.
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
        return Err(window.rejected("cpus", reason));
    }
    match window.zones.iter().find(|z| !fits(Some(z))) {
        None => Ok(()),
        Some(zone) => {
            let reason = format!("in {zone:?} a task fits no machine type that it allows");
            Err(window.rejected("zones", reason))
        }
    }
}

/// Checks that all tasks of the window together are within the limit of its team.
fn check_limit(window: &Window, limit: Amount) -> Result<(), WindowError> {
    let needs = window.all_tasks();
    if needs.fits_team(limit) {
        return Ok(());
    }
    let reason = format!(
        "it holds {}, the limit of team {:?} is {}",
        cpus_and_gpus(needs),
        window.team,
        cpus_and_gpus(limit)
    );
    Err(window.rejected("tasks", reason))
}

/// Checks that each occurrence of the window ends before the next one begins. A window whose
/// last occurrence is over passes. If the passing of time made a file invalid, no controller
/// could restart with it.
fn check_own_overlap(window: &Window, now_ms: i64) -> Result<(), WindowError> {
    let Some(first) = window.current_or_next(now_ms) else {
        return Ok(());
    };
    let second = window.next(first.start_ms);
    if second.is_some_and(|second| second.meets(first)) {
        return Err(window.rejected("lasts_s", "it begins again before it ends".into()));
    }
    Ok(())
}

/// Checks that each window of a calendar has a current or future occurrence. The command that
/// checks an operator's new file calls this function, because [`check`] accepts past windows.
///
/// # Errors
///
/// Returns an error for the first window that has no current or future occurrence.
pub fn past(calendar: &Calendar, now_ms: i64) -> Result<(), WindowError> {
    let over = |w: &&Window| w.current_or_next(now_ms).is_none();
    match calendar.windows.iter().find(over) {
        None => Ok(()),
        Some(window) => Err(window.rejected("when", "it is over".into())),
    }
}

fn cpus_and_gpus(amount: Amount) -> String {
    let units = |milli: i64| milli as f64 / 1000.0;
    format!("{} CPUs and {} GPUs", units(amount.cpu), units(amount.gpu))
}

/// Start or end of one occurrence of a window.
struct Edge<'a> {
    /// Unix time in milliseconds at which the occurrence begins or ends.
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

/// Checks that the windows of a team never exceed the team's limit together. The function
/// adds up the reserved capacity over the starts and ends of all occurrences in order of
/// time. At equal times, ends come first.
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
                cpus_and_gpus(reserved),
                cpus_and_gpus(limit)
            );
            return Err(window.rejected("tasks", reason));
        }
        open.push(&window.name);
    }
    Ok(())
}
