//! Jobs that wait for others: drawn at random with all other faults, whoever takes over
//! when, and while the limits of the state service fall.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::*;
use rand::Rng;
use serde_json::json;
use sorrelhinge::config::Config;
use sorrelhinge::control::core::{Core, MachineZones, RecoveryInput, ShardGrant};
use sorrelhinge::state::record::{job_key, JobRecord, Phase};
use sorrelhinge::state::view::View;
use sorrelhinge::types::{JobId, Revision, Time};

impl World {
    /// The jobs that a new one needs: accepted ones, and no services.
    pub(crate) fn draw_needs(&mut self, uid: &str) -> Vec<JobId> {
        if !self.pipelines || self.rng.random_bool(0.3) {
            return Vec::new();
        }
        let named = self.jobs.iter().filter(|(_, j)| j["shape"] != "standing");
        // Rather those that came of late: the others are mostly over. Now and then one
        // that never ends.
        let never = self.rng.random_bool(0.1);
        let named =
            named.filter(|(_, j)| never || j["jobclass"] != MISTAKEN && j["rank"] != "idle");
        let named: Vec<String> = named.map(|(id, _)| id.clone()).rev().take(6).collect();
        let mut needs = BTreeSet::new();
        for _ in 0..self.rng.random_range(1..3) {
            if !named.is_empty() {
                needs.insert(named[self.rng.random_range(0..named.len())].clone());
            }
        }
        let ids = needs.iter().map(|n| JobId::from(n.as_str())).collect();
        self.needs
            .insert(uid.to_owned(), needs.into_iter().collect());
        ids
    }

    fn recorded(&self, id: &str) -> &str {
        let (_, record) = &self.store.keys[&job_key(&JobId::from(id))];
        record["p"].as_str().expect("a phase")
    }

    fn needs_of(&self, id: &str) -> &[String] {
        self.needs.get(id).map_or(&[], Vec::as_slice)
    }

    /// `too_early`: a task starts only once the records of all jobs that its job needs
    /// say done.
    pub(crate) fn check_not_too_early(&self, task_name: &str, id: &str) {
        for need in self.needs_of(id) {
            let phase = self.recorded(need);
            assert_eq!(
                phase, "d",
                "too_early: {task_name} starts before {need} is done"
            );
        }
    }

    /// The jobs that are cancelled by their records, or with one that they need. Users name
    /// accepted jobs only, and the world counts ids up: what a job needs comes before it.
    fn all_cancelled(&self) -> BTreeSet<&String> {
        let mut cancelled: BTreeSet<&String> = BTreeSet::new();
        for id in self.jobs.keys() {
            let with_another = || self.needs_of(id).iter().any(|n| cancelled.contains(n));
            let is = match self.recorded(id) {
                "c" => true,
                "d" => false,
                _ => with_another(),
            };
            if is {
                cancelled.insert(id);
            }
        }
        cancelled
    }

    /// `orphaned`, and `went_back` for jobs that are cancelled with others: whoever has
    /// read everything tells the phase that follows from the records, at once.
    pub(crate) fn check_not_orphaned(&mut self) {
        if self.in_outage() || !self.pipelines {
            return;
        }
        self.store.follow(&mut self.reader);
        self.reader.take_changed();
        let cancelled = self.all_cancelled();
        for id in self.jobs.keys() {
            let told = self.reader.summary(&JobId::from(id.as_str()));
            let told = told.expect("known").phase == Phase::Cancelled;
            assert_eq!(told, cancelled.contains(id), "orphaned: {id}");
        }
    }

    /// Once the troubles are over: every array of which all ancestors are done is done,
    /// and nothing ran of jobs that are cancelled with others.
    fn pipelines_ended(&self, seed: u64) {
        let cancelled = self.all_cancelled();
        for (id, job) in &self.jobs {
            let ready = self.needs_of(id).iter().all(|n| self.recorded(n) == "d");
            let runs_on = job["shape"] == "standing" || job["jobclass"] == MISTAKEN;
            assert!(
                runs_on || !ready || self.recorded(id) != "l",
                "seed {seed}: {id} is still open: {job}"
            );
            let with_another = cancelled.contains(id) && self.recorded(id) == "l";
            let started = self.starts_of.contains_key(id);
            assert!(!with_another || !started, "seed {seed}: {id} ran");
        }
    }
}

