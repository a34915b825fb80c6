//! Messages between users and controllers.

use serde_json::json;
use sorrelhinge::types::{JobId, JobSpec, Priority};
use sorrelhinge_protocol::placement::{Device, Fewest, PlacementRules, Spread, Together};
use sorrelhinge_protocol::users::{read_job, read_needs, JobStatus, PipelineStatus, WireJob};

use crate::add_json;
use crate::golden_files::Golden;

/// A submission, each field with a value of its own.
pub(crate) fn submission() -> WireJob {
    WireJob {
        jobclass: "train".into(),
        crew: "vision".into(),
        shape: "sweep".into(),
        rank: "high".into(),
        pieces: 16,
        cpus: 8.5,
        cards: 1.0,
        ram_gb: 64.0,
        bundle: "img-07".into(),
        pull_gb: 6.2,
        builds: Some(vec!["g8".into(), "g4".into()]),
        rack: Some("za".into()),
        together: true,
        spread: false,
        spot: true,
        guess_s: 240.0,
        mark_s: 30.0,
        stash_s: 4.0,
        due_s: Some(900.0),
    }
}

/// The job that a submission with these changes describes.
pub(crate) fn described(change: impl FnOnce(&mut WireJob)) -> JobSpec {
    let mut submission = submission();
    change(&mut submission);
    read_job(json!(submission)).expect("a job")
}

/// Everything that a job may ask of the topology.
pub(crate) fn placement_rules() -> PlacementRules {
    PlacementRules {
        spread: vec![
            Spread {
                level: "switch".into(),
                most: Some(1),
                share: None,
                must: true,
            },
            Spread {
                level: "rack".into(),
                most: None,
                share: Some(0.25),
                must: false,
            },
        ],
        together: Some(Together {
            level: "zone".into(),
            must: false,
        }),
        fewest: Some(Fewest {
            level: "switch".into(),
            max: 2,
            must: true,
        }),
        devices: vec![Device {
            kind: "encoder".into(),
            count: 3,
            must: true,
        }],
        lost: false,
    }
}

#[test]
fn messages_of_users_are_the_golden_ones() {
    let mut golden = Golden::default();
    add_json(&mut golden, "submission", &submission());
    let least = WireJob {
        builds: None,
        rack: None,
        due_s: None,
        ..submission()
    };
    add_json(&mut golden, "submission without what may be null", &least);
    let status = JobStatus {
        id: JobId::from("run-000412"),
        phase: "running".into(),
        done: 3,
        running: 5,
        waits: None,
        pipeline: None,
    };
    add_json(&mut golden, "status", &status);
    let waits = JobStatus {
        waits: Some("no machine has room".into()),
        pipeline: Some(PipelineStatus {
            waits_for: vec![JobId::from("run-000410"), JobId::from("run-000411")],
            priority: Priority::Critical,
            finish_by_ms: Some(1_700_000_000_123),
        }),
        ..status.clone()
    };
    add_json(&mut golden, "status of a job that waits", &waits);
    let ready = JobStatus {
        pipeline: Some(PipelineStatus {
            waits_for: Vec::new(),
            priority: Priority::Idle,
            finish_by_ms: None,
        }),
        ..status
    };
    add_json(&mut golden, "status of a job that is ready", &ready);
    add_json(&mut golden, "placement rules", &placement_rules());
    add_json(
        &mut golden,
        "no placement rules",
        &PlacementRules::default(),
    );
    golden.check("messages_of_users.txt");
}

/// What each word of a submission stands for, and why some are refused.
#[test]
fn submissions_are_read_as_the_golden_ones() {
    let mut golden = Golden::default();
    for shape in ["sweep", "standing", "ensemble", "other"] {
        read(&mut golden, &format!("shape {shape}"), |job| {
            job.shape = shape.into();
        });
    }
    for rank in ["critical", "high", "normal", "idle", "other"] {
        read(&mut golden, &format!("rank {rank}"), |job| {
            job.rank = rank.into();
        });
    }
    for pieces in [0, 1, 100_000, 100_001] {
        read(&mut golden, &format!("pieces {pieces}"), |job| {
            job.pieces = pieces;
        });
    }
    for pieces in [2_000, 2_001] {
        read(&mut golden, &format!("ensemble of {pieces}"), |job| {
            job.shape = "ensemble".into();
            job.pieces = pieces;
        });
    }
    read(&mut golden, "cpus -1", |job| job.cpus = -1.0);
    read(&mut golden, "due_s 2e9", |job| job.due_s = Some(2e9));
    read(&mut golden, "no bundle", |job| job.bundle.clear());
    read(&mut golden, "no builds", |job| {
        job.builds = Some(Vec::new());
    });
    read(&mut golden, "others", |job| {
        (job.together, job.spread, job.spot) = (false, true, false);
        (job.builds, job.rack, job.due_s) = (None, None, None);
    });
    for (name, needs) in [
        ("needs nothing", json!({"waits_on": null})),
        (
            "needs two",
            json!({"waits_on": ["run-2", "run-1", "run-2"]}),
        ),
        ("needs no list", json!({"waits_on": 1})),
        ("needs no job", json!({"waits_on": ["job-1"]})),
    ] {
        match read_needs(&needs) {
            Ok(needs) => golden.add(name, &json!(needs).to_string()),
            Err(why) => golden.add(name, why),
        }
    }
    golden.check("submissions_read.txt");
}

fn read(golden: &mut Golden, name: &str, change: impl FnOnce(&mut WireJob)) {
    let mut submission = submission();
    change(&mut submission);
    match read_job(json!(submission)) {
        Ok(spec) => add_json(golden, name, &spec),
        Err(why) => golden.add(name, why),
    }
}
