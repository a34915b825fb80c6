//! Machine types, places and jobs of the world.

use rand::rngs::StdRng;
use rand::Rng;
use serde_json::{json, Value};
use sorrelhinge::types::MachineType;

use crate::machine_types::machine_type;
use crate::*;

pub(crate) fn kinds() -> Vec<MachineType> {
    vec![machine_type(4.0, 16.0, &["za", "zb"])]
}

/// Two switches in each zone, told by the last digit of a machine's name, and
/// encoders on some machines, which the worker's own list has too.
pub(crate) const TOPOLOGY: &str = r#"
    version = 1
    levels = ["zone", "switch", "machine"]
    place = [
        {domain = "za/s0", patterns = ["*0", "*4", "*8"]},
        {domain = "za/s1", patterns = ["*2", "*6"]},
        {domain = "zb/s0", patterns = ["*1", "*5", "*9"]},
        {domain = "zb/s1", patterns = ["*3", "*7"]},
    ]
    [[device]]
    kind = "enc"
    patterns = ["*0", "*1", "*2", "*3", "*4"]
    units = ["a", "b", "c"]
    broken = ["b"]
    [repair]
    every_s = 5.0
    settle_s = 10.0
"#;

pub(crate) fn switch(w: &Worker) -> (&'static str, u32) {
    let digit = w.id.bytes().last().map_or(0, |b| u32::from(b - b'0'));
    // A machine whose name says another zone than the cloud is nowhere known,
    // and then each is a switch of its own for what the rules can promise.
    let zone = if digit % 2 == 0 { "za" } else { "zb" };
    if zone == w.zone {
        (w.zone, digit % 4 / 2)
    } else {
        (w.zone, 10)
    }
}

pub(crate) fn encoders(w: &Worker) -> &'static [&'static str] {
    match w.id.bytes().last() {
        Some(b'0'..=b'4') => &["a", "c"],
        _ => &[],
    }
}

/// What a job asks of it.
pub(crate) fn wishes_json(rng: &mut StdRng) -> Value {
    let mut wishes = json!({});
    if rng.random_bool(0.4) {
        wishes["spread"] = json!([{"level": "switch", "most": rng.random_range(1..4), "must": rng.random_bool(0.7)}]);
    }
    if rng.random_bool(0.4) {
        wishes["devices"] = json!([{"kind": "enc", "must": rng.random_bool(0.8)}]);
    }
    wishes
}

/// Tasks of this class run until they are stopped.
pub(crate) const ENDLESS: &str = "endless";

/// Jobs of this class were submitted with a mistake: they fail on every machine.
pub(crate) const MISTAKEN: &str = "mistaken";

pub(crate) fn job_json(id: u32, rng: &mut StdRng) -> Value {
    let service = rng.random_bool(0.2);
    let huge = !service && rng.random_bool(0.04);
    let tasks = if service {
        rng.random_range(1..3)
    } else if huge {
        rng.random_range(150..400)
    } else {
        rng.random_range(1..40)
    };
    let class = match (service, rng.random_bool(0.08)) {
        (true, _) => "live",
        (false, true) => MISTAKEN,
        (false, false) => "batch",
    };
    let rank = match (service, huge) {
        (true, _) => "critical",
        (false, true) => "idle",
        (false, false) if rng.random_bool(0.3) => "high",
        (false, false) => "normal",
    };
    let cpus = if huge {
        0.25
    } else {
        f64::from(rng.random_range(1..4))
    };
    json!({"uid": format!("run-{id:06}"), "jobclass": class,
        "crew": if rng.random_bool(0.5) {"red"} else {"blue"},
        "shape": if service {"standing"} else if tasks < 4 {"ensemble"} else {"sweep"},
        "rank": rank,
        "pieces": tasks, "cpus": cpus, "cards": 0.0, "ram_gb": if huge {0.2} else {1.0},
        "bundle": format!("img-{}", rng.random_range(0..4)), "pull_gb": 1.0, "builds": null,
        "rack": null, "together": !service && rng.random_bool(0.2), "spread": service,
        "loaners": !service && rng.random_bool(0.7), "guess_s": 5.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": null})
}
