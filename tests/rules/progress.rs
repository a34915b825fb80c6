//! No state of an owner stops work for good: whatever limits, pauses, suspicions and refusals the
//! troubles leave behind, an accepted job is done afterwards, also on a fleet of no to ten
//! machines and by a leader that knows the records alone.

use rand::Rng;

use crate::*;

/// Machines that the cloud has: more than all work needs.
const CLOUD_MACHINES: usize = 24;
/// Steps of troubles.
const TROUBLED_STEPS: usize = 160;
/// Steps without troubles, within which the job is done.
const CALM_STEPS: usize = 800;

/// Leaves a fleet of so many machines, and only the records to the next leader. A deposed owner
/// must not help it out by giving back machines, as a real one does not reach the cloud.
fn leave_records_and_machines(world: &mut World, machines: usize) {
    while world.workers.len() > machines {
        world.workers.remove(0);
    }
    world.begin_leadership();
    let former = world.owners.len() - 1;
    world.owners.drain(..former);
}

/// Guards against a state that stops work and ends only through the work that it stops, as in
/// `review/4` and `review/5`. One job of idle rank is alone, so that no other work brings it a
/// machine. In the troubles its machines are taken again and again, or its tasks fail; then all
/// machines hang for good while it runs.
#[test]
fn a_job_that_is_alone_is_done_whatever_the_troubles_leave_behind() {
    for seed in 700..744 {
        let machines = seed as usize % 11;
        let mut world = World::new(seed);
        world.cloud_machines = Some(CLOUD_MACHINES);
        world.workers.truncate(machines);
        let tasks = world.rng.random_range(1..9);
        let id = array_of_rank(&mut world, 0, "batch", "idle", tasks);
        // Otherwise the only job is soon cancelled.
        world.calm = true;
        world.all_fail = seed % 2 == 0;
        for _ in 0..TROUBLED_STEPS {
            world.step(false);
            if !world.all_fail {
                lose_machine_with_task(&mut world);
            }
            if world.rng.random_bool(0.02) {
                world.begin_leadership();
            }
        }
        world.all_fail = false;
        leave_records_and_machines(&mut world, machines);
        hang_all_machines(&mut world);
        for _ in 0..CALM_STEPS {
            world.step(false);
        }
        let (_, record) = &world.store.keys[&format!("h/job/{id}")];
        assert!(
            record["p"] == "d",
            "seed {seed}, {machines} machines: {record}"
        );
    }
}

/// The cloud takes a machine back on which a task is, without a notice.
fn lose_machine_with_task(world: &mut World) {
    let runs = world.workers.iter().position(|w| !w.tasks.is_empty());
    if let Some(at) = runs {
        world.workers.remove(at);
    }
}

/// All machines are silent for good as soon as a task is on one of them.
fn hang_all_machines(world: &mut World) {
    let mut left = CALM_STEPS / 2;
    while left > 0 && world.workers.iter().all(|w| w.tasks.is_empty()) {
        world.step(false);
        left -= 1;
    }
    for worker in &mut world.workers {
        worker.silent_until = f64::INFINITY;
    }
}
