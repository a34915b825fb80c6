//! `sorrelhinge lanes`: priority lanes and who waits in them.

use clap::Subcommand;
use sorrelhinge_priority_lanes::shown::LanesShown;

use super::ask::Controllers;
use super::error::CliError;
use super::json_or;

/// Priority lanes.
#[derive(Subcommand, Debug)]
pub enum LanesCommand {
    /// Show lanes, what they hold, and who waits in which place and why.
    Show {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
}

/// Carries out a command; returns what goes to standard output.
pub(super) async fn run(command: LanesCommand) -> Result<String, CliError> {
    let LanesCommand::Show { json, controllers } = command;
    let shown: LanesShown = controllers.get("/v1/lanes").await?;
    json_or(json, &shown, LanesShown::render)
}
