//! Tasks on the stand-ins' machines.

use std::time::Instant;

use serde_json::Value;

/// A task on a machine.
pub struct Task {
    /// Its phase, as heartbeats have it.
    pub phase: String,
    /// Why it ended, as heartbeats have it.
    pub(super) exit_reason: Option<&'static str>,
    /// When it was started.
    pub(super) since: Instant,
    /// How long it runs; for ever if it is a service's.
    pub(super) run_s: f64,
    pub(super) cpus: f64,
    /// It ends with an error.
    pub(super) fails: bool,
    /// Its devices, by kind and name.
    pub units: Vec<(String, String)>,
}

impl Task {
    /// What a start makes of a job's task: refused where the machine is full.
    pub(super) fn begin(job: &Value, cpus: f64, full: bool, units: &[(String, String)]) -> Self {
        let run_s = if job["shape"] == "standing" {
            f64::INFINITY
        } else {
            job["guess_s"].as_f64().unwrap_or(1.0)
        };
        Self {
            phase: if full { "ended" } else { "fetching" }.into(),
            exit_reason: full.then_some("full"),
            since: Instant::now(),
            run_s,
            cpus,
            fails: false,
            units: units.to_vec(),
        }
    }
}
