//! Builds the scale plan: machines to rent, and unused machines.

use std::collections::{BTreeMap, BTreeSet};

use super::packing::Packing;
use crate::types::{Amount, MachineId, TypeName, Zone};

/// Machines to rent from one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOutRequest {
    /// Type of the machines to rent.
    pub kind: TypeName,
    /// Zone in which to rent the machines.
    pub zone: Zone,
    /// Whether to rent spot machines.
    pub spot: bool,
    /// Number of machines to rent.
    pub count: u32,
}

/// Scale plan: machines to rent, and unused machines that may be deleted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    /// Machines to rent, one request for each capacity pool.
    pub rent: Vec<ScaleOutRequest>,
    /// Machines into which the plan packed no task. They may be deleted.
    pub unused: BTreeSet<MachineId>,
    /// Capacity that each machine keeps free for expected work that can't use spot machines.
    pub kept: BTreeMap<MachineId, Amount>,
    /// Number of tasks, by reservation window, for which pending machines have capacity.
    pub pending_tasks: BTreeMap<String, u32>,
}

/// Returns the plan that results from a packing.
pub(super) fn outcome(packing: Packing) -> Plan {
    let rent = packing.rent.into_iter();
    let mut plan = Plan {
        rent: rent
            .map(|(pool, count)| ScaleOutRequest {
                kind: pool.kind,
                zone: pool.zone,
                spot: pool.spot,
                count,
            })
            .collect(),
        pending_tasks: packing.pending_tasks,
        ..Plan::default()
    };
    for free_capacity in packing.free_capacities {
        match free_capacity.id {
            Some(id) if !free_capacity.used => {
                plan.unused.insert(id);
            }
            Some(id) if free_capacity.kept != Amount::default() => {
                plan.kept.insert(id, free_capacity.kept);
            }
            _ => {}
        }
    }
    plan
}
