//! What comes in from outside: settings, jobs, records, peer messages.

#[path = "settings/controller.rs"]
mod controller;

use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use controller::{ControllerSettings, Team};
use serde_json::{json, Value};
use sorrelhinge::api::read_job;
use sorrelhinge::config::{lanes, Config, Tuning};
use sorrelhinge::peer_link::{
    listen, Answered, ForwardedHeartbeat, HeartbeatNotice, Kind, Message, MessageHead,
    PeerAnnouncement, PeerRequestHandler, Peers,
};
use sorrelhinge::peer_messages::{DelegatedTasks, Needs, Rented, TeamNeed};
use sorrelhinge::state::record::{
    chunk_key, chunk_size, job_key, member_key, rollout_key, shard_key, slice_key, ChunkId,
    ChunkRecord, GrantRecord, JobRecord, Key, Phase, RolloutId, ShardedGrantFence,
};
use sorrelhinge::state::view::{Versioned, View};
use sorrelhinge::types::{
    self, Amount, Attempt, FencingToken, Incarnation, JobId, JobSpec, MachineId, NodeId, Revision,
    SequenceNumber, TaskId,
};
use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_sharding::slices::Need;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use zerocopy::IntoBytes;

/// Valid settings with one team, one objective and a field that this version does not
/// know.
fn settings_text() -> String {
    let red = Team {
        name: "red",
        guarantee_cpus: 6.0,
        limit_cpus: 10.0,
    };
    let mut settings = ControllerSettings {
        teams: vec![red],
        more: "later_field = [1, 2]\n",
        more_params: "[[params.objectives]]\nkind = \"wait\"\nclass = \"live\"\nwithin_s = 2.0\n",
        ..ControllerSettings::small("n-0")
    };
    settings.state.value_kb = 4.0;
    settings.text()
}

#[test]
fn settings_ignore_unknown_fields_and_name_wrong_ones() {
    let config = Config::parse(&settings_text()).expect("valid");
    assert_eq!(config.start_objectives.get("live"), Some(&2.0));
    for (from, to, named) in [
        ("rps = 100.0", "rps = -1.0", "params.state.rps"),
        ("lease_s = 20.0", "", "lease_s"),
        ("cancel_s = 40.0", "cancel_s = 20.0", "cancel_s"),
        ("cpus = 6.0", "cpus = \"six\"", "cpus"),
        ("txn_ops = 4", "txn_ops = 1", "params.state.txn_ops"),
        ("zones = [\"za\"]", "zones = []", "params.zones"),
        ("bind = \"127.0.0.1:1\"", "bind = \"nowhere\"", "bind"),
    ] {
        let valid = settings_text();
        assert!(valid.contains(from), "{from} is not in the settings");
        let error = Config::parse(&valid.replacen(from, to, 1))
            .expect_err(to)
            .to_string();
        assert!(error.contains(named), "{error:?} does not name {named}");
        assert!(!error.contains('\n'), "{error:?} has more than one line");
    }
}

/// "A value of 0 means none" (DEPLOY): no guarantee, and no limit.
#[test]
fn a_team_listed_with_zero_has_no_limit() {
    let teams = r#"
[[params.teams]]
name = "guest"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
[[params.teams]]
name = "half"
cpus = 2.0
cpus_max = 0.0
gpus_max = 1.5
[[params.objectives]]"#;
    let config = Config::parse(&settings_text().replacen("[[params.objectives]]", teams, 1));
    let config = config.expect("valid");
    let amount = |cpu, gpu| Amount { cpu, gpu, ram: 0 };
    let none = Amount::NO_LIMIT;
    let read: Vec<_> = config
        .teams
        .iter()
        .map(|t| (t.guarantee, t.limit))
        .collect();
    assert_eq!(
        read,
        [
            (amount(6_000, 0), amount(10_000, none)),
            (amount(0, 0), amount(none, none)),
            (amount(2_000, 0), amount(none, 1_500)),
        ]
    );
    // The largest job there may be, many times over, stays within no limit.
    let huge = Amount::new(16.0, 8.0, 64.0).times(100_000).times(50);
    assert!(huge.fits_team(config.teams[1].limit));
    assert!(!Amount::new(10.1, 0.0, 0.0).fits_team(config.teams[0].limit));
}

