//! No job waits for ever to begin: whatever comes after it, of whatever rank, and
//! however large it is. And what goes first for that leaves the rest its part.

mod cluster_states;

use std::rc::Rc;
use std::sync::Arc;

use cluster_states::{cluster_state, RULE};
use sorrelhinge::scheduler::{ClusterState, Job, Launch, Tasks};
use sorrelhinge::types::{Amount, Image, JobId, JobSpec, Kind, Priority, Time};

/// How long each task runs, in seconds.
const RUN_S: f64 = 20.0;

struct Cluster {
    cluster_state: ClusterState,
    now: f64,
    running: Vec<(f64, Launch)>,
    begun: Vec<(JobId, f64)>,
}

impl Cluster {
    /// Machines of 4 CPUs and a team that may use `limit` CPUs of them.
    fn new(machines: u32, limit: f64) -> Self {
        Self {
            cluster_state: cluster_state(machines, 4.0, false, &[("t", limit / 2.0, Some(limit))]),
            now: 0.0,
            running: Vec::new(),
            begun: Vec::new(),
        }
    }

    fn submit(&mut self, id: &str, priority: Priority, tasks: u32, objective_s: f64) {
        let spec = JobSpec {
            class: Arc::from(["bake", "fix"][usize::from(priority == Priority::High)]),
            team: Arc::from("t"),
            kind: Kind::Array,
            priority,
            tasks,
            each: Amount::new(4.0, 0.0, 1.0),
            image: Image::from("i"),
            image_gb: 0.1,
            types: None,
            zone: None,
            one_zone: false,
            spread: false,
            spot: false,
            estimate_s: RUN_S,
            checkpoint_s: 0.0,
            save_s: 0.0,
            deadline_s: None,
            placement: None,
            extension: None,
        };
        let objective = Time(self.now + objective_s);
        let job = Job {
            due: objective,
            objectives: vec![objective],
            ..Job::new(Rc::new(spec), 0, Time(self.now), Tasks::new(tasks, 64))
        };
        self.cluster_state.add_job(JobId::from(id), job);
    }

    /// A second passes.
    fn tick(&mut self) {
        self.now += 1.0;
        let now = Time(self.now);
        self.cluster_state.refresh_due_times(now);
        let (over, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(since, _)| now.0 - since >= RUN_S);
        self.running = running;
        for (_, launch) in over {
            self.cluster_state.release(&launch.task, now);
            let index = launch.task.index;
            let over = self.cluster_state.edit_job(&launch.task.job, |j| {
                j.tasks.set_done(index);
                j.tasks.all_done()
            });
            if over == Some(true) {
                self.cluster_state.remove_job(&launch.task.job);
            }
        }
        for launch in self.cluster_state.place(RULE, now) {
            let id = &launch.task.job;
            self.cluster_state.claimed_all(id);
            let job = self.cluster_state.job(id).expect("it is there");
            let placed = job.tasks.claims().len() as u32 + job.tasks.done();
            if placed == job.spec.tasks {
                self.begun.push((id.clone(), now.since(job.submitted)));
            }
            self.running.push((now.0, launch));
        }
    }

    fn began(&self, id: &str) -> Option<f64> {
        let found = self.begun.iter().find(|(j, _)| j.as_str() == id);
        found.map(|(_, after)| *after)
    }
}

/// Jobs of a higher rank, or that can still meet their objective, come faster than the
/// limit lets them run. Before, the one of lower rank began after all of them, and
/// so did the wide one that had missed its objective.
#[test]
fn a_job_begins_within_four_minutes_whatever_comes_after_it() {
    for later in [Priority::High, Priority::Normal] {
        let mut cluster = Cluster::new(10, 40.0);
        for n in 0..400 {
            cluster.submit(&format!("run-{n}"), later, 1, 60.0);
            if n == 40 {
                cluster.submit("run-wide", Priority::Normal, 8, 40.0);
            }
            cluster.tick();
        }
        let after = cluster.began("run-wide");
        assert!(after.is_some_and(|s| s <= 200.0), "{later:?}: {after:?}");
        // It did not stand in everybody's way for that.
        let others = cluster.begun.len();
        assert!(others > 150, "{others} began");
    }
}

/// A job that takes more than its team's limit begins too, but with a part of the
/// limit only: it would else keep all other work of its team waiting for as long as
/// it lasts.
#[test]
fn an_array_of_hours_begins_and_leaves_the_rest_its_part() {
    let mut cluster = Cluster::new(20, 40.0);
    let (mut max, mut began) = (0, None);
    for n in 0..400 {
        // Enough for the whole limit by themselves.
        cluster.submit(&format!("run-a{n}"), Priority::High, 1, 60.0);
        if n == 40 {
            cluster.submit("run-long", Priority::Normal, 5000, 40.0);
        }
        cluster.tick();
        if let Some(job) = cluster.cluster_state.job(&JobId::from("run-long")) {
            let held = job.tasks.claims().len() as u32;
            max = max.max(held);
            // As many as the limit allows at once.
            if began.is_none() && held + job.tasks.done() >= 10 {
                began = Some(n - 40);
            }
        }
    }
    assert!(began.is_some_and(|s| s <= 240), "{began:?}");
    // Half of ten tasks, and the one that is being placed.
    assert!(max <= 6, "{max} of 10");
}
