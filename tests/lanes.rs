//! Lanes: urgent work jumps the queue, in an order that stays whatever ends, and
//! the rest keeps its part (`docs/lanes.md`).

mod cluster_states;
mod loopback;
mod settings;

use std::rc::Rc;
use std::time::{Duration, Instant};

use cluster_states::RULE;
use hyper::Method;
use serde_json::{json, Value};
use sorrelhinge::api::read_job;
use sorrelhinge::config::Config;
use sorrelhinge::control::core::{Core, MachineZones, RecoveryInput, ShardGrant};
use sorrelhinge::scheduler::{ClusterState, Job, Laned, Tasks};
use sorrelhinge::state::record::{job_key, JobRecord};
use sorrelhinge::state::view::View;
use sorrelhinge::types::{Amount, JobId, JobSpec, Revision, TaskId, Time};
use sorrelhinge_emulators::{run, CommandOutput, HttpResponse, Plan, World};
use sorrelhinge_priority_lanes::{LaneId, Lanes};
use tokio::time::sleep;

const LANE: &str = "lane.urgent.classes=fix\nlane.urgent.part=0.5\n";
/// Machines of the small cluster, each with free capacity for one lane job.
const MACHINES: usize = 6;
/// Lane jobs between two ends of controllers.
const EACH: usize = 7;

async fn begin(name: &str, net: u8, controllers: usize, properties: &'static str) -> World {
    let world = World::start(Plan {
        controllers,
        properties,
        ..loopback::plan(&format!("lanes_{name}"), net, MACHINES as u8 / 3)
    })
    .await;
    // Nothing more is to be had: else nobody would wait.
    world.nodes.borrow_mut().full = true;
    let owned = move |w: &World| {
        if properties.contains("blocks") {
            (0..3).all(|b| w.store.borrow().get(&format!("h/block/{b}")).is_some())
        } else {
            w.leader().is_some()
        }
    };
    world.until("owners", 30, owned).await;
    world
}

/// All versions of a job's record, with their revisions.
fn versions(world: &World, uid: &str) -> Vec<(u64, Value)> {
    let store = world.store.borrow();
    let writes = store.writes(&format!("h/job/{uid}"));
    writes.into_iter().map(|(at, v)| (at, v.clone())).collect()
}

/// The revision at which the first claim of a job was recorded.
fn claimed(world: &World, uid: &str) -> Option<u64> {
    let has = |v: &Value| v["i"]["c"].as_array().is_some_and(|c| !c.is_empty());
    let versions = versions(world, uid);
    versions.iter().find(|(_, v)| has(v)).map(|(at, _)| *at)
}

/// How far a job has come.
fn reached(world: &World, uid: &str, step: usize) -> bool {
    match step {
        0 => !versions(world, uid).is_empty(),
        1 => claimed(world, uid).is_some(),
        _ => world.done(uid, 1),
    }
}

/// The lane jobs of these tests.
fn lane_job() -> Value {
    json!({"jobclass": "fix", "cpus": 4.0, "guess_s": 0.6})
}

/// Submits another job and a round's lane jobs, whose ids are returned: all but the last.
async fn submit_round(world: &World, other: &str, before: usize) -> Vec<String> {
    let bake = json!({"pieces": 2, "cpus": 4.0, "guess_s": 0.6});
    assert_eq!(world.submit(other, bake).await.status, 201);
    // The later the lower, so that an order by id would be noticed.
    let uids = (before..before + EACH).map(|n| format!("run-0{:05}", 900 - n));
    let uids: Vec<String> = uids.collect();
    for uid in &uids[..EACH - 1] {
        assert_eq!(world.submit(uid, lane_job()).await.status, 201);
    }
    uids
}

/// Submits the last lane job of a round, and waits until the watched one has come to a
/// step; for the first step without waiting for the answer.
async fn submit_until_step(world: &World, last: &str, watched: &str, step: usize) {
    let at_step = async {
        let end = Instant::now() + Duration::from_secs(20);
        // Closely: the answer follows the write within milliseconds.
        while !reached(world, watched, step.saturating_sub(1)) {
            assert!(Instant::now() < end, "{watched} in step {step}");
            sleep(Duration::from_millis(1)).await;
        }
    };
    if step == 0 {
        tokio::select! {
            _ = world.submit(last, lane_job()) => {}
            () = at_step => {}
        }
    } else {
        world.submit(last, lane_job()).await;
        at_step.await;
    }
}

