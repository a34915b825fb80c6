//! Zones apart, machines that don't hear, hang or send heartbeats to nobody, no controllers.

use rand::Rng;
use serde_json::json;

use super::day::Day;
use crate::*;

/// Jobs of both teams that last so long, until the red one is at its limit.
fn fill(day: &mut Day, lasts: f64) {
    for n in 0..10 {
        let crew = if n % 2 == 0 { "red" } else { "blue" };
        let id = day.submit(3, json!({"crew": crew}));
        day.lasting.insert(id, vec![lasts; 3]);
    }
    day.run(6.0);
    let running = day.world.on_machines().count();
    assert!(running >= 10, "{running} run");
}

/// All controllers end; none is back for so long.
fn away(day: &mut Day, shards: u32, seconds: f64) {
    day.world.owners.clear();
    day.run(seconds);
    for shard in 0..shards {
        match shards {
            1 => day.world.begin_leadership(),
            _ => day.world.begin_shard_ownership(shard),
        }
    }
}

/// A zone is cut off for longer than a lease, with its workers and the owner, which goes
/// on there until it may answer them no longer; another takes over outside, and jobs
/// are cancelled there.
#[test]
fn a_zone_with_workers_and_the_owner_is_cut_off() {
    // As long as a view may be out of date while workers are answered by it.
    let answers_s = CANCEL_S - LEASE_S - 3.0;
    for (seed, shards) in [(81, 1), (82, 1), (83, 1), (84, 2)] {
        let mut day = Day::new(seed, shards);
        fill(&mut day, 25.0);
        day.apart = Some("zb");
        let former = day.world.owners.len();
        day.run(2.0);
        for shard in 0..shards {
            match shards {
                1 => day.world.begin_leadership(),
                _ => day.world.begin_shard_ownership(shard),
            }
        }
        day.cancel("run-000000");
        day.cancel("run-000003");
        day.run(answers_s - 2.0);
        day.pause_first(former, 2.0 * LEASE_S);
        day.run(2.0 * LEASE_S);
        day.apart = None;
        day.run(10.0);
        day.settle(240.0);
    }
}

/// Some machines can open no connection to any controller, while direct commands still
/// reach them, for less and for more than a lease.
#[test]
fn machines_that_reach_no_controller_still_take_commands() {
    for (seed, shards, seconds) in [(91, 1, 8.0), (92, 1, 45.0), (93, 1, 90.0), (94, 2, 45.0)] {
        let mut day = Day::new(seed, shards);
        fill(&mut day, 15.0);
        let until = day.world.now + seconds;
        for w in day.world.workers.iter().step_by(2) {
            day.mute.insert(w.id.clone(), until);
        }
        for n in 0..(seconds as u32) {
            if n % 8 == 4 {
                day.cancel(&format!("run-{:06}", n / 8));
                day.submit(4, json!({"crew": "red"}));
            }
            day.run(1.0);
            if n == 12 {
                day.world.begin_leadership();
            }
        }
        day.settle(240.0);
    }
}

/// All controllers are away: for less than a lease nothing is started again, for longer
/// everything is, and nothing twice at a time.
#[test]
fn all_controllers_are_away_for_longer_than_a_lease() {
    for (seed, shards) in [(101, 1), (102, 1), (103, 2)] {
        for (seconds, again) in [(10.0, false), (25.0, true), (60.0, true)] {
            let mut day = Day::new(seed, shards);
            fill(&mut day, 40.0);
            day.cancel("run-000002");
            let before = day.world.started;
            away(&mut day, shards, seconds);
            day.cancel("run-000004");
            day.run(4.0);
            let started = day.world.started - before;
            assert_eq!(started >= 10, again, "seed {seed}, {seconds} s: {started}");
            day.settle(240.0);
        }
    }
}