/// Part of the jobs wait for others; jobs are cancelled at any place and moment, and all
/// faults meet.
#[test]
fn pipelines_keep_the_rules_while_all_faults_meet() {
    let (mut with_needs, mut ended_with_needs, mut cancelled_with_others) = (0, 0, 0);
    for seed in 500..508 {
        let mut world = World::of_shards(seed, false, 1 + seed as u32 % 3);
        world.pipelines = true;
        world.faults.drawn = true;
        world.note(&format!("seed {seed}"));
        for _ in 0..600 {
            world.step(true);
        }
        assert!(world.started > 20, "nothing_ran: seed {seed}");
        let cancelled = world.all_cancelled();
        let waiting = world.needs.keys();
        with_needs += waiting.clone().count();
        ended_with_needs += waiting
            .clone()
            .filter(|id| world.recorded(id) == "d")
            .count();
        let with_others = |id: &&String| world.recorded(id) == "l" && cancelled.contains(*id);
        cancelled_with_others += waiting.filter(with_others).count();
    }
    assert!(with_needs > 100, "{with_needs} jobs waited for others");
    assert!(ended_with_needs > 3, "{ended_with_needs} of them ended");
    assert!(
        cancelled_with_others > 10,
        "{cancelled_with_others} were cancelled with others"
    );
}

#[test]
fn pipelines_end_once_the_troubles_are_over() {
    for seed in 520..523 {
        let mut world = World::of_shards(seed, false, 1 + seed as u32 % 2);
        world.pipelines = true;
        for _ in 0..200 {
            world.step(true);
        }
        for _ in 0..2500 {
            world.step(false);
        }
        world.pipelines_ended(seed);
    }
}

/// Jobs are accepted under larger limits by the version before; then the limits fall,
/// without notice, whatever is under way. Their records are claimed, cancelled and ended
/// under the smaller ones.
#[test]
fn records_of_larger_limits_are_served_under_smaller_ones() {
    let mut rejected = 0;
    for seed in 540..544 {
        let mut world = World::of_shards(seed, false, 1 + seed as u32 % 2);
        world.pipelines = seed % 4 > 1;
        world.accepted_bytes = 8192;
        world.store.limits.value_bytes = 8192;
        for _ in 0..120 {
            world.step(true);
        }
        world.note("the limits fall");
        world.accepted_bytes = 1024;
        world.store.limits = Limits {
            value_bytes: 1024,
            changes: 4,
        };
        for _ in 0..200 {
            world.step(true);
        }
        for _ in 0..2500 {
            world.step(false);
        }
        world.pipelines_ended(seed);
        rejected += world.faults.rejected;
    }
    println!("{rejected} transactions were rejected for their size");
}

/// A description that alone is larger than a value may be by now.
#[test]
fn a_description_that_is_too_large_by_now_is_claimed_ended_and_cancelled() {
    for cancel in [false, true] {
        let mut world = World::new(560);
        world.calm = true;
        world.accepted_bytes = 8192;
        world.store.limits.value_bytes = 8192;
        let mut job = job_json(0, &mut world.rng);
        for (field, value) in [
            ("shape", json!("sweep")),
            ("jobclass", json!("batch")),
            ("rank", json!("normal")),
            ("pieces", json!(6)),
            ("cpus", json!(1.0)),
            ("together", json!(false)),
            ("loaners", json!(true)),
            ("bundle", json!("b".repeat(200))),
        ] {
            job[field] = value;
        }
        let types: Vec<String> = (0..12).map(|n| format!("{n}{}", "x".repeat(100))).collect();
        job["builds"] = json!(["t"]
            .into_iter()
            .map(String::from)
            .chain(types)
            .collect::<Vec<_>>());
        let uid = job["uid"].as_str().expect("uid").to_owned();
        world.accept(job);
        world.store.limits.value_bytes = 1024;
        for _ in 0..30 {
            world.step(false);
        }
        assert!(world.started > 0, "its tasks start");
        assert!(world.faults.rejected > 0, "the limits were met");
        if cancel {
            world.write_cancelled(&uid);
            world.cancelled.insert(uid.clone(), world.now);
        }
        for _ in 0..400 {
            world.step(false);
        }
        assert_eq!(world.recorded(&uid), if cancel { "c" } else { "d" });
        assert!(
            world.on_machines().next().is_none(),
            "all its tasks are gone"
        );
    }
}

fn core_of(view: &View, config: &Rc<Config>, now: Time, wall_ms: u64) -> Core {
    let grant = ShardGrant::whole(1, view.grant.mod_revision);
    let input = RecoveryInput {
        cfg: config.clone(),
        types: &kinds(),
        view,
        topology: None,
        now,
        wall_ms,
    };
    Core::recover(&input, grant, MachineZones::default())
}