/// The owner, or each third round all controllers, end at once and are back at once.
fn restart_at_once(world: &mut World, controllers: usize, round: usize) {
    let owner = world.leader().unwrap_or(round % controllers);
    let which = match round % 3 {
        2 => (0..controllers).collect(),
        _ => vec![owner],
    };
    for i in &which {
        world.kill_controller(*i);
    }
    for i in &which {
        world.start_controller(*i);
    }
}

/// A job that was sent before is accepted, and no controller accepts it a second time.
async fn accepted_once(world: &World, controllers: usize, last: &str) {
    let told = world.submit(last, lane_job()).await;
    assert_eq!(told.status, 201, "{told:?}");
    let job = world.job(last, lane_job());
    for i in 0..controllers {
        let again = world.ask_once(i, Method::POST, "/v1/jobs", &job).await;
        let again = again.map(|response| response.status);
        assert_ne!(again, Some(201), "{last} was accepted twice");
    }
}

/// In each round lane jobs and others come, and at a step of one of them (its first
/// write, its answer, its claim, its end) the owner or all controllers end and are back
/// at once; then it is sent again, to all of them.
async fn ends_in_each_step(world: &mut World, controllers: usize, rounds: usize) {
    // Enough that lane jobs wait all the time, and others beside them.
    let mut uids: Vec<String> = Vec::new();
    let mut others: Vec<String> = Vec::new();
    for round in 0..rounds {
        let other = format!("run-1{round:05}");
        uids.extend(submit_round(world, &other, uids.len()).await);
        others.push(other);
        let last = &uids[uids.len() - 1];
        let step = round % 4;
        // An older one for the later steps: the last has to wait for its turn.
        let watched = &uids[uids.len() - if step < 2 { 1 } else { EACH }];
        submit_until_step(world, last, watched, step).await;
        restart_at_once(world, controllers, round);
        accepted_once(world, controllers, last).await;
    }
    for uid in uids.iter().chain(&others) {
        let tasks = if uid.starts_with("run-1") { 2 } else { 1 };
        world
            .until("a job's tasks", 40, |w| w.done(uid, tasks))
            .await;
    }
    world.rules_hold();
    let order = keep_their_places(world, &uids);
    // Each shard has a queue of its own.
    if world.store.borrow().get("h/block/0").is_none() {
        none_is_overtaken(&order);
    }
}

/// Every version of each record has the place of the first write. Returns places
/// and revisions of first claims.
fn keep_their_places(world: &World, uids: &[String]) -> Vec<(u64, u64, String)> {
    let mut order = Vec::new();
    for uid in uids {
        let all = versions(world, uid);
        let place = all[0].0;
        for (at, version) in &all[1..] {
            let kept = version["p"] == "d" || version["o"] == json!(place);
            assert!(kept, "{uid} of place {place} at {at}: {version}");
        }
        let claim = claimed(world, uid).expect("it was done");
        order.push((place, claim, uid.clone()));
    }
    order.sort();
    order
}

/// Claims are compared, not starts: orders go to machines directly and may overtake
/// each other. And of jobs that are claimed together each transaction may fail or
/// be lost with its controller by itself, so that one's claim is recorded late: with
/// at most one claim a machine, that lets as many pass as there are machines, and as
/// many again if it happens twice. A place that is lost lets all pass.
fn none_is_overtaken(order: &[(u64, u64, String)]) {
    for (n, (place, claim, uid)) in order.iter().enumerate() {
        let later = order.iter().skip(n + 1 + 2 * MACHINES);
        let passed: Vec<_> = later.filter(|(_, c, _)| c < claim).collect();
        assert!(passed.is_empty(), "{uid} of {place}: {passed:?} first");
    }
}

#[test]
fn three_controllers_that_end_in_each_step_lose_nobodys_place() {
    run(async {
        let mut world = begin("three", 114, 3, LANE).await;
        ends_in_each_step(&mut world, 3, 8).await;
    });
}

#[test]
fn five_controllers_that_end_in_each_step_lose_nobodys_place() {
    run(async {
        let mut world = begin("five", 118, 5, LANE).await;
        ends_in_each_step(&mut world, 5, 6).await;
    });
}

