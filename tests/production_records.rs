//! Records as the version in production writes them (commit 437c074, printed by its own
//! code), and what it makes of records that this version writes.

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};
use sorrelhinge::api::read_job;
use sorrelhinge::state::record::{
    ChunkRecord, GrantRecord, JobRecord, LeaderRecord, MemberRecord, NewJob, Phase,
    RetiredMachinesRecord, ShardMapRecord, SliceRecord,
};
use sorrelhinge::types::{JobId, JobSpec};

const JOB_INLINE: &str = r#"{"i":{"a":1,"d":0},"k":64,"n":16,"p":"l","s":{"checkpoint_s":30.0,"class":"train","deadline_s":900.0,"each":{"cpu":8000,"gpu":1000,"ram":64000},"estimate_s":240.0,"image":"img-07","image_gb":6.2,"kind":"array","one_zone":true,"priority":"high","save_s":4.0,"spot":true,"spread":false,"tasks":16,"team":"vision","types":["g8"],"zone":null},"t":1700000000000}"#;
const JOB_CHUNKED: &str = r#"{"k":64,"n":500,"p":"l","s":{"checkpoint_s":30.0,"class":"train","deadline_s":null,"each":{"cpu":8000,"gpu":1000,"ram":64000},"estimate_s":240.0,"image":"img-07","image_gb":6.2,"kind":"array","one_zone":true,"priority":"high","save_s":4.0,"spot":true,"spread":false,"tasks":500,"team":"vision","types":["g8"],"zone":null},"t":1700000000001}"#;
const JOB_GANG: &str = r#"{"i":{"a":1,"d":0},"k":64,"n":2,"p":"l","s":{"checkpoint_s":30.0,"class":"train","deadline_s":900.0,"each":{"cpu":8000,"gpu":1000,"ram":64000},"estimate_s":240.0,"image":"img-07","image_gb":6.2,"kind":"array","one_zone":true,"priority":"high","save_s":4.0,"spot":true,"spread":false,"tasks":2,"team":"vision","types":["+"],"x":{"g":true,"t":["g8"]},"zone":null},"t":1700000000002}"#;
const JOB_DONE: &str = r#"{"k":64,"n":16,"p":"d","t":1700000000000}"#;
const JOB_CANCELLED: &str = r#"{"i":{"a":1,"d":0},"k":64,"n":16,"p":"c","s":{"checkpoint_s":30.0,"class":"train","deadline_s":900.0,"each":{"cpu":8000,"gpu":1000,"ram":64000},"estimate_s":240.0,"image":"img-07","image_gb":6.2,"kind":"array","one_zone":true,"priority":"high","save_s":4.0,"spot":true,"spread":false,"tasks":16,"team":"vision","types":["g8"],"zone":null},"t":1700000000000}"#;
const CHUNK: &str = r#"{"a":4,"c":[[1,3,"vm-000231"]],"d":5}"#;
const JOB_CLAIMED: &str = r#"{"i":{"a":4,"c":[[1,3,"vm-000231"]],"d":5},"k":64,"n":16,"o":77,"p":"l","s":{"checkpoint_s":30.0,"class":"train","deadline_s":900.0,"each":{"cpu":8000,"gpu":1000,"ram":64000},"estimate_s":240.0,"image":"img-07","image_gb":6.2,"kind":"array","one_zone":true,"priority":"high","save_s":4.0,"spot":true,"spread":false,"tasks":16,"team":"vision","types":["g8"],"zone":null},"t":1700000000000}"#;
const LEADER: &str = r#"{"node":"hinge-0","run":9,"term":3}"#;
const GRANT: &str = r#"{"number":12,"owner":"hinge-0","term":3}"#;
const MAP: &str = r#"{"blocks":3,"v":1}"#;
const SLICE: &str = r#"{"t":[["vision",8000,1000]],"v":1}"#;
const GONE: &str = r#"{"m":["vm-000231"],"v":1}"#;
const MEMBER: &str = r#"{"run":9}"#;

fn value(text: &str) -> Value {
    serde_json::from_str(text).expect("JSON")
}

/// Reads a record and writes it again: nothing is lost or added.
fn unchanged<T: DeserializeOwned + Serialize>(text: &str) {
    let record: T = serde_json::from_str(text).expect("a record");
    let written = serde_json::to_value(&record).expect("JSON");
    assert_eq!(written, value(text));
}

