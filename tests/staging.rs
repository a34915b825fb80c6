//! Images that go from machine to machine, as the owner of the shard decides:
//! the core alone, with what the state service and the workers would say.

#[path = "cluster_states/machine_types.rs"]
mod machine_types;
#[path = "cluster_states/teams.rs"]
mod teams;

mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use serde_json::{json, Value};
use sorrelhinge::agent_client::Sending;
use sorrelhinge::api::read_job;
use sorrelhinge::config::Tuning;
use sorrelhinge::control::core::{Batch, Core, MachineZones, RecoveryInput, ShardGrant, Source};
use sorrelhinge::scheduler::{ClusterState, DelayRule, Job, Machine, Tasks};
use sorrelhinge::state::record::{image_hash, job_key, rollout_key, JobRecord, GRANT};
use sorrelhinge::state::view::View;
use sorrelhinge::types::{
    Image, JobId, JobSpec, Kind, MachineId, MachineType, Priority, Revision, Time, Zone,
};
use sorrelhinge_sharding::shard::ShardId;

use self::machine_types::machine_type;
use self::teams::team;

const MODEL: &str = "llm-1";

fn kind() -> MachineType {
    MachineType {
        cache_gb: 100.0,
        fetch_gb_per_s: 0.5,
        ..machine_type(4.0, 16.0, &["za", "zb"])
    }
}

