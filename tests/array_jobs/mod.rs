//! Arrays of tasks of one CPU each, which several tests of the placement use.

use std::rc::Rc;

use serde_json::json;
use sorrelhinge::api::read_job;
use sorrelhinge::scheduler::{ClusterState, Job, Progress, Tasks};
use sorrelhinge::types::{JobId, Time};

use super::cluster_states::RULE;

/// A job that may use spot machines, submitted at 0.
pub(crate) struct ArrayJob<'a> {
    pub uid: &'a str,
    /// Its team's place among the cluster's.
    pub team: usize,
    pub rank: &'a str,
    pub tasks: u32,
    /// How long its owner thinks that each task runs, in seconds.
    pub estimate_s: f64,
}

impl ArrayJob<'_> {
    /// Adds it to a cluster.
    pub(crate) fn add(self, cluster_state: &mut ClusterState) -> JobId {
        let value = json!({"uid": self.uid, "jobclass": self.rank, "crew": "a-team",
            "shape": "sweep", "rank": self.rank, "pieces": self.tasks, "cpus": 1.0, "cards": 0.0,
            "ram_gb": 1.0, "bundle": "img-1", "pull_gb": 0.1, "builds": null, "rack": null,
            "together": false, "spread": false, "loaners": true, "guess_s": self.estimate_s,
            "mark_s": 0.0, "stash_s": 0.0, "due_s": null});
        let spec = Rc::new(read_job(value).expect("a valid job"));
        let tasks = Tasks::new(spec.tasks, 64);
        let id = JobId::from(self.uid);
        cluster_state.add_job(id.clone(), Job::new(spec, self.team, Time(0.0), tasks));
        id
    }
}

/// Places what can be placed, and lets it run: how many tasks.
pub(crate) fn run_placed(cluster_state: &mut ClusterState, now: f64) -> usize {
    let launches = cluster_state.place(RULE, Time(now));
    for launch in &launches {
        let claim = cluster_state.claim_mut(&launch.task).expect("placed");
        claim.committed = true;
        claim.progress = Progress::Running(Time(now));
    }
    launches.len()
}

/// How many of a job's tasks are claimed.
pub(crate) fn claimed(cluster_state: &ClusterState, id: &JobId) -> usize {
    cluster_state.job(id).map_or(0, |j| j.tasks.claims().len())
}
