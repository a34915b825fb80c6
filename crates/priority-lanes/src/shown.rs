//! What `lanes show` prints, and its answer on the operators' interface.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// All lanes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LanesShown {
    /// The first in order first.
    pub lanes: Vec<LaneShown>,
}

/// A lane.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneShown {
    /// Name.
    pub name: String,
    /// Its order.
    pub order: i64,
    /// Its part at most, 0 to 1.
    pub part: f64,
    /// CPUs that its jobs use.
    pub cpus: f64,
    /// CPUs of which that is a part.
    pub of_cpus: f64,
    /// Jobs that wait, the next one first.
    pub waiting: Vec<WaitShown>,
}

/// A job that waits in a lane.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitShown {
    /// Its id.
    pub job: String,
    /// Its class.
    pub class: String,
    /// Its team.
    pub team: String,
    /// Its place: the revision of its first write.
    pub place: u64,
    /// How long it has waited, in seconds.
    pub waited_s: f64,
    /// Seconds within which it must begin to be done by its deadline; negative
    /// once that is too late. None: no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_s: Option<f64>,
    /// Goes before earlier places: pressing, or it has waited for long.
    #[serde(default)]
    pub front: bool,
    /// Why it waits.
    pub why: String,
}

impl LanesShown {
    /// For a terminal.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if self.lanes.is_empty() {
            text.push_str("no lanes\n");
        }
        for lane in &self.lanes {
            // Writing into a string does not fail.
            let _ = writeln!(
                text,
                "{}: order {}, {:.0} of {:.0} CPUs, at most {:.0}% ahead of others, {} waiting",
                lane.name,
                lane.order,
                lane.cpus,
                lane.of_cpus,
                lane.part * 100.0,
                lane.waiting.len()
            );
            for (n, w) in lane.waiting.iter().enumerate() {
                let left = match w.left_s {
                    Some(left) if left < 0.0 => "too late for its deadline".to_owned(),
                    Some(left) => format!("must begin within {left:.0} s"),
                    None => "no deadline".to_owned(),
                };
                let front = if w.front { ", in front" } else { "" };
                let _ = writeln!(
                    text,
                    "  {}. {} ({}, {}), place {}, waits {:.0} s, {left}{front}: {}",
                    n + 1,
                    w.job,
                    w.class,
                    w.team,
                    w.place,
                    w.waited_s,
                    w.why
                );
            }
        }
        text
    }
}