fn accept(store: &mut Store, uid: &str, more: serde_json::Value, needs: &[&str], at_ms: u64) {
    let mut job = json!({"uid": uid, "jobclass": "batch", "crew": "red", "shape": "sweep",
        "rank": "idle", "pieces": 1, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "bundle": "i",
        "pull_gb": 0.1, "together": false, "spread": false, "loaners": true, "guess_s": 10.0,
        "mark_s": 0.0, "stash_s": 0.0});
    for (field, value) in more.as_object().expect("an object") {
        job[field] = value.clone();
    }
    let spec = sorrelhinge::api::read_job(job).expect("a job");
    let needs = needs.iter().map(|n| JobId::from(*n)).collect();
    let new = sorrelhinge::state::record::NewJob { spec, needs };
    let record = JobRecord::accepted(new, at_ms, 1024);
    let record = serde_json::to_value(record).expect("a record");
    store.write(&job_key(&JobId::from(uid)), record);
}

fn finish(store: &mut Store, uid: &str, done_ms: Option<u64>) {
    let key = job_key(&JobId::from(uid));
    let mut record: JobRecord =
        serde_json::from_value(store.keys[&key].1.clone()).expect("a record");
    record = record.done(0);
    record.done_ms = done_ms;
    store.write(&key, serde_json::to_value(record).expect("a record"));
}

fn view_of(store: &Store) -> View {
    let mut view = View::default();
    view.replace(Revision(0), Vec::new());
    store.follow(&mut view);
    view
}

/// A job that waits has no part in anything; once it is ready its times count from when
/// the last job that it needs was done, for every later owner, but its deadline from its
/// submission.
#[test]
fn times_count_from_readiness_and_the_deadline_from_submission() {
    let mut store = Store::default();
    let config = settings::config(1.0);
    accept(&mut store, "run-a", json!({}), &[], 0);
    accept(
        &mut store,
        "run-b",
        json!({"due_s": 100.0}),
        &["run-a"],
        5_000,
    );
    let b = JobId::from("run-b");
    let core = core_of(&view_of(&store), &config, Time(100.0), 10_000);
    assert!(core.cluster_state.job(&b).is_none(), "it waits");
    finish(&mut store, "run-a", Some(30_000));
    // The time of day is 40 s, and the clock of this process 100 s.
    let core = core_of(&view_of(&store), &config, Time(100.0), 40_000);
    let job = core.cluster_state.job(&b).expect("it is ready");
    assert_eq!(job.submitted, Time(90.0), "ready at 30 s");
    assert_eq!(job.objectives, [Time(165.0)], "due 100 s after 5 s");
}

/// A done job of an earlier version does not say since when; who names it was submitted
/// later, and is ready since its own submission.
#[test]
fn a_job_that_needs_one_done_long_ago_is_ready_since_its_submission() {
    let mut store = Store::default();
    accept(&mut store, "run-a", json!({}), &[], 0);
    finish(&mut store, "run-a", None);
    accept(&mut store, "run-b", json!({}), &["run-a"], 20_000);
    let core = core_of(
        &view_of(&store),
        &settings::config(1.0),
        Time(100.0),
        25_000,
    );
    let job = core
        .cluster_state
        .job(&JobId::from("run-b"))
        .expect("it is ready");
    assert_eq!(job.submitted, Time(95.0));
}

/// The jobs of a pipeline have the priority of the last, and have to be done in time for
/// it; that comes and goes with it, also for an owner that has them already.
#[test]
fn urgency_is_inherited_and_lost_again() {
    let mut store = Store::default();
    accept(&mut store, "run-a", json!({}), &[], 0);
    let mut view = view_of(&store);
    let (now, wall_ms) = (Time(100.0), 0);
    let mut core = core_of(&view, &settings::config(1.0), now, wall_ms);
    let a = JobId::from("run-a");
    let priority = |core: &Core| core.cluster_state.job(&a).expect("known").priority;
    assert_eq!(priority(&core), sorrelhinge::types::Priority::Idle);
    accept(
        &mut store,
        "run-b",
        json!({"rank": "high", "due_s": 60.0}),
        &["run-a"],
        0,
    );
    accept(
        &mut store,
        "run-c",
        json!({"rank": "critical"}),
        &["run-a"],
        0,
    );
    let mut follow = |store: &Store, core: &mut Core| {
        store.follow(&mut view);
        let changed = view.take_changed();
        core.jobs_changed(&view, &changed, now, wall_ms);
    };
    follow(&store, &mut core);
    assert_eq!(priority(&core), sorrelhinge::types::Priority::Critical);
    let objectives = core
        .cluster_state
        .job(&a)
        .expect("known")
        .objectives
        .clone();
    // 60 s, less the run of 10 s and what a job takes beside it.
    assert!(
        objectives.len() == 1 && (140.0..150.0).contains(&objectives[0].0),
        "{objectives:?}"
    );
    let key = job_key(&JobId::from("run-c"));
    let mut cancelled = store.keys[&key].1.clone();
    cancelled["p"] = json!("c");
    store.write(&key, cancelled);
    follow(&store, &mut core);
    assert_eq!(priority(&core), sorrelhinge::types::Priority::High);
}
