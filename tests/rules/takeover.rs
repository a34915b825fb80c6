//! What a new owner makes of the records and of old heartbeats.

use serde_json::json;
use sorrelhinge::agent_client::Sending;
use sorrelhinge::control::core::Source;
use sorrelhinge::state::TransactionOutcome;
use sorrelhinge::types::{MachineId, Time};

use crate::*;

/// What ran on a machine that was given back is not recorded as ended for long
/// while changes are short. The next owner knows it all the same, and does not
/// count it against limits.
#[test]
fn claims_on_machines_that_an_owner_gave_back_count_for_no_later_owner() {
    let mut world = World::new(11);
    let claimed = |o: &Owner| {
        let teams = o.core.cluster_state.teams().iter();
        teams.map(|t| t.used.cpu).sum::<i64>()
    };
    while world.on_machines().count() == 0 {
        world.step(true);
        assert!(world.now < 600.0, "nothing ever ran");
    }
    let all: Vec<MachineId> = world
        .workers
        .iter()
        .map(|w| MachineId::from(w.id.as_str()))
        .collect();
    // A list of a later format is left alone.
    world.store.write("h/gone/1", json!({"v": 9, "m": all}));
    world.begin_leadership();
    let o = world.owners.last_mut().expect("an owner");
    assert!(claimed(o) > 0);
    o.core.apply_deletions(&all, Time(world.now));
    assert!(o
        .core
        .next_batch(&o.view, 4, false, Time(world.now + 0.1))
        .is_none());
    let now = Time(world.now + 4.0);
    let batch = o.core.next_batch(&o.view, 4, false, now);
    let batch = batch.expect("their names, before any result");
    let transaction = serde_json::to_value(&batch.transaction).expect("txn");
    assert_eq!(transaction["apply"].as_array().map(Vec::len), Some(1));
    assert_eq!(transaction["apply"][0]["write"], "h/gone/0");
    assert!(matches!(
        world.store.transact(&transaction),
        TransactionOutcome::Done(_)
    ));
    world.begin_leadership();
    let o = world.owners.last().expect("an owner");
    assert_eq!(claimed(o), 0);
    assert_eq!(o.core.cluster_state.unknown_machines().count(), 0);
}

/// A new owner can find a done job whose chunk was not deleted yet: its tasks
/// have ended, so it claims nothing, and the chunk goes.
#[test]
fn a_done_job_claims_nothing_at_a_takeover() {
    let mut world = World::new(3);
    world.store.write(
        "h/job/run-000000",
        json!({"p": "d", "n": 1, "k": 8, "t": 0}),
    );
    let chunk = json!({"a": 2, "d": 0, "c": [[0, 1, "vm-000001"]]});
    world.store.write("h/task/run-000000/000000", chunk);
    world.begin_leadership();
    let owner = world.owners.last_mut().expect("an owner");
    assert!(owner.core.cluster_state.jobs().is_empty());
    let batch = owner
        .core
        .next_batch(&owner.view, 4, true, Time(0.0))
        .expect("a chunk to delete");
    let transaction = serde_json::to_value(&batch.transaction).expect("txn");
    assert_eq!(
        transaction["apply"],
        json!([{"delete": "h/task/run-000000/000000"}])
    );
}

/// A controller that hears of a newer grant from a worker is told so: it may
/// not take the silence of machines that left it for their end.
#[test]
fn a_heartbeat_with_a_newer_fencing_token_deposes() {
    let mut world = World::new(1);
    one_job(&mut world);
    let w = &mut world.workers[0];
    w.fencing_token = 2 << 20;
    let heartbeat = w.heartbeat();
    let core = &mut world.owners[0].core;
    assert!(!core.heartbeat(&heartbeat, Source::Heartbeat, Time(2.0)));
    let refused = Sending::Refused(Box::new(heartbeat));
    let id = MachineId::from("vm-000000");
    assert!(!core.dispatched(&id, refused, Time(2.0)));
}
