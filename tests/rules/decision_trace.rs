//! What owners decide under a seed, hashed: a renaming or a restructuring changes none of
//! it. Only texts as they go over the wire are folded.

use crate::*;

const SEEDS: u64 = 200;
/// Steps of half a second, of which jobs are submitted in the first part.
const STEPS: u32 = 70;
const SUBMITTING_STEPS: u32 = 55;

impl Trace {
    /// Folds a message as it goes over the wire.
    pub(crate) fn fold_json<T: serde::Serialize>(&mut self, what: &str, message: &T) {
        self.fold(what);
        self.fold(&serde_json::to_string(message).expect("JSON"));
    }
}

/// A world of this seed: plain, with failure domains, several shards, all faults, or jobs
/// that wait for others, in turn.
fn world(seed: u64) -> World {
    let several = 2 + seed as u32 % 2;
    let mut world = match seed % 5 {
        0 => World::new(seed),
        1 => World::with(seed, true),
        2 => World::of_shards(seed, false, several),
        3 => World::of_shards(seed, false, 1 + seed as u32 % 3),
        _ => World::of_shards(seed, false, 1 + seed as u32 % 2),
    };
    world.staged = seed % 4 > 1;
    world.start_objectives = seed % 2 == 1;
    world.faults.drawn = seed % 5 > 2;
    world.pipelines = seed % 5 == 4;
    // The first owners have begun without all that.
    match world.of {
        1 => world.begin_leadership(),
        of => (0..of).for_each(|shard| world.begin_shard_ownership(shard)),
    }
    world
}

/// The hash of all that is decided in a world, and of all that the state service took.
fn decided(seed: u64) -> u64 {
    let mut world = world(seed);
    for step in 0..STEPS {
        world.step(step < SUBMITTING_STEPS);
    }
    let mut trace = world.trace;
    for event in &world.store.log {
        trace.fold_json("event", event);
    }
    trace.hash()
}

#[test]
fn decisions_under_a_seed_are_the_golden_ones() {
    let mut golden = golden_files::Golden::default();
    for seed in 0..SEEDS {
        golden.add(&format!("{seed}"), &format!("{:016x}", decided(seed)));
    }
    golden.check("decisions_of_owners.txt");
}
