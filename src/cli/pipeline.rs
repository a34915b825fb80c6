//! `sorrelhinge pipeline`: why a job waits for others, and what it inherits from the jobs
//! that need it.

use std::fmt::Write;

use clap::Subcommand;
use sorrelhinge_protocol::users::JobStatus;

use super::ask::Controllers;
use super::error::CliError;
use super::json_or;

/// Jobs that wait for other jobs.
#[derive(Subcommand, Debug)]
pub enum PipelineCommand {
    /// Show what a job waits for, its inherited priority and its latest finish.
    Show {
        /// The job's id.
        job: String,
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
}

/// Carries out a command; returns what goes to standard output.
pub(super) async fn run(command: PipelineCommand) -> Result<String, CliError> {
    let PipelineCommand::Show {
        job,
        json,
        controllers,
    } = command;
    let status: JobStatus = controllers.get(&format!("/v1/jobs/{job}")).await?;
    json_or(json, &status, render)
}

/// How a job stands in its pipeline.
fn render(status: &JobStatus) -> String {
    let (uid, phase) = (&status.id, &status.phase);
    let Some(pipeline) = &status.pipeline else {
        return format!("{uid}: {phase}, waits for no other job\n");
    };
    let mut out = format!("{uid}: {phase}\n");
    let waits_for: Vec<&str> = pipeline.waits_for.iter().map(|id| id.as_str()).collect();
    let waits_for = if waits_for.is_empty() {
        "nothing: it is ready".to_owned()
    } else {
        waits_for.join(", ")
    };
    let finish_by = match pipeline.finish_by_ms {
        Some(ms) => format!("{:.1} s after 1970-01-01 UTC", ms as f64 / 1000.0),
        None => "none".to_owned(),
    };
    // Writing to a string does not fail.
    let _ = writeln!(out, "  waits for      {waits_for}");
    let _ = writeln!(out, "  priority       {:?}", pipeline.priority);
    let _ = writeln!(out, "  latest finish  {finish_by}");
    out
}
