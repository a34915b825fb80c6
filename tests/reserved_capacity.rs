//! Room held for windows: who may have it, and what is rented for it.

#[path = "cluster_states/machine_types.rs"]
mod machine_types;
#[path = "cluster_states/teams.rs"]
mod teams;

use std::collections::BTreeMap;
use std::rc::Rc;

use serde_json::json;
use sorrelhinge::api::read_job;
use sorrelhinge::autoscaler::{plan, Input, PendingMachine, Plan, Shortfall};
use sorrelhinge::scheduler::{ClusterState, DelayRule, Job, Lending, Machine, Reservation, Tasks};
use sorrelhinge::types::{Amount, JobId, JobSpec, MachineId, MachineType, Time, Zone};
use sorrelhinge_reservations::settings::Window;
use sorrelhinge_topology::renting::Memory;

use self::machine_types::machine_type;
use self::teams::team;

const NOW: Time = Time(1000.0);
const RULE: DelayRule = DelayRule {
    fetches: 0.0,
    max_s: 0.0,
};

fn kind() -> Rc<MachineType> {
    Rc::new(machine_type(4.0, 16.0, &["za", "zb"]))
}

fn window(zones: &[&str]) -> Rc<Window> {
    let window = json!({"name": "drop", "team": "red", "classes": ["bake"],
        "when": {"once": "2030-01-01T00:00:00Z"}, "lasts_s": 600, "tasks": 2, "cpus": 4.0,
        "ram_gb": 4.0, "zones": zones});
    Rc::new(serde_json::from_value(window).expect("a window"))
}

/// Two teams, of which the first has a limit, and machines in turn in two zones.
fn cluster_state(limit: f64, machines: usize) -> ClusterState {
    let mut cluster_state =
        ClusterState::new(vec![team("red", 0.0, limit), team("blue", 0.0, 100.0)]);
    for n in 0..machines {
        let zone = Zone::from(["za", "zb"][n % 2]);
        let mut machine = Machine::new(kind(), zone, false, NOW);
        machine.usable = true;
        cluster_state.add_machine(MachineId::from(format!("vm-{n}").as_str()), machine);
    }
    cluster_state
}

fn spec(team: &str, class: &str, tasks: u32, guess_s: f64) -> JobSpec {
    let value = json!({"uid": "run-1", "jobclass": class, "crew": team, "shape": "sweep",
        "rank": "normal", "pieces": tasks, "cpus": 4.0, "cards": 0.0, "ram_gb": 1.0,
        "bundle": "img-1", "pull_gb": 0.0, "builds": null, "rack": null, "together": false,
        "spread": false, "loaners": false, "guess_s": guess_s, "mark_s": 0.0, "stash_s": 0.0,
        "due_s": null});
    read_job(value).expect("a valid job")
}

/// Submits a job and places what can be; how many tasks were.
fn place(
    cluster_state: &mut ClusterState,
    id: &str,
    team: usize,
    class: &str,
    tasks: u32,
    guess_s: f64,
) -> usize {
    let spec = spec(["red", "blue"][team], class, tasks, guess_s);
    let tasks = Tasks::new(spec.tasks, 64);
    cluster_state.add_job(JobId::from(id), Job::new(Rc::new(spec), team, NOW, tasks));
    cluster_state.place(RULE, NOW).len()
}

/// Holds room of two tasks for a window that begins after so many seconds.
fn hold(cluster_state: &mut ClusterState, zones: &[&str], left_s: f64) {
    let hold = Reservation {
        window: window(zones),
        team: 0,
        tasks: 2,
        lending: Lending {
            until: NOW.after(left_s),
            stop_s: 2.0,
            wait_s: 0.0,
        },
    };
    cluster_state.set_reservations(vec![hold], NOW);
}

fn held(cluster_state: &ClusterState) -> BTreeMap<MachineId, u32> {
    let free_capacity = cluster_state.reserved_capacity();
    free_capacity
        .map(|on| (on.machine.clone(), on.tasks))
        .collect()
}