#[test]
fn properties_refuse_unknown_keys_and_wrong_values() {
    let read = Tuning::parse(b"# faster\nleader.lease.s = 4\npreempt=false\n").expect("valid");
    assert_eq!((read.leader_lease_s, read.preempt), (4.0, false));
    assert_eq!(Tuning::parse(b"").expect("empty"), Tuning::default());
    let deployed = include_bytes!("../deploy/blocks.properties");
    assert_eq!(Tuning::parse(deployed).expect("valid").shards_least, 3);
    for wrong in [
        "leader.lease = 4",
        "leader.lease.s = four",
        "leader.lease.s = 0",
        "preempt = maybe",
        "blocks.least = 6",
        "blocks.least = 2.5",
        "blocks.move.every.s = 1",
        "lane.urgent.part = 2",
        "lane.urgent.color = red",
    ] {
        let read = Tuning::parse(wrong.as_bytes()).and_then(|_| lanes(wrong.as_bytes()));
        let error = read.expect_err(wrong).to_string();
        assert!(
            error.contains(wrong.split(' ').next().unwrap_or_default()),
            "{error}"
        );
    }
}

fn job() -> Value {
    json!({"uid": "run-000001", "jobclass": "c", "crew": "red", "shape": "sweep", "rank": "normal",
        "pieces": 3, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0, "bundle": "i", "pull_gb": 1.0,
        "together": false, "spread": false, "loaners": true, "guess_s": 1.0, "mark_s": 0.0,
        "stash_s": 0.0, "unknown": {}})
}

#[test]
fn jobs_are_read_strictly() {
    assert!(
        read_job(job()).is_ok(),
        "null may be omitted, unknown fields are ignored"
    );
    for (field, wrong) in [
        ("shape", json!("gang")),
        ("shape", json!(4)),
        ("rank", json!("urgent")),
        ("pieces", json!(0)),
        ("pieces", json!(100_001)),
        ("pieces", json!(1.5)),
        ("cpus", json!(-1.0)),
        ("cpus", json!("1")),
        ("ram_gb", json!(null)),
        ("bundle", json!("")),
        ("builds", json!([])),
        ("builds", json!("g8")),
        ("due_s", json!(-5.0)),
        ("loaners", json!("yes")),
    ] {
        let mut value = job();
        value[field] = wrong;
        assert!(
            read_job(value.clone()).is_err(),
            "{field} = {}",
            value[field]
        );
    }
    for field in ["crew", "pieces", "cards", "spread", "guess_s"] {
        let mut value = job();
        value.as_object_mut().expect("object").remove(field);
        assert!(read_job(value).is_err(), "{field} missing");
    }
}

#[test]
fn keys_and_tasks_read_back() {
    let job = JobId::from("run-7");
    assert_eq!(Key::parse(&job_key(&job)), Some(Key::Job(job.clone())));
    assert_eq!(
        Key::parse(&chunk_key(&job, 12)),
        Some(Key::Chunk(ChunkId::new(&job, 12)))
    );
    let (shard, node) = (ShardId(3), NodeId::from("n-1"));
    assert_eq!(Key::parse(&shard_key(shard)), Some(Key::Shard(shard)));
    assert_eq!(Key::parse(&slice_key(shard)), Some(Key::Slice(shard)));
    assert_eq!(Key::parse(&member_key(&node)), Some(Key::Member(node)));
    let rollout = Some(Key::Rollout(RolloutId {
        shard,
        image_hash: u64::MAX - 1,
    }));
    assert_eq!(Key::parse(&rollout_key(shard, u64::MAX - 1)), rollout);
    assert_eq!(Key::parse("h/block/5"), None, "there are never so many");
    assert_eq!(Key::parse("other/run-7"), None);
    assert_eq!(TaskId::parse("run-7/3"), Some(TaskId { job, index: 3 }));
    assert_eq!(TaskId::parse("run-7"), None);
    assert_eq!(TaskId::parse("run-7/x"), None);
}

