//! Small worlds that scripted cases start from.

use std::collections::BTreeMap;

use serde_json::json;
use sorrelhinge::api::read_job;
use sorrelhinge::control::core::{Batch, Core, Source};
use sorrelhinge::state::record::JobRecord;
use sorrelhinge::state::view::View;
use sorrelhinge::state::TransactionOutcome;
use sorrelhinge::types::{JobId, Time};

use crate::*;

/// A calm world with so many workers, and the number of its machines' names.
pub(crate) fn calm(workers: usize) -> World {
    let mut world = World::new(5);
    world.calm = true;
    let first = world.workers.remove(0);
    world.workers = (0..workers)
        .map(|i| Worker {
            id: format!("vm-{i:06}"),
            zone: if i % 2 == 0 { "za" } else { "zb" },
            spot: false,
            tasks: BTreeMap::new(),
            ..first
        })
        .collect();
    // A replica for each, so that none is given back as unused.
    let mut live = job_json(900, &mut world.rng);
    for (field, to) in [
        ("shape", json!("standing")),
        ("jobclass", json!("live")),
        ("rank", json!("critical")),
        ("crew", json!("blue")),
        ("pieces", json!(workers)),
        ("cpus", json!(3.0)),
        ("spread", json!(true)),
    ] {
        live[field] = to;
    }
    world.accept(live);
    world
}

pub(crate) fn array(world: &mut World, id: u32, class: &str, tasks: u32) -> String {
    array_of_rank(world, id, class, "normal", tasks)
}

pub(crate) fn array_of_rank(
    world: &mut World,
    id: u32,
    class: &str,
    rank: &str,
    tasks: u32,
) -> String {
    let mut value = job_json(id, &mut world.rng);
    for (field, to) in [
        ("shape", json!("sweep")),
        ("jobclass", json!(class)),
        ("rank", json!(rank)),
        ("crew", json!("red")),
        ("pieces", json!(tasks)),
        ("cpus", json!(1.0)),
        ("spread", json!(false)),
        ("together", json!(false)),
    ] {
        value[field] = to;
    }
    let uid = value["uid"].as_str().expect("uid").to_owned();
    world.accept(value);
    uid
}

/// One job of one task for the world's first owner, and its workers heard.
pub(crate) fn one_job(world: &mut World) -> (JobId, Time) {
    let mut value = job_json(0, &mut world.rng);
    for (field, to) in [
        ("shape", json!("sweep")),
        ("rank", json!("normal")),
        ("pieces", json!(1)),
    ] {
        value[field] = to;
    }
    let spec = read_job(value).expect("a valid job");
    let record = serde_json::to_value(JobRecord::accepted(spec, 0, 1024)).expect("record");
    world.store.write("h/job/run-000000", record);
    let o = &mut world.owners[0];
    world.store.follow(&mut o.view);
    let changed = o.view.take_changed();
    o.core.jobs_changed(&o.view, &changed, Time(1.0), 0);
    for w in &mut world.workers {
        w.fencing_token = 1 << 20;
        o.core
            .heartbeat(&w.heartbeat(), Source::Heartbeat, Time(1.0));
    }
    (JobId::from("run-000000"), Time(1.0))
}

/// Records what a core wants recorded, and says how many claims were new.
pub(crate) fn record_claims(o: &mut Owner, store: &mut Store, now: Time) -> usize {
    let mut claims = 0;
    while let Some(batch) = o.core.next_batch(&o.view, 4, false, now) {
        let transaction = serde_json::to_value(&batch.transaction).expect("txn");
        claims += usize::from(transaction.to_string().contains("[[0,"));
        commit(store, &mut o.core, &mut o.view, batch, now);
    }
    claims
}

/// Carries out what an owner records, which the state service must not refuse.
pub(crate) fn commit(store: &mut Store, core: &mut Core, view: &mut View, batch: Batch, now: Time) {
    let transaction = serde_json::to_value(&batch.transaction).expect("txn");
    let TransactionOutcome::Done(revision) = store.transact(&transaction) else {
        panic!("refused: {transaction}");
    };
    core.transaction_committed(batch, revision, view, now);
}