#[test]
fn held_free_capacity_is_the_windows() {
    let mut cluster_state = cluster_state(100.0, 3);
    hold(&mut cluster_state, &[], -1.0);
    assert_eq!(held(&cluster_state).len(), 2);
    let others = place(&mut cluster_state, "b-1", 1, "bulk", 3, 500.0);
    assert_eq!(others, 1, "another team's work");
    let other = place(&mut cluster_state, "r-1", 0, "bulk", 3, 500.0);
    assert_eq!(other, 0, "other work of the team");
    let own = place(&mut cluster_state, "r-2", 0, "bake", 3, 500.0);
    assert_eq!(own, 2, "the window's own");
    // What its work uses is held no more, nor is it held a second time.
    assert!(held(&cluster_state).is_empty());
    hold(&mut cluster_state, &[], -1.0);
    assert!(held(&cluster_state).is_empty());
}

#[test]
fn it_counts_in_the_limit_and_never_over_it() {
    let mut cluster_state = cluster_state(12.0, 6);
    hold(&mut cluster_state, &[], -1.0);
    // Twelve CPUs, of which eight are held: the team's other work has four.
    assert_eq!(place(&mut cluster_state, "r-1", 0, "bulk", 3, 500.0), 1);
    assert_eq!(place(&mut cluster_state, "r-2", 0, "bake", 3, 500.0), 2);
    assert_eq!(cluster_state.teams()[0].used, Amount::new(12.0, 0.0, 3.0));
}

#[test]
fn it_is_lent_to_what_ends_before_even_twice_over() {
    for (guess_s, placed) in [(49.0, 2), (51.0, 0)] {
        let mut cluster_state = cluster_state(100.0, 2);
        hold(&mut cluster_state, &[], 100.0);
        let lent = place(&mut cluster_state, "b-1", 1, "bulk", 2, guess_s);
        assert_eq!(lent, placed, "{guess_s} s");
        // Its room is the window's still: it is free again by then.
        hold(&mut cluster_state, &[], 100.0);
        assert_eq!(held(&cluster_state).values().sum::<u32>(), 2);
        // Begun, it is lent no more.
        hold(&mut cluster_state, &[], -1.0);
        assert_eq!(held(&cluster_state).len(), 2 - placed);
    }
}

#[test]
fn it_is_spread_over_zones_and_rented_once() {
    let mut cluster_state = cluster_state(100.0, 1);
    hold(&mut cluster_state, &["za", "zb"], -1.0);
    let missing_tasks: Vec<u32> = cluster_state
        .missing_tasks("drop")
        .iter()
        .map(|missing| missing.tasks)
        .collect();
    assert_eq!((held(&cluster_state).len(), missing_tasks), (1, vec![0, 1]));
    // A job of the window's that waits is not rented for beside its hold.
    place(&mut cluster_state, "r-1", 0, "bake", 2, 500.0);
    hold(&mut cluster_state, &["za", "zb"], -1.0);
    let mut shortfall = spec("red", "bake", 1, 500.0);
    shortfall.zone = Some(Zone::from("zb"));
    let shortfalls = [Shortfall {
        window: "drop".into(),
        spec: Rc::new(shortfall),
        tasks: 1,
    }];
    let one = PendingMachine {
        kind: kind(),
        zone: Zone::from("zb"),
        spot: false,
    };
    let plan_of = |cluster_state: &ClusterState,
                   shortfalls: &[Shortfall],
                   pending_machines: &[PendingMachine]| {
        let input = Input {
            cluster_state,
            types: &[kind()],
            pending_machines,
            expected: &[],
            shortfalls,
            patient: &|_| false,
            boot_s: 10.0,
            open: &|_, _, _| true,
            memory: &Memory::default(),
        };
        plan(&input, NOW)
    };
    let rented = |plan: &Plan| plan.rent.iter().map(|w| w.count).sum::<u32>();
    let mut idle = self::cluster_state(100.0, 1);
    hold(&mut idle, &["za", "zb"], -1.0);
    let first = plan_of(&idle, &shortfalls, &[]);
    assert_eq!(rented(&first), 1);
    assert!(first.unused.is_empty(), "a machine with held room stays");
    let second = plan_of(&idle, &shortfalls, &[one]);
    assert_eq!(rented(&second), 0, "it is on its way");
    assert_eq!(second.pending_tasks["drop"], 1);
    let waits = plan_of(&cluster_state, &[], &[]);
    assert_eq!(rented(&waits), 1, "one task runs, one waits");
}
