//! Which drains cover which machines, where each machine of a fleet may have one of its own.

mod array_jobs;
mod cluster_states;

use std::rc::Rc;

use array_jobs::{claimed, run_placed, ArrayJob};
use sorrelhinge::scheduler::{ActiveDrain, ClusterState, Moving};
use sorrelhinge::types::{MachineId, Time};
use sorrelhinge_topology::drain::{Drain, Target};
use sorrelhinge_topology::repair::Stability;
use sorrelhinge_topology::Topology;

const MACHINES: u32 = 40;
/// What each task is thought to run, in seconds: within a drain that ends later it may stay.
const ESTIMATE_S: f64 = 5.0;

/// Machines of one CPU, those of ten on one switch, each with a task that runs.
fn cluster_state() -> ClusterState {
    let teams = [("house", 1000.0, None)];
    let mut cluster_state = cluster_states::cluster_state(MACHINES, 1.0, false, &teams);
    let mut text = String::from("version = 1\nlevels = [\"zone\", \"switch\", \"machine\"]\n");
    for switch in 0..MACHINES / 10 {
        let names: Vec<String> = (0..10)
            .map(|n| format!("\"vm-{}\"", switch * 10 + n))
            .collect();
        let names = names.join(", ");
        text += &format!("[[place]]\ndomain = \"za/s{switch}\"\nmachines = [{names}]\n");
    }
    let topology = Topology::parse(&text).expect("a valid file");
    cluster_state.set_topology(Some(Rc::new(topology)), |_| None);
    let job = ArrayJob {
        uid: "run-1",
        team: 0,
        rank: "normal",
        tasks: MACHINES,
        estimate_s: ESTIMATE_S,
    };
    let id = job.add(&mut cluster_state);
    run_placed(&mut cluster_state, 0.0);
    assert_eq!(claimed(&cluster_state, &id), MACHINES as usize);
    cluster_state
}

fn drain(target: Target) -> Drain {
    Drain {
        version: Drain::VERSION,
        target,
        started_ms: 0,
        deadline_ms: 0,
        away: 1,
        keep: false,
    }
}

fn active(drain: Drain, left_s: f64) -> ActiveDrain {
    ActiveDrain { drain, left_s }
}

fn of_machine(n: u32) -> Drain {
    drain(Target::Machine(format!("vm-{n}")))
}

fn of_switch(n: u32) -> Drain {
    drain(Target::Domain(format!("za/s{n}")))
}

/// How many tasks are stopped by drains, each with the seconds left of it.
fn stopped(cluster_state: &mut ClusterState, drains: &[ActiveDrain]) -> usize {
    let ids: Vec<MachineId> = cluster_state.machines().keys().cloned().collect();
    for id in &ids {
        cluster_state.edit_machine(id, |m| m.draining = true);
    }
    let stability = Stability::default();
    let moving = Moving {
        drains,
        stability: &stability,
    };
    cluster_state.drain(&moving, Time(0.0)).len()
}

/// The same machines, in the same order, as a look at each of them finds.
#[test]
fn a_drain_covers_the_machines_that_its_target_names() {
    let cluster_state = cluster_state();
    let topology = cluster_state.topology().expect("a topology").clone();
    let unknown = [
        drain(Target::Machine("vm-none".into())),
        drain(Target::Domain("za/none".into())),
        drain(Target::Machine("za/s1".into())),
        drain(Target::Domain("za".into())),
    ];
    let own = (0..MACHINES).map(of_machine);
    for drain in own.chain((0..4).map(of_switch)).chain(unknown) {
        let covered: Vec<&MachineId> = cluster_state.drained(&drain).collect();
        let all = cluster_state.machines().iter();
        let covers = |(id, m): &(&MachineId, &sorrelhinge::scheduler::Machine)| {
            drain.target.covers(&topology.tree, m.place, id.as_str())
        };
        let slow: Vec<&MachineId> = all.filter(covers).map(|(id, _)| id).collect();
        assert_eq!(covered, slow, "{}", drain.target);
    }
}

/// Of several drains of a machine the one that ends first decides, whether it is the
/// machine's own or its switch's, and whichever was asked for first.
#[test]
fn the_drain_that_ends_first_decides() {
    let (late, over) = (10.0 * ESTIMATE_S, 0.0);
    for reversed in [false, true] {
        // Machine 3 has to be left at once by its own drain; machines 10 to 19 by that
        // of their switch, though the own one of 12 would let its task end.
        let mut drains = vec![
            active(of_switch(0), late),
            active(of_machine(3), over),
            active(of_machine(3), late),
            active(of_machine(12), late),
            active(of_switch(1), over),
            active(of_machine(25), late),
        ];
        if reversed {
            drains.reverse();
        }
        assert_eq!(stopped(&mut cluster_state(), &drains), 11, "{reversed}");
    }
}

/// Each machine has a drain of its own, half of them over.
#[test]
fn every_machine_has_a_drain_of_its_own() {
    let left_s = |n: u32| if n % 2 == 0 { 0.0 } else { 10.0 * ESTIMATE_S };
    let drains: Vec<ActiveDrain> = (0..MACHINES)
        .map(|n| active(of_machine(n), left_s(n)))
        .collect();
    assert_eq!(
        stopped(&mut cluster_state(), &drains),
        MACHINES as usize / 2
    );
}
