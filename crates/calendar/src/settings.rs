//! The operator's file, see `docs/calendar.md`. Its JSON Schema is generated
//! from these types and committed as `deploy/calendar.schema.json`.

use std::collections::{BTreeMap, BTreeSet};

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::invalid::{InvalidField, MalformedToml};
use sorrelhinge_protocol::types::{Amount, MachineType};

use crate::when::{current_or_next, next, Span, When};

fn early() -> u32 {
    30
}

fn no_show() -> u32 {
    300
}

fn zero(x: &f64) -> bool {
    *x == 0.0
}

/// Names stand in the state service's keys, in paths and in log lines.
fn plain(name: &str, _: &()) -> garde::Result {
    let plain = |c: char| c.is_ascii_alphanumeric() || ".-_".contains(c);
    match name.chars().all(plain) {
        true => Ok(()),
        false => Err(garde::Error::new("letters, digits, '.', '-' and '_' only")),
    }
}

/// A window: capacity that is there when it begins, and stays until it ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Window {
    /// Its name, also in the state service's keys and the log.
    #[garde(length(bytes, min = 1, max = 64), custom(plain))]
    pub name: String,
    /// The team in whose limit it counts.
    #[garde(length(bytes, min = 1, max = 200))]
    pub team: String,
    /// The classes of the team's jobs that it is held for; all if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 32), inner(length(bytes, min = 1, max = 200)))]
    pub classes: Vec<String>,
    /// When it occurs.
    #[garde(dive)]
    pub when: When,
    /// For how long, in seconds.
    #[garde(range(min = 1, max = 2_678_400))]
    pub lasts_s: u32,
    /// How many tasks' room it holds.
    #[garde(range(min = 1, max = 100_000))]
    pub tasks: u32,
    /// CPUs of a task.
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub cpus: f64,
    /// GPUs of a task.
    #[serde(default, skip_serializing_if = "zero")]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub cards: f64,
    /// Memory of a task, in GB.
    #[garde(range(min = 0.0, max = 1_000_000.0))]
    pub ram_gb: f64,
    /// Zones that it is spread over evenly; any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 32), inner(length(bytes, min = 1, max = 200)))]
    pub zones: Vec<String>,
    /// Machine types, the best first; any if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 32), inner(length(bytes, min = 1, max = 200)))]
    pub types: Vec<String>,
    /// Images that its machines have when it begins.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 16), inner(length(bytes, min = 1, max = 200)))]
    pub images: Vec<String>,
    /// How long before its beginning everything is to be ready, in seconds.
    #[serde(default = "early")]
    #[garde(range(max = 86_400))]
    pub early_s: u32,
    /// For how long it is held in full without any work of its classes, in
    /// seconds; then the hold shrinks.
    #[serde(default = "no_show")]
    #[garde(range(min = 1, max = 2_678_400))]
    pub no_show_s: u32,
}

impl Window {
    /// What a task takes.
    pub fn each(&self) -> Amount {
        Amount::new(self.cpus, self.cards, self.ram_gb)
    }

    /// What all its tasks take together.
    fn all_tasks(&self) -> Amount {
        self.each().times(i64::from(self.tasks))
    }

    /// The first occurrence that begins after a moment.
    pub fn next(&self, after_ms: i64) -> Option<Span> {
        next(&self.when, self.lasts_s, after_ms)
    }

    /// The occurrence under way, or else the next.
    pub fn current_or_next(&self, now_ms: i64) -> Option<Span> {
        current_or_next(&self.when, self.lasts_s, now_ms)
    }

    /// Whether its work is of this team and class.
    pub fn is_for(&self, team: &str, class: &str) -> bool {
        self.team == team && (self.classes.is_empty() || self.classes.iter().any(|c| c == class))
    }

    /// Whether it may be held on machines of this type in this zone.
    pub fn allows(&self, machine_type: &str, zone: &str) -> bool {
        let among =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|n| n == name);
        among(&self.types, machine_type) && among(&self.zones, zone)
    }

    fn refused(&self, field: &'static str, reason: String) -> WindowError {
        WindowError {
            window: self.name.clone(),
            field,
            reason,
        }
    }

    /// What is wrong with it by itself.
    pub fn check(&self, at: &str) -> Result<(), InvalidField> {
        self.validate()
            .map_err(|report| InvalidField::first(&report, at))?;
        let each = self.each();
        if each.cpu <= 0 && each.gpu <= 0 && each.ram <= 0 {
            return Err(InvalidField::value(
                format!("{at}.cpus"),
                "a task takes nothing",
            ));
        }
        if !self.when.zone_known() {
            return Err(InvalidField::value(
                format!("{at}.when"),
                "no such time zone",
            ));
        }
        match &self.when {
            When::Once(_) => Ok(()),
            When::Weekly(_) if self.next(EPOCH_MS).is_none() => Err(InvalidField::value(
                format!("{at}.when"),
                "it never happens",
            )),
            When::Every(every) if every.period.as_secs() < 1 => Err(InvalidField::value(
                format!("{at}.when.every.period"),
                "must be at least 1 s",
            )),
            When::Weekly(_) | When::Every(_) => Ok(()),
        }
    }
}

