//! The operator's file, see `docs/calendar.md`. Its JSON Schema is generated
//! from these types and committed as `deploy/calendar.schema.json`.

mod checks;

use std::collections::BTreeSet;

use garde::Validate;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use sorrelhinge_protocol::invalid::{InvalidField, MalformedToml};
use sorrelhinge_protocol::types::Amount;

pub use self::checks::{check, check_windows, past, Known, WindowError};
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
    if name.chars().all(plain) {
        Ok(())
    } else {
        Err(garde::Error::new("letters, digits, '.', '-' and '_' only"))
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

    /// What is wrong with it by itself.
    ///
    /// # Errors
    ///
    /// The first field that is not valid, by its path below `at`.
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
///
/// # Errors
///
/// The line or the field that is wrong.
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
