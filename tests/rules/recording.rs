//! What is recorded, in which order.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use serde_json::json;
use sorrelhinge::control::core::{Core, MachineZones, RecoveryInput, ShardGrant};
use sorrelhinge::control::write_queue::{PendingWrite, WritePriority, WriteQueue};
use sorrelhinge::peer_messages::DelegatedTasks;
use sorrelhinge::state::record::{chunk_key, ChunkId};
use sorrelhinge::state::Transaction;
use sorrelhinge::types::{JobId, MachineId, Time};
use sorrelhinge_sharding::served::Sort;
use sorrelhinge_sharding::shard::{of_job, of_machine, ShardId};

use crate::*;

/// A job's place comes into its record with its first claim, without a change of
/// its own; in no lane the record has none.
#[test]
fn the_first_claim_takes_the_place_along() {
    for (class, has) in [("*", true), ("no-such", false)] {
        let mut world = World::new(1);
        let mut config = (*settings::config(1.0)).clone();
        let lane = format!("lane.a.classes={class}");
        config.lanes = sorrelhinge::config::lanes(lane.as_bytes()).expect("a lane");
        let o = &mut world.owners[0];
        let grant = ShardGrant::whole(o.view.grant.value.number, o.view.grant.mod_revision);
        let input = RecoveryInput {
            cfg: Rc::new(config),
            types: &kinds(),
            view: &o.view,
            topology: None,
            now: Time(0.0),
            wall_ms: 0,
        };
        o.core = Core::recover(&input, grant, MachineZones::default());
        let (id, _) = one_job(&mut world);
        let World { store, owners, .. } = &mut world;
        let Owner { core, view, .. } = &mut owners[0];
        let first = view.job(&id).expect("the job").record.mod_revision;
        regular(core, Time(2.0));
        let batch = core.next_batch(view, 4, false, Time(2.0)).expect("a claim");
        let transaction = serde_json::to_value(&batch.transaction).expect("txn");
        assert_eq!(transaction["apply"].as_array().map(Vec::len), Some(1));
        commit(store, core, view, batch, Time(2.0));
        let entry = view.job(&id).expect("the job");
        assert!(entry.record.mod_revision > first && entry.place == first);
        assert_eq!(entry.record.value.place, has.then_some(first));
    }
}

/// A swarm of idle jobs, of which each costs as many changes as any other job, has
/// its turns, and whatever is urgent or ordinary goes first.
#[test]
fn a_swarm_of_idle_jobs_keeps_no_other_claim_waiting() {
    let chunk = |n: u32| ChunkId::new(&JobId::from(format!("run-{n:04}").as_str()), 0);
    let mut pending = WriteQueue::default();
    for n in 0..100 {
        pending.claimed(chunk(n), WritePriority::Idle, sort("ping"), Time(0.0));
        pending.finished(chunk(100 + n).job, WritePriority::Idle, Time(0.0));
    }
    pending.claimed(chunk(300), WritePriority::Normal, sort("check"), Time(1.0));
    pending.finished(chunk(301).job, WritePriority::Normal, Time(1.0));
    let taken = [(); 3].map(|()| pending.take(false, Time(1.0)));
    assert!(
        taken.contains(&Some(PendingWrite::Chunk(chunk(300)))),
        "{taken:?}"
    );
    assert!(
        taken.contains(&Some(PendingWrite::Finished(chunk(301).job))),
        "{taken:?}"
    );
    let mut idle = 0;
    for n in 0..40 {
        let now = Time(10.0 + f64::from(n) * 0.1);
        pending.claimed(chunk(1000 + n), WritePriority::Normal, sort("check"), now);
        let due = pending.take(false, now);
        idle += usize::from(matches!(due, Some(PendingWrite::Chunk(c)) if c < chunk(100)));
    }
    assert!(idle >= 4, "it has its turns: {idle}");
}

/// Changes are few: claims go first, then done jobs; results wait for company,
/// but not for ever.
pub(crate) fn sort(class: &str) -> Sort {
    (Arc::from(class), Arc::from("crew"))
}

/// With more urgent claims than changes, each class still has some of its own
/// recorded, and users are told of jobs that are done: neither was so once, for
/// minutes.
#[test]
fn what_is_urgent_does_not_starve_the_rest() {
    let chunk = |n: u32| ChunkId::new(&JobId::from(format!("run-{n:04}").as_str()), 0);
    let mut pending = WriteQueue::default();
    for n in 0..10 {
        pending.claimed(chunk(n), WritePriority::Normal, sort("bake"), Time(0.0));
        pending.claimed(
            chunk(100 + n),
            WritePriority::Normal,
            sort("check"),
            Time(0.0),
        );
        pending.finished(chunk(200 + n).job, WritePriority::Normal, Time(0.0));
    }
    let mut taken: BTreeMap<&str, usize> = BTreeMap::new();
    for n in 0..100 {
        let now = Time(10.0 + f64::from(n) * 0.1);
        // Two more for each that is recorded.
        pending.claimed(
            chunk(1000 + 2 * n),
            WritePriority::Awaited,
            sort("live"),
            now,
        );
        pending.claimed(
            chunk(1001 + 2 * n),
            WritePriority::Awaited,
            sort("live"),
            now,
        );
        let what = match pending.take(false, now) {
            Some(PendingWrite::Finished(_)) => "done",
            Some(PendingWrite::Chunk(id)) if id.job >= chunk(1000).job => "live",
            Some(PendingWrite::Chunk(id)) if id.job >= chunk(100).job => "check",
            Some(PendingWrite::Chunk(_)) => "bake",
            None => "nothing",
        };
        *taken.entry(what).or_insert(0) += 1;
    }
    // One of four by turns of three classes, one of three for what is done.
    assert!(taken["bake"] >= 8 && taken["check"] >= 8, "{taken:?}");
    assert_eq!(taken["done"], 10);
    assert!(taken["live"] >= 70, "urgency has the rest: {taken:?}");
}

