//! Room reserved for work that is only expected, and a job that waits beside it: the
//! users' rule is that no job waits for 90 s while a fitting machine has free capacity and its
//! team is under its limit.

mod array_jobs;
mod cluster_states;

use std::rc::Rc;

use array_jobs::{claimed, run_placed, ArrayJob};
use cluster_states::RULE;
use sorrelhinge::scheduler::{ClusterState, Machine};
use sorrelhinge::types::{
    Amount, JobId, Kind, MachineId, MachineType, TaskId, Time, TypeName, Zone,
};

/// The team that has a limit.
const TEAM: usize = 0;
/// Another, without a guarantee.
const GUEST: usize = 1;
/// The users' bound, in seconds.
const BOUND_S: f64 = 90.0;
/// A job that has waited for so long still leaves reserved room alone, in seconds.
const PATIENT_S: f64 = 50.0;

fn cluster_state(machines: u32, spot: bool) -> ClusterState {
    cluster_states::cluster_state(machines, 4.0, spot, &[("house", 0.0, Some(8.0))])
}

/// A job of tasks of one CPU each, submitted at 0, that may use spot machines.
fn add(cluster_state: &mut ClusterState, uid: &str, team: usize, tasks: u32) -> JobId {
    let job = ArrayJob {
        uid,
        team,
        rank: "normal",
        tasks,
        estimate_s: 600.0,
    };
    let id = job.add(cluster_state);
    // One whose objectives are far off, as those of long jobs are.
    cluster_state.edit_job(&id, |job| {
        job.late_s = 1000.0;
        job.patience_s = 1000.0;
    });
    id
}