/// While there are several shards, a version that knows one can't read the grant,
/// so it never takes all machines; this one reads who owns what, and after the
/// shards are united the grant again.
#[test]
fn several_shards_keep_out_who_knows_one() {
    let incompatible_marker = serde_json::to_string(&ShardedGrantFence {
        version: 2,
        shards: 3,
    });
    let incompatible_marker = incompatible_marker.expect("JSON");
    assert!(serde_json::from_str::<GrantRecord>(&incompatible_marker).is_err());
    let write = |key: &str, value: Value, mod_revision: u64| json!({"write": key, "value": value, "stamp": mod_revision});
    let grant = |number: u64| json!({"owner": "n-0", "term": 1, "number": number});
    let owned = json!({"v": 1, "owner": "n-1", "run": 7, "term": 1, "number": 5});
    let mut view = View::default();
    view.replace(Revision(0), Vec::new());
    let divided = [
        write("h/grant", grant(4), 1),
        write("h/map", json!({"v": 1, "blocks": 3}), 2),
        write("h/grant", json!({"v": 2, "blocks": 3}), 2),
        write("h/block/0", owned, 2),
        write("h/node/n-1", json!({"run": 7}), 3),
    ];
    view.apply(Revision(0), events(json!({"ledger": 3, "events": divided})));
    assert_eq!((view.shard_count(), view.newest_grant()), (3, 5));
    assert_eq!(view.grant.mod_revision, Revision(2));
    assert_eq!(view.members.len(), 1);
    let united = [
        json!({"delete": "h/node/n-1", "stamp": 4}),
        write("h/map", json!({"v": 1, "blocks": 1}), 5),
        write("h/grant", grant(6), 5),
        json!({"delete": "h/block/0", "stamp": 5}),
    ];
    view.apply(Revision(3), events(json!({"ledger": 5, "events": united})));
    assert_eq!((view.shard_count(), view.newest_grant()), (1, 6));
    assert!(view.shards.is_empty() && view.members.is_empty());
}

/// A chunk in which every task is claimed must stay within the value limit.
#[test]
fn full_chunks_fit_into_values() {
    for bytes in [1024, 4096, 32_768] {
        let size = chunk_size(bytes);
        let claims = (0..size)
            .map(|i| (i, Attempt(99_999), MachineId::from("vm-00000231")).into())
            .collect();
        let chunk = ChunkRecord {
            next_attempt: 99_999,
            done: u64::MAX,
            claims,
            units: Vec::new(),
            failed_attempts: u32::MAX,
        };
        let length = serde_json::to_string(&chunk).expect("record").len();
        assert!(length <= bytes, "{size} tasks take {length} of {bytes}");
    }
}

#[test]
fn any_later_grant_is_above_all_raises_of_an_earlier_one() {
    let mut fencing_token = FencingToken::of_grant(3);
    for _ in 0..1000 {
        fencing_token = fencing_token.raised();
    }
    assert!(fencing_token < FencingToken::of_grant(4));
    assert_eq!(fencing_token.grant(), 3);
}

#[test]
fn messages_of_another_version_kind_or_length_are_dropped() {
    let message = Message {
        kind: Kind::Submit,
        number: 77,
        status: 0,
        flags: 5,
        text: b"text".to_vec(),
        waits: false,
    };
    let bytes = message.encode().expect("short enough");
    let (header, text) = bytes.split_at(bytes.len() - 4);
    let MessageHead {
        message: read,
        text_bytes: length,
    } = Message::parse(header).expect("a header");
    assert_eq!((read.kind, read.number, length), (Kind::Submit, 77, 4));
    assert_eq!(text, b"text");
    // Magic, version, the kind's upper half, the length's upper half.
    for at in [0, 1, 2, 3, 4, 5, 7, 22, 23] {
        let mut other = header.to_vec();
        other[at] ^= 0x40;
        assert_eq!(Message::parse(&other), None, "byte {at}");
    }
    assert_eq!(Message::parse(&header[1..]), None);
    let text = vec![0; 1 << 20];
    assert_eq!(Message { text, ..message }.encode(), None);
}

fn events(value: Value) -> sorrelhinge::state::Events {
    serde_json::from_value::<Value>(value)
        .and_then(|v| serde_json::from_str(&v.to_string()))
        .expect("events")
}