/// The red team is at its limit, the leader changes while some of the machines with its
/// tasks can't be asked, and its jobs there are cancelled: their free capacity counts as used
/// until it is proved that the tasks are gone.
#[test]
fn a_team_at_its_limit_and_a_cancellation_while_machines_cannot_be_asked() {
    for (seed, shards) in [(111, 1), (112, 1), (113, 1), (114, 2), (115, 2)] {
        let mut day = Day::new(seed, shards);
        let first = day.submit(10, json!({"crew": "red"}));
        day.lasting.insert(first.clone(), vec![500.0; 10]);
        day.run(6.0);
        let held = day.machines_of(&first);
        let part = 10 / shards as usize;
        assert!(held.len() + 2 >= part, "seed {seed}: {held:?}");
        let until = day.world.now + 30.0;
        for (n, id) in held.iter().enumerate() {
            let w = day.world.workers.iter_mut().find(|w| w.id == *id);
            match n % 3 {
                0 => w.expect("the worker").silent_until = until,
                1 => drop(day.hung.insert(id.clone(), until)),
                _ => w.expect("the worker").silence_ignored_until = until,
            }
        }
        let next = day.submit(10, json!({"crew": "red"}));
        day.lasting.insert(next, vec![60.0; 10]);
        day.run(0.5);
        day.cancel(&first);
        day.world.owners.clear();
        for shard in 0..shards {
            match shards {
                1 => day.world.begin_leadership(),
                _ => day.world.begin_shard_ownership(shard),
            }
        }
        day.run(15.0);
        day.world.begin_leadership();
        day.run(30.0);
        day.settle(240.0);
    }
}

/// A leader ends while machines with long tasks can't be reached, hang, or don't hear the
/// new one's answers, for less than a lease: nothing runs twice, and nothing is lost;
/// and for longer.
#[test]
fn a_leader_ends_while_machines_with_long_tasks_do_not_hear() {
    for (seed, shards) in [(121, 1), (122, 1), (123, 2)] {
        for seconds in [6.0, 35.0] {
            let mut day = Day::new(seed, shards);
            let long = day.submit(12, json!({}));
            day.lasting.insert(long.clone(), vec![100.0; 12]);
            day.run(6.0);
            let until = day.world.now + seconds;
            for (n, id) in day.machines_of(&long).into_iter().enumerate() {
                let w = day.world.workers.iter_mut().find(|w| w.id == id);
                match n % 3 {
                    0 => w.expect("the worker").silent_until = until,
                    1 => w.expect("the worker").silence_ignored_until = until,
                    _ => drop(day.hung.insert(id, until)),
                }
            }
            away(&mut day, shards, 1.0);
            for _ in 0..6 {
                day.submit(4, json!({}));
                day.run(2.0);
            }
            day.world.begin_leadership();
            day.run(seconds);
            day.settle(300.0);
        }
    }
}

/// Commands, or their answers, are held up for seconds at machines that hang, which then
/// go on: within their leases, and after.
#[test]
fn a_command_is_held_up_and_the_machine_goes_on() {
    for (seed, shards) in [(131, 1), (132, 1), (133, 1), (134, 2), (135, 2)] {
        let mut day = Day::new(seed, shards);
        (day.late_commands, day.lost_answers) = (0.3, 0.2);
        for n in 0..160 {
            if n % 4 == 0 {
                let crew = if n % 8 == 0 { "red" } else { "blue" };
                day.submit(3, json!({"crew": crew}));
            }
            if n % 6 == 3 {
                let at = day.world.rng.random_range(0..8);
                let until = day.world.now + day.world.rng.random_range(1.0..26.0);
                let id = day.world.workers[at].id.clone();
                day.hung.insert(id, until);
            }
            if n % 20 == 10 {
                let id = format!("run-{:06}", n / 5);
                day.cancel(&id);
            }
            if n % 50 == 49 {
                day.world.begin_leadership();
            }
            day.step();
        }
        assert!(day.world.started > 40, "seed {seed}: {}", day.world.started);
        day.settle(240.0);
    }
}

/// Starts are held up on their way while heartbeats arrive whose answers are lost, and
/// their jobs are cancelled: a heartbeat without the task proves nothing before it carries
/// the fencing token that fences the start, so its free capacity goes to nobody.
#[test]
fn starts_are_held_up_while_their_jobs_are_cancelled() {
    for (seed, shards) in [(141, 1), (142, 1), (143, 1), (144, 2), (145, 2)] {
        let mut day = Day::new(seed, shards);
        day.run(4.0);
        (day.late_commands, day.lost_answers) = (1.0, 1.0);
        let first = day.submit(10, json!({"crew": "red"}));
        day.lasting.insert(first.clone(), vec![100.0; 10]);
        day.run(2.0);
        assert!(!day.world.late.is_empty(), "seed {seed}: no start was sent");
        day.cancel(&first);
        day.submit(10, json!({"crew": "red"}));
        day.run(16.0);
        day.settle(240.0);
    }
}
