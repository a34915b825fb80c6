//! `sorrelhinge calendar`: windows for which capacity is held.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use clap::Subcommand;
use serde_json::Value;
use sorrelhinge_reservations::settings;
use sorrelhinge_reservations::shown::{render, CalendarShown, PinWindow, UnpinWindow};

use super::ask::Controllers;
use super::error::CliError;
use super::json_or;
use crate::operator_file::{read_calendar, OperatorFileCause};

const PATH: &str = "/v1/calendar";

/// Windows for which capacity is held.
#[derive(Subcommand, Debug)]
pub enum CalendarCommand {
    /// Check a file without using it.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Print the JSON Schema of the file.
    Schema,
    /// Show windows, how far each is and what it has.
    Show {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
    /// Add a file's windows, or put them in the place of those of their names.
    Pin {
        /// The file.
        file: PathBuf,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
    /// Take a window out.
    Unpin {
        /// Its name.
        name: String,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
}

/// Carries out a command; returns what goes to standard output.
pub(super) async fn run(command: CalendarCommand) -> Result<String, CliError> {
    match command {
        CalendarCommand::Check { file } => check(&file),
        CalendarCommand::Schema => Ok(settings::schema()),
        CalendarCommand::Show { json, controllers } => {
            let shown: CalendarShown = controllers.get(PATH).await?;
            json_or(json, &shown, render)
        }
        CalendarCommand::Pin { file, controllers } => pin(&file, &controllers).await,
        CalendarCommand::Unpin { name, controllers } => {
            let asked = UnpinWindow { name };
            let _: Value = controllers.post(PATH, &asked).await?;
            Ok(format!("window {} is taken out\n", asked.name))
        }
    }
}

fn check(file: &Path) -> Result<String, CliError> {
    let calendar = read_calendar(file)?;
    settings::past(&calendar, crate::control::unix_ms())
        .map_err(|error| OperatorFileCause::from(error).of(file))?;
    let windows = calendar.windows.len();
    Ok(format!("{}: valid, {windows} windows\n", file.display()))
}

/// Pins a file's windows one by one, in its order; those before one that is refused stay.
async fn pin(file: &Path, controllers: &Controllers) -> Result<String, CliError> {
    let mut printed = String::new();
    for window in read_calendar(file)?.windows {
        let name = window.name.clone();
        let _: Value = controllers.post(PATH, &PinWindow { window }).await?;
        // Writing to a string does not fail.
        let _ = writeln!(printed, "window {name} is pinned");
    }
    Ok(printed)
}