/// Answers of the state service may overtake each other: an older one must
/// not take back what a newer one said, or a final state would change.
#[test]
fn the_view_never_goes_back() {
    let record = |phase: &str| json!({"p": phase, "n": 1, "k": 8, "t": 0});
    let event = |phase: &str, mod_revision: u64| json!({"write": "h/job/run-1", "value": record(phase), "stamp": mod_revision});
    let id = JobId::from("run-1");
    let phase = |view: &View| view.summary(&id).map(|s| s.phase);
    let mut view = View::default();
    view.replace(Revision(1), Vec::new());
    view.apply(
        Revision(1),
        events(json!({"ledger": 9, "events": [event("l", 3), event("d", 8)]})),
    );
    assert_eq!(phase(&view), Some(Phase::Done));
    view.apply(
        Revision(1),
        events(json!({"ledger": 4, "events": [event("l", 3)]})),
    );
    assert_eq!(
        (phase(&view), view.store_revision),
        (Some(Phase::Done), Revision(9))
    );
    // One that starts after what is known would leave a gap.
    view.apply(Revision(20), events(json!({"ledger": 30, "events": []})));
    assert_eq!(view.store_revision, Revision(9));
    view.apply(
        Revision(9),
        events(
            json!({"ledger": 12, "events": [{"write": "h/job/run-1", "value": 5, "stamp": 11}]}),
        ),
    );
    assert_eq!(
        phase(&view),
        Some(Phase::Done),
        "a malformed record changes nothing"
    );
}

/// Answers what is passed on with its own text, and notes who was heard.
#[derive(Default)]
struct Echo(Rc<RefCell<Vec<MachineId>>>);

impl PeerRequestHandler for Echo {
    fn hint(&self, _: Revision, _: &NodeId, _: PeerAnnouncement, _: u16) {}
    fn homed(&self, text: &[u8]) -> Answered {
        let text = text.to_vec();
        Answered { status: 200, text }
    }
    fn share(&self, _: Kind, _: &[u8]) {}
    fn heartbeats_announced(&self, machines: &[ForwardedHeartbeat]) {
        let read = machines.iter().filter_map(ForwardedHeartbeat::read);
        self.0
            .borrow_mut()
            .extend(read.map(|notice| notice.machine));
    }
    fn answer(self: Rc<Self>, _: Kind, text: Vec<u8>) -> Pin<Box<dyn Future<Output = Answered>>> {
        Box::pin(async move { Answered { status: 200, text } })
    }
}

/// Requests are answered with their own text, whatever their length.
async fn requests_are_answered(peers: &Peers, other: &NodeId) {
    for text in [b"one".to_vec(), vec![7; 60_000]] {
        let answered = peers.forward(other, Kind::Heartbeat, text.clone()).await;
        assert_eq!(answered, Some(Answered { status: 200, text }));
    }
}

/// Heartbeats taken for the owner go in batches, each with its answer.
async fn batched_heartbeats_are_answered(peers: &Rc<Peers>, other: &NodeId) {
    let many = (0..200_u32).map(|n| {
        let (peers, other, text) = (peers.clone(), other.clone(), n.to_string().into_bytes());
        spawn_local(async move {
            let answered = peers.forward(&other, Kind::Adopted, text.clone()).await;
            assert_eq!(answered, Some(Answered { status: 200, text }));
        })
    });
    for one in many.collect::<Vec<_>>() {
        one.await.expect("its own answer");
    }
}

/// Heartbeats of these machines as they are announced to their owner.
fn announced(names: &[MachineId]) -> Vec<ForwardedHeartbeat> {
    let told: Vec<ForwardedHeartbeat> = names
        .iter()
        .filter_map(|m| ForwardedHeartbeat::new(m, Incarnation(2), SequenceNumber(7)))
        .collect();
    assert_eq!(
        ForwardedHeartbeat::parse(told.as_bytes()).map(<[ForwardedHeartbeat]>::len),
        Some(300)
    );
    assert_eq!(
        ForwardedHeartbeat::parse(&told.as_bytes()[1..]),
        None,
        "of another length"
    );
    assert_eq!(
        told[0].read(),
        Some(HeartbeatNotice {
            machine: names[0].clone(),
            incarnation: Incarnation(2),
            sequence: SequenceNumber(7),
        })
    );
    let long_name = MachineId::from(&*"x".repeat(33));
    assert_eq!(
        ForwardedHeartbeat::new(&long_name, Incarnation(1), SequenceNumber(1)),
        None
    );
    told
}

/// Neither a controller that nobody knows answers, nor one a request that is too long.
async fn dead_lines_answer_nothing(peers: &Peers, other: &NodeId) {
    let nobody = NodeId::from("n-2");
    assert_eq!(
        peers.forward(&nobody, Kind::Heartbeat, Vec::new()).await,
        None
    );
    let long = vec![0; 1 << 20];
    assert_eq!(peers.forward(other, Kind::Heartbeat, long).await, None);
}

