//! Records in the state service, and their keys.

use sorrelhinge::state::job_entry::JobEntry;
use sorrelhinge::state::record::{
    chunk_key, drain_key, image_hash, job_key, member_key, retired_machines_key, rollout_key,
    shard_key, slice_key, ChunkId, ChunkRecord, GrantRecord, JobRecord, Key, LeaderRecord,
    MemberRecord, NewJob, Phase, RetiredMachinesRecord, RolloutId, ShardMapRecord, ShardRecord,
    ShardedGrantFence, SliceRecord, WaitsRecord, WindowOccurrence, GRANT, LEADER, MAP,
};
use sorrelhinge::state::view::Versioned;
use sorrelhinge::types::{
    Amount, Attempt, CompatibilityExtension, Image, JobId, JobSpec, MachineId, NodeId, Revision,
    Term, TypeName,
};
use sorrelhinge_image_distribution::record::RolloutRecord;
use sorrelhinge_reservations::record::CALENDAR_KEY;
use sorrelhinge_sharding::shard::ShardId;
use sorrelhinge_topology::devices::Unit;
use sorrelhinge_topology::drain::{Drain, Progress, Target};

use crate::add_json;
use crate::golden_files::Golden;
use crate::users::{described, placement_rules};

fn chunk() -> ChunkRecord {
    ChunkRecord {
        next_attempt: 4,
        done: 5,
        claims: vec![(1, Attempt(3), MachineId::from("vm-000231")).into()],
        units: vec![(1, vec![Unit::new("encoder", "enc0")]).into()],
        failed_attempts: 0,
    }
}

fn extension() -> CompatibilityExtension {
    CompatibilityExtension {
        gang: true,
        types: Some(vec![TypeName::from("g8")]),
        placement: Some(Box::new(placement_rules())),
    }
}

/// A job's record with a value for each field.
fn full(phase: Phase) -> JobRecord {
    let spec = JobSpec {
        extension: Some(Box::new(extension())),
        ..described(|_| {})
    };
    JobRecord {
        phase,
        tasks: 16,
        chunk: 64,
        accepted_ms: 1_700_000_000_000,
        spec: Some(Box::new(spec)),
        inline: Some(chunk()),
        place: Some(Revision(77)),
        waits: Some(Box::new(WaitsRecord {
            needs: vec![JobId::from("run-000410"), JobId::from("run-000411")],
            types: Some(vec![TypeName::from("g8")]),
            extension: Some(Box::new(extension())),
        })),
        done_ms: Some(1_700_000_000_900),
    }
}

#[test]
fn records_of_jobs_are_the_golden_ones() {
    let mut golden = Golden::default();
    for (name, phase) in [
        ("live", Phase::Live),
        ("done", Phase::Done),
        ("cancelled", Phase::Cancelled),
    ] {
        add_json(&mut golden, name, &full(phase));
    }
    let least = JobRecord {
        spec: None,
        inline: None,
        place: None,
        waits: None,
        done_ms: None,
        ..full(Phase::Live)
    };
    add_json(&mut golden, "without what may be left out", &least);
    add_json(&mut golden, "chunk", &chunk());
    add_json(&mut golden, "new chunk", &ChunkRecord::new());
    let failed = ChunkRecord {
        failed_attempts: 7,
        ..chunk()
    };
    add_json(&mut golden, "chunk with failed attempts", &failed);
    golden.check("records_of_jobs.txt");
}

/// A job's record from its acceptance to its end, for values of two sizes.
#[test]
fn steps_of_jobs_records_are_the_golden_ones() {
    let mut golden = Golden::default();
    for value_bytes in [700, 1024, 4096] {
        for (name, new) in new_jobs() {
            let name = |step: &str| format!("{name}, {value_bytes} bytes, {step}");
            let record = JobRecord::accepted(new, 1_700_000_000_000, value_bytes);
            add_json(&mut golden, &name("accepted"), &record);
            golden.add(&name("fits"), &record.fits(value_bytes).to_string());
            add_json(&mut golden, &name("done"), &record.done(1_700_000_000_900));
            let entry = JobEntry {
                record: Versioned {
                    mod_revision: Revision(78),
                    value: record,
                },
                chunks: Default::default(),
                place: Revision(77),
            };
            for in_lane in [false, true] {
                let lane = if in_lane { "in a lane" } else { "in no lane" };
                let again = entry.rewritten(in_lane);
                add_json(&mut golden, &name(&format!("again {lane}")), &again);
                let cancelled = entry.cancelled(in_lane, value_bytes);
                let step = format!("cancelled {lane}");
                add_json(&mut golden, &name(&step), &cancelled.record);
                add_json(&mut golden, &name(&(step + ", claims")), &cancelled.claims);
            }
        }
    }
    golden.check("steps_of_jobs_records.txt");
}

