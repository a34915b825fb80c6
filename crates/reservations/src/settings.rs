//! The operator's calendar file, see `docs/calendar.md`. The JSON Schema of the file is
//! generated from these types and committed as `deploy/calendar.schema.json`.

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

/// Checks the characters of a window's name. Names appear in keys of the state service, in
/// paths and in log lines.
fn plain_name(name: &str, _: &()) -> garde::Result {
    let plain = |c: char| c.is_ascii_alphanumeric() || ".-_".contains(c);
    if name.chars().all(plain) {
        Ok(())
    } else {
        Err(garde::Error::new("letters, digits, '.', '-' and '_' only"))
    }
}

/// Reservation window: capacity that is ready when the window begins and stays reserved until
/// the window ends.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Window {
    /// Name of the window, which also appears in keys of the state service and in the log.
    #[garde(length(bytes, min = 1, max = 64), custom(plain_name))]
    pub name: String,
    /// Team whose limit the reserved capacity counts toward.
    #[garde(length(bytes, min = 1, max = 200))]
    pub team: String,
    /// Classes of the team's jobs for which the capacity is reserved; all classes if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 32), inner(length(bytes, min = 1, max = 200)))]
    pub classes: Vec<String>,
    /// Times at which the window begins.
    #[garde(dive)]
    pub when: When,
    /// Duration of the window in seconds.
    #[garde(range(min = 1, max = 2_678_400))]
    pub lasts_s: u32,
    /// Number of tasks for which capacity is reserved.
    #[garde(range(min = 1, max = 100_000))]
    pub tasks: u32,
    /// Number of CPUs that each task needs.
    #[garde(range(min = 0.0, max = 100_000.0))]
    pub cpus: f64,
    /// Number of GPUs that each task needs.
    #[serde(default, skip_serializing_if = "zero")]
    #[garde(range(min = 0.0, max = 10_000.0))]
    pub cards: f64,
    /// Memory in GB that each task needs.
    #[garde(range(min = 0.0, max = 1_000_000.0))]
    pub ram_gb: f64,
    /// Zones over which the reserved capacity is spread evenly; any zone if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 32), inner(length(bytes, min = 1, max = 200)))]
    pub zones: Vec<String>,
    /// Machine types that the window may use, in order of preference; any type if empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 32), inner(length(bytes, min = 1, max = 200)))]
    pub types: Vec<String>,
    /// Images that the window's machines have fetched when the window begins.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[garde(length(max = 16), inner(length(bytes, min = 1, max = 200)))]
    pub images: Vec<String>,
    /// Time in seconds by which all capacity is to be ready before the window begins.
    #[serde(default = "early")]
    #[garde(range(max = 86_400))]
    pub early_s: u32,
    /// Time in seconds for which the full capacity stays reserved without any task of the
    /// window's classes. After this time the capacity is released in parts.
    #[serde(default = "no_show")]
    #[garde(range(min = 1, max = 2_678_400))]
    pub no_show_s: u32,
}

impl Window {
    /// Returns the resources that each task of the window needs.
    pub fn each(&self) -> Amount {
        Amount::new(self.cpus, self.cards, self.ram_gb)
    }

    /// Returns the first occurrence of the window that begins after the time `after_ms`, or
    /// `None` if there is none.
    pub fn next(&self, after_ms: i64) -> Option<Span> {
        next(&self.when, self.lasts_s, after_ms)
    }

    /// Returns the occurrence that is under way at the time `now_ms`, or else the next one.
    /// Returns `None` if there is neither.
    pub fn current_or_next(&self, now_ms: i64) -> Option<Span> {
        current_or_next(&self.when, self.lasts_s, now_ms)
    }

    /// Returns whether the window reserves capacity for jobs of this team and class.
    pub fn is_for(&self, team: &str, class: &str) -> bool {
        self.team == team && (self.classes.is_empty() || self.classes.iter().any(|c| c == class))
    }

    /// Returns whether the window may reserve capacity on machines of this type in this zone.
    pub fn allows(&self, machine_type: &str, zone: &str) -> bool {
        let among =
            |names: &[String], name: &str| names.is_empty() || names.iter().any(|n| n == name);
        among(&self.types, machine_type) && among(&self.zones, zone)
    }

    /// Checks the window's fields without regard to other windows and the controllers'
    /// settings.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is not valid, with its path below `at`.
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

/// Time from which a weekly rule must have an occurrence. The time is the start of 1970,
/// because no rule is expected to end before then.
const EPOCH_MS: i64 = 0;

/// Calendar file with all reservation windows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema, Validate)]
#[schemars(deny_unknown_fields)]
pub struct Calendar {
    /// Version of the file's format, which is 1.
    #[garde(range(min = 1, max = 1))]
    pub version: u32,
    /// Number of this file's content, which the operator raises with every change. Of two
    /// files, the one with the larger number applies.
    #[garde(range(min = 1))]
    pub number: u64,
    /// All reservation windows of the file.
    #[serde(default, rename = "window")]
    // `Window::check` validates each window.
    #[garde(length(max = 1_000))]
    pub windows: Vec<Window>,
}

/// Formats the path of an unknown field like the paths in other errors, such as
/// `.window[0].card`.
fn field_path(path: &serde_ignored::Path<'_>) -> String {
    use serde_ignored::Path;
    match path {
        Path::Root => String::new(),
        Path::Seq { parent, index } => format!("{}[{index}]", field_path(parent)),
        Path::Map { parent, key } => format!("{}.{key}", field_path(parent)),
        Path::Some { parent }
        | Path::NewtypeStruct { parent }
        | Path::NewtypeVariant { parent } => field_path(parent),
    }
}

/// Error in the calendar file. The text is one line that names the line or the field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// The file is not valid TOML or does not have the format of a calendar.
    #[error(transparent)]
    Toml(#[from] MalformedToml),
    /// A field of the file is not valid.
    #[error(transparent)]
    Field(#[from] InvalidField),
}

/// Parses and validates the text of a calendar file.
///
/// # Errors
///
/// Returns an error for the first line or field that is not valid. Its text is one line.
pub fn read(text: &str) -> Result<Calendar, FileError> {
    let at_line = |e: toml::de::Error| MalformedToml::new(text, &e);
    let file = toml::Deserializer::parse(text).map_err(at_line)?;
    // Unknown fields are errors in a file. The same types are also read from records, where
    // unknown fields are allowed because a later version may have written them.
    let mut unknown = None;
    let calendar: Calendar = serde_ignored::deserialize(file, |path| {
        unknown.get_or_insert_with(|| field_path(&path));
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

/// Returns the JSON Schema of the calendar file.
pub fn schema() -> String {
    let schema = schemars::schema_for!(Calendar);
    serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
}