fn spec(more: Value) -> JobSpec {
    let mut job = json!({"uid": "run-000412", "jobclass": "train", "crew": "vision",
        "shape": "sweep", "rank": "high", "pieces": 16, "cpus": 8.0, "cards": 1.0,
        "ram_gb": 64.0, "bundle": "img-07", "pull_gb": 6.2, "builds": ["g8"], "rack": null,
        "together": true, "spread": false, "loaners": true, "guess_s": 240.0, "mark_s": 30.0,
        "stash_s": 4.0, "due_s": 900.0});
    for (field, value) in more.as_object().expect("an object") {
        job[field] = value.clone();
    }
    read_job(job).expect("a job")
}

#[test]
fn what_production_wrote_is_read_and_written_as_it_was() {
    for job in [
        JOB_INLINE,
        JOB_CHUNKED,
        JOB_GANG,
        JOB_DONE,
        JOB_CANCELLED,
        JOB_CLAIMED,
    ] {
        unchanged::<JobRecord>(job);
    }
    unchanged::<ChunkRecord>(CHUNK);
    unchanged::<LeaderRecord>(LEADER);
    unchanged::<GrantRecord>(GRANT);
    unchanged::<ShardMapRecord>(MAP);
    unchanged::<SliceRecord>(SLICE);
    unchanged::<RetiredMachinesRecord>(GONE);
    unchanged::<MemberRecord>(MEMBER);
}

/// A job that needs no other is written as production writes it, under equal limits.
#[test]
fn jobs_without_needs_are_written_as_production_writes_them() {
    for (more, at_ms, golden) in [
        (json!({}), 1_700_000_000_000, JOB_INLINE),
        (
            json!({"pieces": 500, "due_s": null}),
            1_700_000_000_001,
            JOB_CHUNKED,
        ),
        (
            json!({"shape": "ensemble", "pieces": 2}),
            1_700_000_000_002,
            JOB_GANG,
        ),
    ] {
        let record = JobRecord::accepted(spec(more), at_ms, 4096);
        assert_eq!(serde_json::to_value(record).expect("JSON"), value(golden));
    }
    let inline: JobRecord = serde_json::from_str(JOB_INLINE).expect("a record");
    let mut done = serde_json::to_value(inline.done(1_700_000_000_900)).expect("JSON");
    let since = done.as_object_mut().expect("an object").remove("e");
    assert_eq!(since, Some(json!(1_700_000_000_900_u64)));
    assert_eq!(done, value(JOB_DONE));
}

/// A done job of production does not say since when, and asks nothing of anybody.
#[test]
fn facts_of_production_s_jobs() {
    let done: JobRecord = serde_json::from_str(JOB_DONE).expect("a record");
    assert_eq!(done.done_ms, None);
    assert!(done.needs().is_empty());
    let gang: JobRecord = serde_json::from_str(JOB_GANG).expect("a record");
    let more = json!({"shape": "ensemble", "pieces": 2});
    assert_eq!(gang.description(), Some(spec(more)));
}

/// Production reads a job that waits for others as one that fits no machine type, and what
/// it writes when it cancels it is a cancelled job for both.
#[test]
fn production_never_places_a_job_that_waits_for_others() {
    let needs = vec![JobId::from("run-1"), JobId::from("run-2")];
    for more in [
        json!({}),
        json!({"builds": null}),
        json!({"shape": "ensemble", "pieces": 2}),
    ] {
        let described = spec(more);
        let new = NewJob {
            spec: described.clone(),
            needs: needs.clone(),
        };
        let record = JobRecord::accepted(new, 7, 4096);
        assert_eq!(record.needs(), needs);
        assert_eq!(record.description(), Some(described));
        let mut seen_by_production = serde_json::to_value(&record).expect("JSON");
        for unknown in ["w", "e"] {
            seen_by_production
                .as_object_mut()
                .expect("an object")
                .remove(unknown);
        }
        assert_eq!(seen_by_production["s"]["types"], json!(["+"]));
        assert_eq!(seen_by_production["s"].get("x"), None);
        seen_by_production["p"] = json!("c");
        let back: JobRecord = serde_json::from_value(seen_by_production).expect("a record");
        assert_eq!((back.phase, back.needs()), (Phase::Cancelled, &[][..]));
    }
}