/// 1970: no rule is meant to have ended before.
const EPOCH_MS: i64 = 0;

/// The file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Calendar {
    /// Version of the format: 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Number of this file's content. Raised with every change: of two files,
    /// the one with the larger number counts.
    #[garde(range(min = 1))]
    pub number: u64,
    /// The windows.
    #[serde(default, rename = "window")]
    #[garde(length(max = 1_000))] // each by `Window::check`
    pub windows: Vec<Window>,
}

/// A path as the other errors have it: `.window[0].card`.
fn place(path: &serde_ignored::Path<'_>) -> String {
    use serde_ignored::Path;
    match path {
        Path::Root => String::new(),
        Path::Seq { parent, index } => format!("{}[{index}]", place(parent)),
        Path::Map { parent, key } => format!("{}.{key}", place(parent)),
        Path::Some { parent }
        | Path::NewtypeStruct { parent }
        | Path::NewtypeVariant { parent } => place(parent),
    }
}

/// Why the file can't be read: one line that names the place.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// It is not TOML, or not of the format.
    #[error(transparent)]
    Toml(#[from] MalformedToml),
    /// A field is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

/// Reads the file; the error is one line that names the place.
pub fn read(text: &str) -> Result<Calendar, FileError> {
    let at_line = |e: toml::de::Error| MalformedToml::new(text, &e);
    let file = toml::Deserializer::parse(text).map_err(at_line)?;
    // The same types are read from records, whose unknown fields a later
    // version may have written; in a file they are mistakes.
    let mut unknown = None;
    let calendar: Calendar = serde_ignored::deserialize(file, |path| {
        unknown.get_or_insert_with(|| place(&path));
    })
    .map_err(at_line)?;
    if let Some(path) = unknown {
        return Err(InvalidField::value(format!("calendar{path}"), "unknown field").into());
    }
    calendar
        .validate()
        .map_err(|report| InvalidField::first(&report, "calendar"))?;
    let mut names = BTreeSet::new();
    for (i, window) in calendar.windows.iter().enumerate() {
        let at = format!("calendar.window[{i}]");
        window.check(&at)?;
        if !names.insert(&window.name) {
            let reason = format!("{:?} appears twice", window.name);
            return Err(InvalidField::value(format!("{at}.name"), reason).into());
        }
    }
    Ok(calendar)
}

/// The file's JSON Schema.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Calendar);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
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
pub fn check(calendar: &Calendar, known: &Known) -> Result<(), WindowError> {
    check_windows(&calendar.windows, known)
}

/// The same for windows that are pinned one by one.
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
pub fn past(calendar: &Calendar, now_ms: i64) -> Result<(), WindowError> {
    let over = |w: &&Window| w.current_or_next(now_ms).is_none();
    match calendar.windows.iter().find(over) {
        None => Ok(()),
        Some(window) => Err(window.refused("when", "it is over".into())),
    }
}

fn shown(amount: Amount) -> String {
    let whole = |milli: i64| milli as f64 / 1000.0;
    format!("{} CPUs and {} GPUs", whole(amount.cpu), whole(amount.gpu))
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
/// time, ends first, with what is held then.
fn overlaps(windows: &[Window], team: &str, limit: Amount, now_ms: i64) -> Result<(), WindowError> {
    let own = windows.iter().filter(|w| w.team == team);
    let mut edges: Vec<Edge> = own.flat_map(|w| edges_of(w, now_ms)).collect();
    edges.sort_by_key(|e| (e.at_ms, e.begins, &e.window.name));
    let mut held = Amount::default();
    let mut open: Vec<&str> = Vec::new();
    for Edge { begins, window, .. } in edges {
        let needs = window.all_tasks();
        if !begins {
            held -= needs;
            open.retain(|name| *name != window.name);
            continue;
        }
        held += needs;
        if !held.fits_team(limit) {
            let reason = format!(
                "together with {} it holds {}, the limit of team {team:?} is {}",
                open.join(", "),
                shown(held),
                shown(limit)
            );
            return Err(window.refused("tasks", reason));
        }
        open.push(&window.name);
    }
    Ok(())
}