fn service(uid: &str, replicas: u32, image: &str, gb: f64, cpus: f64) -> JobSpec {
    let job = json!({"uid": uid, "jobclass": "live", "crew": "red", "shape": "standing",
        "rank": "critical", "pieces": replicas, "cpus": cpus, "cards": 0.0, "ram_gb": 1.0,
        "bundle": image, "pull_gb": gb, "builds": null, "rack": null, "together": false,
        "spread": false, "loaners": false, "guess_s": 1.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": null});
    read_job(job).expect("a job")
}

/// The state service, the workers, and the owner of the shard.
struct World {
    properties: &'static str,
    core: Core,
    view: View,
    revision: u64,
    /// Every write and delete so far.
    log: Vec<Value>,
    now: f64,
    ticks: u64,
    grant: u64,
    /// Machines with their zones and the fencing token that they know; tasks with their
    /// phases; and what each start named.
    workers: BTreeMap<String, (&'static str, u64)>,
    tasks: BTreeMap<(String, String), (u64, &'static str)>,
    starts: BTreeMap<String, Vec<String>>,
}

fn addr(id: &str) -> String {
    let n: u8 = id[1..].parse().expect("a number");
    format!("127.0.0.{}:9000", n + 1)
}

impl World {
    fn new(properties: &'static str, machines: usize) -> Self {
        let mut view = View::default();
        view.replace(Revision(0), Vec::new());
        let mut world = Self {
            properties,
            core: core(properties, &view, 0, 0.0),
            view,
            revision: 0,
            log: Vec::new(),
            now: 0.0,
            ticks: 0,
            grant: 0,
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            starts: BTreeMap::new(),
        };
        world.begin_leadership();
        for n in 0..machines {
            let zone = if n % 2 == 0 { "za" } else { "zb" };
            world.workers.insert(format!("m{n}"), (zone, 0));
        }
        world
    }

    /// One revision is one transaction.
    fn next_revision(&mut self, mut events: Vec<Value>) -> String {
        self.revision += 1;
        for event in &mut events {
            event["stamp"] = self.revision.into();
        }
        self.log.extend(events.iter().cloned());
        json!({"ledger": self.revision, "events": events}).to_string()
    }

    fn apply(&mut self, text: &str) {
        let since = self.view.store_revision;
        let events = serde_json::from_str(text).expect("events");
        self.view.apply(since, events);
    }

    fn put(&mut self, change: Value) {
        let text = self.next_revision(vec![change]);
        self.apply(&text);
    }

    /// Another owner, which knows what is recorded and nothing more.
    fn begin_leadership(&mut self) {
        self.grant += 1;
        let grant = json!({"owner": "n-0", "term": self.grant, "number": self.grant});
        self.put(json!({"write": GRANT, "value": grant}));
        self.view.take_changed();
        self.core = core(self.properties, &self.view, self.grant, self.now);
    }

    fn submit(&mut self, uid: &str, spec: JobSpec) {
        let record = JobRecord::accepted(spec, 0, 1024);
        self.put(json!({"write": job_key(&JobId::from(uid)), "value": record}));
        let changed = self.view.take_changed();
        self.core
            .jobs_changed(&self.view, &changed, Time(self.now), 0);
    }

    /// A heartbeat of a machine.
    fn heartbeat(&mut self, id: &str) -> Value {
        self.ticks += 1;
        let tasks: Vec<Value> = self
            .tasks
            .iter()
            .filter(|((m, _), _)| m == id)
            .map(|((_, task_name), (attempt, phase))| json!({"piece": task_name, "try": attempt, "phase": phase}))
            .collect();
        let (zone, fencing_token) = self.workers[id];
        json!({"box": id, "addr": addr(id), "build": "t", "rack": zone, "loaners": false,
            "shift": 1, "tick": self.ticks, "baton": fencing_token, "warning_s": null, "pieces": tasks})
    }

    fn exchange_heartbeat(&mut self, id: &str) {
        let heartbeat = self.heartbeat(id);
        let heartbeat = serde_json::from_value(heartbeat).expect("a report");
        self.core
            .heartbeat(&heartbeat, Source::Heartbeat, Time(self.now));
        let id = MachineId::from(id);
        let reply = self.core.reply(&id, &self.view, Time(self.now));
        let reply = serde_json::to_value(reply).expect("a reply");
        self.carry_out(id.as_str(), &reply);
    }

    fn carry_out(&mut self, id: &str, commands: &Value) {
        let fencing_token = commands["baton"].as_u64().expect("a token");
        self.workers.get_mut(id).expect("it is there").1 = fencing_token;
        for order in commands["orders"].as_array().expect("orders") {
            let task_name = order["piece"].as_str().expect("a piece").to_owned();
            let key = (id.to_owned(), task_name.clone());
            if order["verb"] != "start" {
                self.tasks.remove(&key);
                continue;
            }
            let attempt = order["try"].as_u64().expect("a number");
            self.tasks.insert(key, (attempt, "fetching"));
            let from = order["from"].as_array().into_iter().flatten();
            let from = from.map(|f| f.as_str().expect("one").to_owned());
            self.starts.insert(task_name, from.collect());
        }
    }

    fn record(&mut self, batch: Batch) {
        let transaction = serde_json::to_value(&batch.transaction).expect("a transaction");
        let changes = transaction["apply"].as_array().cloned().expect("changes");
        let text = self.next_revision(changes);
        let revision = Revision(self.revision);
        self.core
            .transaction_committed(batch, revision, &mut self.view, Time(self.now));
        self.apply(&text);
        self.view.take_changed();
    }

    /// Half a second of an owner's work. `heard`: machines that heartbeat.
    fn step(&mut self, heard: &[String]) {
        self.now += 0.5;
        for id in heard {
            if self.workers.contains_key(id) {
                self.exchange_heartbeat(id);
            }
        }
        let now = Time(self.now);
        self.core.tick(now);
        self.core.place_all(now);
        while let Some(batch) = self.core.next_batch(&self.view, 4, true, now) {
            self.record(batch);
        }
        for send in self.core.dispatch(&self.view, now) {
            let id = send.machine.as_str().to_owned();
            if !heard.contains(&id) {
                self.core.dispatched(&send.machine, Sending::NotSent, now);
                continue;
            }
            let commands = serde_json::to_value(&send.commands).expect("orders");
            self.carry_out(&id, &commands);
            let heartbeat = serde_json::from_value(self.heartbeat(&id)).expect("a report");
            let outcome = Sending::Executed(Box::new(heartbeat));
            self.core.dispatched(&send.machine, outcome, now);
        }
    }

    fn steps(&mut self, n: usize) {
        let all: Vec<String> = self.workers.keys().cloned().collect();
        for _ in 0..n {
            self.step(&all);
        }
    }

    /// Keys of rollouts' records that were written or deleted.
    fn rollout_changes(&self) -> Vec<&Value> {
        let rollout = |e: &&Value| {
            let key = e["write"].as_str().or(e["delete"].as_str());
            key.is_some_and(|k| k.starts_with("h/wave/"))
        };
        self.log.iter().filter(rollout).collect()
    }

    /// How many starts went out, and how many of them name no source.
    fn counts(&self) -> (usize, usize) {
        let origin = self.starts.values().filter(|from| from.is_empty());
        (self.starts.len(), origin.count())
    }

    fn until_started(&mut self, n: usize) {
        while self.starts.len() < n && self.now < 20.0 {
            self.steps(1);
        }
        assert_eq!(self.counts(), (n, 2), "one copy for each zone");
    }
}

fn core(properties: &str, view: &View, grant: u64, now: f64) -> Core {
    let mut config = (*settings::config(100.0)).clone();
    config.tuning = Tuning::parse(properties.as_bytes()).expect("properties");
    let grant = ShardGrant::whole(grant, view.grant.mod_revision);
    let input = RecoveryInput {
        cfg: Rc::new(config),
        types: &[kind()],
        view,
        topology: None,
        now: Time(now),
        wall_ms: 0,
    };
    Core::recover(&input, grant, MachineZones::default())
}

const ON: &str = "staging.least.gb=20";

/// Without the property not a field and not a record differs; nor with it for
/// images below its size.
#[test]
fn sources_are_named_and_recorded_only_where_it_is_on() {
    for (properties, gb, on) in [("", 40.0, false), (ON, 19.0, false), (ON, 40.0, true)] {
        let mut world = World::new(properties, 6);
        world.submit("run-1", service("run-1", 6, MODEL, gb, 3.0));
        world.steps(8);
        let copies = if on { 2 } else { 6 };
        assert_eq!(world.counts(), (6, copies), "{properties} {gb}");
        assert_eq!(!world.rollout_changes().is_empty(), on, "{properties} {gb}");
    }
    let deployed = include_bytes!("../deploy/staging.properties");
    let deployed = Tuning::parse(deployed).expect("valid");
    assert_eq!(deployed.staging_least_gb, Some(20.0));
}

/// The first stage is twelve machines: the others' starts wait for the next, which
/// is recorded before one of them goes out. They keep nobody else waiting, and no
/// machine is taken for hanging however long its fetch takes.
#[test]
fn a_start_waits_for_its_stage_and_holds_up_nobody() {
    let mut world = World::new(ON, 40);
    world.submit("run-1", service("run-1", 36, MODEL, 40.0, 3.0));
    world.submit("run-2", service("run-2", 36, "small", 0.1, 1.0));
    let wide = |w: &World| w.starts.keys().filter(|p| p.starts_with("run-1/")).count();
    let mut stage = 0;
    while wide(&world) < 36 && world.now < 60.0 {
        world.steps(1);
        let written = world.rollout_changes();
        let last = written.last();
        stage = last.map_or(0, |e| e["value"]["s"].as_u64().expect("a stage"));
        let started = wide(&world);
        assert!(started <= 12 || stage > 0, "{started} in the first stage");
    }
    assert_eq!(wide(&world), 36, "within {} s", world.now);
    assert_eq!(world.starts.len(), 72, "the others' tasks");
    assert_eq!(stage, 1);
    // Copies from the origin: one for each zone, whatever the number of machines.
    let models = world.starts.iter().filter(|(p, _)| p.starts_with("run-1/"));
    assert_eq!(models.filter(|(_, from)| from.is_empty()).count(), 2);
    // A fetch of 80 s: nobody is given back, and nothing is started again.
    world.steps(120);
    assert_eq!(world.starts.len(), 72);
    let gone = world.core.plan_scaling(Time(world.now)).to_delete;
    assert_eq!(gone, [], "machines that fetch are kept");
    // Once all run, and nothing wants it any more, no record is left.
    for (_, phase) in world.tasks.values_mut() {
        *phase = "running";
    }
    world.steps(20);
    let last = world.rollout_changes().pop().cloned().expect("a change");
    let key = rollout_key(ShardId(0), image_hash(&Image::from(MODEL)));
    assert_eq!(last["delete"], key);
    let changes = world.rollout_changes();
    assert!(changes.len() <= 5, "{changes:?}");
}

/// The owner ends in the middle of a stage: the next one has the rollout's record
/// before it decides anything, waits until it has heard what was started, goes on
/// in the same stage, and asks the origin for next to nothing.
#[test]
fn a_successor_goes_on_where_the_rollout_was() {
    let mut world = World::new(ON, 40);
    world.submit("run-1", service("run-1", 30, MODEL, 40.0, 3.0));
    world.until_started(30);
    let before = world.rollout_changes().len();
    world.begin_leadership();
    world.submit("run-2", service("run-2", 8, MODEL, 40.0, 3.0));
    // A machine that has a start is not heard for a while.
    let all: Vec<String> = world.workers.keys().cloned().collect();
    let (silent, _) = world.tasks.keys().next().cloned().expect("a task");
    let heard: Vec<String> = all.into_iter().filter(|m| *m != silent).collect();
    for _ in 0..6 {
        world.step(&heard);
    }
    // Not before all that was started is known.
    assert_eq!(world.starts.len(), 30);
    world.steps(30);
    let (starts, copies) = world.counts();
    // Who has an upload free isn't known: a zone may take one copy more.
    assert!(starts == 38 && copies <= 4, "{:?}", world.starts);
    for change in &world.rollout_changes()[before..] {
        assert_eq!(change["value"]["s"], 1, "{change}");
    }
}

/// What had only waited for its stage when its owner ended has no image: it takes
/// it from the others, though the record says that it was placed there.
#[test]
fn a_start_that_waited_proves_no_image() {
    let mut world = World::new(ON, 18);
    world.submit("run-1", service("run-1", 18, MODEL, 40.0, 3.0));
    world.until_started(12);
    world.begin_leadership();
    world.steps(30);
    assert_eq!(world.counts(), (18, 2), "{:?}", world.starts);
}

/// Who took the image from the origin is lost: nobody is sent to it any more, and
/// the zone goes on from the others.
#[test]
fn a_machine_that_is_lost_is_nobodys_source() {
    let mut world = World::new(ON, 10);
    world.submit("run-1", service("run-1", 6, MODEL, 40.0, 3.0));
    world.until_started(6);
    let head = |(_, task_name): &&(String, String)| world.starts[task_name].is_empty();
    let (lost, _) = world.tasks.keys().find(head).cloned().expect("one");
    world.workers.remove(&lost);
    world.tasks.retain(|(m, _), _| *m != lost);
    let gone = [MachineId::from(lost.as_str())];
    world.core.apply_deletions(&gone, Time(world.now));
    world.starts.clear();
    world.submit("run-2", service("run-2", 3, MODEL, 40.0, 3.0));
    world.steps(12);
    // Three new ones, and the lost one again.
    assert_eq!(world.starts.len(), 4);
    for (task_name, from) in &world.starts {
        assert!(!from.contains(&addr(&lost)), "{task_name} from {from:?}");
        assert!(!from.is_empty(), "{task_name}: others have it");
    }
}

/// A record that a later version wrote is left alone: its image is fetched as
/// before, and no claim waits for a write that can't succeed. One of a shard that
/// there is no more is deleted.
#[test]
fn records_of_a_later_version_and_of_no_shard() {
    let mut world = World::new(ON, 4);
    let hash = image_hash(&Image::from(MODEL));
    let later = json!({"v": 9, "i": MODEL, "s": {"more": 1}});
    world.put(json!({"write": rollout_key(ShardId(0), hash), "value": later}));
    let old = json!({"v": 1, "i": MODEL, "s": 2, "m": ["m0"]});
    world.put(json!({"write": rollout_key(ShardId(1), hash), "value": old}));
    world.begin_leadership();
    world.submit("run-1", service("run-1", 4, MODEL, 40.0, 3.0));
    world.steps(8);
    assert_eq!(world.counts(), (4, 4));
    let changes = world.rollout_changes();
    assert_eq!(changes.len(), 3, "{changes:?}");
    assert_eq!(changes[2]["delete"], rollout_key(ShardId(1), hash));
}

fn cluster_state(machines: usize) -> ClusterState {
    let mut cluster_state = ClusterState::new(vec![team("red", 100.0, 100.0)]);
    cluster_state.staged_gb = Some(20.0);
    for n in 0..machines {
        let mut machine = Machine::new(Rc::new(kind()), Zone::from("za"), false, Time(0.0));
        machine.usable = true;
        cluster_state.add_machine(MachineId::from(format!("m{n}").as_str()), machine);
    }
    cluster_state
}

fn add(cluster_state: &mut ClusterState, uid: &str, spec: JobSpec) {
    let tasks = Tasks::new(spec.tasks, 64);
    let job = Job::new(Rc::new(spec), 0, Time(0.0), tasks);
    cluster_state.add_job(JobId::from(uid), job);
}

/// A fetch that is nearly over is not given up for one that has just begun.
#[test]
fn the_fetch_that_has_just_begun_gives_way() {
    let mut cluster_state = cluster_state(2);
    let bulk = |uid: &str| JobSpec {
        kind: Kind::Array,
        priority: Priority::Normal,
        ..service(uid, 1, MODEL, 40.0, 4.0)
    };
    let mut on = Vec::new();
    // 40 GB at 0.5 GB/s: one has 70 s of 80 behind it, the other 1 s.
    for (uid, at) in [("run-1", 0.0), ("run-2", 70.0)] {
        add(&mut cluster_state, uid, bulk(uid));
        for launch in cluster_state.place(RULE, Time(at)) {
            cluster_state
                .claim_mut(&launch.task)
                .expect("its claim")
                .committed = true;
            on.push(launch.task);
        }
    }
    add(
        &mut cluster_state,
        "run-3",
        service("run-3", 1, "small", 0.1, 4.0),
    );
    assert_eq!(
        cluster_state.place(RULE, Time(71.0)).len(),
        0,
        "there is no room"
    );
    let stopped = cluster_state.preempt(|_| 0.0, Time(71.0));
    assert_eq!(stopped, on[1..]);
}

const RULE: DelayRule = DelayRule {
    fetches: 0.05,
    max_s: 5.0,
};

/// Replicas that need the same weights share machines.
#[test]
fn replicas_share_weights() {
    let mut cluster_state = cluster_state(4);
    add(
        &mut cluster_state,
        "run-1",
        service("run-1", 4, MODEL, 60.0, 2.0),
    );
    let placed = cluster_state.place(RULE, Time(0.0));
    let on: BTreeSet<&MachineId> = placed.iter().map(|l| &l.machine).collect();
    assert_eq!((placed.len(), on.len()), (4, 2), "two on each of two");
}

/// The version that serves stays where its upgrade is fetched, though it is the one
/// that was used least recently.
#[test]
fn an_upgrade_leaves_the_version_that_serves() {
    let mut cluster_state = cluster_state(1);
    let mut run = |uid: &str, image: &str, gb: f64| {
        add(&mut cluster_state, uid, service(uid, 1, image, gb, 1.0));
        let placed = cluster_state.place(RULE, Time(0.0));
        cluster_state.ran(&placed[0].task);
        if image == "old" {
            cluster_state.release(&placed[0].task, Time(0.0));
            cluster_state.remove_job(&JobId::from(uid));
        }
    };
    // 100 GB of free capacity: beside the first two the third doesn't fit.
    run("run-1", MODEL, 60.0);
    run("run-2", "old", 30.0);
    run("run-3", "llm-2", 30.0);
    let cache = &cluster_state.machines()[&MachineId::from("m0")].cache;
    let has = [MODEL, "old", "llm-2"].map(|i| cache.has(&Image::from(i)));
    assert_eq!(has, [true, false, true]);
}