/// Under constant load the part that a team's limit leaves to jobs whose users wait for
/// the start lay idle for as long as the load lasted, beside jobs that waited.
#[test]
fn a_job_that_waits_for_long_takes_the_part_left_to_others_task_by_task() {
    let mut cluster_state = cluster_state(4, true);
    cluster_state.hold_back(TEAM, Amount::new(4.0, 0.0, 0.0));
    add(&mut cluster_state, "run-1", TEAM, 4);
    assert_eq!(run_placed(&mut cluster_state, 0.0), 4);
    add(&mut cluster_state, "run-2", TEAM, 3);
    assert_eq!(run_placed(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(run_placed(&mut cluster_state, BOUND_S), 1);
    assert_eq!(run_placed(&mut cluster_state, BOUND_S + PATIENT_S), 0);
    assert_eq!(run_placed(&mut cluster_state, 2.0 * BOUND_S), 1);
}

/// The walk of one machine, at its heartbeat, decides the same.
#[test]
fn the_walk_of_a_machine_gives_way_too() {
    let mut cluster_state = cluster_state(1, false);
    let machine = MachineId::from("vm-0");
    let kept = Amount::new(4.0, 0.0, 16.0);
    cluster_state.edit_machine(&machine, |m| m.kept = kept);
    add(&mut cluster_state, "run-1", TEAM, 2);
    let walk = |c: &mut ClusterState, now| c.walk(&machine, RULE, Time(now)).len();
    assert_eq!(walk(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(walk(&mut cluster_state, BOUND_S), 1);
    assert_eq!(walk(&mut cluster_state, BOUND_S + PATIENT_S), 0);
}

/// Room on ordinary machines that was kept for replicas to come was never open to work
/// that may use spot machines, however long it waited: 12 to 16 CPUs stayed free for
/// 150 s beside 200 jobs of 8 CPUs on a simulated day.
#[test]
fn a_job_that_waits_for_long_takes_free_capacity_kept_on_ordinary_machines() {
    let mut cluster_state = cluster_state(1, false);
    let kept = Amount::new(4.0, 0.0, 16.0);
    cluster_state.edit_machine(&MachineId::from("vm-0"), |m| m.kept = kept);
    add(&mut cluster_state, "run-1", TEAM, 1);
    assert_eq!(run_placed(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(run_placed(&mut cluster_state, BOUND_S), 1);
}

/// Of two types the larger is left to a job that fits no other; not for longer than the
/// users' bound, though the objectives of the one that waits are far off.
#[test]
fn a_job_that_waits_for_long_takes_a_machine_left_to_larger_work() {
    let mut cluster_state = cluster_states::cluster_state(1, 4.0, true, &[("house", 0.0, None)]);
    let small = cluster_state.machines()[&MachineId::from("vm-0")]
        .kind
        .clone();
    let large = Rc::new(MachineType {
        name: TypeName::from("large"),
        total: Amount::new(16.0, 0.0, 64.0),
        ..(*small).clone()
    });
    let mut machine = Machine::new(large, Zone::from("za"), true, Time(0.0));
    machine.usable = true;
    cluster_state.add_machine(MachineId::from("vm-large"), machine);
    // The small machine is full.
    add(&mut cluster_state, "run-1", TEAM, 4);
    cluster_state.edit_machine(&MachineId::from("vm-large"), |m| m.usable = false);
    assert_eq!(run_placed(&mut cluster_state, 0.0), 4);
    cluster_state.edit_machine(&MachineId::from("vm-large"), |m| m.usable = true);
    let waiting = add(&mut cluster_state, "run-2", TEAM, 1);
    let larger = add(&mut cluster_state, "run-3", TEAM, 1);
    cluster_state.edit_job(&larger, |job| {
        let mut spec = (*job.spec).clone();
        spec.each = Amount::new(8.0, 0.0, 8.0);
        job.spec = Rc::new(spec);
        // It is not placed itself: nothing of it starts yet on this machine.
        job.avoid.insert(MachineId::from("vm-large"), Time(1e9));
    });
    assert_eq!(run_placed(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(run_placed(&mut cluster_state, BOUND_S), 1);
    assert_eq!(claimed(&cluster_state, &waiting), 1);
}

/// A gang is placed whole in such room; one that lost its place waits anew, as any job.
#[test]
fn a_gang_that_lost_its_place_leaves_reserved_free_capacity_alone_again() {
    let mut cluster_state = cluster_state(1, false);
    let kept = Amount::new(4.0, 0.0, 16.0);
    cluster_state.edit_machine(&MachineId::from("vm-0"), |m| m.kept = kept);
    let gang = add(&mut cluster_state, "run-1", TEAM, 2);
    cluster_state.edit_job(&gang, |job| {
        let mut spec = (*job.spec).clone();
        spec.kind = Kind::Gang;
        job.spec = Rc::new(spec);
    });
    assert_eq!(run_placed(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(run_placed(&mut cluster_state, BOUND_S), 2);
    for index in 0..2 {
        let job = gang.clone();
        cluster_state.release(&TaskId { job, index }, Time(BOUND_S + 1.0));
    }
    assert_eq!(run_placed(&mut cluster_state, BOUND_S + PATIENT_S), 0);
    assert_eq!(run_placed(&mut cluster_state, 2.0 * BOUND_S), 2);
}

/// Nothing is stopped to make such room: a task of the job would take it, and the rest
/// would lie there reserved once more.
#[test]
fn nothing_is_stopped_for_free_capacity_beyond_the_part_left_to_others() {
    let teams = [("house", 8.0, Some(8.0)), ("guest", 0.0, None)];
    let mut cluster_state = cluster_states::cluster_state(2, 4.0, true, &teams);
    cluster_state.hold_back(TEAM, Amount::new(4.0, 0.0, 0.0));
    add(&mut cluster_state, "run-1", TEAM, 4);
    assert_eq!(run_placed(&mut cluster_state, 0.0), 4);
    add(&mut cluster_state, "run-2", GUEST, 4);
    assert_eq!(run_placed(&mut cluster_state, 1.0), 4);
    add(&mut cluster_state, "run-3", TEAM, 2);
    assert_eq!(run_placed(&mut cluster_state, BOUND_S), 0, "all is taken");
    assert_eq!(cluster_state.preempt(|_| 5.0, Time(2.0 * BOUND_S)), []);
}