#[test]
fn changes_go_where_they_are_missed_max() {
    let chunk = |n: u32| ChunkId::new(&JobId::from(format!("run-{n}").as_str()), 0);
    let mut pending = WriteQueue::default();
    pending.delete_chunk(chunk(1), Time(0.0));
    pending.released(chunk(2), Time(0.0));
    pending.finished(chunk(3).job, WritePriority::Normal, Time(0.0));
    pending.claimed(chunk(4), WritePriority::Normal, sort("batch"), Time(0.0));
    pending.claimed(chunk(5), WritePriority::Awaited, sort("live"), Time(0.0));
    pending.claimed(chunk(2), WritePriority::Normal, sort("batch"), Time(0.5));
    let mut taken = |spare: bool, now: f64| pending.take(spare, Time(now));
    assert_eq!(
        taken(false, 1.0),
        Some(PendingWrite::Chunk(chunk(5))),
        "in a hurry"
    );
    assert_eq!(
        taken(false, 1.0),
        Some(PendingWrite::Finished(chunk(3).job)),
        "in turn with claims that no user waits for"
    );
    assert_eq!(taken(false, 1.0), Some(PendingWrite::Chunk(chunk(4))));
    assert_eq!(
        taken(false, 1.0),
        Some(PendingWrite::Chunk(chunk(2))),
        "with its result"
    );
    assert_eq!(taken(false, 1.0), None, "a deletion can wait");
    assert_eq!(taken(true, 1.0), Some(PendingWrite::Chunk(chunk(1))));
    pending.released(chunk(6), Time(1.0));
    assert_eq!(pending.take(false, Time(8.0)), None);
    assert_eq!(
        pending.take(true, Time(8.0)),
        Some(PendingWrite::Chunk(chunk(6)))
    );
    pending.released(chunk(6), Time(8.0));
    assert_eq!(
        pending.take(false, Time(30.0)),
        Some(PendingWrite::Chunk(chunk(6)))
    );
}

/// A shard to which a task was left, and which another shard's claim forestalled,
/// leaves the record alone: it once deleted the whole chunk, with what others
/// claimed in it, and their tasks were started a second time.
#[test]
fn a_shard_that_was_forestalled_deletes_nothing_of_the_job() {
    let mut world = World::of_shards(5, false, 2);
    for _ in 0..3 {
        for at in 0..world.workers.len() {
            world.now += 0.1;
            world.heartbeat(at);
        }
    }
    let (home, other) = (ShardId(0), ShardId(1));
    let mut id = 0;
    let homed = |n: u32| of_job(&JobId::from(&*format!("run-{n:06}")), 2) == home;
    while !homed(id) {
        id += 1;
    }
    let mut job = job_json(id, &mut world.rng);
    let plain = json!({"shape": "sweep", "together": false, "spread": false, "pieces": 20,
        "cpus": 1.0, "rank": "normal", "loaners": true, "crew": "blue"});
    job.as_object_mut()
        .expect("an object")
        .extend(plain.as_object().cloned().expect("an object"));
    world.accept(job);
    let id = JobId::from(&*format!("run-{id:06}"));
    let at = |world: &World, b| {
        let has = |o: &Owner| o.core.scope.shard == b;
        world.owners.iter().position(has).expect("an owner")
    };
    let mut theirs = world.workers.iter().map(|w| MachineId::from(w.id.as_str()));
    let theirs = theirs.find(|m| of_machine(m, 2) == home);
    let theirs = theirs.expect("a machine of the other block");
    let b = at(&world, other);
    let now = Time(world.now);
    let follow = |world: &mut World| {
        let o = &mut world.owners[b];
        world.store.follow(&mut o.view);
        let changed = o.view.take_changed();
        o.core.jobs_changed(&o.view, &changed, now, 0);
    };
    follow(&mut world);
    let left = DelegatedTasks {
        shard: other,
        job: id.clone(),
        tasks: vec![0],
    };
    let o = &mut world.owners[b];
    o.core.adopt_delegated_tasks(&o.view, &left, now, 0);
    o.core.place_all(now);
    let claimed = |o: &Owner| {
        o.core
            .cluster_state
            .job(&id)
            .map(|j| j.tasks.claims().len())
    };
    assert_eq!(claimed(o), Some(1), "the task that was left, and no other");
    let key = chunk_key(&id, 0);
    let claim = json!({"a": 2, "d": 0, "c": [[0, 1, theirs]]});
    world.store.write(&key, claim.clone());
    follow(&mut world);
    assert_eq!(
        claimed(&world.owners[b]),
        None,
        "whoever wrote first has it"
    );
    for _ in 0..20 {
        let o = &mut world.owners[b];
        if let Some(batch) = o.core.next_batch(&o.view, 4, true, Time(now.0 + 60.0)) {
            let transaction =
                serde_json::to_value::<&Transaction>(&batch.transaction).expect("txn");
            world.store.transact(&transaction);
        }
    }
    assert_eq!(world.store.keys.get(&key).map(|(_, v)| v), Some(&claim));
}
