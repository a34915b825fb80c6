//! State of the calendar for operators: the JSON of the operators' API and of `--json`, and
//! the table that `calendar show` prints.

use std::collections::BTreeMap;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::plan::{Seen, Short, WindowPlan};
use crate::record::{Entry, Step, WindowRecord};
use crate::when::Span;

/// State of the calendar, as the operators' API returns it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CalendarShown {
    /// Number of the newest calendar file; 0 if there was none.
    pub number: u64,
    /// Controller that advances the steps of the occurrences, or `None` if it is not known.
    #[serde(default)]
    pub owner: Option<String>,
    /// Rows for all windows, sorted by name and then by start.
    #[serde(default)]
    pub windows: Vec<WindowShown>,
}

/// Row for one occurrence of a window, or for a window without a recorded occurrence.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowShown {
    /// Name of the reservation window.
    pub name: String,
    /// Team of the window; empty if only records of the window remain.
    #[serde(default)]
    pub team: String,
    /// Start of the occurrence as Unix time in milliseconds, or `None` if the window has no
    /// further occurrence.
    #[serde(default)]
    pub start_ms: Option<i64>,
    /// End of the occurrence as Unix time in milliseconds, or `None` if the window has no
    /// further occurrence.
    #[serde(default)]
    pub end_ms: Option<i64>,
    /// Step that the occurrence has reached, or `None` if it does not begin soon.
    #[serde(default)]
    pub step: Option<Step>,
    /// Number of tasks for which the occurrence reserves capacity in full.
    pub tasks: u32,
    /// Number of tasks for which capacity is to be reserved now.
    #[serde(default)]
    pub hold: u32,
    /// Part of `hold` that is reserved, in use by the window's tasks, or on machines that are
    /// rented and not up yet.
    #[serde(default)]
    pub asked: u32,
    /// Part of `hold` that is on machines which are up and have the images.
    #[serde(default)]
    pub ready: u32,
    /// Part of `hold` that the window's tasks use.
    #[serde(default)]
    pub used: u32,
    /// Whether an operator pinned the window.
    #[serde(default)]
    pub pinned: bool,
    /// Reason why the occurrence has too little capacity, or `None` if it has enough.
    #[serde(default)]
    pub short: Option<Short>,
    /// One line that describes the state of the occurrence.
    #[serde(default)]
    pub why: String,
}

/// An operator's request to pin a window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PinWindow {
    /// Settings of the window to pin.
    pub window: crate::settings::Window,
}

/// An operator's request to remove a window from the calendar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnpinWindow {
    /// Name of the window to remove.
    pub name: String,
}

/// Returns the rows of one window: one for each recorded occurrence, or else one for the next
/// occurrence. `entry` is `None` if only records of the window remain.
pub fn rows(
    name: &str,
    entry: Option<&Entry>,
    records: &BTreeMap<i64, WindowRecord>,
    plan: &WindowPlan,
    seen: &Seen,
    now_ms: i64,
) -> Vec<WindowShown> {
    if records.is_empty() {
        return vec![next_row(name, entry, now_ms)];
    }
    let row = |(start_ms, record): (&i64, &WindowRecord)| {
        let span = crate::record::span(*start_ms, record);
        let next = plan.each.get(start_ms);
        // Machines belong to the window and not to an occurrence. Only the rows of occurrences
        // that reserve capacity show them.
        let holds = matches!(record.step, Step::Warming | Step::Held);
        let free_capacity = |n: u32| if holds { n } else { 0 };
        WindowShown {
            step: Some(record.step),
            tasks: record.tasks,
            hold: next.map_or(0, |n| n.reserved_tasks),
            asked: free_capacity(seen.asked),
            ready: free_capacity(seen.ready),
            used: free_capacity(seen.used),
            short: next.and_then(|n| n.short.clone()),
            why: next.map_or_else(String::new, |n| n.why.clone()),
            ..empty_row(name, entry, Some(span))
        }
    };
    records.iter().map(row).collect()
}

/// Returns the row of a window that has no recorded occurrence.
fn next_row(name: &str, entry: Option<&Entry>, now_ms: i64) -> WindowShown {
    let window = entry.map(|e| &e.window);
    let next = window.and_then(|w| w.current_or_next(now_ms));
    let why = match next {
        Some(_) => "not near",
        None if window.is_some_and(|w| !w.when.zone_known()) => "no such time zone here",
        None => "over",
    };
    WindowShown {
        why: why.into(),
        ..empty_row(name, entry, next)
    }
}

/// Returns a row that has only the window's settings and the time of the occurrence.
fn empty_row(name: &str, entry: Option<&Entry>, span: Option<Span>) -> WindowShown {
    let window = entry.map(|e| &e.window);
    WindowShown {
        name: name.into(),
        team: window.map_or_else(String::new, |w| w.team.clone()),
        start_ms: span.map(|s| s.start_ms),
        end_ms: span.map(|s| s.end_ms),
        step: None,
        tasks: window.map_or(0, |w| w.tasks),
        hold: 0,
        asked: 0,
        ready: 0,
        used: 0,
        pinned: entry.is_some_and(|e| e.pinned),
        short: None,
        why: String::new(),
    }
}

fn moment(ms: Option<i64>) -> String {
    ms.and_then(|ms| Timestamp::from_second(ms.div_euclid(1000)).ok())
        .map_or_else(|| "-".into(), |moment| moment.to_string())
}

/// Number of columns in the table of `calendar show`.
const COLUMNS: usize = 11;

/// Formats the table that `calendar show` prints. Times are in UTC.
pub fn render(shown: &CalendarShown) -> String {
    let head = [
        "window", "team", "begins", "ends", "step", "tasks", "hold", "asked", "ready", "used", "",
    ];
    let mut rows = vec![head.map(String::from)];
    for w in &shown.windows {
        let name = if w.pinned {
            format!("{} (pinned)", w.name)
        } else {
            w.name.clone()
        };
        rows.push([
            name,
            w.team.clone(),
            moment(w.start_ms),
            moment(w.end_ms),
            w.step.map_or_else(|| "-".into(), |s| s.to_string()),
            w.tasks.to_string(),
            w.hold.to_string(),
            w.asked.to_string(),
            w.ready.to_string(),
            w.used.to_string(),
            w.why.clone(),
        ]);
    }
    let owner = shown.owner.as_deref().unwrap_or("nobody");
    let head = format!("calendar {}, steps taken by {owner}\n", shown.number);
    head + &aligned(&rows)
}

/// Formats rows of cells as text. Each column is as wide as its widest cell.
fn aligned(rows: &[[String; COLUMNS]]) -> String {
    let mut widths = [0; COLUMNS];
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
