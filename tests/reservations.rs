//! Room reserved for work that is only expected, and a job that waits beside it: the
//! users' rule is that no job waits for 90 s while a fitting machine has room and its
//! team is under its limit.

mod cluster_states;

use std::rc::Rc;

use cluster_states::RULE;
use serde_json::json;
use sorrelhinge::api::read_job;
use sorrelhinge::sched::{ClusterState, Job, Machine, Progress, Tasks};
use sorrelhinge::types::{Amount, JobId, MachineId, MachineType, Time, TypeName, Zone};

/// The only team.
const TEAM: usize = 0;
/// The users' bound, in seconds.
const BOUND_S: f64 = 90.0;
/// A job that has waited for so long still leaves reserved room alone, in seconds.
const PATIENT_S: f64 = 50.0;

fn cluster_state(machines: u32, spot: bool) -> ClusterState {
    cluster_states::cluster_state(machines, 4.0, spot, &[("house", 0.0, Some(8.0))])
}

/// A job of tasks of one CPU each, submitted at 0, that may use spot machines.
fn add(cluster_state: &mut ClusterState, uid: &str, pieces: u32) -> JobId {
    let value = json!({"uid": uid, "jobclass": "bake", "crew": "house", "shape": "sweep",
        "rank": "normal", "pieces": pieces, "cpus": 1.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "img-1", "pull_gb": 0.1, "builds": null, "rack": null, "together": false,
        "spread": false, "loaners": true, "guess_s": 600.0, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": null});
    let spec = Rc::new(read_job(value).expect("a valid job"));
    let tasks = Tasks::new(spec.tasks, 64);
    let id = JobId::from(uid);
    // One whose aims are far off, as those of long jobs are.
    let job = Job {
        late_s: 1000.0,
        patience_s: 1000.0,
        ..Job::new(spec, TEAM, Time(0.0), tasks)
    };
    cluster_state.add_job(id.clone(), job);
    id
}

/// Places what can be placed, and lets it run: how many tasks.
fn place(cluster_state: &mut ClusterState, now: f64) -> usize {
    let launches = cluster_state.place(RULE, Time(now));
    for launch in &launches {
        let claim = cluster_state.claim_mut(&launch.task).expect("placed");
        claim.committed = true;
        claim.progress = Progress::Running(Time(now));
    }
    launches.len()
}

/// Under constant load the part that a team's limit leaves to jobs whose users wait for
/// the start lay idle for as long as the load lasted, beside jobs that waited.
#[test]
fn a_job_that_waits_for_long_takes_the_part_left_to_others_task_by_task() {
    let mut cluster_state = cluster_state(4, true);
    cluster_state.hold_back(TEAM, Amount::new(4.0, 0.0, 0.0));
    add(&mut cluster_state, "run-1", 4);
    assert_eq!(place(&mut cluster_state, 0.0), 4);
    add(&mut cluster_state, "run-2", 3);
    assert_eq!(place(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(place(&mut cluster_state, BOUND_S), 1);
    assert_eq!(place(&mut cluster_state, BOUND_S + PATIENT_S), 0);
    assert_eq!(place(&mut cluster_state, 2.0 * BOUND_S), 1);
}

/// The walk of one machine, at its report, decides the same.
#[test]
fn the_walk_of_a_machine_gives_way_too() {
    let mut cluster_state = cluster_state(1, false);
    let machine = MachineId::from("vm-0");
    let kept = Amount::new(4.0, 0.0, 16.0);
    cluster_state.edit_machine(&machine, |m| m.kept = kept);
    add(&mut cluster_state, "run-1", 2);
    let walk = |c: &mut ClusterState, now| c.walk(&machine, RULE, Time(now)).len();
    assert_eq!(walk(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(walk(&mut cluster_state, BOUND_S), 1);
    assert_eq!(walk(&mut cluster_state, BOUND_S + PATIENT_S), 0);
}

/// Room on ordinary machines that was kept for replicas to come was never open to work
/// that may use spot machines, however long it waited: 12 to 16 CPUs stayed free for
/// 150 s beside 200 jobs of 8 CPUs on a simulated day.
#[test]
fn a_job_that_waits_for_long_takes_room_kept_on_ordinary_machines() {
    let mut cluster_state = cluster_state(1, false);
    let kept = Amount::new(4.0, 0.0, 16.0);
    cluster_state.edit_machine(&MachineId::from("vm-0"), |m| m.kept = kept);
    add(&mut cluster_state, "run-1", 1);
    assert_eq!(place(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(place(&mut cluster_state, BOUND_S), 1);
}

/// Of two types the larger is left to a job that fits no other; not for longer than the
/// users' bound, though the aims of the one that waits are far off.
#[test]
fn a_job_that_waits_for_long_takes_a_machine_left_to_larger_work() {
    let mut cluster_state = cluster_states::cluster_state(1, 4.0, true, &[("house", 0.0, None)]);
    let large = Rc::new(MachineType {
        name: TypeName::from("large"),
        total: Amount::new(16.0, 0.0, 64.0),
        cache_gb: 8.0,
        fetch_gb_per_s: 1.0,
        price: 4.0,
        spot_price: 1.2,
        boot_s: 10.0,
        zones: vec![Zone::from("za")],
    });
    let mut machine = Machine::new(large, Zone::from("za"), true, Time(0.0));
    machine.usable = true;
    cluster_state.add_machine(MachineId::from("vm-large"), machine);
    // The small machine is full.
    add(&mut cluster_state, "run-1", 4);
    cluster_state.edit_machine(&MachineId::from("vm-large"), |m| m.usable = false);
    assert_eq!(place(&mut cluster_state, 0.0), 4);
    cluster_state.edit_machine(&MachineId::from("vm-large"), |m| m.usable = true);
    let waiting = add(&mut cluster_state, "run-2", 1);
    let larger = add(&mut cluster_state, "run-3", 1);
    cluster_state.edit_job(&larger, |job| {
        let mut spec = (*job.spec).clone();
        spec.each = Amount::new(8.0, 0.0, 8.0);
        job.spec = Rc::new(spec);
        // It is not placed itself: nothing of it starts yet on this machine.
        job.avoid.insert(MachineId::from("vm-large"), Time(1e9));
    });
    assert_eq!(place(&mut cluster_state, PATIENT_S), 0);
    assert_eq!(place(&mut cluster_state, BOUND_S), 1);
    let placed = cluster_state.job(&waiting).map(|j| j.tasks.claims().len());
    assert_eq!(placed, Some(1));
}

/// Nothing is stopped to make such room: a task of the job would take it, and the rest
/// would lie there reserved once more.
#[test]
fn nothing_is_stopped_for_room_beyond_the_part_left_to_others() {
    let teams = [("house", 8.0, Some(8.0)), ("guest", 0.0, None)];
    let mut cluster_state = cluster_states::cluster_state(2, 4.0, true, &teams);
    cluster_state.hold_back(TEAM, Amount::new(4.0, 0.0, 0.0));
    add(&mut cluster_state, "run-1", 4);
    assert_eq!(place(&mut cluster_state, 0.0), 4);
    let guest = add(&mut cluster_state, "run-2", 4);
    let job = cluster_state.job(&guest).expect("it is there").clone();
    cluster_state.remove_job(&guest);
    cluster_state.add_job(guest, Job { team: 1, ..job });
    assert_eq!(place(&mut cluster_state, 1.0), 4);
    add(&mut cluster_state, "run-3", 2);
    assert_eq!(place(&mut cluster_state, BOUND_S), 0, "all is taken");
    assert_eq!(cluster_state.preempt(|_| 5.0, Time(2.0 * BOUND_S)), []);
}
