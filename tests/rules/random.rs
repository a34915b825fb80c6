//! Everything at once, drawn at random, whoever takes over when.

use crate::*;

/// The same with failure domains, devices, drains: also no required spread is
/// broken by a start, and no unit is given out twice, whoever takes over when.
#[test]
fn rules_and_devices_hold_through_drains_and_takeovers() {
    for seed in 200..220 {
        let mut world = World::with(seed, true);
        world.staged = seed % 4 > 1;
        for _ in 0..500 {
            world.step(true);
        }
        assert!(world.started > 50, "seed {seed}: {} started", world.started);
    }
}

#[test]
fn rules_hold_through_losses_late_commands_and_takeovers() {
    for seed in 0..30 {
        let mut world = World::new(seed);
        world.staged = seed % 4 > 1;
        for _ in 0..500 {
            world.step(true);
        }
        assert!(
            world.started > 50,
            "nothing_ran: seed {seed} started {}",
            world.started
        );
    }
}

/// The same with several shards: tasks are left to other shards, parts of limits
/// move, and each shard is granted anew now and then, while its last owner goes
/// on. Two shards' writes to one job meet all the time.
#[test]
fn rules_hold_over_several_shards() {
    for seed in 300..312 {
        let mut world = World::of_shards(seed, false, 2 + seed as u32 % 2);
        world.staged = seed % 4 > 1;
        for _ in 0..500 {
            world.step(true);
        }
        let parts: i64 = (0..world.of)
            .map(|b| world.store.keys[&format!("h/slice/{b}")].1["t"][0][1].as_i64())
            .map(|part| part.expect("thousandths"))
            .sum();
        assert_eq!(parts, 10_000, "seed {seed}: the parts add up to the limit");
        assert!(
            world.started > 50,
            "nothing_ran: seed {seed} started {}",
            world.started
        );
    }
}

#[test]
fn all_accepted_arrays_finish_once_the_troubles_allow() {
    for seed in 100..106 {
        let mut world = World::of_shards(seed, false, 1 + seed as u32 % 3);
        world.staged = seed % 4 > 1;
        for _ in 0..200 {
            world.step(true);
        }
        for _ in 0..3000 {
            world.step(false);
        }
        for (id, job) in &world.jobs {
            let (_, record) = &world.store.keys[&format!("h/job/{id}")];
            let mistaken = job["jobclass"] == MISTAKEN;
            let open = job["shape"] == "standing" && !world.cancelled.contains_key(id);
            assert!(
                open || mistaken || record["p"] != "l",
                "seed {seed}: {id} is still open: {job}"
            );
        }
    }
}

/// All meetings as events: refusals of owners alone, outages, cancellations inside
/// them, late transactions and commands, kept heartbeats, machines that hang or are mute,
/// owners apart from the workers. A failing seed prints its schedule.
#[test]
fn rules_hold_while_all_faults_meet() {
    for seed in 400..412 {
        let mut world = World::of_shards(seed, false, 1 + seed as u32 % 3);
        world.faults.drawn = true;
        world.note(&format!("seed {seed}"));
        for _ in 0..500 {
            world.step(true);
        }
        assert!(world.started > 20, "nothing_ran: seed {seed}");
    }
}
