//! `sorrelhinge drain` and `undrain`: moving all work off machines.

use clap::Args;
use serde::Deserialize;
use serde_json::Value;
use sorrelhinge_protocol::operators::{DrainAsked, Target, UndrainAsked};

use super::ask::Controllers;
use super::error::{CliError, DeadlineError};

/// The longest deadline, in seconds: 7 days.
const MAX_DEADLINE_S: f64 = 604_800.0;

/// What drains, and how.
#[derive(Args, Debug)]
pub struct DrainArgs {
    /// A machine's name, or a domain's path: `zone/rack/switch`.
    target: String,
    /// When nothing is waited for any more: `90s`, `10m`, `2h`.
    #[arg(long, default_value = "10m", value_parser = seconds)]
    deadline: f64,
    /// The most replicas of a job away at a time.
    #[arg(long, default_value_t = 1)]
    away: u32,
    /// Keep machines that have become empty.
    #[arg(long)]
    keep: bool,
    /// Whom to ask.
    #[command(flatten)]
    controllers: Controllers,
}

/// Which drain ends.
#[derive(Args, Debug)]
pub struct UndrainArgs {
    /// What drains, or the drain's number.
    target: String,
    /// Whom to ask.
    #[command(flatten)]
    controllers: Controllers,
}

/// The answer to a drain that begins.
#[derive(Deserialize)]
struct NumberBody {
    number: u64,
}

/// Reads `90`, `90s`, `10m` or `2h`, as seconds.
fn seconds(text: &str) -> Result<f64, DeadlineError> {
    let (number, unit) = match text.strip_suffix(['s', 'm', 'h']) {
        Some(number) => (number, text.chars().next_back()),
        None => (text, None),
    };
    let number: f64 = number
        .parse()
        .map_err(|_| DeadlineError::NotATime(text.to_owned()))?;
    let factor = match unit {
        Some('m') => 60.0,
        Some('h') => 3600.0,
        _ => 1.0,
    };
    let seconds = number * factor;
    if (0.0..=MAX_DEADLINE_S).contains(&seconds) {
        Ok(seconds)
    } else {
        Err(DeadlineError::OutOfRange(text.to_owned()))
    }
}

/// Begins a drain; returns what goes to standard output.
pub(super) async fn drain(args: DrainArgs) -> Result<String, CliError> {
    let asked = DrainAsked {
        target: args.target,
        deadline_s: args.deadline,
        away: args.away,
        keep: args.keep,
    };
    asked.check()?;
    let begun: NumberBody = args.controllers.post("/v1/drains", &asked).await?;
    Ok(format!(
        "drain {} of {} begins\n",
        begun.number, asked.target
    ))
}

/// Ends a drain; returns what goes to standard output.
pub(super) async fn undrain(args: UndrainArgs) -> Result<String, CliError> {
    let target = match args.target.parse() {
        Ok(number) => Target::Number(number),
        Err(_) => Target::Text(args.target),
    };
    let asked = UndrainAsked { target };
    let _: Value = args.controllers.post("/v1/undrains", &asked).await?;
    Ok("the drain has ended\n".into())
}
