//! `sorrelhinge topology`: failure domains and devices.

use std::fmt::Write;
use std::path::PathBuf;

use clap::Subcommand;
use sorrelhinge_protocol::operators::{DomainShown, DrainShown, TopologyShown};
use sorrelhinge_topology::settings::Settings;

use super::ask::Controllers;
use super::error::CliError;
use super::json_or;
use crate::operator_file::check_topology;

/// Failure domains and devices.
#[derive(Subcommand, Debug)]
pub enum TopologyCommand {
    /// Show domains, devices, drains and how far they are.
    Show {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
    /// Check a file without using it.
    Check {
        /// The file.
        file: PathBuf,
    },
    /// Print the JSON Schema of the file.
    Schema,
}

/// Carries out a command; returns what goes to standard output.
pub(super) async fn run(command: TopologyCommand) -> Result<String, CliError> {
    match command {
        TopologyCommand::Show { json, controllers } => {
            let shown: TopologyShown = controllers.get("/v1/topology").await?;
            json_or(json, &shown, table)
        }
        TopologyCommand::Check { file } => {
            let topology = check_topology(&file)?;
            let domains = topology.tree.len() - 1;
            Ok(format!("{}: valid, {domains} domains\n", file.display()))
        }
        TopologyCommand::Schema => Ok(Settings::schema()),
    }
}

fn table(shown: &TopologyShown) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let _ = writeln!(
        out,
        "{:<40} {:<8} {:>8} {:>7} {:>8} {:>6}  devices (held/slots, broken)",
        "domain", "level", "machines", "usable", "draining", "tasks"
    );
    for domain in &shown.domains {
        let _ = writeln!(out, "{}", domain_row(domain));
    }
    if !shown.unplaced.is_empty() {
        let unplaced = shown.unplaced.len();
        let _ = writeln!(out, "machines whose place is not known: {unplaced}");
    }
    for drain in &shown.drains {
        let _ = writeln!(out, "{}", drain_row(drain));
    }
    out
}

fn domain_row(d: &DomainShown) -> String {
    let devices: Vec<String> = d
        .devices
        .iter()
        .map(|(kind, n)| format!("{kind} {}/{}, {}", n.held, n.slots, n.broken))
        .collect();
    let name = if d.domain.is_empty() {
        "(not known)"
    } else {
        &d.domain
    };
    format!(
        "{name:<40} {:<8} {:>8} {:>7} {:>8} {:>6}  {}",
        d.level,
        d.machines,
        d.usable,
        d.draining,
        d.tasks,
        devices.join("; ")
    )
}

fn drain_row(d: &DrainShown) -> String {
    let state = if d.done { "empty" } else { "draining" };
    format!(
        "drain {} of {}: {state}, {} of {} machines empty, {} tasks there, {} being stopped, {:.0} s left, at most {} away",
        d.number, d.target, d.empty, d.machines, d.tasks, d.stopping, d.left_s, d.away
    )
}