#[test]
fn requests_are_passed_on_and_a_dead_line_answers_nothing() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let echo = Echo::default();
        let reported = echo.0.clone();
        let listening = spawn_local(listen(listener, 8, Rc::new(echo)));
        let other = NodeId::from("n-1");
        let peers = Peers::start(&NodeId::from("n-0"), [(other.clone(), address)].into_iter());
        while peers.reachable().next().is_none() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        requests_are_answered(&peers, &other).await;
        batched_heartbeats_are_answered(&peers, &other).await;
        // Machines heard for their owner, more than one message takes.
        let names: Vec<MachineId> = (0..300)
            .map(|n| MachineId::from(&*format!("vm-{n:06}")))
            .collect();
        peers.heartbeats_announced(&other, &announced(&names));
        while reported.borrow().len() < names.len() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        assert_eq!(*reported.borrow(), names);
        dead_lines_answer_nothing(&peers, &other).await;
        listening.abort();
    });
}

/// Records of the version before are read, jobs without wishes are written as it
/// did, and what it can't place is written so that it answers and never places.
#[test]
fn records_and_the_version_before_understand_each_other() {
    let before = r#"{"p":"l","n":2,"k":64,"t":5,"s":{"class":"c","team":"red","kind":"array","priority":"normal","tasks":2,"each":{"cpu":1000,"gpu":0,"ram":1000},"image":"i","image_gb":1.0,"types":null,"zone":null,"one_zone":false,"spread":false,"spot":true,"estimate_s":5.0,"checkpoint_s":0.0,"save_s":0.0,"deadline_s":null},"i":{"a":2,"d":0,"c":[[0,1,"vm-1"]]}}"#;
    let record: JobRecord = serde_json::from_str(before).expect("readable");
    let chunk = record.inline.as_ref().expect("claims");
    assert!(chunk.units.is_empty() && chunk.claims.len() == 1);
    let spec = record.spec.clone().expect("a description");
    assert_eq!(spec.clone().without_extension(), *spec);
    let written = serde_json::to_string(&record).expect("record");
    assert_eq!(written, before, "byte by byte");
    // A gang with a device, as the version before would read it.
    let mut gang = (*spec).clone();
    gang.kind = types::Kind::Gang;
    gang.types = Some(vec!["t".into()]);
    let wishes = r#"{"devices":[{"kind":"enc","count":1,"must":true}]}"#;
    gang.placement = Some(serde_json::from_str(wishes).expect("wishes"));
    let with_extension = serde_json::to_value(gang.clone().with_extension()).expect("JSON");
    assert_eq!(with_extension["kind"], "array");
    assert_eq!(
        with_extension["types"],
        json!(["+"]),
        "no cloud has such a type"
    );
    let again: JobSpec = serde_json::from_value(with_extension.clone()).expect("readable");
    assert_eq!(again.without_extension(), gang);
    // What it keeps when it writes a cancellation: then anything may be held.
    let mut kept = with_extension;
    kept.as_object_mut().expect("an object").remove("x");
    let lost: JobSpec = serde_json::from_value(kept).expect("readable");
    assert!(lost.without_extension().placement.is_some_and(|w| w.lost));
}

/// A job's place is not what makes its record too large.
fn place_fits_in_record(spec: &JobSpec) {
    for name in 1..900 {
        let mut spec = spec.clone();
        spec.image = types::Image::from(&*"i".repeat(name));
        let mut record = JobRecord::accepted(spec, u64::MAX, 1024);
        if record.inline.is_none() {
            assert!(name > 400, "a small job keeps its claims");
            return;
        }
        record.place = Some(Revision(u64::MAX));
        let chunk = record.inline.as_mut().expect("claims");
        (chunk.next_attempt, chunk.done) = (u64::MAX, u64::MAX);
        let claim = |n| (n, Attempt(9), MachineId::from("vm-000001")).into();
        chunk.claims = (0..record.tasks).map(claim).collect();
        assert!(serde_json::to_vec(&record).expect("record").len() <= 1024);
    }
    panic!("all of them fit");
}

