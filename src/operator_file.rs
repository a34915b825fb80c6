//! Files that operators write, and what is wrong with one: always one line that names the
//! file, and the line or field.

use std::path::{Path, PathBuf};

use sorrelhinge_reservations::settings::{Calendar, FileError, WindowError};
use sorrelhinge_topology::settings::SettingsError;
use sorrelhinge_topology::Topology;

/// A file that can't be used.
#[derive(Debug, thiserror::Error)]
#[error("{}: {cause}", path.display())]
pub struct OperatorFileError {
    /// Which file.
    pub path: PathBuf,
    /// What is wrong with it.
    #[source]
    pub cause: OperatorFileCause,
}

/// What is wrong with a file.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileCause {
    /// It can't be read.
    #[error(transparent)]
    Read(#[from] std::io::Error),
    /// It is no topology.
    #[error(transparent)]
    Topology(#[from] SettingsError),
    /// It is no calendar.
    #[error(transparent)]
    Calendar(#[from] FileError),
    /// A window of the calendar can't be as it is.
    #[error(transparent)]
    Window(#[from] WindowError),
}

impl OperatorFileCause {
    /// The error that names the file.
    pub(crate) fn of(self, path: &Path) -> OperatorFileError {
        OperatorFileError {
            path: path.to_owned(),
            cause: self,
        }
    }
}

/// Reads and checks a topology file, for `--topology` and `topology check`.
///
/// # Errors
///
/// The file can't be read, or the line or field that is wrong.
pub fn check_topology(path: &Path) -> Result<Topology, OperatorFileError> {
    let read = || -> Result<Topology, OperatorFileCause> {
        let text = std::fs::read_to_string(path)?;
        Ok(Topology::parse(&text)?)
    };
    read().map_err(|cause| cause.of(path))
}

/// Reads a calendar file. What depends on the controllers' settings and on the time of day
/// is not checked.
pub(crate) fn read_calendar(path: &Path) -> Result<Calendar, OperatorFileError> {
    let read = || -> Result<Calendar, OperatorFileCause> {
        let text = std::fs::read_to_string(path)?;
        Ok(sorrelhinge_reservations::settings::read(&text)?)
    };
    read().map_err(|cause| cause.of(path))
}
