//! The machine of the core's tests.

use sorrelhinge_agent::core::Machine;
use sorrelhinge_protocol::types::{Amount, MachineId, TypeName, Zone};

/// Duration of the agent's lease, in seconds.
pub(crate) const LEASE_S: f64 = 10.0;

/// A machine with room for three tasks, and two controllers.
pub(crate) fn machine() -> Machine {
    Machine {
        name: MachineId::from("vm-1"),
        addr: "127.0.0.1:9".parse().expect("an address"),
        kind: TypeName::from("t"),
        zone: Zone::from("za"),
        spot: false,
        total: Amount::new(3.0, 0.0, 8.0),
        report_s: 2.0,
        lease_s: LEASE_S,
        controllers: vec!["c-0".into(), "c-1".into()],
    }
}
