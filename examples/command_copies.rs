//! Runs a soak in which executed direct commands arrive again, or a steady load of one-task jobs
//! without troubles, against real controllers on loopback, and prints what was found.
//!
//! `cargo run --release --example command_copies -- --seconds 600 --seed 7`; `--help` lists the
//! options. Not part of CI, which runs a short soak (`tests/command_copies.rs`).

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use sorrelhinge_emulators::soak::{self, Findings, Soak};
use sorrelhinge_emulators::{Plan, World};

/// Network of the world's machines.
const NET: u8 = 236;
/// Machines in each of three zones.
const MACHINES: u8 = 3;
/// Time within which a leader has to be elected, in seconds.
const ELECTED_WITHIN_S: u64 = 20;

/// Options of the run.
#[derive(Parser)]
struct Options {
    /// Seed of all that is drawn.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Time during which jobs are submitted.
    #[arg(long, default_value_t = 120)]
    seconds: u64,
    /// Submit four jobs of one task a second, without troubles and without copies.
    #[arg(long)]
    one_task_load: bool,
    /// Run three shards.
    #[arg(long)]
    shards: bool,
    /// Program of the controllers.
    #[arg(long, default_value = "target/release/sorrelhinge")]
    program: PathBuf,
}

fn print(findings: &Findings) {
    println!("jobs {}, starts {}", findings.jobs, findings.starts);
    let (executed, refused) = (findings.copies_executed, findings.copies_refused);
    println!("copies: {executed} executed, {refused} refused");
    let (median, most) = (findings.start_wait(0.5), findings.start_wait(0.99));
    println!("accepted to first start: median {median:.2?}, 99% {most:.2?}");
    println!(
        "a machine and second: {:.4} heartbeats, {:.4} direct calls",
        findings.heartbeats_per_machine_s, findings.direct_calls_per_machine_s
    );
    println!(
        "most ended tasks in a report: {}",
        findings.most_ended_tasks
    );
    println!("rules broken: {}", findings.wrong.len());
    for wrong in &findings.wrong {
        println!("  {wrong}");
    }
}

async fn soak(options: Options) -> bool {
    let folder = std::env::temp_dir().join(format!("command_copies_{}", std::process::id()));
    let plan = Plan {
        program: options.program,
        folder,
        properties: if options.shards {
            "blocks.least=3\n"
        } else {
            ""
        },
        ..Plan::plain("", NET, MACHINES, ("", ""))
    };
    let controllers = plan.controllers;
    let mut world = World::start(plan).await;
    let led = |w: &World| w.leader().is_some();
    world.until("a leader", ELECTED_WITHIN_S, led).await;
    let duration = Duration::from_secs(options.seconds);
    let soak = if options.one_task_load {
        Soak::one_task_load(options.seed, duration)
    } else {
        Soak::with_all_troubles(options.seed, duration)
    };
    let findings = soak::run(&mut world, &soak, controllers).await;
    print(&findings);
    findings.wrong.is_empty()
}

fn main() -> ExitCode {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let held = tokio::task::LocalSet::new().block_on(&runtime, soak(options));
    if held {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
