//! Ends of jobs and cancellations that meet each other, a handover or a new leader.

use serde_json::json;
use sorrelhinge::control::core::Batch;
use sorrelhinge::state::TransactionOutcome;
use sorrelhinge::types::Time;
use sorrelhinge_sharding::shard::ShardId;

use super::day::Day;
use crate::*;

/// Jobs are cancelled before a shard is frozen, while it is, once it is confirmed as
/// settled, and right after the new grant; its last owner hears of nothing for a while.
#[test]
fn jobs_are_cancelled_while_a_shard_changes_hands() {
    for (seed, shards) in [(41, 2), (42, 2), (43, 3), (44, 3)] {
        let mut day = Day::new(seed, shards);
        day.late_commands = 0.2;
        let mut next = 0;
        let cancel = |day: &mut Day, next: &mut usize| {
            day.cancel(&format!("run-{next:06}"));
            *next += 1;
        };
        for n in 0..24 {
            let crew = if n % 2 == 0 { "red" } else { "blue" };
            day.submit(3, json!({"crew": crew}));
        }
        day.run(4.0);
        for turn in 0..6 {
            let shard = ShardId(turn % shards);
            let of = |o: &Owner| o.core.scope.shard == shard;
            cancel(&mut day, &mut next);
            let now = Time(day.world.now);
            let at = day.world.owners.iter().rposition(of).expect("its owner");
            day.world.owners[at].core.freeze(now);
            cancel(&mut day, &mut next);
            let mut waited = 0;
            loop {
                day.step();
                waited += 1;
                let at = day.world.owners.iter().rposition(of).expect("its owner");
                let o = &day.world.owners[at].core;
                if o.settled(Time(day.world.now)) || waited > 20 {
                    break;
                }
            }
            assert!(waited <= 20, "seed {seed}: it never settles");
            cancel(&mut day, &mut next);
            // Its process stands still through the grant, and goes on.
            let at = day.world.owners.iter().rposition(of).expect("its owner");
            day.world.owners[at].paused_until = day.world.now + 1.0;
            day.world.begin_shard_ownership(shard.0);
            cancel(&mut day, &mut next);
            day.run(3.0);
        }
        assert!(day.world.cancelled.len() > 8, "seed {seed}: few cancelled");
        day.settle(240.0);
    }
}

/// The tasks of one job end far apart, over changes of the leader, of which some have
/// results that were not recorded: none is run again, and the job is done with the last.
#[test]
fn tasks_that_end_far_apart_over_changes_of_the_leader() {
    for (seed, shards) in [(51, 1), (52, 1), (53, 1), (54, 2)] {
        let mut day = Day::new(seed, shards);
        let mut jobs = Vec::new();
        for n in 0..6 {
            let last = 62.0 + f64::from(n) * 2.0;
            let ends = match n % 2 {
                0 => vec![3.0, last],
                _ => vec![3.0, 30.0, last],
            };
            let id = day.submit(ends.len() as u32, json!({}));
            day.lasting.insert(id.clone(), ends.clone());
            jobs.push((id, ends.len()));
        }
        for n in 0..160 {
            // No result is recorded in the two seconds before each change.
            day.writes = if n % 24 >= 20 { 0 } else { 3 };
            if n % 24 == 23 {
                day.world.owners.clear();
                for shard in 0..shards {
                    match shards {
                        1 => day.world.begin_leadership(),
                        _ => day.world.begin_shard_ownership(shard),
                    }
                }
            }
            day.step();
            if n == 100 {
                let phases: Vec<&str> = jobs.iter().map(|(id, _)| day.phase(id)).collect();
                assert!(phases.iter().all(|p| *p == "l"), "seed {seed}: {phases:?}");
            }
        }
        day.settle(60.0);
        for (id, tasks) in &jobs {
            let starts = day.world.starts_of[id];
            assert_eq!(starts, *tasks, "seed {seed}: {id} ran tasks again");
            assert_eq!(day.phase(id), "d");
        }
    }
}

/// One job whose last task has ended and whose end is about to be recorded.
fn about_to_end(seed: u64) -> (Day, String, Batch) {
    let mut day = Day::new(seed, 1);
    let id = day.submit(2, json!({}));
    day.lasting.insert(id.clone(), vec![2.0, 4.0]);
    let started = |day: &Day| day.world.starts_of.get(&id) == Some(&2);
    while !started(&day) {
        day.step();
        assert!(day.world.now < 60.0, "seed {seed}: it never starts");
    }
    day.writes = 0;
    loop {
        day.step();
        assert!(
            day.world.now < 90.0,
            "seed {seed}: its end is never written"
        );
        let now = Time(day.world.now);
        let o = &mut day.world.owners[0];
        let Some(batch) = o.core.next_batch(&o.view, 4, false, now) else {
            continue;
        };
        let transaction = serde_json::to_value(&batch.transaction).expect("txn");
        if transaction.to_string().contains(r#""p":"d""#) {
            return (day, id, batch);
        }
        if let TransactionOutcome::Done(revision) = day.world.store.transact(&transaction) {
            o.core
                .transaction_committed(batch, revision, &mut o.view, now);
        }
    }
}

/// A cancellation is recorded between the owner's look at the job and its writing of
/// the end: the job stays cancelled, also for the next owner.
#[test]
fn a_cancellation_before_the_end_is_recorded_stays() {
    for seed in 61..66 {
        let (mut day, id, batch) = about_to_end(seed);
        day.cancel(&id);
        let transaction = serde_json::to_value(&batch.transaction).expect("txn");
        assert!(matches!(
            day.world.store.transact(&transaction),
            TransactionOutcome::Failed(_)
        ));
        day.world.owners[0].pending = Some(batch);
        day.writes = 3;
        day.run(10.0);
        assert_eq!(day.phase(&id), "c");
        assert_eq!(day.world.starts_of[&id], 2, "seed {seed}: started again");
        day.world.begin_leadership();
        day.settle(30.0);
        assert_eq!(day.phase(&id), "c");
    }
}

/// The end is recorded while a cancellation, or a repeated submission, that read the
/// job before is on its way: each is refused by its condition, and the job stays done;
/// the owner that had no answer writes nothing else.
#[test]
fn an_end_that_is_recorded_before_a_cancellation_stays() {
    for seed in 71..76 {
        let (mut day, id, batch) = about_to_end(seed);
        let key = format!("h/job/{id}");
        let (mod_revision, mut record) = day.world.store.keys[&key].clone();
        let transaction = serde_json::to_value(&batch.transaction).expect("txn");
        assert!(matches!(
            day.world.store.transact(&transaction),
            TransactionOutcome::Done(_)
        ));
        record["p"] = json!("c");
        let on = |mod_revision: u64| json!({"when": [{"key": key, "stamp": mod_revision}], "apply": [{"write": key, "value": record}]});
        for stale in [mod_revision, 0] {
            let outcome = day.world.store.transact(&on(stale));
            assert!(
                matches!(outcome, TransactionOutcome::Failed(_)),
                "seed {seed}"
            );
        }
        // Its answer was lost: it is tried again.
        day.world.owners[0].pending = Some(batch);
        day.writes = 3;
        day.cancel(&id);
        day.run(10.0);
        assert_eq!(day.phase(&id), "d");
        day.world.begin_leadership();
        day.settle(30.0);
        assert_eq!(day.phase(&id), "d");
        assert_eq!(day.world.starts_of[&id], 2, "seed {seed}: started again");
    }
}