#[test]
fn owners_of_shards_that_end_lose_nobodys_place() {
    run(async {
        let properties = "lane.urgent.classes=fix\nlane.urgent.part=0.5\nblocks.least=3\n";
        let mut world = begin("blocks", 126, 3, properties).await;
        ends_in_each_step(&mut world, 3, 3).await;
    });
}

/// Operators ask whom they like: who owns nothing sends them on.
#[test]
fn operators_see_who_waits_in_which_place_and_why() {
    run(async {
        let world = begin("shown", 122, 3, LANE).await;
        for (uid, tasks) in [("run-000002", MACHINES), ("run-000001", 1)] {
            let lane = json!({"jobclass": "fix", "cpus": 4.0, "guess_s": 60.0, "pieces": tasks});
            assert_eq!(world.submit(uid, lane).await.status, 201);
        }
        let owner = world.leader().expect("a leader");
        let end = Instant::now() + Duration::from_secs(20);
        // On a busy machine an answer may be too late, and the controller that is asked may
        // not have read the leader's record yet: it says so with 503.
        let HttpResponse { status, body: told } = loop {
            let answer = world.ask_one((owner + 1) % 3, "/v1/lanes").await;
            if let Some(answer) = answer.filter(|response| response.status != 503) {
                break answer;
            }
            assert!(Instant::now() < end, "no answer");
            sleep(Duration::from_millis(200)).await;
        };
        assert!(
            status == 421 && told["foreman"] == format!("c-{owner}"),
            "{status} {told}, the leader is {owner}"
        );
        // Until it was looked at, which is once a second.
        let end = Instant::now() + Duration::from_secs(20);
        let shown = loop {
            let CommandOutput { success, text } = world.command(&["lanes", "show", "--json"]).await;
            assert!(success, "{text}");
            let shown: Value = serde_json::from_str(&text).expect("JSON");
            let lane = &shown["lanes"][0];
            let one = lane["waiting"].as_array().is_some_and(|w| w.len() == 1);
            if one && lane["cpus"] == 24.0 && lane["waiting"][0]["why"] != "it has its turn" {
                break shown;
            }
            assert!(Instant::now() < end, "{shown}");
            sleep(Duration::from_millis(200)).await;
        };
        let (lane, waits) = (&shown["lanes"][0], &shown["lanes"][0]["waiting"][0]);
        assert!(lane["name"] == "urgent" && lane["part"] == 0.5, "{lane}");
        let place = versions(&world, "run-000001")[0].0;
        assert!(waits["job"] == "run-000001" && waits["place"] == place);
        let CommandOutput { success, text } = world.command(&["lanes", "show"]).await;
        let line = format!("1. run-000001 (fix, crew), place {place}, waits");
        let why = waits["why"].as_str().expect("a reason");
        assert!(
            success && text.contains(&line) && text.contains(why),
            "{text}"
        );
    });
}

/// Teams `a` and `b` with their guarantees in CPUs, and machines of 4 CPUs.
fn cluster_state(machines: u32, [a, b]: [f64; 2]) -> ClusterState {
    cluster_states::cluster_state(machines, 4.0, false, &[("a", a, None), ("b", b, None)])
}

fn lanes() -> Lanes {
    let pairs = LANE.lines().filter_map(|l| l.split_once('='));
    Lanes::read(pairs).expect("valid")
}

/// A job comes; with a place it is in the lane.
fn add(cluster_state: &mut ClusterState, uid: &str, team: usize, place: Option<u64>, at: f64) {
    let class = if place.is_some() { "fix" } else { "bake" };
    let crew = ["a", "b"][team];
    let value = json!({"uid": uid, "jobclass": class, "crew": crew, "shape": "sweep",
        "rank": "normal", "pieces": 1, "cpus": 4.0, "cards": 0.0, "ram_gb": 1.0, "bundle": "i",
        "pull_gb": 0.1, "together": false, "spread": false, "loaners": false, "guess_s": 5.0,
        "mark_s": 0.0, "stash_s": 0.0});
    let spec = Rc::new(read_job(value).expect("a valid job"));
    let job = Job {
        lane: place.map(|p| Laned::new(LaneId(0), Revision(p))),
        ..Job::new(spec, team, Time(at), Tasks::new(1, 64))
    };
    cluster_state.add_job(JobId::from(uid), job);
}

