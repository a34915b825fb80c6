//! What operators are shown: `calendar show`, and `--json`.

use std::collections::BTreeMap;

use jiff::Timestamp;
use serde::{Deserialize, Serialize};

use crate::plan::{Seen, Short, WindowPlan};
use crate::record::{Entry, Step, WindowRecord};
use crate::when::Span;

/// The calendar.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CalendarShown {
    /// Number of the newest file; 0 if there was none.
    pub number: u64,
    /// The controller that takes the steps, if it is known.
    #[serde(default)]
    pub owner: Option<String>,
    /// Windows, by name and then by beginning.
    #[serde(default)]
    pub windows: Vec<WindowShown>,
}

/// An occurrence, or a window that has none near.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WindowShown {
    /// The window.
    pub name: String,
    /// Its team; empty where only its record is left.
    #[serde(default)]
    pub team: String,
    /// When it begins, in milliseconds of the time of day; `None` if it won't.
    #[serde(default)]
    pub start_ms: Option<i64>,
    /// When it ends.
    #[serde(default)]
    pub end_ms: Option<i64>,
    /// How far it is; `None` if it is not near.
    #[serde(default)]
    pub step: Option<Step>,
    /// How many tasks' room it is to have.
    pub tasks: u32,
    /// How much is to be held now.
    #[serde(default)]
    pub hold: u32,
    /// Of it, what is set aside, used, or on its way.
    #[serde(default)]
    pub asked: u32,
    /// Of it, what is up and has the images.
    #[serde(default)]
    pub ready: u32,
    /// Of it, what its work uses.
    #[serde(default)]
    pub used: u32,
    /// An operator pinned it.
    #[serde(default)]
    pub pinned: bool,
    /// What it lacks.
    #[serde(default)]
    pub short: Option<Short>,
    /// A line on it.
    #[serde(default)]
    pub why: String,
}

/// An operator's request to pin a window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PinWindow {
    /// The window.
    pub window: crate::settings::Window,
}

/// An operator's request to take a window out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnpinWindow {
    /// Its name.
    pub name: String,
}

/// The rows of one window: its occurrences that are recorded, or else the next.
/// `entry` is `None` where only records are left of it.
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
        // Machines belong to the window; they are shown where they are reserved.
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

/// The row of a window of which no occurrence is recorded.
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

/// A row of an occurrence of which nothing is known but when it is.
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

/// Columns of the table.
const COLUMNS: usize = 11;

/// The table of `calendar show`. Moments are UTC.
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

/// Rows of cells as text, all columns as wide as their widest cell.
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
