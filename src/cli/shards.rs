//! `sorrelhinge blocks`: who owns which shard of the machines, and why.

use std::fmt::Write;

use clap::Subcommand;
use serde_json::Value;
use sorrelhinge_protocol::operators::{PinAsked, ShardsShown};

use super::ask::Controllers;
use super::error::CliError;
use super::json_or;

const PATH: &str = "/v1/blocks";

/// The machines' blocks and who owns them.
#[derive(Subcommand, Debug)]
pub enum ShardsCommand {
    /// Show blocks, owners, machines, parts of limits, moves under way, and why
    /// each is where it is.
    Show {
        /// As JSON.
        #[arg(long)]
        json: bool,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
    /// Move a block to a controller, and keep it there while that lives.
    Move {
        /// The block's number.
        #[arg(value_name = "BLOCK")]
        shard: u32,
        /// The controller's name.
        #[arg(long, value_name = "NODE")]
        to: String,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
    /// Let a block go wherever balance takes it.
    Free {
        /// The block's number.
        #[arg(value_name = "BLOCK")]
        shard: u32,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
}

/// Carries out a command; returns what goes to standard output.
pub(super) async fn run(command: ShardsCommand) -> Result<String, CliError> {
    match command {
        ShardsCommand::Show { json, controllers } => {
            let shown: ShardsShown = controllers.get(PATH).await?;
            json_or(json, &shown, shards_table)
        }
        ShardsCommand::Move {
            shard,
            to,
            controllers,
        } => {
            let printed = format!("block {shard} goes to {to}, and stays there\n");
            pin(&controllers, shard, Some(to)).await.map(|()| printed)
        }
        ShardsCommand::Free { shard, controllers } => {
            let printed = format!("block {shard} goes wherever balance takes it\n");
            pin(&controllers, shard, None).await.map(|()| printed)
        }
    }
}

async fn pin(controllers: &Controllers, shard: u32, to: Option<String>) -> Result<(), CliError> {
    let asked = PinAsked { block: shard, to };
    asked.check()?;
    let _: Value = controllers.post(PATH, &asked).await?;
    Ok(())
}

fn shards_table(shown: &ShardsShown) -> String {
    let mut out = String::new();
    let cell = |n: Option<f64>| n.map_or("?".into(), |n| format!("{n:.1}"));
    // Writing to a string does not fail.
    let _ = writeln!(out, "leader: {}", shown.leader.as_deref().unwrap_or("none"));
    for b in &shown.shards {
        let machines = b.machines.map_or("?".into(), |n| n.to_string());
        let _ = writeln!(
            out,
            "block {}: {}{}, grant {}, {machines} machines; {}",
            b.shard,
            b.owner.as_deref().unwrap_or("nobody"),
            if b.alive { "" } else { " (gone)" },
            b.grant,
            b.why
        );
        for t in &b.teams {
            let _ = writeln!(
                out,
                "  {:<24} part {:>8.1} CPUs, used {:>8}, waiting {:>8}",
                t.team,
                t.part_cpus,
                cell(t.used_cpus),
                cell(t.waiting_cpus)
            );
        }
    }
    out
}
