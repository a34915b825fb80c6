//! More work than room, lost machines, swarms of small jobs, machines up at once.

use rand::Rng;
use serde_json::json;
use sorrelhinge::types::Time;

use super::day::Day;
use crate::*;

/// More work than room, urgent and not, while every other command is late, some of
/// its answers are lost, and few changes are recorded.
#[test]
fn more_work_than_free_capacity_over_slow_links() {
    for (seed, shards) in [(1, 1), (2, 1), (3, 1), (4, 2), (5, 2)] {
        let mut day = Day::new(seed, shards);
        for n in 0..30 {
            let rank = ["critical", "high", "normal", "idle"][n % 4];
            let crew = if n % 3 == 0 { "red" } else { "blue" };
            let cpus = f64::from(1 + n as u32 % 3);
            day.submit(6, json!({"rank": rank, "crew": crew, "cpus": cpus}));
        }
        (day.writes, day.late_commands, day.lost_answers) = (1, 0.5, 0.1);
        for n in 0..120 {
            day.step();
            if n % 30 == 20 {
                let id = format!("run-{:06}", n / 10);
                day.cancel(&id);
            }
            if n % 40 == 39 {
                day.world.begin_leadership();
            }
        }
        assert!(day.world.started > 20, "seed {seed}: {}", day.world.started);
        day.settle(240.0);
    }
}

/// Arrays bound to one zone, by name, `together`, or `spread` over both, and their
/// machines die or hang until their leases are over.
#[test]
fn jobs_bound_to_a_zone_lose_machines() {
    for (seed, shards) in [(11, 1), (12, 1), (13, 1), (14, 2), (15, 2)] {
        let mut day = Day::new(seed, shards);
        for n in 0..12 {
            let place = match n % 4 {
                0 => json!({"rack": "za"}),
                1 => json!({"rack": "zb", "loaners": false}),
                2 => json!({"together": true}),
                _ => json!({"spread": true}),
            };
            let id = day.submit(5, place);
            day.lasting.insert(id, vec![2.0, 10.0, 25.0, 25.0, 40.0]);
        }
        for n in 0..200 {
            day.step();
            if n % 25 == 10 {
                let at = day.world.rng.random_range(0..8);
                let until = day.world.now + day.world.rng.random_range(5.0..30.0);
                let id = day.world.workers[at].id.clone();
                match n % 2 {
                    0 => day.world.workers[at].silent_until = until,
                    _ => drop(day.hung.insert(id, until)),
                }
                // Taken without notice: its tasks go with it.
                if n % 50 == 10 {
                    day.world.workers[at].tasks.clear();
                }
            }
            if n == 120 {
                day.world.begin_leadership();
            }
        }
        assert!(day.world.started > 40, "seed {seed}: {}", day.world.started);
        day.settle(300.0);
    }
}

/// Four jobs of one task a second for two minutes, of which every fourth is cancelled
/// within the next seconds, over two changes of the leader.
#[test]
fn four_jobs_a_second_and_a_quarter_cancelled() {
    for (seed, shards) in [(21, 1), (22, 1), (23, 2)] {
        let mut day = Day::new(seed, shards);
        let mut to_cancel = Vec::new();
        for n in 0..240 {
            for k in 0..2 {
                let id = day.submit(1, json!({}));
                let after = day.world.rng.random_range(0.0..6.0);
                if (2 * n + k) % 4 == 0 {
                    day.lasting.insert(id.clone(), vec![200.0]);
                    to_cancel.push((day.world.now + after, id));
                }
            }
            let now = day.world.now;
            let (due, rest): (Vec<_>, Vec<_>) = to_cancel.into_iter().partition(|c| c.0 <= now);
            to_cancel = rest;
            for (_, id) in due {
                day.cancel(&id);
            }
            day.late_commands = 0.1;
            if n % 80 == 79 {
                day.world.begin_leadership();
            }
            day.step();
        }
        let cancelled = day.world.cancelled.len();
        assert!(cancelled > 30, "seed {seed}: {cancelled} cancelled");
        assert!(
            day.world.started > 300,
            "seed {seed}: {}",
            day.world.started
        );
        day.settle(240.0);
    }
}

/// Machines come up and heartbeat at once while nothing is recorded, work is placed on
/// them, and the leader ends with its claims unrecorded or recorded without an answer:
/// nothing starts before its claim is in the record, and the next owner counts it.
#[test]
fn new_machines_get_work_while_writes_lag_and_the_leader_ends() {
    for (seed, shards) in [(31, 1), (32, 1), (33, 1), (34, 2)] {
        let mut day = Day::new(seed, shards);
        let spare: Vec<Worker> = day.world.workers.drain(2..).collect();
        day.run(3.0);
        for n in 0..10 {
            let crew = if n % 2 == 0 { "red" } else { "blue" };
            let id = day.submit(4, json!({"crew": crew}));
            day.lasting.insert(id, vec![30.0; 4]);
        }
        day.writes = 0;
        let before = day.world.started;
        for (n, mut w) in spare.into_iter().enumerate() {
            w.id = format!("vm-{:06}", 50 + n);
            w.renewed = day.world.now;
            day.world.workers.push(w);
        }
        day.run(2.0);
        assert_eq!(day.world.started, before, "seed {seed}: before any record");
        // The first transactions arrive, and their owner ends before it knows.
        for at in 0..day.world.owners.len() {
            let now = Time(day.world.now);
            let o = &mut day.world.owners[at];
            while let Some(batch) = o.core.next_batch(&o.view, 4, false, now) {
                let transaction = serde_json::to_value(&batch.transaction).expect("txn");
                day.world.store.transact(&transaction);
            }
        }
        assert_eq!(day.world.started, before, "seed {seed}: without an answer");
        day.world.owners.clear();
        for shard in 0..shards {
            match shards {
                1 => day.world.begin_leadership(),
                _ => day.world.begin_shard_ownership(shard),
            }
        }
        day.writes = 3;
        day.run(10.0);
        assert!(day.world.started > before, "seed {seed}: nothing started");
        day.world.begin_leadership();
        day.settle(300.0);
    }
}
