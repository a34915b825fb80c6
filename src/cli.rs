//! The operators' commands: each asks controllers over HTTP and prints what they answer, or
//! checks a file. One module a command; [`error`] has what each can fail with.

mod ask;
mod calendar;
mod drain;
pub mod error;
mod lanes;
mod pipeline;
mod shards;
mod topology;

use clap::Subcommand;
use serde::Serialize;

pub use self::ask::Controllers;
pub use self::calendar::CalendarCommand;
pub use self::drain::{DrainArgs, UndrainArgs};
pub use self::error::CliError;
pub use self::lanes::LanesCommand;
pub use self::pipeline::PipelineCommand;
pub use self::shards::ShardsCommand;
pub use self::topology::TopologyCommand;

/// What an operator can ask.
#[derive(Subcommand, Debug)]
pub enum Command {
    /// Move all work off a machine, or off all machines of a domain.
    Drain(DrainArgs),
    /// End a drain, done or not.
    Undrain(UndrainArgs),
    /// Failure domains and devices.
    #[command(subcommand)]
    Topology(TopologyCommand),
    /// The machines' blocks and who owns them.
    #[command(subcommand, name = "blocks")]
    Shards(ShardsCommand),
    /// Priority lanes.
    #[command(subcommand)]
    Lanes(LanesCommand),
    /// Windows for which capacity is held.
    #[command(subcommand)]
    Calendar(CalendarCommand),
    /// Jobs that wait for other jobs.
    #[command(subcommand)]
    Pipeline(PipelineCommand),
}

/// Carries out a command; returns what goes to standard output.
///
/// # Errors
///
/// The command was refused, no controller answered, or a file is wrong.
pub async fn run(command: Command) -> Result<String, CliError> {
    match command {
        Command::Drain(args) => drain::drain(args).await,
        Command::Undrain(args) => drain::undrain(args).await,
        Command::Topology(command) => topology::run(command).await,
        Command::Shards(command) => shards::run(command).await,
        Command::Lanes(command) => lanes::run(command).await,
        Command::Calendar(command) => calendar::run(command).await,
        Command::Pipeline(command) => pipeline::run(command).await,
    }
}

/// What a `show` command prints: the answer as JSON if `json`, else as `render` writes it.
fn json_or<T: Serialize>(
    json: bool,
    shown: &T,
    render: impl FnOnce(&T) -> String,
) -> Result<String, CliError> {
    if !json {
        return Ok(render(shown));
    }
    Ok(serde_json::to_string_pretty(shown)? + "\n")
}
