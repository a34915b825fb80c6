//! The platform's settings (TOML, see DEPLOY) and the operators' own (Java properties, see
//! `docs/operations.md`). All are read and checked once, before anything is started; a
//! [`Config`] that exists is valid.
//!
//! Times are in seconds (`_s`) or milliseconds (`_ms`), as they are written in the files.

mod objectives;
mod platform;
mod properties;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use sorrelhinge_priority_lanes::Lanes;
use sorrelhinge_reservations::settings::{Calendar, Known};

pub use platform::WrongLine;
pub use properties::{lanes, Tuning};

use crate::operator_file::{OperatorFileCause, OperatorFileError};
use crate::state::record::JobRecord;
use crate::types::{Amount, NodeId, Zone};

/// What is wrong with the settings, in one line that names the file or the field.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The platform's file or the properties can't be read.
    #[error("{}: {source}", path.display())]
    Read {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: std::io::Error,
    },
    /// The platform's file is not TOML, or a field is missing or of the wrong type.
    #[error("{}: {source}", path.display())]
    Toml {
        /// The file; empty: the text did not come from one.
        path: PathBuf,
        /// Where it is wrong, and how.
        source: WrongLine,
    },
    /// The calendar can't be used.
    #[error(transparent)]
    Calendar(#[from] OperatorFileError),
    /// A field's value is out of range.
    #[error("{field}: {why}")]
    Field {
        /// The field, as a path or a property's name.
        field: String,
        /// What is wrong with its value.
        why: String,
    },
}

fn field(name: impl Into<String>, why: impl Into<String>) -> ConfigError {
    ConfigError::Field {
        field: name.into(),
        why: why.into(),
    }
}

/// A number that has to be within bounds.
fn in_range(key: &str, value: f64, least: f64, max: f64) -> Result<f64, ConfigError> {
    if value.is_finite() && (least..=max).contains(&value) {
        Ok(value)
    } else {
        Err(field(
            key,
            format!("{value} is not within {least} to {max}"),
        ))
    }
}

/// A team's guarantee and limit.
#[derive(Clone, Debug)]
pub struct TeamConfig {
    /// Name.
    pub name: Arc<str>,
    /// Guaranteed amount.
    pub guarantee: Amount,
    /// The most that its tasks may use at any time.
    pub limit: Amount,
}

/// Another controller.
#[derive(Clone, Debug)]
pub struct Other {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Its address for the exchange between controllers.
    pub address: SocketAddr,
}

/// What the state service takes, and will take from some moment on (`state.next`). Sizes
/// are the smaller ones from the start, see [`sorrelhinge_overload::state_limits`].
#[derive(Clone, Copy, Debug)]
pub struct StateLimits {
    /// Changes per second now, all controllers together.
    pub write_rps: f64,
    /// The same from some moment on; none: the same.
    pub next_write_rps: Option<f64>,
    /// Bytes of the largest value that is written.
    pub value_bytes: usize,
    /// Bytes that a stored value may have, written by an earlier version by the limits of
    /// now.
    pub stored_value_bytes: usize,
    /// Most changes in a transaction.
    pub txn_ops: usize,
}