/// Looks and places: who was placed, in order.
fn turn(cluster_state: &mut ClusterState, now: f64) -> Vec<String> {
    cluster_state.refresh_due_times(Time(now));
    cluster_state.refresh_lanes(&lanes(), Time(now), (now * 1000.0) as u64);
    let launches = cluster_state.place(RULE, Time(now));
    let ids = launches.iter().map(|l| l.task.job.to_string());
    ids.collect()
}

/// All that is placed ends well.
fn end(cluster_state: &mut ClusterState, uids: &[String], now: f64) {
    for uid in uids {
        let task = TaskId::parse(&format!("{uid}/0")).expect("a task");
        cluster_state.release(&task, Time(now));
        cluster_state.remove_job(&task.job);
    }
}

/// The first jobs of the lane go ahead though they came last, with a half of all:
/// the other half goes on with other classes of their own team, or with another one.
#[test]
fn a_flood_in_a_lane_leaves_the_rest_its_part() {
    for others in [0, 1] {
        let mut cluster_state = cluster_state(10, [20.0, 20.0]);
        for n in 0..60 {
            add(
                &mut cluster_state,
                &format!("run-1{n:05}"),
                others,
                None,
                0.0,
            );
        }
        for n in 0..200 {
            let place = 1000 - n;
            add(
                &mut cluster_state,
                &format!("run-0{n:05}"),
                0,
                Some(place),
                1.0,
            );
        }
        for round in 0..5 {
            let now = 2.0 + f64::from(round);
            let placed = turn(&mut cluster_state, now);
            let lane = placed.iter().filter(|uid| uid.starts_with("run-0"));
            // By place, which is not by id.
            let want = (0..5).map(|n| format!("run-0{:05}", 199 - 5 * round - n));
            assert!(lane.eq(want.collect::<Vec<_>>().iter()), "{placed:?}");
            assert_eq!(placed.len(), 10);
            end(&mut cluster_state, &placed, now);
        }
    }
}

/// Beyond the part, while a job that fits nowhere waits beside them, they take their
/// turns by place too, though the clocks of those who accepted them say otherwise. And
/// one that comes does not wait for the next look.
#[test]
fn turns_beyond_the_part_go_by_place() {
    let mut cluster_state = cluster_state(10, [20.0, 20.0]);
    add(&mut cluster_state, "run-200000", 0, None, 0.0);
    too_wide(&mut cluster_state, "run-200000");
    for n in 0..20 {
        let submitted = 5.0 - 0.1 * n as f64;
        add(
            &mut cluster_state,
            &format!("run-0{n:05}"),
            0,
            Some(n),
            submitted,
        );
    }
    let placed = turn(&mut cluster_state, 6.0);
    let want: Vec<String> = (0..10).map(|n| format!("run-0{n:05}")).collect();
    assert_eq!(placed, want);

    end(&mut cluster_state, &placed, 6.0);
    let placed = turn(&mut cluster_state, 7.0);
    end(&mut cluster_state, &placed, 7.0);
    for n in 0..20 {
        add(&mut cluster_state, &format!("run-1{n:05}"), 1, None, 0.0);
    }
    add(&mut cluster_state, "run-300000", 1, Some(30), 7.2);
    let next = cluster_state.place(RULE, Time(7.2));
    assert_eq!(next[0].task.job.as_str(), "run-300000");
}

fn too_wide(cluster_state: &mut ClusterState, uid: &str) {
    cluster_state.edit_job(&JobId::from(uid), |job| {
        let each = Amount::new(64.0, 0.0, 1.0);
        let spec = (*job.spec).clone();
        job.spec = Rc::new(JobSpec { each, ..spec });
    });
}

