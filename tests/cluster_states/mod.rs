//! A small cluster that several tests of the placement use.

use std::rc::Rc;
use std::sync::Arc;

use sorrelhinge::sched::{ClusterState, DelayRule, Machine, Team};
use sorrelhinge::types::{Amount, MachineId, MachineType, Time, TypeName, Zone};

/// Nobody waits for a machine that has its image.
pub const RULE: DelayRule = DelayRule {
    fetches: 0.0,
    max_s: 0.0,
};

/// Machines of so many CPUs, spot ones or not; teams with their guarantees and, if
/// there is one, their limits in CPUs.
pub fn cluster_state(
    machines: u32,
    cpus: f64,
    spot: bool,
    teams: &[(&str, f64, Option<f64>)],
) -> ClusterState {
    let kind = Rc::new(MachineType {
        name: TypeName::from("t"),
        total: Amount::new(cpus, 0.0, 64.0),
        cache_gb: 8.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.3,
        boot_s: 10.0,
        zones: vec![Zone::from("za")],
    });
    let none = Amount {
        cpu: Amount::NO_LIMIT,
        gpu: Amount::NO_LIMIT,
        ram: 0,
    };
    let team = |(name, cpus, limit): &(&str, f64, Option<f64>)| Team {
        name: Arc::from(*name),
        guarantee: Amount::new(*cpus, 0.0, 0.0),
        limit: limit.map_or(none, |most| Amount::new(most, 0.0, 0.0)),
        used: Amount::default(),
        held_back: Amount::default(),
    };
    let mut cluster_state = ClusterState::new(teams.iter().map(team).collect());
    for n in 0..machines {
        let mut machine = Machine::new(kind.clone(), Zone::from("za"), spot, Time(0.0));
        machine.usable = true;
        cluster_state.add_machine(MachineId::from(&*format!("vm-{n}")), machine);
    }
    cluster_state
}
