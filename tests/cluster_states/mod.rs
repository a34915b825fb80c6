//! A small cluster that several tests of the placement use.

mod machine_types;
mod teams;

use std::rc::Rc;

use sorrelhinge::scheduler::{ClusterState, DelayRule, Machine, Team};
use sorrelhinge::types::{Amount, MachineId, Time, Zone};

use self::machine_types::machine_type;
use self::teams::team;

/// Nobody waits for a machine that has its image.
pub(crate) const RULE: DelayRule = DelayRule {
    fetches: 0.0,
    max_s: 0.0,
};

/// Machines of so many CPUs, spot ones or not; teams with their guarantees and, if
/// there is one, their limits in CPUs.
pub(crate) fn cluster_state(
    machines: u32,
    cpus: f64,
    spot: bool,
    teams: &[(&str, f64, Option<f64>)],
) -> ClusterState {
    let kind = Rc::new(machine_type(cpus, 64.0, &["za"]));
    let none = Amount {
        cpu: Amount::NO_LIMIT,
        gpu: Amount::NO_LIMIT,
        ram: 0,
    };
    let described = |(name, cpus, limit): &(&str, f64, Option<f64>)| match limit {
        Some(max) => team(name, *cpus, *max),
        None => Team {
            limit: none,
            ..team(name, *cpus, 0.0)
        },
    };
    let mut cluster_state = ClusterState::new(teams.iter().map(described).collect());
    for n in 0..machines {
        let mut machine = Machine::new(kind.clone(), Zone::from("za"), spot, Time(0.0));
        machine.usable = true;
        cluster_state.add_machine(MachineId::from(&*format!("vm-{n}")), machine);
    }
    cluster_state
}
