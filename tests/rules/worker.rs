//! A worker, as PROTOCOL describes it.

use std::collections::BTreeMap;

use serde_json::{json, Value};
use sorrelhinge::agent_client::Heartbeat;

pub(crate) struct Running {
    pub(crate) units: Vec<String>,
    pub(crate) attempt: u64,
    pub(crate) phase: &'static str,
    pub(crate) exit_reason: Option<&'static str>,
    pub(crate) left: f64,
}

/// A worker, as PROTOCOL describes it.
pub(crate) struct Worker {
    pub(crate) id: String,
    pub(crate) zone: &'static str,
    pub(crate) spot: bool,
    pub(crate) incarnation: u64,
    pub(crate) sequence: u64,
    pub(crate) fencing_token: u64,
    pub(crate) renewed: f64,
    pub(crate) silent_until: f64,
    /// Until then it heartbeats and hears nothing.
    pub(crate) silence_ignored_until: f64,
    /// Until then its heartbeats are lost; direct commands arrive.
    pub(crate) mute_until: f64,
    /// Until then it stands still, while its lease runs on.
    pub(crate) hangs_until: f64,
    pub(crate) warned: bool,
    pub(crate) tasks: BTreeMap<String, Running>,
}

impl Worker {
    /// The world's worker of this number: in two zones in turn, and the later ones spot.
    pub(crate) fn new(i: usize) -> Self {
        Self {
            id: format!("vm-{i:06}"),
            zone: if i % 2 == 0 { "za" } else { "zb" },
            spot: i >= 4,
            incarnation: 1,
            sequence: 0,
            fencing_token: 0,
            renewed: 0.0,
            silent_until: 0.0,
            silence_ignored_until: 0.0,
            mute_until: 0.0,
            hangs_until: 0.0,
            warned: false,
            tasks: BTreeMap::new(),
        }
    }

    pub(crate) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .map(|(task_name, r)| json!({"piece": task_name, "try": r.attempt, "phase": r.phase, "cause": r.exit_reason}))
            .collect();
        let heartbeat = json!({"box": self.id, "addr": "127.0.0.1:9", "build": "t", "rack": self.zone,
            "loaners": self.spot, "shift": self.incarnation, "tick": self.sequence, "baton": self.fencing_token,
            "warning_s": self.warned.then_some(9.0), "pieces": tasks});
        serde_json::from_value(heartbeat).expect("report")
    }
}
