//! What placing costs with and without failure domains, both ways in one run:
//! steps, which are the same on every machine, and decisions a second.
//!
//!     cargo run --release --example placing

use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sorrelhinge::scheduler::{ClusterState, DelayRule, Job, Machine, Tasks, Team};
use sorrelhinge::types::{
    Amount, Image, JobId, JobSpec, Kind, MachineId, MachineType, Priority, Time, TypeName, Zone,
};
use sorrelhinge_topology::Topology;

const ZONES: [&str; 4] = ["za", "zb", "zc", "zd"];
const RULE: DelayRule = DelayRule {
    fetches: 0.05,
    max_s: 5.0,
};

/// The operator's file: as many switches in four zones, and services that are
/// to be spread over switches.
fn file(machines: u32, switches: u32) -> String {
    let mut file = String::from("version = 1\nlevels = [\"zone\", \"switch\", \"machine\"]\n");
    for switch in 0..switches {
        let zone = ZONES[switch as usize % ZONES.len()];
        let names: Vec<String> = (0..machines)
            .filter(|n| n % switches == switch)
            .map(|n| format!("\"vm-{n:05}\""))
            .collect();
        file += &format!(
            "[[place]]\ndomain = \"{zone}/s{switch:03}\"\nmachines = [{}]\n",
            names.join(",")
        );
    }
    file + "[[policy]]\nclass = \"live\"\n[[policy.wishes.spread]]\nlevel = \"switch\"\nmost = 1\n"
}

fn kind(name: &str, cpus: f64) -> Rc<MachineType> {
    Rc::new(MachineType {
        name: TypeName::from(name),
        total: Amount::new(cpus, 0.0, 4.0 * cpus),
        cache_gb: 50.0,
        fetch_gb_per_s: 0.5,
        price: cpus / 4.0,
        spot_price: cpus / 12.0,
        boot_s: 20.0,
        zones: ZONES.map(Zone::from).to_vec(),
    })
}

fn job(n: u32, every: u32, rng: &mut StdRng) -> JobSpec {
    let live = n % every == 0;
    let cpus = if live { 2.0 } else { 4.0 };
    JobSpec {
        class: Arc::from(if live { "live" } else { "batch" }),
        team: Arc::from("t"),
        kind: if live { Kind::Service } else { Kind::Array },
        priority: if live {
            Priority::Critical
        } else {
            Priority::Normal
        },
        tasks: if live { 8 } else { 12 },
        each: Amount::new(cpus, 0.0, 2.0 * cpus),
        image: Image::from(format!("img-{}", rng.random_range(0..20)).as_str()),
        image_gb: 1.5,
        types: None,
        zone: None,
        one_zone: false,
        spread: live,
        spot: !live,
        estimate_s: if live { 0.0 } else { 25.0 },
        checkpoint_s: 0.0,
        save_s: 0.0,
        deadline_s: None,
        placement: None,
        extension: None,
    }
}

/// What placing came to.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cost {
    /// Tasks placed.
    pub placed: usize,
    /// Places looked at.
    pub steps: u64,
    /// Seconds that it took.
    pub seconds: f64,
}

/// Places the same 600 jobs on the same machines, as they come, with or
/// without the operator's file. One of `every` jobs is a service with a rule.
pub(crate) fn place(machines: u32, switches: u32, every: u32, on: bool) -> Cost {
    let mut rng = StdRng::seed_from_u64(11);
    let mut cluster_state = ClusterState::new(vec![Team {
        name: Arc::from("t"),
        guarantee: Amount::new(1e4, 0.0, 0.0),
        limit: Amount::new(1e6, 0.0, 0.0),
        used: Amount::default(),
        held_back: Amount::default(),
    }]);
    let kinds = [kind("small", 4.0), kind("large", 16.0)];
    for n in 0..machines {
        let zone = Zone::from(ZONES[(n % switches) as usize % ZONES.len()]);
        let kind = kinds[usize::from(n % 3 == 0)].clone();
        let mut m = Machine::new(kind, zone, n % 2 == 0, Time(0.0));
        m.usable = true;
        let busy = rng.random_range(0..=m.kind.total.cpu / 2000) as f64;
        m.used = Amount::new(busy, 0.0, busy);
        for _ in 0..3 {
            let image = Image::from(format!("img-{}", rng.random_range(0..20)).as_str());
            m.cache.touch(&image, 1.5, 50.0, true);
        }
        cluster_state.add_machine(MachineId::from(format!("vm-{n:05}").as_str()), m);
    }
    if on {
        let topology = Topology::parse(&file(machines, switches)).expect("a valid file");
        cluster_state.set_topology(Some(Rc::new(topology)), |_| None);
    }
    let mut cost = Cost {
        placed: 0,
        steps: 0,
        seconds: 0.0,
    };
    for n in 0..600 {
        let now = Time(f64::from(n) * 0.2);
        let spec = job(n, every, &mut rng);
        let id = JobId::from(format!("run-{n:05}").as_str());
        let policy = ClusterState::policy_of(cluster_state.topology().map(|t| &**t), &spec);
        let tasks = Tasks::new(spec.tasks, 64);
        let job = Job {
            policy,
            ..Job::new(Rc::new(spec), 0, now, tasks)
        };
        let steps = cluster_state.capacity_index.steps.get();
        let begun = Instant::now();
        cluster_state.add_job(id, job);
        cost.placed += cluster_state.place(RULE, now).len();
        cost.seconds += begun.elapsed().as_secs_f64();
        cost.steps += cluster_state.capacity_index.steps.get() - steps;
    }
    cost
}

/// Prints both.
#[allow(dead_code)]
pub(crate) fn main() {
    let (machines, switches) = (2000, 200);
    println!("{machines} machines behind {switches} switches, 600 jobs");
    for every in [4, 1] {
        println!("one job of {every} is a service spread over switches:");
        for (name, on) in [("off", false), ("on", true), ("off", false), ("on", true)] {
            let cost = place(machines, switches, every, on);
            println!(
                "  topology {name:<3}: {} tasks, {} steps, {:.1} steps a task, {:.0} decisions a second",
                cost.placed,
                cost.steps,
                cost.steps as f64 / cost.placed as f64,
                cost.placed as f64 / cost.seconds
            );
        }
    }
}