/// A job's place, over all versions of its record that come by: those of the
/// version before, which drop it, those that come late, and a whole new reading.
#[test]
fn a_jobs_place_is_its_first_write() {
    let spec: JobSpec = serde_json::from_value(json!({"class": "c", "team": "red",
        "kind": "array", "priority": "normal", "tasks": 2, "each": {"cpu": 1000, "gpu": 0,
        "ram": 1000}, "image": "i", "image_gb": 1.0, "types": null, "zone": null,
        "one_zone": false, "spread": false, "spot": true, "estimate_s": 5.0,
        "checkpoint_s": 0.0, "save_s": 0.0, "deadline_s": null}))
    .expect("a job");
    let id = JobId::from("run-1");
    let first = JobRecord::accepted(spec.clone(), 5, 1024);
    let item = |record: &JobRecord, mod_revision: u64| {
        let value = serde_json::to_value(record).expect("record");
        let item = json!({"key": job_key(&id), "value": value, "stamp": mod_revision});
        vec![serde_json::from_str(&item.to_string()).expect("an item")]
    };
    let put = |view: &mut View, mod_revision: u64, value: &JobRecord| {
        let (mod_revision, value) = (Revision(mod_revision), value.clone());
        view.put_job(
            &id,
            Versioned {
                mod_revision,
                value,
            },
        );
    };
    let read = |record: &JobRecord, mod_revision: u64| {
        let mut view = View::default();
        view.replace(Revision(mod_revision), item(record, mod_revision));
        view
    };
    let place = |view: &View| view.job(&id).expect("the job").place.0;
    let rewritten = |view: &View, lane| view.job(&id).expect("the job").rewritten(lane);
    let mut view = read(&first, 7);
    assert_eq!(place(&view), 7);
    assert_eq!(rewritten(&view, false), first, "in no lane nothing differs");
    let copied = rewritten(&view, true);
    assert_eq!(serde_json::to_value(&copied).expect("record")["o"], 7);
    put(&mut view, 9, &copied);
    assert_eq!(place(&view), 7);
    // A successor has it from the record, and keeps it where it has no lanes.
    let successor = read(&copied, 9);
    assert_eq!(place(&successor), 7);
    assert_eq!(rewritten(&successor, false), copied);
    // The version before drops it: who saw it puts it back, also after reading
    // all anew; who comes now has the present stamp, as all who come now.
    put(&mut view, 12, &first);
    view.replace(Revision(12), item(&first, 12));
    assert_eq!(place(&view), 7);
    let mut successor = read(&first, 12);
    assert_eq!(place(&successor), 12);
    // A version that comes late, and then the one that puts it back.
    let mut late = first.clone();
    late.place = Some(Revision(8));
    put(&mut successor, 9, &late);
    assert_eq!(place(&successor), 8);
    let back = rewritten(&view, true);
    put(&mut successor, 14, &back);
    assert_eq!(place(&successor), 7);
    assert_eq!(back.done(6).place, None);
    place_fits_in_record(&spec);
}

/// What owners of shards tell each other reads back, and what is of another
/// version or length, or names too long a thing, is not taken.
#[test]
fn what_owners_tell_each_other_reads_back() {
    let amount = |cpu| Amount {
        cpu,
        gpu: 2,
        ram: 0,
    };
    let need = Need {
        slice: Amount::default(),
        used: amount(7000),
        waits: amount(i64::MAX),
    };
    let needs = Needs {
        shard: ShardId(2),
        machines: 41,
        spare_cpu: 8000,
        teams: ["red", "blue"]
            .map(|team| TeamNeed {
                team: team.into(),
                need,
            })
            .to_vec(),
    };
    let rented = Rented {
        kind: "t".into(),
        zone: "za".into(),
        spot: true,
        machines: vec!["vm-000001".into(), "vm-000002".into()],
    };
    let left = DelegatedTasks {
        shard: ShardId(1),
        job: "run-000412".into(),
        tasks: vec![3, 99_999],
    };
    let told = [
        needs.encode(),
        rented.encode().expect("short names"),
        left.encode().expect("a short name"),
    ];
    assert_eq!(Needs::parse(&told[0]), Some(needs));
    assert_eq!(Rented::parse(&told[1]), Some(rented.clone()));
    assert_eq!(DelegatedTasks::parse(&told[2]), Some(left.clone()));
    for bytes in &told {
        let mut other = bytes.clone();
        other[0] ^= 1;
        for bytes in [&other[..], &bytes[1..], &bytes[..7], &[]] {
            assert_eq!(Needs::parse(bytes), None);
            assert_eq!(Rented::parse(bytes), None);
            assert_eq!(DelegatedTasks::parse(bytes), None);
        }
    }
    let long = "x".repeat(65);
    let job = JobId::from(&*long);
    assert_eq!(DelegatedTasks { job, ..left }.encode(), None);
    let zone = long.as_str().into();
    assert_eq!(Rented { zone, ..rented }.encode(), None);
}