/// The first of the lane fits nowhere, the next one's attempts come to nothing again
/// and again: those behind them go on.
#[test]
fn mistaken_jobs_and_one_that_fits_nowhere_hold_up_nobody() {
    let mut cluster_state = cluster_state(2, [4.0, 4.0]);
    for n in 0..12 {
        add(&mut cluster_state, &format!("run-{n:06}"), 0, Some(n), 0.0);
        add(&mut cluster_state, &format!("run-1{n:05}"), 1, None, 0.0);
    }
    let mistaken = "run-000001";
    too_wide(&mut cluster_state, "run-000000");
    let (mut sound, mut tries) = (Vec::new(), 0);
    for round in 0..40 {
        let now = 1.0 + f64::from(round);
        let mut placed = turn(&mut cluster_state, now);
        assert!(!placed.is_empty() || sound.len() == 10, "round {round}");
        if let Some(at) = placed.iter().position(|uid| uid == mistaken) {
            placed.remove(at);
            tries += 1;
            let task = TaskId::parse(&format!("{mistaken}/0")).expect("a task");
            cluster_state.release(&task, Time(now));
            // As its owner does: for longer each time.
            let hold_until = Time(now + f64::from(2 * tries));
            cluster_state.edit_job(&task.job, |job| job.hold_until = hold_until);
        }
        end(&mut cluster_state, &placed, now);
        sound.extend(placed.into_iter().filter(|uid| uid.starts_with("run-0")));
    }
    let want: Vec<String> = (2..12).map(|n| format!("run-{n:06}")).collect();
    assert_eq!(sound, want);
    assert!(tries > 2, "{tries} tries");
}

/// Guarantees hold for lane jobs as for all others.
#[test]
fn a_lane_job_beyond_its_guarantee_waits_for_work_below_one() {
    let mut cluster_state = cluster_state(4, [4.0, 12.0]);
    for n in 0..4 {
        add(&mut cluster_state, &format!("run-0{n:05}"), 0, Some(n), 0.0);
        add(&mut cluster_state, &format!("run-1{n:05}"), 1, None, 1.0);
    }
    let mut placed = turn(&mut cluster_state, 2.0);
    // The first is within its team's guarantee and goes ahead, though it takes a lane's
    // part of two machines.
    assert_eq!(placed[0], "run-000000");
    placed.sort();
    assert_eq!(placed[1..], ["run-100000", "run-100001", "run-100002"]);
}

/// Of jobs in a lane who waits is shown the same by the next owner, who has nothing
/// but the records: also where clocks of acceptors differ, and where a record was
/// rewritten in between.
#[test]
fn the_next_owner_serves_in_the_same_order() {
    let spec = json!({"class": "fix", "team": "red", "kind": "array", "priority": "normal",
        "tasks": 1, "each": {"cpu": 1000, "gpu": 0, "ram": 1000}, "image": "i", "image_gb": 1.0,
        "types": null, "zone": null, "one_zone": false, "spread": false, "spot": true,
        "estimate_s": 5.0, "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": 300.0});
    let spec: JobSpec = serde_json::from_value(spec).expect("a job");
    let config = Rc::new(Config {
        lanes: lanes(),
        ..(*settings::config(1.0)).clone()
    });
    // Clocks that are up to 20 s off.
    let accepted = |n: u64| JobRecord::accepted(spec.clone(), 40_000 - 7000 * (n % 6), 1024);
    let mut records: Vec<(JobId, JobRecord, u64)> = (0..8)
        .map(|n| (JobId::from(&*format!("run-{}", 9 - n)), accepted(n), n + 1))
        .collect();
    let serve = |records: &[(JobId, JobRecord, u64)]| {
        let mut view = View::default();
        let items = records.iter().map(|(id, record, mod_revision)| {
            let item = json!({"key": job_key(id), "value": record, "stamp": mod_revision});
            serde_json::from_str(&item.to_string()).expect("an item")
        });
        view.replace(Revision(90), items.collect());
        let grant = ShardGrant::whole(1, Revision(1));
        let now = Time(50.0);
        let input = RecoveryInput {
            cfg: config.clone(),
            types: &[],
            view: &view,
            topology: None,
            now,
            wall_ms: 50_000,
        };
        let mut core = Core::recover(&input, grant, MachineZones::default());
        core.tick(now);
        let waiting = core.show_lanes(now).lanes.remove(0).waiting;
        let order = waiting.into_iter().map(|w| (w.job, w.place));
        (view, order.collect::<Vec<_>>())
    };
    let (view, first) = serve(&records);
    let want = (0..8).map(|n| (format!("run-{}", 9 - n), n + 1));
    assert_eq!(first, want.collect::<Vec<_>>());
    for (n, (id, record, mod_revision)) in records.iter_mut().enumerate().step_by(3) {
        *record = view.job(id).expect("the job").rewritten(true);
        *mod_revision = 50 - n as u64;
    }
    assert_eq!(serve(&records).1, first);
}
