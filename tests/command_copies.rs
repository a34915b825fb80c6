//! Direct commands that workers have executed and answered arrive again, with real controllers on
//! loopback.

#[path = "loopback/leader.rs"]
mod leader;
mod loopback;

use std::time::Duration;

use sorrelhinge_emulators::soak::{self, Findings, Soak};
use sorrelhinge_emulators::{run, Plan};

use self::leader::start_led;

/// Seed of the soak in CI.
const SEED: u64 = 20_261_205;
/// Duration of the soak in CI.
const DURATION: Duration = Duration::from_secs(45);

/// Runs a soak with all troubles, and checks that no rule is broken.
async fn soak(plan: Plan, seed: u64) -> Findings {
    let controllers = plan.controllers;
    let mut world = start_led(plan).await;
    let soak = Soak::with_all_troubles(seed, DURATION);
    let findings = soak::run(&mut world, &soak, controllers).await;
    println!("{findings:?}");
    assert_eq!(findings.wrong, [] as [String; 0], "seed {seed}");
    findings
}

#[test]
fn no_forgotten_attempt_runs_again_in_a_soak_with_copies_of_executed_commands() {
    run(async {
        let findings = soak(loopback::plan("command_copies", 228, 3), SEED).await;
        assert!(findings.starts > 50, "{findings:?}");
        assert!(findings.copies_refused > 50, "{findings:?}");
    });
}

#[test]
fn no_forgotten_attempt_runs_again_in_a_soak_with_copies_and_several_shards() {
    run(async {
        let plan = Plan {
            properties: "blocks.least=3\n",
            ..loopback::plan("command_copies_shards", 232, 3)
        };
        let findings = soak(plan, SEED + 1).await;
        assert!(findings.starts > 50, "{findings:?}");
    });
}
