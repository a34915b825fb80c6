//! Jobs that a new owner may hold to be faulty by their records: the suspicion stops no work for
//! good, neither placement nor renting.

use serde_json::{json, Value};
use sorrelhinge::control::core::Core;
use sorrelhinge::types::Time;

use crate::*;

/// Time for which an owner is watched, in seconds: longer than any pause that a suspicion sets.
const WATCHED_S: f64 = 300.0;
/// Time within which the next task of a suspected job is placed beside free capacity, in seconds.
/// The users' rule is 90 s, and the placement itself may take some.
const NEXT_TEST_S: f64 = 45.0;

/// Accepts an array of 8 endless tasks of 1 CPU, and sets what its record says of their attempts.
fn array_with_attempts(world: &mut World, rank: &str, attempts: &Value) -> String {
    let id = array_of_rank(world, 0, ENDLESS, rank, 8);
    let key = format!("h/job/{id}");
    let mut record = world.store.keys[&key].1.clone();
    record["i"] = attempts.clone();
    world.store.write(&key, record);
    id
}

/// Takes over without any machine, and returns after how many seconds the first machine is
/// requested, and how many are requested then. The job is of idle rank, because machines are rented
/// for expected jobs of other ranks too.
fn first_rental(attempts: &Value) -> Option<(f64, u32)> {
    let mut world = World::new(5);
    world.workers.clear();
    array_with_attempts(&mut world, "idle", attempts);
    world.begin_leadership();
    let core = &mut world.owners.last_mut().expect("an owner").core;
    first_request(core)
}

fn first_request(core: &mut Core) -> Option<(f64, u32)> {
    let mut now = 0.0;
    while now < WATCHED_S {
        now += STEP_S;
        core.apply_machine_list(&[], Time(now));
        regular(core, Time(now));
        let requests = core.plan_scaling(Time(now)).scale_out;
        if !requests.is_empty() {
            return Some((now, requests.iter().map(|request| request.count).sum()));
        }
    }
    None
}

/// Guards against a job that waits for good because its machines were taken back (`review/5`): a
/// new owner held attempts without a result for failures, and rented nothing for the job.
#[test]
fn attempts_that_did_not_fail_let_a_new_owner_rent() {
    let lost = json!({"a": 40, "d": 0});
    let (rented_s, machines) = first_rental(&lost).expect("a machine is rented");
    assert!(rented_s <= 10.0, "after {rented_s} s");
    assert!(machines >= 2, "{machines} machines of 4 CPUs for 8 tasks");
}

/// Guards against a suspicion that ends only with a task that succeeds, while no machine is rented
/// for any: also a job that did fail is tried again, at the cost of one machine.
#[test]
fn a_machine_is_rented_to_test_a_suspected_job() {
    let failed = json!({"a": 40, "d": 0, "f": 39});
    let (rented_s, machines) = first_rental(&failed).expect("a machine is rented");
    assert_eq!(machines, 1, "one task tests the job");
    assert!((20.0..=40.0).contains(&rented_s), "after {rented_s} s");
}

/// Guards against a suspicion that stops all placement until tasks end that run for hours: the job
/// is tested beside them, by twice as many tasks each time.
#[test]
fn a_suspected_job_is_tested_beside_its_running_tasks() {
    let mut world = calm(6);
    let attempts = json!({"a": 12, "d": 0, "f": 9, "c": [[0, 10, "vm-000000"]]});
    let id = array_with_attempts(&mut world, "normal", &attempts);
    let running = Running {
        units: Vec::new(),
        attempt: 10,
        phase: "running",
        exit_reason: None,
        left: f64::INFINITY,
    };
    world.workers[0].tasks.insert(format!("{id}/0"), running);
    world.begin_leadership();
    // The world's deposed owner gives back machines that it does not hear; a real one does not
    // touch the cloud without its lease.
    world.owners.remove(0);
    let mut last_s = world.now;
    let mut starts = Vec::new();
    while world.now < WATCHED_S {
        world.step(false);
        let started = world.starts_of.get(&id).copied().unwrap_or(0);
        if starts.last().copied().unwrap_or(0) < started {
            let waited_s = world.now - last_s;
            assert!(waited_s <= NEXT_TEST_S, "{waited_s} s after {starts:?}");
            last_s = world.now;
            starts.push(started);
        }
    }
    // Only few machines have room for a task beside the replicas that fill them.
    let placed = starts.last().copied().unwrap_or(0);
    assert_eq!(placed, 5, "all free CPUs are used: {starts:?}");
    assert_eq!(starts[0], 1, "the first test is one task: {starts:?}");
}
