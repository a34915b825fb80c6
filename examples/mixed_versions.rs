//! Runs the version in production and this one side by side: real controllers on loopback,
//! one state service, each controller upgraded in turn and killed at any time, in several
//! orders; then pipelines and smaller limits once all are new.
//!
//! `cargo run --release --example mixed_versions`: builds the commit that
//! `deploy/service.toml` names from the repository's history. Not part of CI.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge_emulators::store::Limits;
use sorrelhinge_emulators::{run, HttpResponse, Plan, World};
use tokio::time::sleep;

/// Orders in which three controllers are upgraded.
const ORDERS: [[usize; 3]; 3] = [[0, 1, 2], [2, 0, 1], [1, 2, 0]];
/// Of a value and a transaction once the limits have fallen.
const FALLEN: Limits = Limits {
    value_bytes: 2 << 10,
    changes: 4,
};

fn succeed(command: &mut Command) {
    let status = command.status().expect("it runs");
    assert!(status.success(), "{command:?}: {status}");
}

/// Builds the version in production, and says where its program is.
fn production(target: &Path) -> PathBuf {
    let text = std::fs::read_to_string("deploy/service.toml").expect("deploy/service.toml");
    let deploy: toml::Table = text.parse().expect("TOML");
    let commit = deploy["production"].as_str().expect("a commit").to_owned();
    let tree = target.join("production");
    if !tree.exists() {
        let add = ["worktree", "add", "--detach"];
        succeed(Command::new("git").args(add).arg(&tree).arg(commit));
    }
    let build = ["build", "--release", "--locked", "--bin", "sorrelhinge"];
    let mut cargo = Command::new("cargo");
    cargo.args(build).current_dir(&tree);
    succeed(cargo.env("CARGO_TARGET_DIR", target.join("production-build")));
    target.join("production-build/release/sorrelhinge")
}

async fn done(world: &World, uid: &str) {
    for _ in 0..600 {
        if world.phase(uid).await == "done" {
            return;
        }
        sleep(Duration::from_millis(100)).await;
    }
    panic!("{uid} is not done");
}

/// Jobs of all sizes; the last of them is cancelled at once.
async fn submit(world: &World, rollout: usize) {
    for (n, tasks) in [(0, 1), (1, 30), (2, 90), (3, 60)] {
        let job = json!({"pieces": tasks, "cpus": 0.25, "ram_gb": 0.1, "guess_s": 1.0});
        world.submit(&format!("run-{rollout}-{n}"), job).await;
    }
    let path = format!("/v1/jobs/run-{rollout}-3/withdraw");
    let HttpResponse { status, body: told } = world.ask(Method::POST, &path, &Value::Null).await;
    assert_eq!(
        (status, &told["phase"]),
        (200, &json!("cancelled")),
        "{told}"
    );
}

async fn upgrade(order: [usize; 3], net: u8, old: &Path, new: &Path, folder: &Path) {
    let mut plan = Plan::plain("", net, 6, ("", ""));
    plan.program = old.to_owned();
    plan.folder = folder.join(format!("mixed_{net}"));
    plan.state_next = "value_kb = 2.0\ntxn_ops = 4\nwrite_rps = 200.0";
    let mut world = World::start(plan).await;
    world.until("a leader", 20, |w| w.leader().is_some()).await;
    submit(&world, 0).await;
    for (step, i) in order.into_iter().enumerate() {
        world.kill_controller(i);
        world.set_program(i, new);
        world.start_controller(i);
        submit(&world, 1 + step).await;
        // The leader, of either version, ends and is back as what it was.
        if let Some(leader) = world.leader() {
            world.kill_controller(leader);
            sleep(Duration::from_millis(100)).await;
            world.start_controller(leader);
        }
        submit(&world, 11 + step).await;
    }
    for rollout in [0, 1, 2, 3, 11, 12, 13] {
        for n in 0..3 {
            done(&world, &format!("run-{rollout}-{n}")).await;
        }
    }
    world.store.borrow_mut().set_limits(FALLEN);
    world
        .submit("run-root", json!({"pieces": 50, "guess_s": 0.2}))
        .await;
    let next = json!({"waits_on": ["run-root", "run-0-1"], "guess_s": 0.2});
    world.submit("run-next", next).await;
    done(&world, "run-next").await;
    world.rules_hold();
    world.history_holds(0);
    println!("upgraded in the order {order:?}: no rule broken");
}

fn main() {
    let target = std::env::current_dir().expect("a folder").join("target");
    let old = production(&target);
    let build = ["build", "--release", "--locked", "--bin", "sorrelhinge"];
    succeed(Command::new("cargo").args(build));
    let new = target.join("release/sorrelhinge");
    for (nth, order) in ORDERS.into_iter().enumerate() {
        let net = 168 + 4 * nth as u8;
        run(upgrade(order, net, &old, &new, &target));
    }
}
