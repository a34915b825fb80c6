//! `sorrelhinge blocks`: who owns which block of the machines, and why.

use std::fmt::Write;

use clap::Subcommand;
use serde_json::Value;
use sorrelhinge_protocol::operators::{BlocksShown, PinAsked};

use super::ask::Controllers;
use super::error::CliError;
use super::json_or;

const PATH: &str = "/v1/blocks";

/// The machines' blocks and who owns them.
#[derive(Subcommand, Debug)]
pub enum BlocksCommand {
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
        block: u32,
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
        block: u32,
        /// Whom to ask.
        #[command(flatten)]
        controllers: Controllers,
    },
}

/// Carries out a command; returns what goes to standard output.
pub(super) async fn run(command: BlocksCommand) -> Result<String, CliError> {
    match command {
        BlocksCommand::Show { json, controllers } => {
            let shown: BlocksShown = controllers.get(PATH).await?;
            json_or(json, &shown, blocks_table)
        }
        BlocksCommand::Move {
            block,
            to,
            controllers,
        } => {
            let told = format!("block {block} goes to {to}, and stays there\n");
            pin(&controllers, block, Some(to)).await.map(|()| told)
        }
        BlocksCommand::Free { block, controllers } => {
            let told = format!("block {block} goes wherever balance takes it\n");
            pin(&controllers, block, None).await.map(|()| told)
        }
    }
}

async fn pin(controllers: &Controllers, block: u32, to: Option<String>) -> Result<(), CliError> {
    let asked = PinAsked { block, to };
    asked.check()?;
    let _: Value = controllers.post(PATH, &asked).await?;
    Ok(())
}

fn blocks_table(shown: &BlocksShown) -> String {
    let mut out = String::new();
    let told = |n: Option<f64>| n.map_or("?".into(), |n| format!("{n:.1}"));
    // Writing to a string does not fail.
    let _ = writeln!(out, "leader: {}", shown.leader.as_deref().unwrap_or("none"));
    for b in &shown.blocks {
        let machines = b.machines.map_or("?".into(), |n| n.to_string());
        let _ = writeln!(
            out,
            "block {}: {}{}, grant {}, {machines} machines; {}",
            b.block,
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
                told(t.used_cpus),
                told(t.waiting_cpus)
            );
        }
    }
    out
}
