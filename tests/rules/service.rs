//! What users are owed once the troubles are over: no job waits while there is free capacity
//! for it, and every accepted array ends (PROTOCOL's rules say nothing of either).

use std::collections::{BTreeMap, BTreeSet};

use serde_json::Value;
use sorrelhinge::state::record::job_key;
use sorrelhinge::types::JobId;

use crate::*;

/// A job may wait so long beside a machine with free capacity for it, in seconds.
const LONGEST_WAIT_S: f64 = 90.0;
/// What the red team of the world may use at most, in CPUs; the blue one's limit is
/// more than all machines have.
const RED_MOST: f64 = 10.0;
/// CPUs of each of the world's machines.
const MACHINE_CPUS: f64 = 4.0;

/// Since when each waiting job has had a machine with free capacity all along.
#[derive(Default)]
pub(crate) struct Waiting {
    since: BTreeMap<String, f64>,
}

impl Waiting {
    /// Looks at every live job; to be called after each step.
    pub(crate) fn check(&mut self, world: &World) {
        let fits: BTreeSet<&String> = world
            .jobs
            .iter()
            .filter(|(id, job)| waits(world, id, job) && has_capacity(world, job))
            .map(|(id, _)| id)
            .collect();
        self.since.retain(|id, _| fits.contains(id));
        for id in fits {
            let since = *self.since.entry(id.clone()).or_insert(world.now);
            assert!(
                world.now - since < LONGEST_WAIT_S,
                "waits: {id} has had room since {since}, now {}: {}",
                world.now,
                world.jobs[id]
            );
        }
    }
}

/// Whether the job is live, can run, and none of its tasks is on a machine.
fn waits(world: &World, id: &str, job: &Value) -> bool {
    let (_, record) = &world.store.keys[&job_key(&JobId::from(id))];
    record["p"] == "l"
        && job["jobclass"] != MISTAKEN
        && !world
            .on_machines()
            .any(|(_, task_name)| job_of(task_name) == id)
        && !all_done(world, id, job)
}

fn all_done(world: &World, id: &str, job: &Value) -> bool {
    let tasks = job["pieces"].as_u64().expect("pieces");
    (0..tasks).all(|n| world.done_tasks.contains(&format!("{id}/{n}")))
}

/// Whether one task of the job, of which none runs, fits a machine and its team's limit.
fn has_capacity(world: &World, job: &Value) -> bool {
    let cpus = |task_name: &str| {
        let job = piece_job(&world.jobs, task_name);
        job["cpus"].as_f64().expect("cpus")
    };
    let each = job["cpus"].as_f64().expect("cpus");
    let team = |task_name: &&String| piece_job(&world.jobs, task_name)["crew"] == job["crew"];
    let used = world.on_machines().map(|(_, p)| p).filter(team);
    let used: f64 = used.map(|p| cpus(p)).sum();
    if job["crew"] == "red" && used + each > RED_MOST {
        return false;
    }
    world.workers.iter().any(|w| {
        let there = w.tasks.iter().filter(|(_, r)| r.phase != "ended");
        let taken: f64 = there.map(|(p, _)| cpus(p)).sum();
        allowed(job, w) && !w.warned && taken + each <= MACHINE_CPUS
    })
}

fn allowed(job: &Value, w: &Worker) -> bool {
    (job["loaners"] == true || !w.spot) && (job["rack"].is_null() || job["rack"] == w.zone)
}

/// Every accepted array that was not cancelled, nor submitted with a mistake, is done.
pub(crate) fn all_arrays_ended(world: &World) {
    for (id, job) in &world.jobs {
        let (_, record) = &world.store.keys[&job_key(&JobId::from(id.as_str()))];
        let runs_on = job["shape"] == "standing" || job["jobclass"] == MISTAKEN;
        assert!(
            runs_on || record["p"] != "l",
            "open: {id} has not ended: {job}"
        );
    }
}
