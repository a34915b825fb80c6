//! Response of the operators' API with all lanes, and the text that `lanes show` prints of
//! it.

use std::fmt::Write;

use serde::{Deserialize, Serialize};

/// State of all priority lanes, as the operators' API returns it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LanesShown {
    /// State of each lane, in the order in which the scheduler serves the lanes.
    pub lanes: Vec<LaneShown>,
}

/// State of one priority lane.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LaneShown {
    /// Name of the lane.
    pub name: String,
    /// Sort value of the lane. The scheduler serves lanes with lower values first.
    pub order: i64,
    /// Largest part of the CPUs, from 0 to 1, that the lane may take ahead of other jobs.
    pub part: f64,
    /// Number of CPUs that the lane's jobs use.
    pub cpus: f64,
    /// Total number of CPUs, of which `cpus` is a part.
    pub of_cpus: f64,
    /// Pending jobs of the lane, in the order in which the scheduler serves them.
    pub waiting: Vec<WaitShown>,
}

/// Pending job in a lane, as operators see it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WaitShown {
    /// Id of the job.
    pub job: String,
    /// Class of the job, which the lane's class patterns match.
    pub class: String,
    /// Team that submitted the job.
    pub team: String,
    /// Place of the job in its lane: the revision of the first write of its record.
    pub place: u64,
    /// Time in seconds that the job has waited.
    pub waited_s: f64,
    /// Time in seconds until the latest start with which the job still meets its deadline. The
    /// value is negative once that start has passed. `None` if the job has no deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_s: Option<f64>,
    /// Whether the job goes before jobs with earlier places, because its latest start is near
    /// or the job has waited for long.
    #[serde(default)]
    pub front: bool,
    /// Reason why the job waits.
    pub why: String,
}

impl LanesShown {
    /// Formats the lanes and their pending jobs as text for a terminal.
    pub fn render(&self) -> String {
        let mut text = String::new();
        if self.lanes.is_empty() {
            text.push_str("no lanes\n");
        }
        for lane in &self.lanes {
            // Writing to a `String` does not fail.
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