/// All settings of the service, checked.
#[derive(Clone, Debug)]
pub struct Config {
    /// This controller.
    pub node: NodeId,
    /// Its zone.
    pub zone: Zone,
    /// Where users and workers reach it.
    pub bind: SocketAddr,
    /// Where other controllers reach it.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub others: Vec<Other>,
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service.
    pub state: SocketAddr,
    /// All zones.
    pub zones: Vec<Zone>,
    /// All teams.
    pub teams: Vec<TeamConfig>,
    /// The shortest time that an objective allows a class to start in, in seconds.
    pub start_objectives: HashMap<Arc<str>, f64>,
    /// The times that objectives allow a class to finish in, in seconds, the shortest first.
    pub finish_objectives: HashMap<Arc<str>, Vec<f64>>,
    /// The multiples of its deadline that objectives allow a class.
    pub deadline_objectives: HashMap<Arc<str>, Vec<f64>>,
    /// Usual time between a worker's heartbeats, in seconds.
    pub heartbeat_s: f64,
    /// A worker's lease, in seconds.
    pub lease_s: f64,
    /// From cancelling a job to the end of its last task, in seconds.
    pub cancel_s: f64,
    /// State service requests per second, all controllers together.
    pub state_rps: f64,
    /// What the state service takes.
    pub state_limits: StateLimits,
    /// Cloud requests per second, all controllers together.
    pub cloud_rps: f64,
    /// How late the machine list is, in seconds.
    pub list_lag_s: f64,
    /// Most sockets of this process.
    pub max_sockets: usize,
    /// The operators' own settings.
    pub tuning: Tuning,
    /// Priority lanes, see `docs/lanes.md`.
    pub lanes: Lanes,
    /// By how much the time of day may be wrong, in milliseconds.
    pub clock_off_ms: f64,
    /// The operators' file of windows, if the feature is on: see
    /// `docs/calendar.md`.
    pub calendar: Option<Arc<Calendar>>,
}

impl Config {
    /// Whether a recorded job is in a lane.
    pub fn in_lane(&self, job: &JobRecord) -> bool {
        job.spec.as_ref().is_some_and(|s| {
            let lane = self.lanes.of(&s.class, s.priority, s.deadline_s.is_some());
            lane.is_some()
        })
    }
    /// Seconds that a machine may be silent before it is given back.
    pub fn silent_s(&self) -> f64 {
        self.tuning.silent_s.unwrap_or(self.lease_s + 0.5)
    }
}

fn read(path: &Path) -> Result<Vec<u8>, ConfigError> {
    std::fs::read(path).map_err(|source| ConfigError::Read {
        path: path.to_owned(),
        source,
    })
}

/// Reads a file's text; what is not UTF-8 in it is replaced.
fn read_text(path: &Path) -> Result<String, ConfigError> {
    Ok(String::from_utf8_lossy(&read(path)?).into_owned())
}

impl Config {
    /// Reads and checks the platform's file and, if given, the properties.
    ///
    /// # Errors
    ///
    /// A file can't be read, or the setting that is missing, malformed or out of range.
    pub fn load(path: &Path, properties: Option<&Path>) -> Result<Self, ConfigError> {
        let mut config = Self::parse(&read_text(path)?).map_err(|e| match e {
            ConfigError::Toml { source, .. } => ConfigError::Toml {
                path: path.to_owned(),
                source,
            },
            other => other,
        })?;
        if let Some(file) = properties {
            let text = read(file)?;
            config.tuning = Tuning::parse(&text)?;
            config.lanes = lanes(&text)?;
        }
        Ok(config)
    }

    /// What a calendar is checked by, but for machine types, which only the cloud
    /// knows. `now_ms`: the time of day, in milliseconds.
    pub fn calendar_known(&self, now_ms: i64) -> Known {
        let teams = self.teams.iter();
        Known {
            teams: teams.map(|t| (t.name.to_string(), t.limit)).collect(),
            zones: self.zones.iter().map(|z| z.as_str().to_owned()).collect(),
            types: Vec::new(),
            now_ms,
        }
    }

    /// Reads and checks the operators' file of windows, and turns the feature on.
    /// The error is one line that names the file.
    ///
    /// # Errors
    ///
    /// The file can't be read, or the window that is wrong.
    pub fn with_calendar(mut self, path: &Path, now_ms: i64) -> Result<Self, ConfigError> {
        let text = read_text(path)?;
        let calendar = self
            .checked_calendar(&text, now_ms)
            .map_err(|cause| cause.of(path))?;
        self.calendar = Some(Arc::new(calendar));
        Ok(self)
    }

    fn checked_calendar(&self, text: &str, now_ms: i64) -> Result<Calendar, OperatorFileCause> {
        let calendar = sorrelhinge_reservations::settings::read(text)?;
        sorrelhinge_reservations::settings::check(&calendar, &self.calendar_known(now_ms))?;
        Ok(calendar)
    }
}