fn new_jobs() -> Vec<(&'static str, NewJob)> {
    let with_rules = JobSpec {
        placement: Some(Box::new(placement_rules())),
        ..described(|_| {})
    };
    let needs = vec![JobId::from("run-000410")];
    vec![
        ("sweep", described(|_| {}).into()),
        ("large sweep", described(|job| job.pieces = 500).into()),
        (
            "ensemble",
            described(|job| job.shape = "ensemble".into()).into(),
        ),
        (
            "service",
            described(|job| job.shape = "standing".into()).into(),
        ),
        ("sweep with placement rules", with_rules.clone().into()),
        (
            "sweep that waits",
            NewJob {
                spec: described(|_| {}),
                needs: needs.clone(),
            },
        ),
        (
            "sweep with placement rules that waits",
            NewJob {
                spec: with_rules,
                needs,
            },
        ),
    ]
}

#[test]
fn records_of_controllers_are_the_golden_ones() {
    let mut golden = Golden::default();
    add_leaders(&mut golden);
    add_shards(&mut golden);
    add_json(&mut golden, "member", &MemberRecord { run: 9 });
    add_machines(&mut golden);
    golden.check("records_of_controllers.txt");
}

fn add_leaders(golden: &mut Golden) {
    let leader = LeaderRecord {
        node: NodeId::from("n-0"),
        run: 9,
        term: Term(3),
    };
    add_json(golden, "leader", &leader);
    for (name, owner) in [
        ("grant", Some(NodeId::from("n-0"))),
        ("grant to nobody", None),
    ] {
        let grant = GrantRecord {
            owner,
            term: Term(3),
            number: 12,
        };
        add_json(golden, name, &grant);
    }
}

fn add_shards(golden: &mut Golden) {
    let several = ShardedGrantFence {
        version: 1,
        shards: 3,
    };
    add_json(golden, "grant of several blocks", &several);
    let map = ShardMapRecord {
        version: ShardMapRecord::VERSION,
        shards: 3,
    };
    add_json(golden, "map", &map);
    let shard = ShardRecord {
        version: ShardRecord::VERSION,
        owner: NodeId::from("n-0"),
        run: 9,
        term: Term(3),
        number: 12,
        to: Some(NodeId::from("n-1")),
        pin: Some(NodeId::from("n-2")),
    };
    add_json(golden, "block", &shard);
    let settled = ShardRecord {
        to: None,
        pin: None,
        ..shard
    };
    add_json(golden, "block that stays", &settled);
    let part = Amount {
        cpu: 8000,
        gpu: 1000,
        ram: 5,
    };
    let slice = SliceRecord::new([("vision".to_owned(), part)].into_iter());
    add_json(golden, "slice", &slice);
}

fn add_machines(golden: &mut Golden) {
    let gone = RetiredMachinesRecord {
        version: RetiredMachinesRecord::VERSION,
        machines: vec![MachineId::from("vm-000231")],
    };
    add_json(golden, "gone machines", &gone);
    let rollout = RolloutRecord {
        v: sorrelhinge_image_distribution::record::VERSION,
        image: Image::from("img-07"),
        stage: 4,
        seeds: vec![MachineId::from("vm-000231")],
    };
    add_json(golden, "wave", &rollout);
    for (name, target, keep) in [
        ("domain", Target::Domain("za/s0".into()), false),
        ("machine", Target::Machine("vm-000231".into()), true),
    ] {
        let drain = Drain {
            version: Drain::VERSION,
            target,
            started_ms: 1_700_000_000_000,
            deadline_ms: 1_700_000_090_000,
            away: 2,
            keep,
        };
        add_json(golden, &format!("drain of a {name}"), &drain);
    }
    let progress = Progress {
        machines: 6,
        empty: 1,
        tasks: 17,
        stopping: 4,
    };
    add_json(golden, "progress of a drain", &progress);
}

#[test]
fn keys_are_the_golden_ones() {
    let mut golden = Golden::default();
    let (job, shard) = (JobId::from("run-000412"), ShardId(1));
    let image = image_hash(&Image::from("img-07"));
    let keys = [
        ("leader", LEADER.to_owned(), Key::Leader),
        ("grant", GRANT.to_owned(), Key::Grant),
        ("map", MAP.to_owned(), Key::Map),
        ("calendar", CALENDAR_KEY.to_owned(), Key::Calendar),
        ("job", job_key(&job), Key::Job(job.clone())),
        (
            "chunk",
            chunk_key(&job, 7),
            Key::Chunk(ChunkId::new(&job, 7)),
        ),
        ("block", shard_key(shard), Key::Shard(shard)),
        ("slice", slice_key(shard), Key::Slice(shard)),
        (
            "member",
            member_key(&NodeId::from("n-0")),
            Key::Member(NodeId::from("n-0")),
        ),
        (
            "gone machines",
            retired_machines_key(15),
            Key::DeletedMachines(15),
        ),
        ("drain", drain_key(3), Key::Drain(3)),
        (
            "wave",
            rollout_key(shard, image),
            Key::Rollout(RolloutId {
                shard,
                image_hash: image,
            }),
        ),
        (
            "occurrence",
            sorrelhinge_reservations::record::key("finale", 1_764_936_000_000),
            Key::Window(WindowOccurrence {
                window: "finale".into(),
                start_ms: 1_764_936_000_000,
            }),
        ),
    ];
    for (name, text, key) in keys {
        assert_eq!(Key::parse(&text), Some(key), "{name}");
        golden.add(name, &text);
    }
    golden.check("keys.txt");
}
